//! HTTP client based on hyper-util.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct Client(Pool<HttpConnector, Full<Bytes>>);

/// Failure of a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established, so no byte of the request was sent.
    Connect,
    /// The connection broke after the request may have been sent.
    Broken,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // If the server closes a pooled connection while a request is being sent, the library would retry by itself.
        // Only the retry policy may decide that a request is sent twice.
        Self(Pool::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector))
    }
}

impl Client {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`Failure::Connect`] only if no byte can have been sent.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        self.0.request(req).await.map_err(|e| if e.is_connect() { Failure::Connect } else { Failure::Broken })
    }

    /// Sends `body` as JSON; returns the status and the JSON body of the response.
    ///
    /// # Errors
    /// If the response is not complete within `timeout`, or its body is too long or not JSON.
    pub async fn json(
        &self,
        method: Method,
        url: &str,
        body: Option<&serde_json::Value>,
        timeout: Duration,
    ) -> Result<(u16, serde_json::Value)> {
        let bytes = body.map(serde_json::to_vec).transpose()?.unwrap_or_default();
        let mut req = Request::builder().method(method).uri(url);
        if body.is_some() {
            req = req.header("content-type", "application/json");
        }
        let req = req.body(Full::new(Bytes::from(bytes))).context("could not build the request")?;
        let work = async {
            let res = match self.send(req).await {
                Ok(res) => res,
                Err(e) => bail!("could not reach {url}: {e:?}"),
            };
            let status = res.status().as_u16();
            let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| anyhow::anyhow!("could not read the response: {e}"))?.to_bytes();
            let value = if body.is_empty() {
                serde_json::Value::Null
            } else {
                serde_json::from_slice(&body).context("could not parse the response")?
            };
            Ok((status, value))
        };
        tokio::time::timeout(timeout, work).await.with_context(|| format!("request to {url} timed out"))?
    }
}
