//! Relays responses of backend servers to callers.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;

use super::{admit::InFlightGuard, attempt::StartedResponse, request::header};
use crate::{
    engine::EngineClient,
    http::{Reply, body_channel},
    metrics::Metrics,
    stream::StreamTracker,
};

pub(super) mod events;

use events::{EVENT_CHANNEL_CAPACITY, RelayedStream, StreamEnd};

/// Maximum time between two chunks of a body; after that the connection is treated as failed.
pub(super) const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Streams a response's body to the caller. The reservation and the workspace's count are held until its end.
pub(super) fn relay(started: StartedResponse, in_flight: InFlightGuard) -> Reply {
    let StartedResponse { res, chosen, run, attempts, .. } = started;
    let (tx, rx) = body_channel(EVENT_CHANNEL_CAPACITY);
    let status = res.status().as_u16();
    let content_type = header(res.headers(), "content-type").unwrap_or("application/octet-stream").to_owned();
    tokio::spawn(async move {
        let _held = (chosen, in_flight);
        let mut body = res.into_body();
        loop {
            let data = match tokio::time::timeout(BODY_IDLE_TIMEOUT, body.frame()).await {
                Ok(None) => {
                    run.complete();
                    return tx.finish().await;
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) | Err(_) => {
                    drop(tx);
                    return run.fail().await;
                }
            };
            if tx.send(data).await.is_err() {
                return;
            }
        }
    });
    Reply::stream(status, rx)
        .with_header("content-type", &content_type)
        .with_header("x-outcome", "ran")
        .with_header("x-attempt", &attempts.to_string())
}

/// Relays an engine's event stream, with resumption after connection failures; any other response goes to [`relay`].
pub(super) fn relay_events(
    started: StartedResponse,
    in_flight: InFlightGuard,
    engine: EngineClient,
    metrics: &Arc<Metrics>,
) -> Reply {
    let content_type = header(started.res.headers(), "content-type").unwrap_or("");
    if started.res.status() != 200 || !content_type.starts_with("text/event-stream") {
        return relay(started, in_flight);
    }
    let StartedResponse { res, chosen, run, attempts, attempt_id } = started;
    let (tx, rx) = body_channel(EVENT_CHANNEL_CAPACITY);
    let attempt_id: Arc<str> = attempt_id.into();
    let tracker = StreamTracker::new(attempt_id.clone(), 0);
    let stream = RelayedStream { engine, attempt_id, tracker, tx, metrics: metrics.clone() };
    tokio::spawn(async move {
        let _held = (chosen, in_flight);
        match stream.run(res).await {
            StreamEnd::Complete | StreamEnd::Cancelled => run.complete(),
            StreamEnd::Cut => run.fail().await,
        }
    });
    Reply::stream(200, rx)
        .with_header("content-type", "text/event-stream")
        .with_header("x-outcome", "ran")
        .with_header("x-attempt", &attempts.to_string())
}
