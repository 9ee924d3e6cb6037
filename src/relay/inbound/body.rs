//! Reads the body of a caller's request.

use std::{error::Error, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::{Instant, timeout, timeout_at};

use crate::error::ErrorKind;

/// What a body may take.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub max_bytes: usize,
    /// Maximum time for the whole body.
    pub time: Duration,
    /// Maximum time without progress.
    pub stall: Duration,
}

/// Reads a body. While it makes progress, only the time for the whole body ends it.
///
/// # Errors
/// If it is too large, takes too long or breaks off.
pub async fn read(
    body: impl Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>,
    limits: BodyLimits,
) -> Result<Bytes, ErrorKind> {
    let deadline = Instant::now() + limits.time;
    let mut body = std::pin::pin!(Limited::new(body, limits.max_bytes));
    let mut buf = BytesMut::new();
    loop {
        let next = timeout_at(deadline, timeout(limits.stall, body.frame())).await;
        let Ok(Ok(frame)) = next else { return Err(ErrorKind::BodyTimeout) };
        match frame {
            Some(Ok(frame)) => buf.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(e)) if e.is::<LengthLimitError>() => return Err(ErrorKind::BodyTooLarge),
            Some(Err(_)) => return Err(ErrorKind::BadRequest),
            None => return Ok(buf.freeze()),
        }
    }
}
