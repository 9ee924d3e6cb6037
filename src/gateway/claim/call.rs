//! A call that may not be repeated: claims its key, runs it once, and records its answer.

use std::sync::Arc;

use http_body_util::BodyExt;

use super::Claims;
use crate::{
    claim::{
        ClaimRequest, MAX_KEPT_BODY_BYTES, Record, StoredResponse, Verdict,
        attempt::{DispatchedClaim, GrantedClaim, RefusedClaim, RequestedClaim, error_kind},
    },
    error::{ErrorKind, RequestError},
    gateway::{admit::Entered, ask::header, attempt::Started, relay::STALL},
    http::{Reply, body_channel},
    outcome::{NotRunProof, Undispatched},
};

/// Chunks that wait for a slow caller before the backend server is held back.
const STREAM_DEPTH: usize = 8;

/// A claim that is held, with what is needed to tell its end.
pub(in crate::gateway) struct Claim {
    claims: Arc<Claims>,
    key: Arc<str>,
    held: GrantedClaim,
}

/// A claim whose request may have run.
pub(in crate::gateway) struct Claimed {
    claims: Arc<Claims>,
    key: Arc<str>,
    running: DispatchedClaim,
}

/// What a key's claim comes to.
pub(in crate::gateway) enum Answer {
    /// The request may run.
    Run(Claim),
    /// An earlier attempt ran; this is its answer.
    Replay(Reply),
}

impl Claim {
    /// Asks for the claim of `key`.
    ///
    /// # Errors
    /// When the request may not run.
    pub(in crate::gateway) async fn ask(
        claims: &Arc<Claims>,
        key: &Arc<str>,
        ask: ClaimRequest,
        patience: std::time::Duration,
    ) -> Result<Answer, RequestError> {
        let asking = RequestedClaim::new(ask, Undispatched::new());
        let verdict = tokio::time::timeout(patience, claims.ask(ask, key)).await;
        match asking.decide(verdict.unwrap_or(Verdict::Unavailable)) {
            Ok(held) => Ok(Answer::Run(Self { claims: claims.clone(), key: key.clone(), held })),
            Err(refused) => refuse(claims, key, *refused),
        }
    }

    /// The request is handed to a connection.
    pub(in crate::gateway) fn dispatch(self) -> Claimed {
        Claimed { claims: self.claims, key: self.key, running: self.held.dispatch() }
    }
}

fn refuse(claims: &Arc<Claims>, key: &str, refused: RefusedClaim) -> Result<Answer, RequestError> {
    let RefusedClaim { verdict, token, release } = refused;
    if let Some(release) = release {
        claims.release(release, key);
    }
    if let Verdict::Recorded(answered) = verdict {
        return replay(answered).map(Answer::Replay);
    }
    let kind = error_kind(&verdict).unwrap_or(ErrorKind::Internal);
    token.refuse(kind, kind.answer().about).into_result()
}

/// The recorded answer of the run.
fn replay(answered: StoredResponse) -> Result<Reply, RequestError> {
    let Some(body) = answered.body else {
        return Err(RequestError::new(ErrorKind::KeyAnswered, ErrorKind::KeyAnswered.answer().about));
    };
    Ok(Reply::full(answered.status, body)
        .with_header("content-type", &answered.content_type)
        .with_header("x-outcome", "ran")
        .with_header("x-replayed", "true"))
}

impl Claimed {
    /// Ends a call whose attempts all failed: the claim is given back if none of them ran.
    pub(in crate::gateway) fn fail(self, fault: RequestError) -> RequestError {
        match NotRunProof::from_attempts(&fault) {
            Some(proof) => {
                let (token, release) = self.running.take_back(proof).release();
                self.claims.release(release, &self.key);
                let outcome = token.refuse::<()>(fault.kind, fault.message.clone());
                outcome.into_result().err().map_or(fault.clone(), |f| RequestError { kind: f.kind, ..fault })
            }
            None => {
                let (_, finish) = self.running.finish(Record::Unknown);
                self.claims.finish(finish, &self.key);
                fault
            }
        }
    }

    /// Streams the answer on and records it. The answer is read to its end also when the caller has gone away:
    /// they come again with the key, and shall find what became of the run.
    pub(in crate::gateway) fn relay(self, started: Started, entered: Entered) -> Reply {
        let Started { res, found, run, attempts, .. } = started;
        let (tx, rx) = body_channel(STREAM_DEPTH);
        let status = res.status().as_u16();
        let content_type =
            header(res.headers(), "content-type").unwrap_or("application/octet-stream").to_owned();
        let mut answered =
            StoredResponse { status, content_type: content_type.clone(), body: Some(Vec::new()) };
        tokio::spawn(async move {
            let _held = (found, entered);
            let mut body = res.into_body();
            loop {
                let frame = match tokio::time::timeout(STALL, body.frame()).await {
                    Ok(None) => break,
                    Ok(Some(Ok(frame))) => frame,
                    Ok(Some(Err(_))) | Err(_) => {
                        drop(tx);
                        self.record(Record::Unknown);
                        return run.broke().await;
                    }
                };
                let data = frame.into_data().unwrap_or_default();
                keep(&mut answered, &data);
                let _ = tx.send(data).await;
            }
            self.record(Record::Completed(answered));
            run.complete();
            tx.finish().await;
        });
        Reply::stream(status, rx)
            .with_header("content-type", &content_type)
            .with_header("x-outcome", "ran")
            .with_header("x-attempt", &attempts.to_string())
    }

    fn record(self, record: Record) {
        let (_, finish) = self.running.finish(record);
        self.claims.finish(finish, &self.key);
    }
}

/// Keeps the body as long as it is small enough.
fn keep(answered: &mut StoredResponse, data: &[u8]) {
    if let Some(body) = &mut answered.body {
        body.extend_from_slice(data);
        if body.len() > MAX_KEPT_BODY_BYTES {
            answered.body = None;
        }
    }
}
