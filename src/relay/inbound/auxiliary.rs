//! Serves connections to the auxiliary endpoints: addresses for callers, readiness and metrics.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{accept_all, admit, head_timer::HeadTimer};
use crate::{
    relay::{Relay, Wire, connections::Connection, pool},
    schema::fleet::CallerLimits,
};

/// Kind of peer in log lines.
const KIND: &str = "an auxiliary connection";
/// Limits of requests and of idle connections.
const LIMITS: CallerLimits =
    CallerLimits { head_bytes: BUFFER_BYTES as u32, body_bytes: 0, head_ms: 10_000, idle_ms: 10_000 };
/// Receive buffer, and maximum size of the other buffers, of a connection, in bytes.
const BUFFER_BYTES: usize = 24 << 10;

/// Answers the requests to one endpoint with `respond`.
pub(crate) async fn serve<W: Wire>(
    relay: Arc<Relay<W>>,
    listener: TcpListener,
    respond: impl Fn(&Relay<W>, &Request<Incoming>) -> Response<Full<Bytes>> + Copy + Send + Sync + 'static,
) {
    accept_all(listener, KIND, |stream, _| {
        let timer = HeadTimer::new(|| LIMITS);
        let Some(admitted) = admit(&relay, &relay.auxiliary, KIND, &timer) else { return };
        let relay = relay.clone();
        tokio::spawn(async move {
            serve_connection(stream, &timer, &admitted, |req| respond(&relay, req)).await;
        });
    })
    .await;
}

async fn serve_connection(
    stream: TcpStream,
    timer: &HeadTimer,
    admitted: &Connection,
    respond: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>>,
) {
    pool::limit_receive_buffer(&stream, BUFFER_BYTES);
    let service = service_fn(|req| {
        let res = respond(&req);
        async move { Ok::<_, Infallible>(res) }
    });
    let conn = http1::Builder::new()
        .timer(timer.clone())
        .header_read_timeout(Duration::from_millis(LIMITS.idle_ms.into()))
        .max_buf_size(BUFFER_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(timer.observe(stream)), service);
    tokio::select! {
        result = conn => {
            if let Err(e) = result {
                spdlog::debug!("auxiliary connection failed: {e}");
            }
        }
        () = admitted.given_way(timer.wait()) => {}
    }
}
