//! Watch on a collection: a response stream with one JSON event per line.

use std::{sync::Arc, time::Duration};

use anyhow::{Result, bail};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{Event, decode::Decoder};

const MAX_EVENT_BYTES: usize = 4 << 20;

/// Open watch.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buf: BytesMut,
    decoder: Arc<Decoder>,
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
    pub(super) fn new(body: Incoming, decoder: Arc<Decoder>) -> Self {
        Self { body, buf: BytesMut::new(), decoder }
    }

    /// Returns the next event; `None` if the watch has ended. An unreadable object has a null spec, and an event that does
    /// not tell which object has changed is skipped.
    ///
    /// # Errors
    /// If an event is too long.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(at) = self.buf.iter().position(|&b| b == b'\n') {
                let line = self.buf.split_to(at + 1);
                // Opened again, the watch would begin with the same event.
                let Some(event) = self.decoder.event(&line) else { continue };
                return Ok(Some(event));
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
    /// If an event is too long.
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
