//! Sends one call within the rate of its class and counts what became of it.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::{
    Platform,
    calls::{Class, Outcome},
};
use crate::{client::Failure, util::now};

/// Longest wait for our own rate limit before a call fails.
const PATIENCE: Duration = Duration::from_secs(2);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_LIST: usize = 64 << 20;

pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// No byte of the call can have reached the platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct NotSent;

impl std::fmt::Display for NotSent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the call was not sent")
    }
}

impl std::error::Error for NotSent {}

impl Platform {
    pub(super) async fn call(
        &self,
        class: Class,
        method: Method,
        url: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer> {
        let work = async {
            let res = self.send(class, method, url, body, timeout).await?;
            let status = res.status().as_u16();
            let body = Limited::new(res.into_body(), MAX_LIST).collect().await;
            let body = body.map_err(|e| anyhow::anyhow!("could not read the answer: {e}"))?.to_bytes();
            Ok(Answer { status, body })
        };
        match tokio::time::timeout(timeout + PATIENCE, work).await {
            Ok(answer) => answer,
            Err(_) => bail!("no answer from the platform in time"),
        }
    }

    pub(super) async fn send(
        &self,
        class: Class,
        method: Method,
        url: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        self.admit(class).await?;
        let req = Request::builder()
            .method(method)
            .uri(url)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .context(NotSent)?;
        let res = match tokio::time::timeout(timeout, self.client.send(req)).await {
            Ok(Ok(res)) => res,
            Ok(Err(Failure::Connect)) => {
                self.counts.add(class, Outcome::Failed);
                return Err(anyhow::Error::new(NotSent).context("could not reach the platform"));
            }
            Ok(Err(Failure::Broken)) => {
                self.counts.add(class, Outcome::Failed);
                bail!("the platform broke the connection");
            }
            Err(_) => {
                self.counts.add(class, Outcome::Failed);
                bail!("no answer from the platform in time");
            }
        };
        self.note(class, &res);
        Ok(res)
    }

    /// Waits until the class may make one call.
    async fn admit(&self, class: Class) -> Result<()> {
        let start = now();
        loop {
            let Err(wait) = self.limiter().take(now(), class) else { return Ok(()) };
            if now() + wait > start + PATIENCE {
                self.counts.add(class, Outcome::LimitedByClient);
                return Err(anyhow::Error::new(NotSent).context("our own rate limit held the call back"));
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn note(&self, class: Class, res: &Response<Incoming>) {
        let outcome = match res.status().as_u16() {
            409 => Outcome::Conflict,
            429 => Outcome::LimitedByServer,
            500.. => Outcome::Failed,
            _ => Outcome::Answered,
        };
        self.counts.add(class, outcome);
        if outcome == Outcome::LimitedByServer {
            let asked = res.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            let wait = asked.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs);
            self.limiter().pause(now(), class, wait);
        }
    }
}
