//! Stand-in for the platform's object API, which can be told to fail.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use http::{Method, Request};
use tokio::sync::broadcast;

use crate::{
    catalog::AnyObject,
    http::{Handler, Reply, body_channel},
    objects::{Collection, Event, MAX_VALUE, PREFIX, Version},
    util::{lock, now},
};

mod faults;
mod store;

pub use faults::Faults;
use faults::{Fate, Trouble, cut};
use store::Store;

const WATCH_DEPTH: usize = 4096;

/// The objects, their history and the faults to show.
#[derive(Debug)]
pub struct PlatformStandin {
    state: Mutex<State>,
    trouble: Mutex<Trouble>,
    /// `None` ends the open watches.
    tx: broadcast::Sender<Option<Event>>,
    calls: [AtomicU64; 3],
}

#[derive(Debug, Default)]
struct State {
    configuration: Store,
    records: Store,
    /// What reads answer while the stand-in answers with old data.
    old: Option<(Store, Store)>,
}

impl State {
    fn real(&mut self, collection: Collection) -> &mut Store {
        match collection {
            Collection::Configuration => &mut self.configuration,
            Collection::Records => &mut self.records,
        }
    }

    fn shown(&self, collection: Collection) -> &Store {
        let (configuration, records) = match &self.old {
            Some((configuration, records)) => (configuration, records),
            None => (&self.configuration, &self.records),
        };
        match collection {
            Collection::Configuration => configuration,
            Collection::Records => records,
        }
    }
}

/// Calls that reached the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Gets and lists.
    pub reads: u64,
    /// Creates, updates and deletes.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

impl Default for PlatformStandin {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            trouble: Mutex::default(),
            tx: broadcast::channel(WATCH_DEPTH).0,
            calls: Default::default(),
        }
    }
}

impl PlatformStandin {
    /// Writes an object if its version matches.
    ///
    /// # Errors
    /// The object as it is now, when another write came first.
    pub fn put(&self, obj: AnyObject) -> Result<AnyObject, Box<Option<AnyObject>>> {
        let collection = Collection::of(&obj.kind);
        let mut state = self.state();
        let event = state.real(collection).put(obj)?;
        self.publish(&state, collection, &event);
        Ok(event.object)
    }

    /// Sets the faults to show from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.trouble() = Trouble::new(faults);
    }

    /// Answers reads and watches with the state of this moment until [`PlatformStandin::thaw`].
    pub fn freeze(&self) {
        let mut state = self.state();
        state.old = Some((state.configuration.clone(), state.records.clone()));
    }

    /// Answers with the real state again.
    pub fn thaw(&self) {
        self.state().old = None;
    }

    /// Ends all open watches.
    pub fn close_watches(&self) {
        let _ = self.tx.send(None);
    }

    /// Forgets the history, so that watches from before are too old.
    pub fn compact_history(&self) {
        let mut state = self.state();
        state.configuration.forget();
        state.records.forget();
    }

    /// Version of a collection.
    pub fn version(&self, collection: Collection) -> Version {
        self.state().real(collection).version
    }

    /// Calls so far.
    pub fn served(&self) -> Served {
        let [reads, writes, watches] = &self.calls;
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        Served { reads: load(reads), writes: load(writes), watches: load(watches) }
    }

    fn answer(&self, collection: Collection, req: &Request<Bytes>, rest: &[&str]) -> Reply {
        let field = |name: &str| {
            let query = req.uri().query()?;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')).map(str::to_owned)
        };
        match (req.method(), rest) {
            (&Method::GET, []) => Reply::json(200, &self.state().shown(collection).list(None)),
            (&Method::GET, [kind]) => Reply::json(200, &self.state().shown(collection).list(Some(kind))),
            (&Method::GET, [kind, name]) => match self.state().shown(collection).get(kind, name) {
                Some(obj) => Reply::json(200, obj),
                None => Reply::full(404, ""),
            },
            (&Method::PUT, [kind, name]) => self.answer_put(kind, name, req.body()),
            (&Method::DELETE, [kind, name]) => {
                self.answer_delete(collection, kind, name, &field("version").unwrap_or_default())
            }
            _ => Reply::full(404, ""),
        }
    }

    fn answer_put(&self, kind: &str, name: &str, body: &[u8]) -> Reply {
        if body.len() > MAX_VALUE {
            return Reply::full(413, "the value is too long");
        }
        let obj: AnyObject = match serde_json::from_slice(body) {
            Ok(obj) => obj,
            Err(e) => return Reply::full(400, e.to_string()),
        };
        if obj.kind != kind || obj.metadata.name != name {
            return Reply::full(400, "the path names another object");
        }
        match self.put(obj) {
            Ok(obj) => Reply::json(200, &obj),
            Err(current) => Reply::json(409, &current),
        }
    }

    fn answer_delete(&self, collection: Collection, kind: &str, name: &str, version: &str) -> Reply {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state();
        match state.real(collection).delete(&key, version) {
            Ok(event) => {
                self.publish(&state, collection, &event);
                Reply::json(200, &event.object)
            }
            Err(current) if current.is_none() => Reply::full(404, ""),
            Err(current) => Reply::json(409, &current),
        }
    }

    fn watch(&self, from: Version) -> Reply {
        let (old, mut live) = {
            let state = self.state();
            let Some(old) = state.shown(Collection::Configuration).since(from) else {
                return Reply::full(410, "");
            };
            (old, self.tx.subscribe())
        };
        let (tx, rx) = body_channel(WATCH_DEPTH);
        tokio::spawn(async move {
            for event in old {
                if tx.send(line(&event)).await.is_err() {
                    return;
                }
            }
            loop {
                let event = tokio::select! {
                    event = live.recv() => event,
                    () = tx.closed() => return,
                };
                let Ok(Some(event)) = event else { return tx.finish().await };
                if tx.send(line(&event)).await.is_err() {
                    return;
                }
            }
        });
        Reply::stream(200, rx)
    }

    /// Sends an event while the state is locked, so that watches see all events once and in order.
    fn publish(&self, state: &State, collection: Collection, event: &Event) {
        if state.old.is_none() && collection == Collection::Configuration && !self.trouble().is_deaf() {
            let _ = self.tx.send(Some(event.clone()));
        }
    }

    fn count(&self, req: &Request<Bytes>, watch: bool) {
        let class = if watch { 2 } else { usize::from(req.method() != Method::GET) };
        self.calls[class].fetch_add(1, Ordering::Relaxed);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn trouble(&self) -> MutexGuard<'_, Trouble> {
        lock(&self.trouble)
    }
}

fn line(event: &Event) -> Bytes {
    let mut bytes = serde_json::to_vec(event).unwrap_or_default();
    bytes.push(b'\n');
    Bytes::from(bytes)
}

fn collection(name: &str) -> Option<Collection> {
    Collection::ALL.into_iter().find(|c| c.as_str() == name)
}

impl Handler for PlatformStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        let Some(path) = req.uri().path().strip_prefix(PREFIX) else { return Reply::full(404, "") };
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        self.count(&req, parts[0] == "watch");
        let writes = req.method() != Method::GET;
        let (fate, late) = {
            let mut trouble = self.trouble();
            (trouble.draw(now(), writes), trouble.late())
        };
        if !late.is_zero() {
            tokio::time::sleep(late).await;
        }
        match fate {
            Fate::Lost => return cut(),
            Fate::Limited => return Reply::full(429, "").with_header("retry-after", "1"),
            Fate::Served | Fate::AnswerLost => {}
        }
        let reply = match (parts[0], collection(parts[0])) {
            ("watch", _) => {
                let from = req.uri().query().and_then(|q| q.strip_prefix("from=")?.parse().ok());
                self.watch(from.unwrap_or(0))
            }
            (_, Some(collection)) => self.answer(collection, &req, &parts[1..]),
            _ => Reply::full(404, ""),
        };
        if fate == Fate::AnswerLost { cut() } else { reply }
    }
}
