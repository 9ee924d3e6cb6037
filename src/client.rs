//! HTTP out, by hyper-util.

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
const MAX_BODY: usize = 16 << 20;

/// Pooled HTTP client.
#[derive(Clone, Debug)]
pub struct Client(Pool<HttpConnector, Full<Bytes>>);

/// Why no response came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made, so no byte of the request was sent.
    Connect,
    /// The connection broke after the request may have been sent.
    Broken,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // A pooled connection that the server closes at the same moment would make the library send the
        // request again by itself; a request must never be sent twice without a decision of ours.
        Self(Pool::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector))
    }
}

impl Client {
    /// Sends a request and waits for the response's head.
    ///
    /// # Errors
    /// [`Failure::Connect`] only where no byte can have been sent.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        self.0.request(req).await.map_err(|e| if e.is_connect() { Failure::Connect } else { Failure::Broken })
    }

    /// Sends `body` as JSON and reads the whole response.
    ///
    /// # Errors
    /// When no response came in `timeout`, or a body that is too long or no JSON.
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
            let body = Limited::new(res.into_body(), MAX_BODY).collect().await;
            let body = body.map_err(|e| anyhow::anyhow!("could not read the response: {e}"))?.to_bytes();
            let value = if body.is_empty() {
                serde_json::Value::Null
            } else {
                serde_json::from_slice(&body).context("could not parse the response")?
            };
            Ok((status, value))
        };
        tokio::time::timeout(timeout, work).await.with_context(|| format!("no answer from {url} in time"))?
    }
}
