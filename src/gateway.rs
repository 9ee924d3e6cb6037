//! Gateway: handles requests of callers from admission over placement and dispatch to the response, and answers entry
//! queries.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request};
use spdlog::Level;
use tokio::task::JoinHandle;

use crate::{
    catalog::{Catalog, Id},
    claim::ticket::TICKET_LIFETIME,
    client::Client,
    entry::Router,
    error::{ErrorKind, RequestError},
    http::{Handler, Reply, UNREAD_BODY},
    link::{LinkKey, Links},
    metrics::Metrics,
    objects::Platform,
    place::hint::HintKey,
    probe::{EngineView, State},
    retry::{Cooldowns, RetryBudget, RetryPolicy},
    schema::{
        claim::{ClaimAnswer, ClaimCall},
        link::frame::Body,
        placement::Released,
        suspect::{Digest, Noted},
    },
    stream::token::TokenKey,
    util::{lock, now, random_id, read},
};

use admit::{Admission, InFlightGuard};
use claim::Claims;
use place::Placement;
use request::{RequestInfo, header};
use suspects::Suspects;

mod admit;
mod attempt;
mod chat;
mod claim;
mod entry;
mod place;
mod relay;
mod request;
mod resume;
mod service;
mod suspects;

/// Default time for which callers may cache an entry answer.
const DEFAULT_ENTRY_TTL: Duration = Duration::from_secs(30);
/// Fixed paths of the HTTP API; a request with an unsupported method is refused as such, not as an unknown path.
const KNOWN_PATHS: [&str; 7] =
    ["/healthz", "/metrics", "/readyz", "/v1/chat/completions", "/v1/entry", "/v1/key-ticket", "/v1/resume"];

/// Maximum wait for claims to be written before a planned shutdown.
const CLAIMS_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// State of one router that all its requests share.
#[derive(Debug)]
pub struct Gateway {
    me: Router,
    routers: RwLock<Vec<Router>>,
    entry_ttl: Duration,
    /// Whether the router is shutting down and refuses new requests.
    is_closed: AtomicBool,
    catalog: RwLock<Arc<Catalog>>,
    placement: Arc<Placement>,
    admission: Admission,
    claims: Arc<Claims>,
    resume_key: TokenKey,
    suspects: Arc<Suspects>,
    retry_policy: RetryPolicy,
    retry_budget: Mutex<RetryBudget>,
    cooldowns: Mutex<Cooldowns>,
    /// Engines to which no connection could be made, not yet taken by the prober.
    unreachable_engines: Mutex<Vec<Arc<str>>>,
    /// Task that fetches the load of newly owned engines.
    load_fetch_task: Mutex<Option<JoinHandle<()>>>,
    client: Client,
    metrics: Arc<Metrics>,
}

impl Gateway {
    /// Creates the gateway of the router `me` in the fleet with this shared key.
    pub fn new(me: Router, shared_key: &str, platform: &Platform, metrics: Arc<Metrics>) -> Self {
        let links = Links::new(LinkKey::new(shared_key));
        let hints = HintKey::new(shared_key);
        let placement = Placement::new(Id::of(&me.name), &me.data_centre, links, hints, metrics.clone());
        let placement = Arc::new(placement);
        let client = Client::default();
        let claims = Claims::new(me.name.clone(), shared_key, placement.clone(), platform, metrics.clone());
        let suspects = Suspects::new(me.region.clone(), placement.clone(), client.clone());
        Self {
            routers: RwLock::new(vec![me.clone()]),
            entry_ttl: DEFAULT_ENTRY_TTL,
            is_closed: AtomicBool::new(false),
            me,
            catalog: RwLock::default(),
            placement,
            admission: Admission::default(),
            claims: Arc::new(claims),
            resume_key: TokenKey::new(shared_key),
            suspects: Arc::new(suspects),
            retry_policy: RetryPolicy::default(),
            retry_budget: Mutex::default(),
            cooldowns: Mutex::default(),
            unreachable_engines: Mutex::default(),
            load_fetch_task: Mutex::default(),
            client,
            metrics,
        }
    }

    /// Sets the time for which callers may cache an entry answer.
    pub fn with_entry_ttl(self, entry_ttl: Duration) -> Self {
        Self { entry_ttl, ..self }
    }

    /// Refuses new requests from now on, except entry queries.
    pub fn stop_accepting_requests(&self) {
        self.is_closed.store(true, Ordering::Release);
    }

    /// Takes the engines to which no connection could be made since the last call.
    pub fn take_unreachable_engines(&self) -> Vec<Arc<str>> {
        std::mem::take(&mut lock(&self.unreachable_engines))
    }

    /// Applies the merged probe results of an engine to its health.
    pub fn apply_engine_view(&self, view: &EngineView) {
        let id = Id::of(&view.name);
        let (mut placer, now) = (self.placement.placer(), now());
        if view.start != 0 {
            placer.health.set_start(id, view.start);
        }
        placer.health.set_leaving(id, view.state == State::Leaving);
        if view.state == State::Down || !view.reachable {
            placer.health.mark_down(id, now);
        } else {
            placer.health.mark_up(id, now);
        }
    }

    /// Puts a catalog in force, unless a newer one is in force already.
    pub fn set_catalog(&self, cat: Catalog) {
        let mut current = self.catalog.write().unwrap_or_else(|e| e.into_inner());
        if cat.version >= current.version {
            lock(&self.cooldowns).retain(|id| cat.engine_key(id).is_some());
            *current = Arc::new(cat);
        }
    }

    /// Sets the routers that entry answers may list.
    pub fn set_routers(&self, routers: Vec<Router>) {
        *self.routers.write().unwrap_or_else(|e| e.into_inner()) = routers;
    }

    /// Catalog in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        read(&self.catalog).clone()
    }

    /// Whether a configuration is in force.
    fn is_ready(&self) -> bool {
        self.catalog().version > 0
    }

    /// Routes a request to its handler.
    async fn route(&self, req: Request<Bytes>, id: &str) -> Result<Reply, RequestError> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => Ok(Reply::full(200, "ok\n")),
            (&Method::GET, "/readyz") if self.is_ready() => Ok(Reply::full(200, "ready\n")),
            (&Method::GET, "/metrics") => self.render_metrics(),
            _ if !self.is_ready() => {
                Err(RequestError::new(ErrorKind::NotReady, "the router has no configuration yet"))
            }
            (&Method::GET, "/v1/entry") => self.entry(req.uri().query().unwrap_or("")),
            _ if self.is_closed.load(Ordering::Acquire) => {
                Err(RequestError::new(ErrorKind::Leaving, ErrorKind::Leaving.answer().about))
            }
            (&Method::GET | &Method::POST, "/v1/resume") => self.resume(req).await,
            (&Method::GET, "/v1/key-ticket") => Ok(self.key_ticket()),
            (&Method::POST, "/v1/chat/completions") => self.chat(req, id).await,
            (method, path) if KNOWN_PATHS.contains(&path) => Err(RequestError::new(
                ErrorKind::MethodNotAllowed,
                format!("{path} does not support {method}"),
            )),
            (_, p) if p.starts_with("/services/") => self.service(req, id).await,
            _ => Err(RequestError::new(ErrorKind::NotFound, format!("path {path} does not exist"))),
        }
    }

    /// Counts and logs a refusal, and returns the reply.
    fn refuse(&self, error: &RequestError, meta: &RequestMeta) -> Reply {
        let code = error.kind.answer().code;
        self.metrics.request("refused");
        self.metrics.refuse(code);
        // In a surge most refusals are expected, and logging each of them would add to the load.
        let level = match error.kind {
            ErrorKind::Internal => Level::Error,
            ErrorKind::Quarantined | ErrorKind::EngineFailed => Level::Warn,
            _ => Level::Debug,
        };
        let (request, workspace) = (meta.id.as_str(), meta.workspace.as_str());
        spdlog::log!(level, "refused: {}", error.message, kv: { request, code, workspace });
        if meta.may_be_repeat { error.reply_to_repeat() } else { error.reply() }
    }

    /// Answers `GET /metrics`.
    fn render_metrics(&self) -> Result<Reply, RequestError> {
        let text =
            self.metrics.text().map_err(|e| RequestError::new(ErrorKind::Internal, format!("{e:#}")))?;
        Ok(Reply::full(200, text).with_header("content-type", "text/plain; version=0.0.4"))
    }

    /// Counts a request against this router's share of its workspace's limits.
    fn acquire_in_flight(&self, cat: &Catalog, info: &RequestInfo) -> Result<InFlightGuard, RequestError> {
        let routers = u32::try_from(read(&self.routers).len()).unwrap_or(u32::MAX);
        self.admission.acquire_in_flight(cat.concurrency_limits(&info.workspace), routers, info)
    }

    /// Answers `GET /v1/key-ticket` with a ticket, under which callers can create idempotency keys that stay usable
    /// during a platform outage.
    fn key_ticket(&self) -> Reply {
        let ticket =
            serde_json::json!({ "ticket": self.claims.ticket(), "keep_s": TICKET_LIFETIME.as_secs() });
        Reply::json(200, &ticket)
    }

    /// Sets the address at which other routers reach this one.
    pub fn set_peer_addr(&self, addr: SocketAddr) {
        let _ = self.claims.peer_addr.set(addr);
    }

    /// Writes all claims to the platform before a planned shutdown, once no request is in progress.
    pub async fn close_claims(&self) {
        if tokio::time::timeout(CLAIMS_CLOSE_TIMEOUT, self.claims.close()).await.is_err() {
            spdlog::warn!(
                "not all claims were written before the shutdown; the others will be reported as unknown"
            );
        }
    }

    /// Answers a claim call from another router.
    pub async fn serve_claim(&self, call: ClaimCall) -> ClaimAnswer {
        self.claims.serve(call).await
    }

    /// Digest of suspect contents for gossip, at most `bytes` in postcard encoding.
    pub fn suspects_digest(&self, bytes: usize) -> Digest {
        self.suspects.digest(bytes)
    }

    /// Merges another router's digest of suspect contents.
    pub fn merge_suspects(&self, digest: &Digest) {
        self.suspects.merge(digest);
    }

    /// Answers a placement call from another router; `None` for other calls.
    pub fn serve_placement(&self, body: &Body) -> Option<Body> {
        match body {
            Body::Reserve(msg) => Some(Body::Reserved(self.placement.serve_reserve(&self.catalog(), msg))),
            Body::Release(msg) => {
                self.placement.serve_release(msg);
                Some(Body::Released(Released {}))
            }
            _ => None,
        }
    }

    /// Releases ended reservations at their owners periodically, until aborted.
    pub async fn run_releases(&self) {
        loop {
            tokio::time::sleep(place::RELEASE_INTERVAL).await;
            self.placement.expire(&self.catalog());
            self.placement.send_releases().await;
        }
    }

    /// Answers a call about suspects from another router; `None` for other calls.
    pub fn serve_suspects(&self, body: &Body) -> Option<Body> {
        match body {
            Body::Permit(req) => Some(Body::PermitAnswer(self.suspects.serve_permit(req))),
            Body::PermitRelease(msg) => {
                self.suspects.serve_release(msg);
                Some(Body::Noted(Noted {}))
            }
            Body::Suspects(digest) => {
                self.suspects.merge(digest);
                Some(Body::Noted(Noted {}))
            }
            _ => None,
        }
    }
}

impl Handler for Gateway {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        let meta = RequestMeta::of(&req);
        let reply = match self.route(req, &meta.id).await {
            Ok(reply) => {
                self.metrics.request("answered");
                reply
            }
            Err(error) => self.refuse(&error, &meta),
        };
        reply.with_header("x-request-id", &meta.id)
    }

    fn refuse_body(&self, head: &Request<()>, kind: ErrorKind) -> Reply {
        let meta = RequestMeta::of(head);
        self.refuse(&RequestError::new(kind, UNREAD_BODY), &meta).with_header("x-request-id", &meta.id)
    }
}

/// Properties of a request that its reply and log lines need, whatever its outcome.
struct RequestMeta {
    id: String,
    workspace: String,
    may_be_repeat: bool,
}

impl RequestMeta {
    fn of<B>(req: &Request<B>) -> Self {
        let workspace = header(req.headers(), "x-workspace").unwrap_or_default().to_owned();
        Self { id: random_id(), workspace, may_be_repeat: may_be_repeat(req) }
    }
}

/// Whether an earlier attempt with the same idempotency key may have run, as far as this router can tell.
///
/// A caller would take the refusal of a retried booking for "the booking was not made", although an earlier attempt
/// may have made it. Only the caller knows that there was no earlier attempt or that each was answered "not run", and
/// states this in the `x-first-attempt` header.
fn may_be_repeat<B>(req: &Request<B>) -> bool {
    let first = header(req.headers(), "x-first-attempt") == Some("true");
    req.headers().contains_key("idempotency-key") && !first
}
