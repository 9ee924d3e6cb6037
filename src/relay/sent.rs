//! A request at a backend server whose answer has not begun.
//!
//! A request may be given up for another reason while its server has crashed under it: its caller has left, its deadline has
//! passed, or another attempt has won. A host that is short of processor time notices both at once, and would never learn of
//! the crash if it closed the connection unread. So what has arrived on the connection is read before it is closed.

use std::{pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Request as Message, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{runtime::Handle, task::yield_now, time::timeout};

use super::{
    Relay, Wire,
    attempt::Failed,
    attempts::Failure,
    backends::BackendKey,
    pool::{Conn, SendResult},
    request::Request,
    run::examine_break,
};
use crate::util::Instant;

type Head = Pin<Box<dyn Future<Output = SendResult> + Send>>;

/// A request that was sent to a backend server. Dropping it closes the connection once what has arrived on it is read.
pub(crate) struct Sent<W: Wire> {
    relay: Arc<Relay<W>>,
    req: Arc<Request>,
    key: BackendKey,
    at: Instant,
    /// `None` once the head has arrived or the request has failed.
    pending: Option<(Conn, Head)>,
}

impl<W: Wire> Sent<W> {
    /// Sends a request over a connection. The attempt began at `at`.
    pub(crate) fn new(
        relay: &Arc<Relay<W>>,
        req: &Arc<Request>,
        key: BackendKey,
        at: Instant,
        mut conn: Conn,
        message: Message<Full<Bytes>>,
    ) -> Self {
        let head: Head = Box::pin(conn.send(message));
        Self { relay: relay.clone(), req: req.clone(), key, at, pending: Some((conn, head)) }
    }

    /// Waits for the head of the answer, and returns it with the connection.
    pub(crate) async fn head(mut self, time_left: Duration) -> (Conn, Result<Response<Incoming>, Failure>) {
        let (_, head) = self.pending.as_mut().expect("the head is awaited once");
        let result = match timeout(time_left, head.as_mut()).await {
            Ok(result) => Some(result),
            Err(_) => read_arrived(head).await,
        };
        let (conn, _) = self.pending.take().expect("the head is awaited once");
        (conn, result.map_or(Err(Failure::Late), |result| result.map_err(|(failure, _)| failure)))
    }
}

impl<W: Wire> Drop for Sent<W> {
    fn drop(&mut self) {
        let Some((conn, mut head)) = self.pending.take() else { return };
        let Ok(runtime) = Handle::try_current() else { return };
        let (relay, req, key, sent) = (self.relay.clone(), self.req.clone(), self.key, self.at);
        runtime.spawn(async move {
            let result = read_arrived(&mut head).await;
            conn.close();
            if let Some(Err((failure @ Failure::Broken, _))) = result {
                let failed =
                    Failed { failure, key, sent, carrier: None, may_have_crashed: true, has_event: false };
                examine_break(&relay, &req, failed).await;
            }
        });
    }
}

/// Lets the connection read what has arrived; returns the head or the failure if that brings it.
async fn read_arrived(head: &mut Head) -> Option<SendResult> {
    yield_now().await;
    head.now_or_never()
}
