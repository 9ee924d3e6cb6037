//! A stand-in of the platform's store: lists, waiting watches and conditional entries over HTTP, behind a gate. It can be
//! restored from a copy of some time ago; what was written since is gone then, and its revisions are given out again.

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
use cranberrytally::standin::gate::{Gate, Mode};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch, time::timeout};

/// Path of the route that the last configuration adds.
pub const ADDED_ROUTE: &str = "/added/";
/// Begins the path of the route that only one version has; the version follows.
pub const MARK: &str = "/mark-";

/// Epoch of a store that was never restored.
const FIRST_EPOCH: u64 = 1;

/// Objects in a page of a list.
const PAGE: usize = 500;

/// One change; without a spec the object was removed.
#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<Value>,
}

impl Entry {
    fn object(&self) -> Value {
        json!({ "metadata": { "name": self.name, "revision": self.revision }, "spec": self.spec })
    }
}

/// What the store holds, and all changes that led there.
#[derive(Clone, Debug, Default)]
struct Objects {
    /// How often it was restored.
    epoch: u64,
    log: Vec<Arc<Entry>>,
    present: BTreeMap<(String, String), Arc<Entry>>,
}

impl Objects {
    fn revision(&self) -> u64 {
        self.log.len() as u64 + 1
    }
}

/// The store's objects as of some time.
#[derive(Clone, Debug)]
pub struct Backup(Objects);

/// A write that a restore has undone: kind, name, and the spec unless it was a removal.
pub type Undone = (String, String, Option<Value>);

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    objects: Arc<Mutex<Objects>>,
    revision: watch::Sender<u64>,
    busy: Arc<AtomicBool>,
    gate: Arc<Gate>,
    /// What answers every other call, while it answers in two epochs.
    other: Arc<Mutex<Option<Box<Store>>>>,
    calls: Arc<AtomicU64>,
    /// What calls are answered from that take old data.
    stale: Arc<Mutex<Option<Backup>>>,
    /// Whether watches that wait are never answered.
    deaf: Arc<AtomicBool>,
    /// Epoch that the next answer tells, unless it is 0.
    wrong_epoch: Arc<AtomicU64>,
}

impl Store {
    /// Starts an empty store on loopback.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let gate = Arc::new(Gate::start(listener.local_addr().unwrap(), None).await.unwrap());
        let (objects, busy) = (Arc::default(), Arc::default());
        let (other, calls, stale) = (Arc::default(), Arc::default(), Arc::default());
        let (revision, deaf, wrong_epoch) = (watch::Sender::new(1), Arc::default(), Arc::default());
        let store = Self { objects, revision, busy, gate, other, calls, stale, deaf, wrong_epoch };
        tokio::spawn(store.clone().accept(listener));
        store
    }

    /// Where hosts reach it.
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

    /// Refuses every call with 503, or stops doing so.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Relaxed);
    }

    /// Leaves watches that wait without an answer for good, on connections that live, or stops doing so to new ones.
    pub fn set_watches_unanswered(&self, deaf: bool) {
        self.deaf.store(deaf, Ordering::Relaxed);
    }

    /// Tells a wrong epoch with the next answer.
    pub fn send_epoch_once(&self, epoch: u64) {
        self.wrong_epoch.store(epoch, Ordering::Relaxed);
    }

    /// Cuts open connections and changes what becomes of new ones.
    pub async fn set_gate(&self, mode: Mode) {
        self.gate.set(mode).await.unwrap();
        self.gate.cut();
    }

    /// What it holds now, to be restored later.
    pub fn backup(&self) -> Backup {
        Backup(self.objects.lock().unwrap().clone())
    }

    /// Goes back to a copy, as a new epoch; returns what that has undone, the last write of each object. Watches from
    /// a revision that it does not have any more end.
    pub fn restore(&self, backup: &Backup) -> Vec<Undone> {
        let mut objects = self.objects.lock().unwrap();
        let before = std::mem::replace(&mut *objects, backup.0.clone());
        objects.epoch = before.epoch + 1;
        let kept = objects.log.len();
        drop(objects);
        self.revision.send_replace(kept as u64 + 1);
        let mut undone: BTreeMap<_, _> = BTreeMap::new();
        for entry in &before.log[kept..] {
            undone.insert((entry.kind.clone(), entry.name.clone()), entry.spec.clone());
        }
        undone.into_iter().map(|((kind, name), spec)| (kind, name, spec)).collect()
    }

    /// Writes something again that a restore from the copy has undone, unless it was written since.
    pub fn write_again(&self, backup: &Backup, (kind, name, spec): Undone) {
        let kept = backup.0.log.len();
        let is_newer =
            self.objects.lock().unwrap().log[kept..].iter().any(|e| e.kind == kind && e.name == name);
        if !is_newer {
            self.write(&kind, &name, spec);
        }
    }

    /// Answers every other call as it was before a restore, or stops doing so.
    pub fn answer_also_from(&self, before: Option<Backup>) {
        let other = before.map(|Backup(objects)| {
            let revision = watch::Sender::new(objects.revision());
            Box::new(Self { objects: Arc::new(Mutex::new(objects)), revision, ..self.clone() })
        });
        *self.other.lock().unwrap() = other;
    }

    /// Answers calls that take old data from a copy, whatever epoch it is of.
    pub fn serve_stale_reads_from(&self, backup: Backup) {
        *self.stale.lock().unwrap() = Some(backup);
    }

    /// What answers the next call.
    fn answering(&self) -> Self {
        let odd = self.calls.fetch_add(1, Ordering::Relaxed) % 2 == 1;
        let other = self.other.lock().unwrap().as_deref().cloned();
        other.filter(|_| odd).unwrap_or_else(|| self.clone())
    }

    /// Revision of the last change.
    pub fn last_revision(&self) -> u64 {
        self.objects.lock().unwrap().revision()
    }

    fn write(&self, kind: &str, name: &str, spec: Option<Value>) {
        let mut objects = self.objects.lock().unwrap();
        let revision = objects.revision() + 1;
        let entry = Arc::new(Entry { revision, kind: kind.into(), name: name.into(), spec });
        objects.log.push(entry.clone());
        let key = (entry.kind.clone(), entry.name.clone());
        match entry.spec {
            Some(_) => drop(objects.present.insert(key, entry)),
            None => drop(objects.present.remove(&key)),
        }
        drop(objects);
        self.revision.send_replace(revision);
    }

    /// The latest changes of a kind after a revision, each name once.
    fn latest(&self, kind: &str, after: u64) -> Vec<Arc<Entry>> {
        let objects = self.objects.lock().unwrap();
        let newer = objects.log.iter().rev().take_while(|e| e.revision > after).filter(|e| e.kind == kind);
        let mut latest: BTreeMap<&str, &Arc<Entry>> = BTreeMap::new();
        for entry in newer {
            latest.entry(&entry.name).or_insert(entry);
        }
        latest.into_values().cloned().collect()
    }

    /// Whether an object is there.
    pub fn is_present(&self, kind: &str, name: &str) -> bool {
        self.objects.lock().unwrap().present.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let store = self.clone();
            let service = service_fn(move |req| {
                let store = store.answering();
                async move {
                    let mut response = store.answer(req).await;
                    let epoch = store.objects.lock().unwrap().epoch;
                    let told = match store.wrong_epoch.swap(0, Ordering::Relaxed) {
                        0 => FIRST_EPOCH + epoch,
                        wrong => wrong,
                    };
                    response.headers_mut().insert("store-era", told.into());
                    Ok::<_, Infallible>(response)
                }
            });
            // A caller that goes away in a call is part of every run.
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    }

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
        let named = object["metadata"]["name"].as_str().unwrap_or(name).to_owned();
        let known = self.is_present(kind, &named);
        match (head.method, known) {
            (Method::PUT, false) => respond(404, json!({})),
            (Method::POST, true) => respond(409, json!({})),
            (Method::DELETE, _) => {
                self.remove(kind, name);
                respond(200, json!({}))
            }
            _ => {
                self.put(kind, &named, object["spec"].clone());
                respond(200, json!({}))
            }
        }
    }

    fn list(&self, kind: &str, query: &str) -> Response<Full<Bytes>> {
        let stale = self.stale.lock().unwrap().clone().filter(|_| query.contains("staleOk=1"));
        let objects = stale.map_or_else(|| self.objects.lock().unwrap().clone(), |Backup(objects)| objects);
        let revision = objects.revision();
        let after = query.split('&').find_map(|pair| pair.strip_prefix("after=")).unwrap_or_default();
        let from = Bound::Excluded((kind.to_owned(), after.to_owned()));
        let listed = objects.present.range((from, Bound::Unbounded)).take_while(|((k, _), _)| k == kind);
        let mut items: Vec<_> = listed.take(PAGE + 1).map(|(_, e)| e.object()).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        respond(200, json!({ "items": items, "hasMore": more, "currentRev": revision }))
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Response<Full<Bytes>> {
        let mut changed = self.revision.subscribe();
        let news = async {
            while after <= self.last_revision() && self.latest(kind, after).is_empty() {
                let _ = changed.changed().await;
                if self.deaf.load(Ordering::Relaxed) {
                    std::future::pending::<()>().await;
                }
            }
        };
        if timeout(Duration::from_millis(wait_ms), news).await.is_err()
            && self.deaf.load(Ordering::Relaxed)
            && wait_ms > 0
        {
            return std::future::pending().await;
        }
        let revision = *self.revision.borrow();
        if after > revision {
            return respond(410, json!({}));
        }
        let latest = self.latest(kind, after);
        let events: Vec<_> =
            latest.iter().map(|e| json!({ "object": e.object(), "deleted": e.spec.is_none() })).collect();
        respond(200, json!({ "events": events, "currentRev": revision }))
    }
}

fn respond(status: u16, body: Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.to_string().into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
}

/// A backend server's entry.
pub fn server(addr: SocketAddr, state: &str) -> Value {
    json!({ "service": "app", "address": addr.to_string(), "zone": "a", "version": "v1", "slots": 64,
        "state": state, "coldRemainingMs": 0, "sequence": 1 })
}

/// A configuration with a route for each kind of request and one that no other version has; `changed` adds a route and takes a key away.
pub fn configuration(version: u64, changed: bool) -> Value {
    let route = |path: &str, kind: &str, resumes: bool| {
        json!({ "name": path.trim_matches('/'), "host": "shop.example", "pathPrefix": path, "kind": kind,
            "timeoutMs": 6000, "targetLatencyMs": 500, "priority": 1, "service": "app", "maxAttempts": 3,
            "authExempt": false, "sessionAffinity": false, "streamResume": resumes, "targetGapMs": 300 })
    };
    let mut routes = vec![
        route("/safe/", "idempotent", false),
        route("/unsafe/", "non_idempotent", false),
        route("/stream/", "stream", true),
        route("/once/", "stream", false),
    ];
    routes.push(route(&format!("{MARK}{version}/"), "idempotent", false));
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
