//! The answers that a stand-in engine keeps, and the connections that read them.

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

const DEPTH: usize = 4;
const EACH: u64 = 3;

/// One answer, made over time and kept for connections that resume it.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    request: Arc<str>,
    events: Arc<Vec<String>>,
    made: watch::Receiver<Offset>,
}

/// Makes an answer; dropping it ends the answer for those that read it.
pub(super) struct Maker {
    made: watch::Sender<Offset>,
    last: Offset,
}

impl Answer {
    /// Answer of `tokens` events and the final marker.
    pub(super) fn start(request: &str, chat: &str, tokens: usize) -> (Self, Maker) {
        let mut events: Vec<_> = (0..tokens).map(|i| event(request, chat, i)).collect();
        events.push(DONE.to_owned());
        let (tx, rx) = watch::channel(0);
        let last = events.len() as Offset;
        (Self { request: request.into(), events: Arc::new(events), made: rx }, Maker { made: tx, last })
    }

    /// Sends the events from `from` on over a new connection.
    pub(super) fn connect(
        &self,
        from: Offset,
        faults: Faults,
        crashed: watch::Receiver<u64>,
        count: Arc<AtomicU64>,
    ) -> BodyReceiver {
        let (tx, rx) = body_channel(DEPTH);
        let conn = Connection { answer: self.clone(), faults, crashed, tx, sent: 0, count };
        tokio::spawn(conn.run(from));
        rx
    }
}

fn event(request: &str, chat: &str, i: usize) -> String {
    let content = format!("{chat}:{i} ");
    serde_json::json!({ "id": request, "choices": [{ "delta": { "content": content } }] }).to_string()
}

impl Maker {
    /// Makes one event every `pause`, until the last.
    pub(super) async fn run(&self, late: Duration, pause: Duration) {
        tokio::time::sleep(late).await;
        for made in 1..=self.last {
            if made < self.last {
                // The timer rounds up to a millisecond; no pause means none.
                if !pause.is_zero() {
                    tokio::time::sleep(pause).await;
                }
            }
            self.made.send_replace(made);
        }
    }
}

struct Connection {
    answer: Answer,
    faults: Faults,
    crashed: watch::Receiver<u64>,
    tx: BodySender,
    sent: u64,
    count: Arc<AtomicU64>,
}

/// Why a connection is over before the last event.
enum Over {
    /// It breaks.
    Cut,
    /// It ends in the ordinary way, but too early.
    Ended,
}

impl Connection {
    async fn run(mut self, from: Offset) {
        match self.send_all(from).await {
            Ok(()) | Err(Over::Ended) => self.tx.finish().await,
            Err(Over::Cut) => {}
        }
    }

    async fn send_all(&mut self, from: Offset) -> Result<(), Over> {
        for offset in from..self.answer.events.len() as Offset {
            self.wait(offset).await?;
            self.send(offset).await?;
        }
        Ok(())
    }

    /// Waits until the event is made; fails when the answer was cancelled or the engine crashed.
    async fn wait(&mut self, offset: Offset) -> Result<(), Over> {
        let made = self.answer.made.wait_for(|made| *made > offset);
        tokio::select! {
            made = made => made.map(drop).map_err(|_| Over::Cut),
            _ = self.crashed.changed() => Err(Over::Cut),
        }
    }

    async fn send(&mut self, offset: Offset) -> Result<(), Over> {
        if self.faults.end_after == Some(self.sent) {
            return Err(Over::Ended);
        }
        if self.faults.cut_after == Some(self.sent) {
            return Err(Over::Cut);
        }
        if self.faults.stall_after == Some(self.sent) {
            self.tx.closed().await;
            return Err(Over::Cut);
        }
        self.sent += 1;
        let third = offset % EACH == EACH - 1;
        let data = &self.answer.events[offset as usize];
        let id = EventId { request: self.answer.request.clone(), offset };
        if third && self.faults.cross {
            let other = EventId { request: "another-request".into(), offset };
            self.put(&other, &event("another-request", "another-chat", offset as usize)).await?;
        }
        if third && self.faults.skip {
            return Ok(());
        }
        self.put(&id, data).await?;
        if third && self.faults.repeat {
            self.put(&id, data).await?;
        }
        Ok(())
    }

    async fn put(&self, id: &EventId, data: &str) -> Result<(), Over> {
        let bytes = Sse::default().id(id.to_string()).data(data).encode().unwrap_or_else(|_| Bytes::new());
        self.tx.send(bytes).await.map_err(|_| Over::Cut)?;
        self.count.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}
