//! The end of a caller's connection that this host closes first.

use std::time::Duration;

use tokio::{io::AsyncReadExt, net::TcpStream, time::timeout};

/// How long to wait for the caller to close the connection too.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for bytes that are dropped.
const DROPPED_BYTES: usize = 1 << 10;

/// Closes a connection whose last answer is written. A socket that is closed with unread bytes is reset, and the caller could
/// lose that answer; so what still arrives is read and dropped until the caller has closed the connection, or for a second.
pub(super) async fn close(mut stream: TcpStream) {
    let mut dropped = [0; DROPPED_BYTES];
    let reading = async { while stream.read(&mut dropped).await.is_ok_and(|bytes| bytes > 0) {} };
    if timeout(CLOSE_TIMEOUT, reading).await.is_err() {
        spdlog::debug!("a caller did not close its connection in time");
    }
}
