//! `/v1/resume`: resumes a stream after the router that relayed it has failed.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;

use super::{
    Gateway,
    relay::events::{EVENT_CHANNEL_CAPACITY, RelayedStream},
    request::header,
};
use crate::{
    client::Failure,
    engine::EngineClient,
    error::{ErrorKind, RequestError},
    http::{Reply, body_channel},
    schema::stream::ResumeToken,
    stream::{EventId, Offset, StreamTracker, token::BadToken},
    util::wall_ms,
};

/// Header that carries the resume token.
pub(super) const RESUME_TOKEN_HEADER: &str = "x-resume-token";
/// Time after which a resume token expires.
const TOKEN_LIFETIME_MS: u64 = 600_000;

impl Gateway {
    /// Creates a resume token for the stream of an attempt on an engine.
    pub(super) fn resume_token(
        &self,
        request: &str,
        engine: std::net::SocketAddr,
        workspace: &str,
    ) -> String {
        self.resume_key.sign(&ResumeToken {
            request: request.to_owned(),
            engine: engine.to_string(),
            workspace: workspace.to_owned(),
            expires_ms: wall_ms() + TOKEN_LIFETIME_MS,
        })
    }

    /// Resumes a stream after the last event that the caller has received.
    pub(super) async fn resume(&self, req: Request<Bytes>) -> Result<Reply, RequestError> {
        let unknown = |message: &str| RequestError::new(ErrorKind::ResumeUnknown, message);
        let text = header(req.headers(), RESUME_TOKEN_HEADER)
            .ok_or_else(|| unknown("the x-resume-token header is missing"))?;
        let token = self.resume_key.verify(text, wall_ms()).map_err(|e| match e {
            BadToken::Forged => unknown("the resume token was not signed by this fleet"),
            BadToken::Expired => RequestError::new(ErrorKind::ResumeGone, "the resume token has expired"),
        })?;
        if header(req.headers(), "x-workspace") != Some(&token.workspace) {
            return Err(unknown("the resume token belongs to another workspace"));
        }
        let from = resume_offset(&req, &token)
            .ok_or_else(|| unknown("the last event does not belong to this stream"))?;
        let gone = |message: &str| RequestError::new(ErrorKind::ResumeGone, message);
        let addr =
            token.engine.parse().map_err(|_| unknown("the resume token contains no valid engine address"))?;
        if !self.catalog().engines().any(|(_, e)| e.addr == addr) {
            return Err(gone("the engine is no longer configured"));
        }
        let engine = EngineClient::new(self.client.clone(), addr);
        let res = match engine.resume(&token.request, from).await {
            Ok(res) if res.status() == 200 => res,
            Ok(_) => return Err(gone("the engine no longer has the stream")),
            Err(Failure::Connect | Failure::Broken) => return Err(gone("the engine is unreachable")),
        };
        let attempt_id: Arc<str> = token.request.into();
        let (tx, rx) = body_channel(EVENT_CHANNEL_CAPACITY);
        let tracker = StreamTracker::new(attempt_id.clone(), from);
        let stream = RelayedStream { engine, attempt_id, tracker, tx, metrics: self.metrics.clone() };
        tokio::spawn(stream.run(res));
        Ok(Reply::stream(200, rx)
            .with_header("content-type", "text/event-stream")
            .with_header("x-outcome", "ran")
            .with_header(RESUME_TOKEN_HEADER, text))
    }
}

/// Offset after the event in the `last-event-id` header; 0 if there is none.
fn resume_offset(req: &Request<Bytes>, token: &ResumeToken) -> Option<Offset> {
    let Some(last_id) = header(req.headers(), "last-event-id") else { return Some(0) };
    let id: EventId = last_id.parse().ok()?;
    (*id.request == *token.request).then_some(id.offset + 1)
}
