//! Client of the platform's store: lists and watches the configuration, backend servers, evacuations and hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Response, header};
use hyper::body::Incoming;
use serde::{
    Serialize,
    de::{DeserializeOwned, IgnoredAny},
};

use crate::{
    relay::{
        backends::BackendEvent,
        evacuations,
        follow::{BackendsUpdate, Call, Hosts, Store, StoreConnection, StoreError},
        origins::saved::SavedStreams,
        pool,
        revision::{Epoch, Revision},
    },
    schema::fleet::{Backends, Configuration, Evacuations},
};

pub mod epoch_header;
mod forms;

use super::names;
use epoch_header::EpochHeader;
use forms::{Change, Changes, Object, Page, RawBackend, RawConfiguration, backend};

/// Wait of a watch: the maximum that the store allows, because each watch is a billed call.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Wait of a watch that should return at once: the minimum that the store accepts.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Timeout of a call; no caller waits for it, and a slow store takes a few hundred milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum time without progress in a response body. While bytes arrive, however slowly, a second call would only compete for
/// the same bandwidth.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum size of a page of a list, in bytes.
const MAX_PAGE_BYTES: usize = 8 << 20;
/// Maximum number of pages of a list, of about 500 objects each.
const MAX_LIST_PAGES: usize = 200;
/// Maximum size of a configuration that a starting host reads by itself: a 1 Gbit/s link sends it to hundreds of hosts a call.
const MAX_INITIAL_CONFIG_BYTES: usize = 64 << 10;

const CONFIGURATION_KIND: &str = "config";
/// Name of the object that holds the configuration.
const CONFIGURATION_NAME: &str = "main";
const BACKENDS_KIND: &str = "servers";
/// Kind of the objects that list evacuated data centres.
const EVACUATIONS_KIND: &str = "evacuations";
/// Kind of this system's own objects: some hosts of each data centre, under the name of the data centre.
const HOSTS: &str = "hosts";

/// Kind of this system's own objects: streams of a data centre and the versions that began them.
const STREAMS_KIND: &str = "streams";

/// A response of the store.
struct StoreResponse {
    status: u16,
    /// The store's epoch, if the response contains it.
    epoch: Option<Epoch>,
    body: Bytes,
}

/// Client of the store with one connection, for one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    connection: StoreConnection,
    epoch_header: Arc<EpochHeader>,
}

impl StoreClient {
    /// Creates a client of the store at `addr`; it connects on the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self { connection: StoreConnection::new(addr), epoch_header: Arc::default() }
    }

    /// Creates another client of the same store, with a connection of its own.
    pub fn sibling(&self) -> Self {
        Self { connection: self.connection.sibling(), epoch_header: self.epoch_header.clone() }
    }

    /// Makes one call for a response of at most `max_bytes`; returns it with its epoch, or `known_epoch` if it has none. A
    /// connection on which a call failed is not reused, because the late response might still arrive on it.
    async fn call<T: DeserializeOwned>(
        &mut self,
        target: &str,
        timeout: Duration,
        max_bytes: usize,
        known_epoch: Epoch,
    ) -> Result<(Epoch, T), StoreError> {
        let response = self.send(Method::GET, target, Bytes::new(), timeout, max_bytes).await?;
        let epoch = response.epoch.unwrap_or(known_epoch);
        match response.status {
            // Another writer's bytes may not be valid UTF-8; that must invalidate only the entry that has them.
            200 => serde_json::from_str(&String::from_utf8_lossy(&response.body))
                .map(|answer| (epoch, answer))
                .map_err(|e| StoreError::Unreadable(e.to_string())),
            410 if epoch != known_epoch => Err(StoreError::Restored { epoch }),
            410 => Err(StoreError::HistoryGone),
            status => Err(status_error(status)),
        }
    }

    async fn send(
        &mut self,
        method: Method,
        target: &str,
        body: Bytes,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<StoreResponse, StoreError> {
        let started = tokio::time::timeout(timeout, self.connection.send(method, target, body)).await;
        let (conn, res) = started.map_err(|_| StoreError::TimedOut)??;
        if let Some(bytes) = number(&res, header::CONTENT_LENGTH).filter(|bytes| *bytes > max_bytes as u64) {
            conn.close();
            return Err(StoreError::Large { bytes });
        }
        let (status, epoch) = (res.status().as_u16(), number(&res, names::STORE_ERA));
        self.epoch_header.observe(epoch.is_some());
        let body = pool::read_body(res.into_body(), MAX_PAGE_BYTES, BODY_STALL_TIMEOUT).await;
        let body = body.map_err(|e| StoreError::Unavailable(format!("response body failed: {e:#}")))?;
        self.connection.keep(conn);
        Ok(StoreResponse { status, epoch, body })
    }

    /// Reads a list whose first page has at most `max_bytes`.
    async fn list<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        call: Call,
        max_bytes: usize,
    ) -> Result<(Revision, Vec<Object<T>>), StoreError> {
        let stale = if call.stale_ok { "?staleOk=1" } else { "" };
        let target = format!("/objects/{kind}{stale}");
        let (epoch, mut all): (_, Page<T>) = self.call(&target, call.timeout, max_bytes, call.epoch).await?;
        let mut more = all.has_more;
        if more && !call.allow_large {
            return Err(StoreError::Long);
        }
        let mut pages = 1;
        while let Some(last) = all.items.last().filter(|_| more) {
            if pages == MAX_LIST_PAGES {
                return Err(StoreError::Unreadable(format!("the list has more than {MAX_LIST_PAGES} pages")));
            }
            pages += 1;
            let after: String = form_urlencoded::byte_serialize(last.metadata.name.as_bytes()).collect();
            let stale = if call.stale_ok { "&staleOk=1" } else { "" };
            let target = format!("/objects/{kind}?after={after}{stale}");
            // A page that is late must not cost the pages that were read.
            let timeout = call.timeout.max(ANSWER_TIMEOUT);
            let (page_epoch, page): (_, Page<T>) = self.call(&target, timeout, MAX_PAGE_BYTES, epoch).await?;
            if page_epoch != epoch {
                return Err(StoreError::Restored { epoch: page_epoch });
            }
            more = page.has_more && !page.items.is_empty();
            // Pages may have different revisions; watching from the first page's revision repeats the changes in between.
            all.items.extend(page.items);
        }
        Ok((Revision::new(epoch, all.current_rev), all.items))
    }

    /// Writes one of this system's own objects, or creates it. Another host may create it meanwhile, with much the same content.
    async fn put(&mut self, kind: &str, name: &str, spec: &impl Serialize) -> Result<(), StoreError> {
        let object = serde_json::json!({ "metadata": { "name": name }, "spec": spec });
        let body = Bytes::from(object.to_string());
        let name: String = form_urlencoded::byte_serialize(name.as_bytes()).collect();
        let (all, one) = (format!("/objects/{kind}"), format!("/objects/{kind}/{name}"));
        let mut status =
            self.send(Method::PUT, &one, body.clone(), ANSWER_TIMEOUT, MAX_PAGE_BYTES).await?.status;
        if status == 404 {
            status = self.send(Method::POST, &all, body, ANSWER_TIMEOUT, MAX_PAGE_BYTES).await?.status;
        }
        matches!(status, 200..=299 | 409).then_some(()).ok_or(status_error(status))
    }

    async fn watch<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        after: Revision,
        call: Call,
    ) -> Result<(Revision, Vec<Change<T>>), StoreError> {
        let wait = if call.no_wait { MIN_WATCH_WAIT } else { WATCH_WAIT };
        let target = format!("/objects/{kind}?watch={}&waitMs={}", after.number, wait.as_millis());
        let (epoch, changes): (_, Changes<T>) =
            self.call(&target, wait + call.timeout, MAX_PAGE_BYTES, after.epoch).await?;
        // Changes of another epoch do not continue this revision, whatever their numbers are.
        if epoch != after.epoch {
            return Err(StoreError::Restored { epoch });
        }
        Ok((Revision::new(epoch, changes.current_rev), changes.events))
    }
}

/// Parses a number from a response header, if there is one.
fn number(res: &Response<Incoming>, name: impl header::AsHeaderName) -> Option<u64> {
    res.headers().get(name)?.to_str().ok()?.trim().parse().ok()
}

fn status_error(status: u16) -> StoreError {
    StoreError::Unavailable(format!("status {status}"))
}

impl Store for StoreClient {
    async fn register_hosts(&mut self, data_centre: &str, hosts: &Hosts) -> Result<(), StoreError> {
        self.put(HOSTS, data_centre, hosts).await
    }

    async fn hosts(&mut self, stale_ok: bool) -> Result<Hosts, StoreError> {
        let target = format!("/objects/{HOSTS}{}", if stale_ok { "?staleOk=1" } else { "" });
        let (_, page): (_, Page<Hosts>) =
            self.call(&target, ANSWER_TIMEOUT, MAX_PAGE_BYTES, Epoch::default()).await?;
        Ok(Hosts::combine(page.items.into_iter().filter_map(|o| Hosts::usable(&o.metadata.name, o.spec))))
    }

    async fn save_streams(&mut self, name: &str, streams: &SavedStreams) -> Result<(), StoreError> {
        self.put(STREAMS_KIND, name, streams).await
    }

    async fn saved_streams(&mut self, call: Call) -> Result<Vec<SavedStreams>, StoreError> {
        let (_, items) = self.list(STREAMS_KIND, call, MAX_PAGE_BYTES).await?;
        Ok(items.into_iter().filter_map(|o| o.spec).collect())
    }

    async fn configuration(&mut self, call: Call) -> Result<(Revision, Option<Configuration>), StoreError> {
        let (revision, objects) = match call.after {
            None => {
                let max_bytes = if call.allow_large { MAX_PAGE_BYTES } else { MAX_INITIAL_CONFIG_BYTES };
                self.list(CONFIGURATION_KIND, call, max_bytes).await?
            }
            Some(after) => {
                let (revision, events) = self.watch(CONFIGURATION_KIND, after, call).await?;
                let present = events.into_iter().filter(|e| !e.deleted);
                (revision, present.map(|e| e.object).collect())
            }
        };
        let named = objects.into_iter().filter(|o| o.metadata.name == CONFIGURATION_NAME);
        let named = named.inspect(|o| {
            if o.spec.is_none() {
                spdlog::warn!("the configuration in the store can't be read; the one in force stays");
            }
        });
        let newest = named.filter_map(|o| o.spec).max_by_key(|raw: &RawConfiguration| raw.version);
        Ok((revision, newest.map(Configuration::from)))
    }

    async fn evacuations(&mut self, call: Call) -> Result<evacuations::Update, StoreError> {
        let Some(after) = call.after else {
            let (Revision { epoch, number: revision }, items) =
                self.list::<IgnoredAny>(EVACUATIONS_KIND, call, MAX_PAGE_BYTES).await?;
            let held = items.into_iter().filter(Object::is_kept);
            let data_centres = held.map(|o| o.metadata.name).collect();
            let list = Evacuations { epoch, revision, data_centres, kept: Vec::new() };
            return Ok(evacuations::Update::List(list));
        };
        let (revision, events) = self.watch::<IgnoredAny>(EVACUATIONS_KIND, after, call).await?;
        let evacuated = |e: &Change<IgnoredAny>| !e.deleted && e.object.is_kept();
        let changes = events.into_iter().map(|e| (evacuated(&e), e.object.metadata.name));
        let changes = changes.map(|(evacuated, name)| (name, evacuated)).collect();
        Ok(evacuations::Update::Changes { revision, changes })
    }

    async fn backends(&mut self, call: Call) -> Result<BackendsUpdate, StoreError> {
        let Some(after) = call.after else {
            // A list of servers is long if it has several pages; the size of its first page does not matter.
            let (Revision { epoch, number: revision }, items) =
                self.list(BACKENDS_KIND, call, MAX_PAGE_BYTES).await?;
            let items = items.into_iter().map(backend).collect();
            return Ok(BackendsUpdate::List(Backends { epoch, revision, items }));
        };
        let (revision, events) = self.watch::<RawBackend>(BACKENDS_KIND, after, call).await?;
        let event = |e: Change<RawBackend>| match e.deleted {
            true => BackendEvent::Removed(e.object.metadata.name),
            false => BackendEvent::Written(backend(e.object)),
        };
        Ok(BackendsUpdate::Events { revision, events: events.into_iter().map(event).collect() })
    }
}
