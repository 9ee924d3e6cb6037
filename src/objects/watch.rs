//! Watch on a collection: a response stream with one JSON event per line.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Event;

const MAX_EVENT_BYTES: usize = 4 << 20;

/// Open watch.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buf: BytesMut,
}

/// Result of opening a watch.
#[derive(Debug)]
pub enum OpenedWatch {
    /// The watch is open and reports changes.
    Open(Watch),
    /// The platform no longer has the changes since that version; the collection must be listed again.
    Expired,
}

/// Result of waiting for an event of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum NextEvent {
    /// A change.
    Changed(Event),
    /// The platform or the connection ended the watch.
    Ended,
    /// No event was received before the timeout.
    Idle,
}

impl Watch {
    pub(super) fn new(body: Incoming) -> Self {
        Self { body, buf: BytesMut::new() }
    }

    /// Returns the next event; `None` if the watch has ended.
    ///
    /// # Errors
    /// If an event is invalid or too long.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(at) = self.buf.iter().position(|&b| b == b'\n') {
                let line = self.buf.split_to(at + 1);
                return Ok(Some(serde_json::from_slice(&line).context("could not parse an event")?));
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                bail!("an event is longer than {MAX_EVENT_BYTES} bytes");
            }
            let Some(Ok(frame)) = self.body.frame().await else { return Ok(None) };
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }

    /// Waits at most `idle` for the next event.
    ///
    /// Without this timeout, a watch would wait forever if its connection died without a packet or the platform lost
    /// it.
    ///
    /// # Errors
    /// If an event is invalid or too long.
    pub async fn next_within(&mut self, idle: Duration) -> Result<NextEvent> {
        let next = tokio::time::timeout(idle, self.next()).await;
        Ok(match next {
            Ok(next) => next?.map_or(NextEvent::Ended, NextEvent::Changed),
            Err(_) => NextEvent::Idle,
        })
    }

    /// Closes the watch.
    pub fn close(self) {}
}
