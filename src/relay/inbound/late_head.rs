//! The refusal of a request whose head takes too long. The HTTP library would close the connection without an answer.

use std::{io, time::Duration};

use http::Response;
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::relay::answer::AnswerBody;

/// How long to wait for the caller to take the refusal and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for bytes of the head that arrive late and are dropped.
const DROPPED_BYTES: usize = 1 << 10;

/// Writes the refusal and closes the connection.
///
/// # Errors
/// If the connection breaks or the caller takes too long.
pub(super) async fn refuse(stream: TcpStream, refusal: Response<AnswerBody>) -> io::Result<()> {
    timeout(CLOSE_TIMEOUT, write_and_close(stream, refusal)).await?
}

async fn write_and_close(mut stream: TcpStream, refusal: Response<AnswerBody>) -> io::Result<()> {
    let (head, body) = refusal.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let status = head.status;
    let mut message = format!("HTTP/1.1 {} {}\r\n", status.as_u16(), status.canonical_reason().unwrap_or(""));
    for (name, value) in &head.headers {
        message += &format!("{name}: {}\r\n", String::from_utf8_lossy(value.as_bytes()));
    }
    message += &format!("connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(message.as_bytes()).await?;
    stream.write_all(&body).await?;
    stream.shutdown().await?;
    // A socket that is closed with unread bytes is reset, and the caller could lose the refusal.
    let mut dropped = [0; DROPPED_BYTES];
    while stream.read(&mut dropped).await? > 0 {}
    Ok(())
}
