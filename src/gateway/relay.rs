//! Relays an answer from a backend server to the caller.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;

use super::{admit::Entered, ask::header, attempt::Started};
use crate::{
    engine::EngineClient,
    http::{Reply, body_channel},
    metrics::Metrics,
    stream::StreamTracker,
};

pub(super) mod events;

use events::{Ended, STREAM_DEPTH, Stream};

/// Longest time between two chunks of a body before it is given up.
pub(super) const STALL: Duration = Duration::from_secs(30);

/// Streams the response's body on, holding the engine and the workspace's count until its end.
pub(super) fn relay(started: Started, entered: Entered) -> Reply {
    let Started { res, found, run, attempts, .. } = started;
    let (tx, rx) = body_channel(STREAM_DEPTH);
    let status = res.status().as_u16();
    let content = header(res.headers(), "content-type").unwrap_or("application/octet-stream").to_owned();
    tokio::spawn(async move {
        let _held = (found, entered);
        let mut body = res.into_body();
        loop {
            let data = match tokio::time::timeout(STALL, body.frame()).await {
                Ok(None) => {
                    run.complete();
                    return tx.finish().await;
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) | Err(_) => {
                    drop(tx);
                    return run.broke().await;
                }
            };
            if tx.send(data).await.is_err() {
                return;
            }
        }
    });
    Reply::stream(status, rx)
        .with_header("content-type", &content)
        .with_header("x-outcome", "ran")
        .with_header("x-attempt", &attempts.to_string())
}

/// Passes an engine's event stream on; any other answer goes by [`relay`].
pub(super) fn relay_events(
    started: Started,
    entered: Entered,
    engine: EngineClient,
    metrics: &Arc<Metrics>,
) -> Reply {
    let content = header(started.res.headers(), "content-type").unwrap_or("");
    if started.res.status() != 200 || !content.starts_with("text/event-stream") {
        return relay(started, entered);
    }
    let Started { res, found, run, attempts, request } = started;
    let (tx, rx) = body_channel(STREAM_DEPTH);
    let request: Arc<str> = request.into();
    let tracker = StreamTracker::new(request.clone(), 0);
    let stream = Stream { engine, request, tracker, tx, metrics: metrics.clone() };
    tokio::spawn(async move {
        let _held = (found, entered);
        match stream.run(res).await {
            Ended::Complete | Ended::Cancelled => run.complete(),
            Ended::Cut => run.broke().await,
        }
    });
    Reply::stream(200, rx)
        .with_header("content-type", "text/event-stream")
        .with_header("x-outcome", "ran")
        .with_header("x-attempt", &attempts.to_string())
}
