//! An open watch on a collection: one JSON event a line.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Event;

const MAX_LINE: usize = 4 << 20;

/// An open watch.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buf: BytesMut,
}

/// What opening a watch gave.
#[derive(Debug)]
pub enum OpenedWatch {
    /// Changes follow.
    Open(Watch),
    /// The platform no longer has the changes since that version; list again.
    Expired,
}

/// What an open watch gave.
#[derive(Clone, Debug, PartialEq)]
pub enum NextEvent {
    /// A change.
    Changed(Event),
    /// It has ended.
    Ended,
    /// Nothing came in the time given.
    Idle,
}

impl Watch {
    pub(super) fn new(body: Incoming) -> Self {
        Self { body, buf: BytesMut::new() }
    }

    /// Next change; `None` when the watch has ended.
    ///
    /// # Errors
    /// When a line can't be parsed.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(at) = self.buf.iter().position(|&b| b == b'\n') {
                let line = self.buf.split_to(at + 1);
                return Ok(Some(serde_json::from_slice(&line).context("could not parse an event")?));
            }
            if self.buf.len() > MAX_LINE {
                bail!("an event is longer than {MAX_LINE} bytes");
            }
            let Some(Ok(frame)) = self.body.frame().await else { return Ok(None) };
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }

    /// Next change within `idle`.
    ///
    /// A watch whose connection died without a packet, or which the platform has forgotten, would otherwise wait for ever.
    ///
    /// # Errors
    /// When a line can't be parsed.
    pub async fn next_within(&mut self, idle: Duration) -> Result<NextEvent> {
        let next = tokio::time::timeout(idle, self.next()).await;
        Ok(match next {
            Ok(next) => next?.map_or(NextEvent::Ended, NextEvent::Changed),
            Err(_) => NextEvent::Idle,
        })
    }

    /// Ends the watch.
    pub fn close(self) {}
}
