//! The connection to the store, which carries one call at a time.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;

use super::StoreError;
use crate::relay::pool::Conn;

/// Timeout of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to the store that is opened with the first call and kept while calls succeed.
#[derive(Debug)]
pub struct StoreConnection {
    addr: SocketAddr,
    conn: Option<Conn>,
}

impl StoreConnection {
    /// Creates a connection to the store at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, conn: None }
    }

    /// Creates another connection to the same store.
    pub fn sibling(&self) -> Self {
        Self::new(self.addr)
    }

    /// Sends a request, with a JSON body unless that is empty, and waits for the head of the response. The connection is not
    /// used again unless it is kept.
    ///
    /// # Errors
    /// If no connection could be established, or it failed.
    pub async fn send(
        &mut self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(Conn, Response<Incoming>), StoreError> {
        let mut conn = match self.conn.take().filter(Conn::is_usable) {
            Some(conn) => conn,
            None => {
                let connected = Conn::connect_with_keepalive(self.addr, CONNECT_TIMEOUT).await;
                connected.map_err(|_| StoreError::Unavailable("could not connect to the store".into()))?
            }
        };
        let res = conn.send(self.request(method, target, body)).await;
        let res = res.map_err(|(failure, _)| StoreError::Unavailable(failure.as_str().into()))?;
        Ok((conn, res))
    }

    /// Keeps the connection of a call whose response was read.
    pub fn keep(&mut self, conn: Conn) {
        self.conn = Some(conn);
    }

    fn request(&self, method: Method, target: &str, body: Bytes) -> Request<Full<Bytes>> {
        let written = !body.is_empty();
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = target.parse().unwrap_or_default();
        if let Ok(host) = HeaderValue::from_str(&self.addr.to_string()) {
            req.headers_mut().insert(header::HOST, host);
        }
        if written {
            req.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        req
    }
}
