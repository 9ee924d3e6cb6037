//! The platform's store: lists and waiting watches of the configuration and of the backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{
    relay::{
        backends::Revision,
        follow::{BackendsUpdate, Store, StoreError},
        pool::Conn,
    },
    schema::fleet::{
        self, Backends, CallerLimits, Configuration, Member, Repeat, Route, Service, Share, Workspace,
    },
};

/// Longest wait of a watch. Each one is a priced call; other hosts tell when a watch has gone silent.
const WAIT: Duration = Duration::from_secs(15);
/// Time for an answer, beside the wait of a watch; a slow store takes some hundred milliseconds.
const ANSWER: Duration = Duration::from_millis(2_000);
/// Time to connect.
const CONNECT: Duration = Duration::from_millis(500);
/// Largest page of a list, in bytes.
const MOST_PAGE: usize = 8 << 20;

const CONFIGURATION: &str = "config";
const BACKENDS: &str = "servers";

/// Kind of our own: the hosts, each under its name.
const HOSTS: &str = "hosts";

/// A connection to the store for one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    addr: SocketAddr,
    conn: Option<Conn>,
}

/// A page of a list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", bound = "T: DeserializeOwned")]
struct Page<T> {
    items: Vec<Object<T>>,
    #[serde(default)]
    has_more: bool,
    /// The store's revision.
    current_rev: Revision,
}

/// What a watch brings.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", bound = "T: DeserializeOwned")]
struct Changes<T> {
    events: Vec<Change<T>>,
    current_rev: Revision,
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct Change<T> {
    object: Object<T>,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct Object<T> {
    metadata: Metadata,
    /// Left out where it can't be read, so that one bad object spoils no list.
    #[serde(default = "Option::default", deserialize_with = "lenient")]
    spec: Option<T>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Metadata {
    name: String,
    #[serde(default)]
    deletion_pending: bool,
}

fn lenient<'de, D, T>(de: D) -> Result<Option<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: DeserializeOwned,
{
    let value = serde_json::Value::deserialize(de)?;
    if value.is_null() {
        return Ok(None);
    }
    Ok(serde_json::from_value(value)
        .inspect_err(|e| spdlog::warn!("an object of the store can't be read: {e}"))
        .ok())
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawBackend {
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    state: String,
}

#[derive(Deserialize)]
struct RawConfiguration {
    version: u64,
    #[serde(default)]
    routes: Vec<RawRoute>,
    #[serde(default)]
    services: Vec<RawService>,
    limits: Option<RawLimits>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRoute {
    #[serde(default)]
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u32,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<RawShare>,
    #[serde(default)]
    max_attempts: u32,
    #[serde(default)]
    auth_exempt: bool,
    /// Whether its requests name the parts of their prompt.
    #[serde(default)]
    session_affinity: bool,
    #[serde(default)]
    stream_resume: bool,
}

#[derive(Deserialize)]
struct RawShare {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawService {
    name: String,
    #[serde(default)]
    max_connections: u32,
    /// Present where its servers are model engines.
    engine: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    #[serde(default)]
    max_header_bytes: u32,
    #[serde(default)]
    max_body_bytes: u32,
    #[serde(default)]
    header_timeout_ms: f64,
    #[serde(default)]
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
}

/// Weights are counted in thousandths, since they may have fractions.
const WEIGHT_PARTS: f64 = 1_000.0;

impl From<RawConfiguration> for Configuration {
    fn from(raw: RawConfiguration) -> Self {
        Self {
            version: raw.version,
            routes: raw.routes.into_iter().map(Route::from).collect(),
            services: raw.services.into_iter().map(Service::from).collect(),
            limits: raw.limits.map(CallerLimits::from),
            workspaces: raw.tenants.into_iter().map(Workspace::from).collect(),
        }
    }
}

impl From<RawRoute> for Route {
    fn from(raw: RawRoute) -> Self {
        let repeat = match raw.kind.as_str() {
            "idempotent" => Repeat::Idempotent,
            "stream" => Repeat::Stream,
            _ => Repeat::Never,
        };
        let split = |s: RawShare| Share { service: s.service, weight: (s.weight * WEIGHT_PARTS) as u32 };
        let mut shares: Vec<_> = raw.traffic_split.into_iter().map(split).collect();
        if let Some(service) = raw.service.filter(|_| shares.is_empty()) {
            shares.push(Share { service, weight: 1 });
        }
        Self {
            name: raw.name,
            host: raw.host,
            prefix: raw.path_prefix,
            repeat: repeat.into(),
            timeout_ms: raw.timeout_ms as u32,
            objective_ms: raw.target_latency_ms as u32,
            rank: raw.priority,
            shares,
            attempts: raw.max_attempts,
            open: raw.auth_exempt,
            resumable: raw.stream_resume,
            prompts: raw.session_affinity,
        }
    }
}

impl From<RawService> for Service {
    fn from(raw: RawService) -> Self {
        Self { name: raw.name, connections: raw.max_connections, caches_prompts: raw.engine.is_some() }
    }
}

impl From<RawLimits> for CallerLimits {
    fn from(raw: RawLimits) -> Self {
        Self {
            head_bytes: raw.max_header_bytes,
            body_bytes: raw.max_body_bytes,
            head_ms: raw.header_timeout_ms as u32,
            idle_ms: raw.idle_timeout_ms as u32,
        }
    }
}

impl From<RawTenant> for Workspace {
    fn from(raw: RawTenant) -> Self {
        Self { name: raw.name, keys: raw.api_keys, rank: raw.priority }
    }
}

/// An entry that can't be read is listed without an address: a server that was known before stays as it was.
fn backend(object: Object<RawBackend>) -> fleet::Backend {
    let id = object.metadata.name;
    let Some(raw) = object.spec else { return fleet::Backend { id, ..Default::default() } };
    fleet::Backend {
        id,
        service: raw.service,
        addr: raw.address,
        data_centre: raw.zone,
        slots: raw.slots,
        leaving: raw.state != "ready" || object.metadata.deletion_pending,
    }
}

impl StoreClient {
    /// Client of the store at `addr`; it connects with the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, conn: None }
    }

    /// Makes one call. A connection on which it fails is not used again: its answer may still come.
    async fn call<T: DeserializeOwned>(&mut self, target: &str, limit: Duration) -> Result<T, StoreError> {
        let (status, body) = self.send(Method::GET, target, Bytes::new(), limit).await?;
        match status {
            200 => serde_json::from_slice(&body).map_err(|e| StoreError::Unreadable(e.to_string())),
            410 => Err(StoreError::HistoryGone),
            _ => Err(refused(status)),
        }
    }

    async fn send(
        &mut self,
        method: Method,
        target: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(u16, Bytes), StoreError> {
        match tokio::time::timeout(limit, self.try_send(method, target, body)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Unavailable("no answer in time".into())),
        }
    }

    async fn try_send(
        &mut self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), StoreError> {
        let unavailable = |why: String| StoreError::Unavailable(why);
        let mut conn = match self.conn.take().filter(Conn::is_usable) {
            Some(conn) => conn,
            None => {
                let connected = Conn::connect(self.addr, CONNECT).await;
                connected.map_err(|_| unavailable("could not connect".into()))?
            }
        };
        let res = conn.send(self.request(method, target, body)).await;
        let res = res.map_err(|(failure, _)| unavailable(failure.as_str().into()))?;
        let status = res.status().as_u16();
        let body = Limited::new(res.into_body(), MOST_PAGE).collect().await;
        let body = body.map_err(|e| unavailable(format!("the answer broke off: {e}")))?.to_bytes();
        self.conn = Some(conn);
        Ok((status, body))
    }

    fn request(&self, method: Method, target: &str, body: Bytes) -> Request<Full<Bytes>> {
        let written = !body.is_empty();
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = target.parse().unwrap_or_default();
        if let Ok(host) = HeaderValue::from_str(&self.addr.to_string()) {
            req.headers_mut().insert(header::HOST, host);
        }
        if written {
            req.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        req
    }

    async fn list<T: DeserializeOwned>(&mut self, kind: &str) -> Result<Page<T>, StoreError> {
        let mut all: Page<T> = self.call(&format!("/objects/{kind}"), ANSWER).await?;
        let mut more = all.has_more;
        while let Some(last) = all.items.last().filter(|_| more) {
            let after: String = form_urlencoded::byte_serialize(last.metadata.name.as_bytes()).collect();
            let page: Page<T> = self.call(&format!("/objects/{kind}?after={after}"), ANSWER).await?;
            more = page.has_more && !page.items.is_empty();
            // Pages are as of different revisions; the changes since the first one are watched again.
            all.items.extend(page.items);
        }
        Ok(all)
    }

    async fn watch<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        after: Revision,
    ) -> Result<Changes<T>, StoreError> {
        let target = format!("/objects/{kind}?watch={after}&waitMs={}", WAIT.as_millis());
        self.call(&target, WAIT + ANSWER).await
    }
}

fn refused(status: u16) -> StoreError {
    StoreError::Unavailable(format!("status {status}"))
}

fn host_target(me: &Member) -> String {
    let name: String = form_urlencoded::byte_serialize(me.name.as_bytes()).collect();
    format!("/objects/{HOSTS}/{name}")
}

impl Store for StoreClient {
    async fn enter(&mut self, me: &Member) -> Result<(), StoreError> {
        let object = serde_json::json!({ "metadata": { "name": me.name }, "spec": me });
        let body = Bytes::from(object.to_string());
        let (status, _) = self.send(Method::PUT, &host_target(me), body.clone(), ANSWER).await?;
        let status = match status {
            404 => self.send(Method::POST, &format!("/objects/{HOSTS}"), body, ANSWER).await?.0,
            status => status,
        };
        // Another start of this host may have created the entry in between; it tells the same.
        matches!(status, 200..=299 | 409).then_some(()).ok_or(refused(status))
    }

    async fn withdraw(&mut self, me: &Member) -> Result<(), StoreError> {
        let (status, _) = self.send(Method::DELETE, &host_target(me), Bytes::new(), ANSWER).await?;
        matches!(status, 200..=299 | 404).then_some(()).ok_or(refused(status))
    }

    async fn hosts(&mut self) -> Result<Vec<Member>, StoreError> {
        // Old entries do: a host that is gone is only not heard.
        let page: Page<Member> = self.call(&format!("/objects/{HOSTS}?staleOk=1"), ANSWER).await?;
        Ok(page.items.into_iter().filter_map(|o| o.spec).collect())
    }

    async fn configuration(
        &mut self,
        after: Option<Revision>,
    ) -> Result<(Revision, Option<Configuration>), StoreError> {
        let (revision, specs): (_, Vec<Option<RawConfiguration>>) = match after {
            None => {
                let page = self.list(CONFIGURATION).await?;
                (page.current_rev, page.items.into_iter().map(|o| o.spec).collect())
            }
            Some(after) => {
                let changes = self.watch(CONFIGURATION, after).await?;
                let kept = changes.events.into_iter().filter(|e| !e.deleted);
                (changes.current_rev, kept.map(|e| e.object.spec).collect())
            }
        };
        let newest = specs.into_iter().flatten().max_by_key(|raw| raw.version);
        Ok((revision, newest.map(Configuration::from)))
    }

    async fn backends(&mut self, after: Option<Revision>) -> Result<BackendsUpdate, StoreError> {
        let Some(after) = after else {
            let page = self.list(BACKENDS).await?;
            let items = page.items.into_iter().map(backend).collect();
            return Ok(BackendsUpdate::List(Backends { revision: page.current_rev, items }));
        };
        let changes = self.watch::<RawBackend>(BACKENDS, after).await?;
        let revision = changes.current_rev;
        let (gone, kept): (Vec<_>, Vec<_>) = changes.events.into_iter().partition(|e| e.deleted);
        let removed = gone.into_iter().map(|e| e.object.metadata.name).collect();
        let puts = kept.into_iter().map(|e| backend(e.object)).collect();
        Ok(BackendsUpdate::Changes { revision, puts, removed })
    }
}
