//! The refusal of a request that has not arrived completely. The HTTP library would close the connection without an answer.

use std::{io, time::Duration};

use http::Response;
use http_body_util::BodyExt;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

use crate::relay::answer::AnswerBody;

/// Timeout for writing the refusal.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes the refusal as the last answer of a connection.
///
/// # Errors
/// If the connection breaks or the caller takes too long.
pub(super) async fn refuse(stream: &mut TcpStream, refusal: Response<AnswerBody>) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, write(stream, refusal)).await?
}

async fn write(stream: &mut TcpStream, refusal: Response<AnswerBody>) -> io::Result<()> {
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
    stream.shutdown().await
}
