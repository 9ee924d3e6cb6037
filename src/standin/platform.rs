//! Stand-in for the platform's object API, with fault injection.

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
    objects::{Collection, Event, MAX_OBJECT_BYTES, PREFIX, Version},
    util::{lock, now},
};

mod faults;
mod store;

pub use faults::Faults;
use faults::{CallOutcome, FaultState, broken_reply};
use store::Store;

/// Number of events buffered for a watch.
const WATCH_CAPACITY: usize = 4096;

/// Objects, their history and the injected faults.
#[derive(Debug)]
pub struct PlatformStandin {
    state: Mutex<State>,
    fault_state: Mutex<FaultState>,
    /// Events for the open watches; `None` closes the watches.
    tx: broadcast::Sender<Option<Event>>,
    call_counts: [AtomicU64; 3],
}

#[derive(Debug, Default)]
struct State {
    configuration: Store,
    records: Store,
    /// Snapshot that reads and watches see while the stand-in is frozen.
    frozen: Option<(Store, Store)>,
}

impl State {
    fn store_mut(&mut self, collection: Collection) -> &mut Store {
        match collection {
            Collection::Configuration => &mut self.configuration,
            Collection::Records => &mut self.records,
        }
    }

    fn visible_store(&self, collection: Collection) -> &Store {
        let (configuration, records) = match &self.frozen {
            Some((configuration, records)) => (configuration, records),
            None => (&self.configuration, &self.records),
        };
        match collection {
            Collection::Configuration => configuration,
            Collection::Records => records,
        }
    }
}

/// Numbers of calls that reached the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Gets and lists.
    pub reads: u64,
    /// Creates, updates and deletes.
    pub writes: u64,
    /// Opened watches.
    pub watches: u64,
}

impl Default for PlatformStandin {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            fault_state: Mutex::default(),
            tx: broadcast::channel(WATCH_CAPACITY).0,
            call_counts: Default::default(),
        }
    }
}

impl PlatformStandin {
    /// Writes an object if its version matches the current one.
    ///
    /// # Errors
    /// Returns the current object, if any, when the version does not match.
    pub fn put(&self, obj: AnyObject) -> Result<AnyObject, Box<Option<AnyObject>>> {
        let collection = Collection::of(&obj.kind);
        let mut state = self.state();
        let event = state.store_mut(collection).put(obj)?;
        self.publish(&state, collection, &event);
        Ok(event.object)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.fault_state() = FaultState::new(faults);
    }

    /// Serves reads and new watches from a snapshot taken now, until [`PlatformStandin::thaw`] is called.
    pub fn freeze(&self) {
        let mut state = self.state();
        state.frozen = Some((state.configuration.clone(), state.records.clone()));
    }

    /// Serves the current state again.
    pub fn thaw(&self) {
        self.state().frozen = None;
    }

    /// Closes all open watches.
    pub fn close_watches(&self) {
        let _ = self.tx.send(None);
    }

    /// Discards the history, so that a watch from an earlier version is rejected as too old.
    pub fn compact_history(&self) {
        let mut state = self.state();
        state.configuration.compact();
        state.records.compact();
    }

    /// Current version of a collection.
    pub fn version(&self, collection: Collection) -> Version {
        self.state().store_mut(collection).version
    }

    /// Numbers of calls so far.
    pub fn call_counts(&self) -> CallCounts {
        let [reads, writes, watches] = &self.call_counts;
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        CallCounts { reads: load(reads), writes: load(writes), watches: load(watches) }
    }

    fn handle_object(&self, collection: Collection, req: &Request<Bytes>, rest: &[&str]) -> Reply {
        let field = |name: &str| {
            let query = req.uri().query()?;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')).map(str::to_owned)
        };
        match (req.method(), rest) {
            (&Method::GET, []) => Reply::json(200, &self.state().visible_store(collection).list(None)),
            (&Method::GET, [kind]) => {
                Reply::json(200, &self.state().visible_store(collection).list(Some(kind)))
            }
            (&Method::GET, [kind, name]) => match self.state().visible_store(collection).get(kind, name) {
                Some(obj) => Reply::json(200, obj),
                None => Reply::full(404, ""),
            },
            (&Method::PUT, [kind, name]) => self.handle_put(kind, name, req.body()),
            (&Method::DELETE, [kind, name]) => {
                self.handle_delete(collection, kind, name, &field("version").unwrap_or_default())
            }
            _ => Reply::full(404, ""),
        }
    }

    fn handle_put(&self, kind: &str, name: &str, body: &[u8]) -> Reply {
        if body.len() > MAX_OBJECT_BYTES {
            return Reply::full(413, "the object is too large");
        }
        let obj: AnyObject = match serde_json::from_slice(body) {
            Ok(obj) => obj,
            Err(e) => return Reply::full(400, e.to_string()),
        };
        if obj.kind != kind || obj.metadata.name != name {
            return Reply::full(400, "the path does not match the kind and name of the object");
        }
        match self.put(obj) {
            Ok(obj) => Reply::json(200, &obj),
            Err(current) => Reply::json(409, &current),
        }
    }

    fn handle_delete(&self, collection: Collection, kind: &str, name: &str, version: &str) -> Reply {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state();
        match state.store_mut(collection).delete(&key, version) {
            Ok(event) => {
                self.publish(&state, collection, &event);
                Reply::json(200, &event.object)
            }
            Err(current) if current.is_none() => Reply::full(404, ""),
            Err(current) => Reply::json(409, &current),
        }
    }

    fn handle_watch(&self, from: Version) -> Reply {
        let (backlog, mut live) = {
            let state = self.state();
            let Some(backlog) = state.visible_store(Collection::Configuration).changes_since(from) else {
                return Reply::full(410, "");
            };
            (backlog, self.tx.subscribe())
        };
        let (tx, rx) = body_channel(WATCH_CAPACITY);
        tokio::spawn(async move {
            for event in backlog {
                if tx.send(json_line(&event)).await.is_err() {
                    return;
                }
            }
            loop {
                let event = tokio::select! {
                    event = live.recv() => event,
                    () = tx.closed() => return,
                };
                let Ok(Some(event)) = event else { return tx.finish().await };
                if tx.send(json_line(&event)).await.is_err() {
                    return;
                }
            }
        });
        Reply::stream(200, rx)
    }

    /// Sends an event to the open watches. The state must be locked, so that watches see every event once and in order.
    fn publish(&self, state: &State, collection: Collection, event: &Event) {
        if state.frozen.is_none()
            && collection == Collection::Configuration
            && !self.fault_state().drops_events()
        {
            let _ = self.tx.send(Some(event.clone()));
        }
    }

    fn count(&self, req: &Request<Bytes>, is_watch: bool) {
        let class = if is_watch { 2 } else { usize::from(req.method() != Method::GET) };
        self.call_counts[class].fetch_add(1, Ordering::Relaxed);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn fault_state(&self) -> MutexGuard<'_, FaultState> {
        lock(&self.fault_state)
    }
}

fn json_line(event: &Event) -> Bytes {
    let mut bytes = serde_json::to_vec(event).unwrap_or_default();
    bytes.push(b'\n');
    Bytes::from(bytes)
}

fn collection_by_name(name: &str) -> Option<Collection> {
    Collection::ALL.into_iter().find(|c| c.as_str() == name)
}

impl Handler for PlatformStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        let Some(path) = req.uri().path().strip_prefix(PREFIX) else { return Reply::full(404, "") };
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        self.count(&req, parts[0] == "watch");
        let writes = req.method() != Method::GET;
        let (outcome, delay) = {
            let mut fault_state = self.fault_state();
            (fault_state.decide(now(), writes), fault_state.delay())
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match outcome {
            CallOutcome::Lost => return broken_reply(),
            CallOutcome::RateLimited => return Reply::full(429, "").with_header("retry-after", "1"),
            CallOutcome::Answered | CallOutcome::AnswerLost => {}
        }
        let reply = match (parts[0], collection_by_name(parts[0])) {
            ("watch", _) => {
                let from = req.uri().query().and_then(|q| q.strip_prefix("from=")?.parse().ok());
                self.handle_watch(from.unwrap_or(0))
            }
            (_, Some(collection)) => self.handle_object(collection, &req, &parts[1..]),
            _ => Reply::full(404, ""),
        };
        if outcome == CallOutcome::AnswerLost { broken_reply() } else { reply }
    }
}
