//! Relays an answer from a backend server to the caller.

use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::{admit::Entered, ask::header, attempt::Started};
use crate::http::{Cut, Reply};

/// Chunks that wait for a slow caller before the engine's stream is held back.
const STREAM_DEPTH: usize = 8;

/// Streams the response's body on, holding the engine and the workspace's count until its end.
pub(super) fn relay(started: Started, entered: Entered) -> Reply {
    let Started { res, found, run, attempts, .. } = started;
    let (tx, rx) = mpsc::channel(STREAM_DEPTH);
    let status = res.status().as_u16();
    let content = header(res.headers(), "content-type").unwrap_or("application/octet-stream").to_owned();
    tokio::spawn(async move {
        let _held = (found, entered);
        let mut body = res.into_body();
        while let Some(frame) = body.frame().await {
            let chunk = frame.map_err(|_| Cut).map(|f| f.into_data().unwrap_or_default());
            let cut = chunk.is_err();
            if tx.send(chunk).await.is_err() {
                return;
            }
            if cut {
                return run.broke().await;
            }
        }
        run.complete();
    });
    Reply::stream(status, rx)
        .with_header("content-type", &content)
        .with_header("x-outcome", "ran")
        .with_header("x-attempt", &attempts.to_string())
}
