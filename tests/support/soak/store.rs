//! Stand-in for the platform's store: lists, long-polling watches and conditional writes over HTTP, behind a gate. It can be
//! restored from an earlier backup, which loses later writes and reuses their revisions.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    ops::Bound,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cranberrytally::standin::gate::{FaultProxy, Mode};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch, time::timeout};

/// Path prefix of the route that a changed configuration adds.
pub const ADDED_ROUTE: &str = "/added/";
/// Path prefix of the route that only one configuration version has, followed by the version.
pub const VERSION_ROUTE: &str = "/mark-";

/// Epoch of a store that was never restored.
const FIRST_EPOCH: u64 = 1;

/// Maximum number of objects in a page of a list.
const PAGE_SIZE: usize = 500;

/// A change of one object; without a spec, its removal.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<Value>,
}

impl Change {
    /// The object as JSON, with its metadata.
    fn object(&self) -> Value {
        json!({ "metadata": { "name": self.name, "revision": self.revision }, "spec": self.spec })
    }
}

/// Objects of the store and the log of all changes to them.
#[derive(Clone, Debug, Default)]
struct State {
    /// Number of restores.
    epoch: u64,
    log: Vec<Arc<Change>>,
    objects: BTreeMap<(String, String), Arc<Change>>,
}

impl State {
    /// Revision of the last change; 1 before the first one.
    fn revision(&self) -> u64 {
        self.log.len() as u64 + 1
    }
}

/// State of the store at one time.
#[derive(Clone, Debug)]
pub struct Backup(State);

/// A write that a restore has undone: the object's kind, its name, and its spec unless it was removed.
pub type UndoneWrite = (String, String, Option<Value>);

/// Handle of the store; clones share the same state.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    revision: watch::Sender<u64>,
    busy: Arc<AtomicBool>,
    gate: Arc<FaultProxy>,
    /// Store with the state before a restore, which answers every other call while it is set.
    old_epoch_store: Arc<Mutex<Option<Box<Store>>>>,
    calls: Arc<AtomicU64>,
    /// Backup from which lists that allow stale data are answered.
    stale_backup: Arc<Mutex<Option<Backup>>>,
    /// Whether waiting watches are left without an answer.
    watches_unanswered: Arc<AtomicBool>,
    /// Epoch sent with the next answer instead of the true one, unless it is 0.
    wrong_epoch: Arc<AtomicU64>,
}

impl Store {
    /// Starts an empty store on a loopback address.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let gate = Arc::new(FaultProxy::start(listener.local_addr().unwrap(), None).await.unwrap());
        let (state, busy) = (Arc::default(), Arc::default());
        let (old_epoch_store, calls, stale_backup) = (Arc::default(), Arc::default(), Arc::default());
        let (revision, watches_unanswered, wrong_epoch) =
            (watch::Sender::new(1), Arc::default(), Arc::default());
        let store = Self {
            state,
            revision,
            busy,
            gate,
            old_epoch_store,
            calls,
            stale_backup,
            watches_unanswered,
            wrong_epoch,
        };
        tokio::spawn(store.clone().accept(listener));
        store
    }

    /// Address of the store's gate, to which hosts connect.
    pub fn addr(&self) -> SocketAddr {
        self.gate.addr()
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.write(kind, name, Some(spec));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.write(kind, name, None);
    }

    /// Spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned()))?.spec.clone()
    }

    /// Sets whether every call is refused with 503.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Relaxed);
    }

    /// Sets whether waiting watches are left without an answer while their connections stay open. Unsetting it does not
    /// revive such watches.
    pub fn set_watches_unanswered(&self, unanswered: bool) {
        self.watches_unanswered.store(unanswered, Ordering::Relaxed);
    }

    /// Sends a wrong epoch with the next answer.
    pub fn send_epoch_once(&self, epoch: u64) {
        self.wrong_epoch.store(epoch, Ordering::Relaxed);
    }

    /// Sets how the gate treats new connections, and closes the open ones.
    pub async fn set_gate(&self, mode: Mode) {
        self.gate.set_mode(mode).await.unwrap();
        self.gate.cut_connections();
    }

    /// Takes a backup of the current state.
    pub fn backup(&self) -> Backup {
        Backup(self.state.lock().unwrap().clone())
    }

    /// Restores a backup in a new epoch; returns the undone writes, the last one of each object. Watches from a revision
    /// that no longer exists end.
    pub fn restore(&self, backup: &Backup) -> Vec<UndoneWrite> {
        let mut state = self.state.lock().unwrap();
        let before = std::mem::replace(&mut *state, backup.0.clone());
        state.epoch = before.epoch + 1;
        let kept_len = state.log.len();
        drop(state);
        self.revision.send_replace(kept_len as u64 + 1);
        let mut undone: BTreeMap<_, _> = BTreeMap::new();
        for change in &before.log[kept_len..] {
            undone.insert((change.kind.clone(), change.name.clone()), change.spec.clone());
        }
        undone.into_iter().map(|((kind, name), spec)| (kind, name, spec)).collect()
    }

    /// Replays a write that a restore of the backup has undone, unless the object was written since.
    pub fn replay(&self, backup: &Backup, (kind, name, spec): UndoneWrite) {
        let kept_len = backup.0.log.len();
        let is_newer =
            self.state.lock().unwrap().log[kept_len..].iter().any(|e| e.kind == kind && e.name == name);
        if !is_newer {
            self.write(&kind, &name, spec);
        }
    }

    /// Answers every other call from the state before a restore; `None` ends that.
    pub fn answer_alternately_from(&self, before: Option<Backup>) {
        let old_epoch_store = before.map(|Backup(state)| {
            let revision = watch::Sender::new(state.revision());
            Box::new(Self { state: Arc::new(Mutex::new(state)), revision, ..self.clone() })
        });
        *self.old_epoch_store.lock().unwrap() = old_epoch_store;
    }

    /// Answers lists that allow stale data from a backup, whatever its epoch.
    pub fn serve_stale_reads_from(&self, backup: Backup) {
        *self.stale_backup.lock().unwrap() = Some(backup);
    }

    /// The store that answers the next call: every other one goes to the store of the old epoch, if it is set.
    fn next_responder(&self) -> Self {
        let use_old_epoch = self.calls.fetch_add(1, Ordering::Relaxed) % 2 == 1;
        let old_epoch_store = self.old_epoch_store.lock().unwrap().as_deref().cloned();
        old_epoch_store.filter(|_| use_old_epoch).unwrap_or_else(|| self.clone())
    }

    /// Revision of the last change.
    pub fn last_revision(&self) -> u64 {
        self.state.lock().unwrap().revision()
    }

    /// Appends a change to the log, applies it to the objects and notifies watches.
    fn write(&self, kind: &str, name: &str, spec: Option<Value>) {
        let mut state = self.state.lock().unwrap();
        let revision = state.revision() + 1;
        let change = Arc::new(Change { revision, kind: kind.into(), name: name.into(), spec });
        state.log.push(change.clone());
        let key = (change.kind.clone(), change.name.clone());
        match change.spec {
            Some(_) => drop(state.objects.insert(key, change)),
            None => drop(state.objects.remove(&key)),
        }
        drop(state);
        self.revision.send_replace(revision);
    }

    /// The changes of objects of a kind after a revision, in order.
    fn changes_after(&self, kind: &str, after: u64) -> Vec<Arc<Change>> {
        let state = self.state.lock().unwrap();
        let newer = state.log.iter().rev().take_while(|e| e.revision > after).filter(|e| e.kind == kind);
        let mut changes: Vec<_> = newer.cloned().collect();
        changes.reverse();
        changes
    }

    /// Whether an object exists.
    pub fn contains(&self, kind: &str, name: &str) -> bool {
        self.state.lock().unwrap().objects.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    /// Serves connections until the listener fails, and adds the epoch to each answer.
    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let store = self.clone();
            let service = service_fn(move |req| {
                let store = store.next_responder();
                async move {
                    let mut response = store.answer(req).await;
                    let epoch = store.state.lock().unwrap().epoch;
                    let sent_epoch = match store.wrong_epoch.swap(0, Ordering::Relaxed) {
                        0 => FIRST_EPOCH + epoch,
                        wrong => wrong,
                    };
                    response.headers_mut().insert("store-era", sent_epoch.into());
                    Ok::<_, Infallible>(response)
                }
            });
            // Connections that clients close during a call are expected in every run, so errors are ignored.
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    }

    /// Answers one call.
    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        if self.busy.load(Ordering::Relaxed) {
            return respond(503, json!({}));
        }
        let (head, body) = req.into_parts();
        let path = head.uri.path().trim_start_matches("/objects/").to_owned();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        let query = head.uri.query().unwrap_or_default();
        let number = |key: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
            pair.and_then(|value| value.parse::<u64>().ok())
        };
        if head.method == Method::GET {
            return match number("watch") {
                Some(after) => self.watch(kind, after, number("waitMs").unwrap_or(0)).await,
                None => self.list(kind, query),
            };
        }
        let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        let object: Value = serde_json::from_slice(&body).unwrap_or_default();
        let object_name = object["metadata"]["name"].as_str().unwrap_or(name).to_owned();
        let exists = self.contains(kind, &object_name);
        match (head.method, exists) {
            (Method::PUT, false) => respond(404, json!({})),
            (Method::POST, true) => respond(409, json!({})),
            (Method::DELETE, _) => {
                self.remove(kind, name);
                respond(200, json!({}))
            }
            _ => {
                self.put(kind, &object_name, object["spec"].clone());
                respond(200, json!({}))
            }
        }
    }

    /// Answers a list call with a page of objects.
    fn list(&self, kind: &str, query: &str) -> Response<Full<Bytes>> {
        let stale_backup = self.stale_backup.lock().unwrap().clone().filter(|_| query.contains("staleOk=1"));
        let state = stale_backup.map_or_else(|| self.state.lock().unwrap().clone(), |Backup(state)| state);
        let revision = state.revision();
        let after = query.split('&').find_map(|pair| pair.strip_prefix("after=")).unwrap_or_default();
        let from = Bound::Excluded((kind.to_owned(), after.to_owned()));
        let listed = state.objects.range((from, Bound::Unbounded)).take_while(|((k, _), _)| k == kind);
        let mut items: Vec<_> = listed.take(PAGE_SIZE + 1).map(|(_, e)| e.object()).collect();
        let more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        respond(200, json!({ "items": items, "hasMore": more, "currentRev": revision }))
    }

    /// Answers a watch call with the changes after a revision, or waits for them up to a limit.
    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Response<Full<Bytes>> {
        let mut changed = self.revision.subscribe();
        let until_changed = async {
            while after <= self.last_revision() && self.changes_after(kind, after).is_empty() {
                let _ = changed.changed().await;
                if self.watches_unanswered.load(Ordering::Relaxed) {
                    std::future::pending::<()>().await;
                }
            }
        };
        if timeout(Duration::from_millis(wait_ms), until_changed).await.is_err()
            && self.watches_unanswered.load(Ordering::Relaxed)
            && wait_ms > 0
        {
            return std::future::pending().await;
        }
        let revision = *self.revision.borrow();
        if after > revision {
            return respond(410, json!({}));
        }
        let changes = self.changes_after(kind, after);
        let events: Vec<_> =
            changes.iter().map(|e| json!({ "object": e.object(), "deleted": e.spec.is_none() })).collect();
        respond(200, json!({ "events": events, "currentRev": revision }))
    }
}

/// A JSON answer with a status.
fn respond(status: u16, body: Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.to_string().into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
}

/// Spec of a backend server's entry, of version v1.
pub fn server(addr: SocketAddr, state: &str) -> Value {
    server_of_version(addr, state, "v1")
}

/// Spec of the entry of a backend server with a version of its software.
pub fn server_of_version(addr: SocketAddr, state: &str, version: &str) -> Value {
    json!({ "service": "app", "address": addr.to_string(), "zone": "a", "version": version, "slots": 64,
        "state": state, "coldRemainingMs": 0, "sequence": 1 })
}

/// Spec of a configuration with a route for each kind of request and one that no other version has. `changed` adds a route
/// and revokes a key.
pub fn configuration(version: u64, changed: bool) -> Value {
    let route = |path: &str, kind: &str, resumes: bool| {
        json!({ "name": path.trim_matches('/'), "host": "shop.example", "pathPrefix": path, "kind": kind,
            "timeoutMs": 6000, "targetLatencyMs": 500, "priority": 1, "service": "app", "maxAttempts": 3,
            "authExempt": false, "sessionAffinity": resumes, "streamResume": resumes, "targetGapMs": 300 })
    };
    let mut routes = vec![
        route("/safe/", "idempotent", false),
        route("/unsafe/", "non_idempotent", false),
        route("/stream/", "stream", true),
        route("/once/", "stream", false),
    ];
    routes.push(route(&format!("{VERSION_ROUTE}{version}/"), "idempotent", false));
    let mut keys = vec![super::KEY];
    match changed {
        true => routes.push(route(ADDED_ROUTE, "idempotent", false)),
        false => keys.push(super::KEY_TO_REVOKE),
    }
    json!({ "version": version, "routes": routes,
        "services": [{ "name": "app", "healthPath": "/health", "maxConnections": 300 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "travel", "apiKeys": keys, "priority": 1 }] })
}
