//! Sends calls to the platform within the rate limit of their class and counts their outcomes.

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

/// Maximum time that a call waits for this client's rate limit before it fails.
const MAX_RATE_LIMIT_WAIT: Duration = Duration::from_secs(2);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

pub(super) struct BufferedResponse {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Error context of a call of which no byte can have reached the platform.
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
    ) -> Result<BufferedResponse> {
        let work = async {
            let res = self.send(class, method, url, body, timeout).await?;
            let status = res.status().as_u16();
            let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| anyhow::anyhow!("could not read the response: {e}"))?.to_bytes();
            Ok(BufferedResponse { status, body })
        };
        match tokio::time::timeout(timeout + MAX_RATE_LIMIT_WAIT, work).await {
            Ok(answer) => answer,
            Err(_) => bail!("the platform did not respond before the timeout"),
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
        self.wait_for_rate_limit(class).await?;
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
                bail!("the connection to the platform broke");
            }
            Err(_) => {
                self.counts.add(class, Outcome::Failed);
                bail!("the platform did not respond before the timeout");
            }
        };
        self.record_outcome(class, &res);
        Ok(res)
    }

    /// Waits until the rate limit of the class permits a call.
    async fn wait_for_rate_limit(&self, class: Class) -> Result<()> {
        let start = now();
        loop {
            let Err(wait) = self.limiter().take(now(), class) else { return Ok(()) };
            if now() + wait > start + MAX_RATE_LIMIT_WAIT {
                self.counts.add(class, Outcome::LimitedByClient);
                return Err(anyhow::Error::new(NotSent).context("the client's rate limit prevented the call"));
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn record_outcome(&self, class: Class, res: &Response<Incoming>) {
        let outcome = match res.status().as_u16() {
            409 => Outcome::Conflict,
            429 => Outcome::LimitedByServer,
            500.. => Outcome::Failed,
            _ => Outcome::Answered,
        };
        self.counts.add(class, outcome);
        if outcome == Outcome::LimitedByServer {
            let requested = res.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            let wait = requested.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs);
            self.limiter().pause(now(), class, wait);
        }
    }
}
