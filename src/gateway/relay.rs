//! Relays an answer from a backend server to the caller.

use std::sync::{Arc, Mutex};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::{ask::header, lock};
use crate::{
    catalog::Engine,
    http::{Cut, Reply},
    place::Loads,
};

/// Chunks that wait for a slow caller before the engine's stream is held back.
const STREAM_DEPTH: usize = 8;

/// One request in progress at an engine; dropping it ends the count.
pub(crate) struct Slot {
    loads: Arc<Mutex<Loads>>,
    name: Arc<str>,
}

impl Slot {
    /// Takes over a start that `loads` already counts.
    pub(crate) fn adopt(loads: &Arc<Mutex<Loads>>, name: &Arc<str>) -> Self {
        Self { loads: loads.clone(), name: name.clone() }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.loads).finish(&self.name);
    }
}

/// Streams the response's body on, holding `slot` until its end.
pub(crate) fn relay(res: http::Response<Incoming>, slot: Slot, engine: &Engine) -> Reply {
    let (tx, rx) = mpsc::channel(STREAM_DEPTH);
    let status = res.status().as_u16();
    let content = header(res.headers(), "content-type").unwrap_or("application/octet-stream").to_owned();
    tokio::spawn(async move {
        let _slot = slot;
        let mut body = res.into_body();
        while let Some(frame) = body.frame().await {
            let chunk = frame.map_err(|_| Cut).map(|f| f.into_data().unwrap_or_default());
            let cut = chunk.is_err();
            if tx.send(chunk).await.is_err() || cut {
                return;
            }
        }
    });
    Reply::stream(status, rx)
        .with_header("content-type", &content)
        .with_header("x-outcome", "ran")
        .with_header("x-placement-hint", &engine.name)
}
