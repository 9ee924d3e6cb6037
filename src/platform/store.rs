//! The platform's store: lists and waiting watches of the configuration and of the backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::de::{DeserializeOwned, IgnoredAny};

use crate::{
    relay::{
        evacuations,
        follow::{BackendsUpdate, Call, Hosts, Store, StoreError},
        pool::Conn,
        revision::{Epoch, Revision},
    },
    schema::fleet::{Backends, Configuration, Evacuations},
};

mod forms;

use super::names;

use forms::{Change, Changes, Object, Page, RawBackend, RawConfiguration, RawHosts, backend};

/// Wait of a watch, the longest that the store allows; each one is a priced call.
const WAIT: Duration = Duration::from_secs(30);
/// Wait of a watch that is to be answered at once; the least that the store takes for a wait.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Time for the answer to a call that nobody waits for; a slow store takes some hundred milliseconds.
const ANSWER: Duration = Duration::from_millis(2_000);
/// Time for the rest of an answer that has begun: half a megabyte over the slowest links, 10 Mbit/s, takes 0.4 s, and as long
/// as its bytes come a second call would only take them from the first.
const REST: Duration = Duration::from_millis(3_000);
/// Time to connect.
const CONNECT: Duration = Duration::from_millis(500);
/// Largest page of a list, in bytes.
const MOST_PAGE: usize = 8 << 20;
/// Largest configuration that a host which starts reads without asking the others first, in bytes: the store's link, 1 Gbit/s,
/// carries it to hundreds of hosts within a call.
const SHORT_PAGE: usize = 64 << 10;

const CONFIGURATION: &str = "config";
/// Name of the object that holds the configuration.
const NEWEST: &str = "main";
const BACKENDS: &str = "servers";
/// Kind of the objects that name evacuated data centres.
const EVACUATIONS: &str = "evacuations";

/// Kind of our own: some hosts of each data centre, under its name.
const HOSTS: &str = "hosts";

/// An answer of the store.
struct Answered {
    status: u16,
    /// The store's epoch, where the answer tells it.
    epoch: Option<Epoch>,
    body: Bytes,
}

/// A connection to the store for one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    addr: SocketAddr,
    conn: Option<Conn>,
}

impl StoreClient {
    /// Client of the store at `addr`; it connects with the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, conn: None }
    }

    /// Makes one call for an answer of at most so many bytes; returns it and its epoch, which is `known` where it tells none. A
    /// connection on which the call fails is not used again: its answer may still come.
    async fn call<T: DeserializeOwned>(
        &mut self,
        target: &str,
        limit: Duration,
        most: usize,
        known: Epoch,
    ) -> Result<(Epoch, T), StoreError> {
        let answered = self.send(Method::GET, target, Bytes::new(), limit, most).await?;
        let epoch = answered.epoch.unwrap_or(known);
        match answered.status {
            // Another writer's bytes may be no text; only the entry that holds them is spoiled by that.
            200 => serde_json::from_str(&String::from_utf8_lossy(&answered.body))
                .map(|answer| (epoch, answer))
                .map_err(|e| StoreError::Unreadable(e.to_string())),
            410 if epoch != known => Err(StoreError::Restored { epoch }),
            410 => Err(StoreError::HistoryGone),
            status => Err(refused(status)),
        }
    }

    async fn send(
        &mut self,
        method: Method,
        target: &str,
        body: Bytes,
        limit: Duration,
        most: usize,
    ) -> Result<Answered, StoreError> {
        let begun = tokio::time::timeout(limit, self.begin(method, target, body)).await;
        let (conn, res) = begun.map_err(|_| StoreError::TimedOut)??;
        if let Some(bytes) = number(&res, header::CONTENT_LENGTH).filter(|bytes| *bytes > most as u64) {
            conn.close();
            return Err(StoreError::Large { bytes });
        }
        let (status, epoch) = (res.status().as_u16(), epoch(&res));
        let body = tokio::time::timeout(REST, Limited::new(res.into_body(), MOST_PAGE).collect()).await;
        let body = body.map_err(|_| StoreError::TimedOut)?;
        let body = body.map_err(|e| unavailable(format!("the answer broke off: {e}")))?.to_bytes();
        self.conn = Some(conn);
        Ok(Answered { status, epoch, body })
    }

    /// Makes a call, up to the head of its answer.
    async fn begin(
        &mut self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(Conn, Response<Incoming>), StoreError> {
        let mut conn = match self.conn.take().filter(Conn::is_usable) {
            Some(conn) => conn,
            None => {
                let connected = Conn::connect_with_keepalive(self.addr, CONNECT).await;
                connected.map_err(|_| unavailable("could not connect".into()))?
            }
        };
        let res = conn.send(self.request(method, target, body)).await;
        let res = res.map_err(|(failure, _)| unavailable(failure.as_str().into()))?;
        Ok((conn, res))
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

    /// Reads a list whose first page has at most so many bytes.
    async fn list<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        call: Call,
        most: usize,
    ) -> Result<(Revision, Vec<Object<T>>), StoreError> {
        let stale = if call.copy { "?staleOk=1" } else { "" };
        let target = format!("/objects/{kind}{stale}");
        let (epoch, mut all): (_, Page<T>) = self.call(&target, call.patience, most, call.epoch).await?;
        let mut more = all.has_more;
        if more && !call.whole {
            return Err(StoreError::Long);
        }
        while let Some(last) = all.items.last().filter(|_| more) {
            let after: String = form_urlencoded::byte_serialize(last.metadata.name.as_bytes()).collect();
            let stale = if call.copy { "&staleOk=1" } else { "" };
            let target = format!("/objects/{kind}?after={after}{stale}");
            let (of_page, page): (_, Page<T>) = self.call(&target, call.patience, MOST_PAGE, epoch).await?;
            if of_page != epoch {
                return Err(StoreError::Restored { epoch: of_page });
            }
            more = page.has_more && !page.items.is_empty();
            // Pages are as of different revisions; the changes since the first one are watched again.
            all.items.extend(page.items);
        }
        Ok((Revision::new(epoch, all.current_rev), all.items))
    }

    async fn watch<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        after: Revision,
        call: Call,
    ) -> Result<(Revision, Vec<Change<T>>), StoreError> {
        let wait = if call.at_once { NO_WAIT } else { WAIT };
        let target = format!("/objects/{kind}?watch={}&waitMs={}", after.number, wait.as_millis());
        let (epoch, changes): (_, Changes<T>) =
            self.call(&target, wait + call.patience, MOST_PAGE, after.epoch).await?;
        // Of another epoch they are not the changes since that revision, whatever their numbers.
        if epoch != after.epoch {
            return Err(StoreError::Restored { epoch });
        }
        Ok((Revision::new(epoch, changes.current_rev), changes.events))
    }
}

fn unavailable(why: String) -> StoreError {
    StoreError::Unavailable(why)
}

/// A number in a header of an answer, where it tells one.
fn number(res: &Response<Incoming>, name: impl header::AsHeaderName) -> Option<u64> {
    res.headers().get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The store's epoch, where an answer tells it.
fn epoch(res: &Response<Incoming>) -> Option<Epoch> {
    let epoch = number(res, names::EPOCH);
    if epoch.is_none() {
        spdlog::warn!("an answer of the store tells no number as its epoch");
    }
    epoch
}

fn refused(status: u16) -> StoreError {
    StoreError::Unavailable(format!("status {status}"))
}

impl Store for StoreClient {
    async fn enter(&mut self, data_centre: &str, hosts: &Hosts) -> Result<(), StoreError> {
        let spec = RawHosts { members: hosts.some.clone(), count: hosts.count };
        let object = serde_json::json!({ "metadata": { "name": data_centre }, "spec": spec });
        let body = Bytes::from(object.to_string());
        let name: String = form_urlencoded::byte_serialize(data_centre.as_bytes()).collect();
        let (kind, named) = (format!("/objects/{HOSTS}"), format!("/objects/{HOSTS}/{name}"));
        let mut status = self.send(Method::PUT, &named, body.clone(), ANSWER, MOST_PAGE).await?.status;
        if status == 404 {
            status = self.send(Method::POST, &kind, body, ANSWER, MOST_PAGE).await?.status;
        }
        // Another host of the data centre may have created the entry in between; it tells much the same.
        matches!(status, 200..=299 | 409).then_some(()).ok_or(refused(status))
    }

    async fn hosts(&mut self) -> Result<Hosts, StoreError> {
        // Old entries do: a host that is gone is only not heard.
        let target = format!("/objects/{HOSTS}?staleOk=1");
        let (_, page): (_, Page<RawHosts>) = self.call(&target, ANSWER, MOST_PAGE, Epoch::default()).await?;
        let all: Vec<_> = page.items.into_iter().filter_map(|o| o.spec).collect();
        let count = all.iter().map(|raw| raw.count).sum();
        Ok(Hosts { some: all.into_iter().flat_map(|raw| raw.members).collect(), count })
    }

    async fn configuration(&mut self, call: Call) -> Result<(Revision, Option<Configuration>), StoreError> {
        let (revision, objects) = match call.after {
            None => {
                let most = if call.whole { MOST_PAGE } else { SHORT_PAGE };
                self.list(CONFIGURATION, call, most).await?
            }
            Some(after) => {
                let (revision, events) = self.watch(CONFIGURATION, after, call).await?;
                let kept = events.into_iter().filter(|e| !e.deleted);
                (revision, kept.map(|e| e.object).collect())
            }
        };
        let named = objects.into_iter().filter(|o| o.metadata.name == NEWEST);
        let newest = named.filter_map(|o| o.spec).max_by_key(|raw: &RawConfiguration| raw.version);
        Ok((revision, newest.map(Configuration::from)))
    }

    async fn evacuations(&mut self, call: Call) -> Result<evacuations::Update, StoreError> {
        let Some(after) = call.after else {
            let (Revision { epoch, number: revision }, items) =
                self.list::<IgnoredAny>(EVACUATIONS, call, MOST_PAGE).await?;
            let held = items.into_iter().filter(Object::stays);
            let data_centres = held.map(|o| o.metadata.name).collect();
            let list = Evacuations { epoch, revision, data_centres, kept: Vec::new() };
            return Ok(evacuations::Update::List(list));
        };
        let (revision, events) = self.watch::<IgnoredAny>(EVACUATIONS, after, call).await?;
        let evacuated = |e: &Change<IgnoredAny>| !e.deleted && e.object.stays();
        let changes = events.into_iter().map(|e| (evacuated(&e), e.object.metadata.name));
        let changes = changes.map(|(evacuated, name)| (name, evacuated)).collect();
        Ok(evacuations::Update::Changes { revision, changes })
    }

    async fn backends(&mut self, call: Call) -> Result<BackendsUpdate, StoreError> {
        let Some(after) = call.after else {
            // A list of servers is long by its pages: the length of the first one tells nothing of the others.
            let (Revision { epoch, number: revision }, items) = self.list(BACKENDS, call, MOST_PAGE).await?;
            let items = items.into_iter().map(backend).collect();
            return Ok(BackendsUpdate::List(Backends { epoch, revision, items }));
        };
        let (revision, events) = self.watch::<RawBackend>(BACKENDS, after, call).await?;
        let (gone, kept): (Vec<_>, Vec<_>) = events.into_iter().partition(|e| e.deleted);
        let removed = gone.into_iter().map(|e| e.object.metadata.name).collect();
        let puts = kept.into_iter().map(|e| backend(e.object)).collect();
        Ok(BackendsUpdate::Changes { revision, puts, removed })
    }
}
