//! Relays an answer from a backend server to the caller.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::{ask::header, place::Slot};
use crate::http::{Cut, Reply};

/// Chunks that wait for a slow caller before the engine's stream is held back.
const STREAM_DEPTH: usize = 8;

/// Streams the response's body on, holding `slot` until its end.
pub(crate) fn relay(res: http::Response<Incoming>, slot: Option<Slot>) -> Reply {
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
    Reply::stream(status, rx).with_header("content-type", &content).with_header("x-outcome", "ran")
}
