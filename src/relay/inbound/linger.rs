//! The end of a caller's connection that this host closes first.

use std::time::Duration;

use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

/// How long to wait for bytes, or for the caller to close the connection too.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for what the caller still sends.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the buffer for bytes that are dropped.
const DROPPED_BYTES: usize = 4 << 10;

/// Closes a connection whose last answer is written. A socket that is closed with unread bytes is reset, and the caller could
/// lose that answer; so at most `max_bytes` of what still arrives are read and dropped until the caller has closed the
/// connection or falls silent.
pub(super) async fn close(mut stream: TcpStream, max_bytes: usize) {
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    let mut buf = vec![0; DROPPED_BYTES];
    let mut dropped = 0;
    while dropped < max_bytes {
        let reading = timeout(SILENCE_TIMEOUT, stream.read(&mut buf));
        match timeout_at(deadline, reading).await {
            Ok(Ok(Ok(0) | Err(_))) => return,
            Ok(Ok(Ok(bytes))) => dropped += bytes,
            Ok(Err(_)) | Err(_) => break,
        }
    }
    spdlog::debug!("a caller did not close its connection in time");
}
