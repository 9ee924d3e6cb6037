//! Reads the body of a caller's request.

use std::{error::Error, time::Duration};

use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    bodies::{BodyRoom, PROGRESS_BYTES},
    error::ErrorKind,
    util::now,
};

/// Smallest buffer for a body whose length is not stated, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

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

/// Reads a body, of a stated length if there is one. While it makes progress, only the time for the whole body ends it,
/// and the want of room for its bytes.
///
/// # Errors
/// If it is too large, takes too long, breaks off, or finds no room.
pub async fn read(
    body: impl Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>,
    length: Option<usize>,
    limits: BodyLimits,
    mut room: BodyRoom,
) -> Result<Bytes, ErrorKind> {
    let deadline = Instant::now() + limits.time;
    let mut body = std::pin::pin!(Limited::new(body, limits.max_bytes));
    let mut buf = Vec::new();
    extend(&mut buf, length.unwrap_or(0), &mut room)?;
    let mut next_progress = PROGRESS_BYTES;
    loop {
        let next = timeout_at(deadline, timeout(limits.stall, body.frame()));
        let next = tokio::select! {
            biased;
            () = room.given_way() => return Err(ErrorKind::NoRoom),
            next = next => next,
        };
        let Ok(Ok(frame)) = next else { return Err(ErrorKind::BodyTimeout) };
        let frame = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(e)) if e.is::<LengthLimitError>() => return Err(ErrorKind::BodyTooLarge),
            Some(Err(_)) => return Err(ErrorKind::BadRequest),
            None => return room.hold(buf).ok_or(ErrorKind::NoRoom),
        };
        if buf.len() + frame.len() > buf.capacity() {
            let doubled = (buf.len() + frame.len()).next_power_of_two().max(MIN_BUFFER_BYTES);
            extend(&mut buf, doubled.min(limits.max_bytes), &mut room)?;
        }
        buf.extend_from_slice(&frame);
        if buf.len() >= next_progress {
            next_progress = buf.len() + PROGRESS_BYTES;
            room.progress(now());
        }
    }
}

/// Extends a buffer to this capacity if there is room for it.
fn extend(buf: &mut Vec<u8>, capacity: usize, room: &mut BodyRoom) -> Result<(), ErrorKind> {
    if capacity == 0 {
        return Ok(());
    }
    if !room.extend_to(capacity, now()) {
        return Err(ErrorKind::NoRoom);
    }
    buf.reserve_exact(capacity - buf.len());
    Ok(())
}

/// Reads the body of a request that is refused, and drops it. Returns whether it was complete, so that the connection can
/// carry another request.
pub async fn drop_rest(
    body: impl Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>,
    max_bytes: usize,
    time: Duration,
) -> bool {
    let mut body = std::pin::pin!(Limited::new(body, max_bytes));
    let dropping = async {
        loop {
            match body.frame().await {
                Some(Ok(_)) => {}
                Some(Err(_)) => return false,
                None => return true,
            }
        }
    };
    timeout(time, dropping).await.unwrap_or(false)
}
