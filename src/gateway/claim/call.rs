//! Non-idempotent calls with an idempotency key: claims the key, runs the call once, and records its response.

use std::sync::Arc;

use http_body_util::BodyExt;

use super::Claims;
use crate::{
    claim::{
        ClaimRequest, MAX_KEPT_BODY_BYTES, Record, StoredResponse, Verdict,
        attempt::{DispatchedClaim, GrantedClaim, RefusedClaim, RequestedClaim, error_kind},
    },
    error::{ErrorKind, RequestError},
    gateway::{admit::InFlightGuard, attempt::StartedResponse, relay::BODY_IDLE_TIMEOUT, request::header},
    http::{Reply, body_channel},
    outcome::{NotRunProof, Undispatched},
};

/// Number of body chunks buffered for a slow caller before backpressure stops the backend server.
const BODY_CHANNEL_CHUNKS: usize = 8;

/// A granted claim whose request has not been dispatched.
pub(in crate::gateway) struct HeldClaim {
    claims: Arc<Claims>,
    key: Arc<str>,
    granted: GrantedClaim,
}

/// A call whose request was dispatched and may have run.
pub(in crate::gateway) struct DispatchedCall {
    claims: Arc<Claims>,
    key: Arc<str>,
    dispatched: DispatchedClaim,
}

/// Outcome of a claim request.
pub(in crate::gateway) enum ClaimOutcome {
    /// The claim was granted: the request may run.
    Run(HeldClaim),
    /// An earlier attempt ran; this is its recorded response.
    Replay(Reply),
}

impl HeldClaim {
    /// Requests the claim on `key`.
    ///
    /// # Errors
    /// When the claim is refused or no verdict arrives in time.
    pub(in crate::gateway) async fn acquire(
        claims: &Arc<Claims>,
        key: &Arc<str>,
        req: ClaimRequest,
        timeout: std::time::Duration,
    ) -> Result<ClaimOutcome, RequestError> {
        let requested = RequestedClaim::new(req, Undispatched::new());
        let verdict = tokio::time::timeout(timeout, claims.request_claim(req, key)).await;
        match requested.decide(verdict.unwrap_or(Verdict::Unavailable)) {
            Ok(granted) => Ok(ClaimOutcome::Run(Self { claims: claims.clone(), key: key.clone(), granted })),
            Err(refused) => refuse(claims, key, *refused),
        }
    }

    /// Marks the request as handed to a connection.
    pub(in crate::gateway) fn dispatch(self) -> DispatchedCall {
        DispatchedCall { claims: self.claims, key: self.key, dispatched: self.granted.dispatch() }
    }
}

/// Result for a caller whose attempt was not granted the claim. Releases the claim if it may have been stored.
fn refuse(claims: &Arc<Claims>, key: &str, refused: RefusedClaim) -> Result<ClaimOutcome, RequestError> {
    let RefusedClaim { verdict, token, release } = refused;
    if let Some(release) = release {
        claims.release(release, key);
    }
    if let Verdict::Recorded(response) = verdict {
        return replay(response).map(ClaimOutcome::Replay);
    }
    let kind = error_kind(&verdict).unwrap_or(ErrorKind::Internal);
    token.refuse(kind, kind.answer().about).into_result()
}

/// Reply with the recorded response of an earlier attempt.
fn replay(response: StoredResponse) -> Result<Reply, RequestError> {
    let Some(body) = response.body else {
        return Err(RequestError::new(ErrorKind::KeyAnswered, ErrorKind::KeyAnswered.answer().about));
    };
    Ok(Reply::full(response.status, body)
        .with_header("content-type", &response.content_type)
        .with_header("x-outcome", "ran")
        .with_header("x-replayed", "true"))
}

impl DispatchedCall {
    /// Ends a call whose attempts all failed: releases the claim if none of them ran, otherwise records the result as
    /// unknown.
    pub(in crate::gateway) fn fail(self, error: RequestError) -> RequestError {
        match NotRunProof::from_attempts(&error) {
            Some(proof) => {
                let (token, release) = self.dispatched.take_back(proof).release();
                self.claims.release(release, &self.key);
                let outcome = token.refuse::<()>(error.kind, error.message.clone());
                outcome.into_result().err().map_or(error.clone(), |f| RequestError { kind: f.kind, ..error })
            }
            None => {
                let (_, finish) = self.dispatched.finish(Record::Unknown);
                self.claims.finish(finish, &self.key);
                error
            }
        }
    }

    /// Streams the response to the caller and records it. The response is read to its end even if the caller
    /// disconnects, so that a retry with the same key gets the result of the run.
    pub(in crate::gateway) fn relay(self, started: StartedResponse, in_flight: InFlightGuard) -> Reply {
        let StartedResponse { res, chosen, run, attempts, .. } = started;
        let (tx, rx) = body_channel(BODY_CHANNEL_CHUNKS);
        let status = res.status().as_u16();
        let content_type =
            header(res.headers(), "content-type").unwrap_or("application/octet-stream").to_owned();
        let mut response =
            StoredResponse { status, content_type: content_type.clone(), body: Some(Vec::new()) };
        tokio::spawn(async move {
            let _held = (chosen, in_flight);
            let mut body = res.into_body();
            loop {
                let frame = match tokio::time::timeout(BODY_IDLE_TIMEOUT, body.frame()).await {
                    Ok(None) => break,
                    Ok(Some(Ok(frame))) => frame,
                    Ok(Some(Err(_))) | Err(_) => {
                        drop(tx);
                        self.record(Record::Unknown);
                        return run.fail().await;
                    }
                };
                let data = frame.into_data().unwrap_or_default();
                append_body(&mut response, &data);
                let _ = tx.send(data).await;
            }
            self.record(Record::Completed(response));
            run.complete();
            tx.finish().await;
        });
        Reply::stream(status, rx)
            .with_header("content-type", &content_type)
            .with_header("x-outcome", "ran")
            .with_header("x-attempt", &attempts.to_string())
    }

    /// Reports the result of the run.
    fn record(self, record: Record) {
        let (_, finish) = self.dispatched.finish(record);
        self.claims.finish(finish, &self.key);
    }
}

/// Appends a chunk to the recorded body; discards the body once it exceeds [`MAX_KEPT_BODY_BYTES`].
fn append_body(response: &mut StoredResponse, data: &[u8]) {
    if let Some(body) = &mut response.body {
        body.extend_from_slice(data);
        if body.len() > MAX_KEPT_BODY_BYTES {
            response.body = None;
        }
    }
}
