//! Answers that a stand-in engine keeps for resumption, and the connections that stream them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use sse_stream::Sse;
use tokio::sync::watch;

use super::Faults;
use crate::{
    http::{BodyReceiver, BodySender, body_channel},
    stream::{DONE, EventId, Offset},
};

/// Capacity of a connection's body channel, in events.
const CHANNEL_CAPACITY: usize = 4;
/// The faults `cross`, `skip` and `repeat` affect one event out of this many.
const FAULT_INTERVAL: u64 = 3;

/// Answer that is produced over time and kept for connections that resume it.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    request: Arc<str>,
    events: Arc<Vec<String>>,
    produced: watch::Receiver<Offset>,
}

/// Producer of an answer; dropping it breaks the connections that still wait for events.
pub(super) struct Producer {
    produced: watch::Sender<Offset>,
    total: Offset,
}

impl Answer {
    /// Creates an answer of `token_count` events and the final marker, and its producer.
    pub(super) fn start(request: &str, chat: &str, token_count: usize) -> (Self, Producer) {
        let mut events: Vec<_> = (0..token_count).map(|i| event(request, chat, i)).collect();
        events.push(DONE.to_owned());
        let (tx, rx) = watch::channel(0);
        let total = events.len() as Offset;
        (
            Self { request: request.into(), events: Arc::new(events), produced: rx },
            Producer { produced: tx, total },
        )
    }

    /// Opens a connection that sends the events from the offset `from`.
    pub(super) fn connect(
        &self,
        from: Offset,
        faults: Faults,
        crashed: watch::Receiver<u64>,
        total_sent: Arc<AtomicU64>,
    ) -> BodyReceiver {
        let (tx, rx) = body_channel(CHANNEL_CAPACITY);
        let conn = Connection { answer: self.clone(), faults, crashed, tx, sent: 0, total_sent };
        tokio::spawn(conn.run(from));
        rx
    }
}

fn event(request: &str, chat: &str, i: usize) -> String {
    let content = format!("{chat}:{i} ");
    serde_json::json!({ "id": request, "choices": [{ "delta": { "content": content } }] }).to_string()
}

impl Producer {
    /// Produces one event every `interval` after `delay`; the final marker follows the last token at once.
    pub(super) async fn run(&self, delay: Duration, interval: Duration) {
        tokio::time::sleep(delay).await;
        for produced in 1..=self.total {
            if produced < self.total {
                // The timer rounds up to a millisecond, so a zero interval must not sleep at all.
                if !interval.is_zero() {
                    tokio::time::sleep(interval).await;
                }
            }
            self.produced.send_replace(produced);
        }
    }
}

struct Connection {
    answer: Answer,
    faults: Faults,
    crashed: watch::Receiver<u64>,
    tx: BodySender,
    /// Events of the answer sent on this connection.
    sent: u64,
    /// Events sent on all connections of the engine.
    total_sent: Arc<AtomicU64>,
}

/// Reason for ending a connection before the last event.
enum EarlyEnd {
    /// The connection breaks.
    Broken,
    /// The body ends properly, but too early.
    Truncated,
}

impl Connection {
    async fn run(mut self, from: Offset) {
        match self.send_from(from).await {
            Ok(()) | Err(EarlyEnd::Truncated) => self.tx.finish().await,
            Err(EarlyEnd::Broken) => {}
        }
    }

    async fn send_from(&mut self, from: Offset) -> Result<(), EarlyEnd> {
        for offset in from..self.answer.events.len() as Offset {
            self.wait_until_produced(offset).await?;
            self.send_with_faults(offset).await?;
        }
        Ok(())
    }

    /// Waits until the event is produced; fails if the answer was cancelled or the engine crashed.
    async fn wait_until_produced(&mut self, offset: Offset) -> Result<(), EarlyEnd> {
        let produced = self.answer.produced.wait_for(|produced| *produced > offset);
        tokio::select! {
            produced = produced => produced.map(drop).map_err(|_| EarlyEnd::Broken),
            _ = self.crashed.changed() => Err(EarlyEnd::Broken),
        }
    }

    async fn send_with_faults(&mut self, offset: Offset) -> Result<(), EarlyEnd> {
        if self.faults.end_after == Some(self.sent) {
            return Err(EarlyEnd::Truncated);
        }
        if self.faults.cut_after == Some(self.sent) {
            return Err(EarlyEnd::Broken);
        }
        if self.faults.stall_after == Some(self.sent) {
            self.tx.closed().await;
            return Err(EarlyEnd::Broken);
        }
        self.sent += 1;
        let is_affected = offset % FAULT_INTERVAL == FAULT_INTERVAL - 1;
        let data = &self.answer.events[offset as usize];
        let id = EventId { request: self.answer.request.clone(), offset };
        if is_affected && self.faults.cross {
            let other = EventId { request: "another-request".into(), offset };
            self.send_event(&other, &event("another-request", "another-chat", offset as usize)).await?;
        }
        if is_affected && self.faults.skip {
            return Ok(());
        }
        self.send_event(&id, data).await?;
        if is_affected && self.faults.repeat {
            self.send_event(&id, data).await?;
        }
        Ok(())
    }

    async fn send_event(&self, id: &EventId, data: &str) -> Result<(), EarlyEnd> {
        let bytes = Sse::default().id(id.to_string()).data(data).encode().unwrap_or_else(|_| Bytes::new());
        self.tx.send(bytes).await.map_err(|_| EarlyEnd::Broken)?;
        self.total_sent.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}
