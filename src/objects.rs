//! Client of the platform's object API: get, list, create, conditional update, delete and watch.
//!
//! Objects live in two collections with a version each: configuration, which routers list and watch, and records
//! (leases, claim shards), whose frequent writes must not reach every watch.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use http::Method;
use rand::Rng;

use crate::{
    catalog::AnyObject,
    client::Client,
    metrics::Metrics,
    util::{lock, now},
};

pub mod backoff;
pub mod bucket;
pub mod calls;
mod transport;
mod watch;
mod write;

use calls::{Class, Counts, Limiter, Rates};
use transport::NotSent;
pub use watch::{NextEvent, OpenedWatch, Watch};
pub use write::{PendingWrite, Step};

/// Version of an object or of a collection.
pub type Version = u64;

/// Path under which the API is served.
pub(crate) const PREFIX: &str = "/apis/cranberrytally/v1";
/// Largest object that the platform takes, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

const WRITE_TRIES: u32 = 5;
const WRITE_BACKOFF: Duration = Duration::from_millis(100);
const WRITE_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Kinds that operators write; all others are records of the routers themselves.
pub const CONFIGURATION_KINDS: [&str; 6] =
    ["Engine", "EnginePool", "RoutingPolicy", "Service", "Workspace", "WorkspaceGroup"];

/// Objects that share a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Collection {
    /// What operators state.
    Configuration,
    /// Leases, claim shards and other records of the routers.
    Records,
}

impl Collection {
    /// Both collections.
    pub const ALL: [Collection; 2] = [Collection::Configuration, Collection::Records];

    /// Collection in which objects of this kind live.
    pub fn of(kind: &str) -> Self {
        if CONFIGURATION_KINDS.contains(&kind) { Collection::Configuration } else { Collection::Records }
    }

    /// Name in the API's paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Collection::Configuration => "configuration",
            Collection::Records => "records",
        }
    }
}

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// In force as this object.
    Done(AnyObject),
    /// Another write came first; the object as it is now, if it exists.
    Conflict(Option<AnyObject>),
    /// No answer came; the write may have taken effect, or may still.
    Unknown,
}

/// A list of objects with the collection's version.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct List {
    /// Version of the collection.
    pub version: Version,
    /// Objects of all kinds, or of the kind asked for.
    pub items: Vec<AnyObject>,
}

/// One change seen by a watch.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Version of the collection after the change.
    pub version: Version,
    /// Whether the object was deleted.
    pub deleted: bool,
    /// The object.
    pub object: AnyObject,
}

/// Client of the platform; clones share the limits and the counts.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    base: String,
    limiter: Arc<Mutex<Limiter>>,
    counts: Arc<Counts>,
}

impl Platform {
    /// Client of the platform at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self::with_rates(addr, Rates::default())
    }

    /// Client that keeps to `rates`.
    pub fn with_rates(addr: SocketAddr, rates: Rates) -> Self {
        Self {
            client: Client::default(),
            base: format!("http://{addr}{PREFIX}"),
            limiter: Arc::new(Mutex::new(Limiter::new(rates))),
            counts: Arc::default(),
        }
    }

    /// Shows the calls among a router's metrics.
    pub fn with_metrics(self, metrics: Arc<Metrics>) -> Self {
        Self { counts: Arc::new(Counts::new(metrics)), ..self }
    }

    /// Changes the limits, as when the fleet has grown.
    pub fn set_rates(&self, rates: Rates) {
        self.limiter().set_rates(now(), rates);
    }

    /// Calls so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lists the objects of all configuration kinds.
    ///
    /// # Errors
    /// When no answer came.
    pub async fn list(&self) -> Result<List> {
        self.list_at(&format!("{}/{}", self.base, Collection::Configuration.as_str())).await
    }

    /// Lists the objects of one kind.
    ///
    /// # Errors
    /// When no answer came.
    pub async fn list_kind(&self, kind: &str) -> Result<List> {
        self.list_at(&format!("{}/{}/{kind}", self.base, Collection::of(kind).as_str())).await
    }

    async fn list_at(&self, url: &str) -> Result<List> {
        let reply = self.call(Class::Read, Method::GET, url, Bytes::new(), LIST_TIMEOUT).await?;
        ensure!(reply.status == 200, "the platform answered {}", reply.status);
        serde_json::from_slice(&reply.body).context("could not parse the list")
    }

    /// Reads one object.
    ///
    /// # Errors
    /// When no answer came.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<AnyObject>> {
        let url = self.object_url(kind, name);
        let reply = self.call(Class::Read, Method::GET, &url, Bytes::new(), CALL_TIMEOUT).await?;
        match reply.status {
            200 => Ok(Some(serde_json::from_slice(&reply.body).context("could not parse the object")?)),
            404 => Ok(None),
            status => bail!("the platform answered {status}"),
        }
    }

    /// Writes an object if its version is still `obj.metadata.resource_version`; empty creates it.
    ///
    /// # Errors
    /// When the write certainly did not and will not take effect: the platform refused the object or could not be
    /// reached, or a rate limit held the call back.
    pub async fn put(&self, obj: &AnyObject) -> Result<WriteOutcome> {
        let url = self.object_url(&obj.kind, &obj.metadata.name);
        let body = serde_json::to_vec(obj).context("could not encode the object")?;
        ensure!(
            body.len() <= MAX_OBJECT_BYTES,
            "an object of {} bytes exceeds {MAX_OBJECT_BYTES}",
            body.len()
        );
        self.write(Method::PUT, &url, body.into(), obj).await
    }

    /// Deletes an object if its version is still `obj.metadata.resource_version`.
    ///
    /// # Errors
    /// As for [`Platform::put`].
    pub async fn delete(&self, obj: &AnyObject) -> Result<WriteOutcome> {
        let url = self.object_url(&obj.kind, &obj.metadata.name);
        let url = format!("{url}?version={}", obj.metadata.resource_version);
        self.write(Method::DELETE, &url, Bytes::new(), obj).await
    }

    /// Writes an object and finds out what became of it even when answers are lost.
    ///
    /// # Errors
    /// As for [`Platform::put`].
    pub async fn put_resolved(&self, obj: AnyObject, rng: &mut (impl Rng + Send)) -> Result<WriteOutcome> {
        let nonce = format!("{:016x}", rng.random::<u64>());
        let mut writing = PendingWrite::new(obj, nonce, WRITE_TRIES);
        let mut backoff = backoff::Backoff::new(WRITE_BACKOFF, WRITE_BACKOFF_MAX);
        let mut step = writing.start();
        loop {
            match step {
                Step::Send(obj) => {
                    let answer = match self.put(&obj).await {
                        Err(e) if !writing.was_unanswered() => return Err(e),
                        // An earlier try may be in force, so a refusal of this one proves nothing.
                        Err(_) => WriteOutcome::Unknown,
                        Ok(answer) => answer,
                    };
                    if answer == WriteOutcome::Unknown {
                        tokio::time::sleep(backoff.next_delay(rng)).await;
                    }
                    step = writing.answered(answer);
                }
                Step::Done(obj) => return Ok(WriteOutcome::Done(obj)),
                Step::Conflict(obj) => return Ok(WriteOutcome::Conflict(obj)),
                Step::Unknown => return Ok(WriteOutcome::Unknown),
            }
        }
    }

    /// Watches all changes of the configuration after `version`.
    ///
    /// # Errors
    /// When no watch could be opened.
    pub async fn watch(&self, version: Version) -> Result<OpenedWatch> {
        let url = format!("{}/watch/{}?from={version}", self.base, Collection::Configuration.as_str());
        let res = self.send(Class::Watch, Method::GET, &url, Bytes::new(), CALL_TIMEOUT).await?;
        match res.status().as_u16() {
            200 => Ok(OpenedWatch::Open(Watch::new(res.into_body()))),
            410 => Ok(OpenedWatch::Expired),
            status => bail!("the platform answered {status}"),
        }
    }

    fn object_url(&self, kind: &str, name: &str) -> String {
        format!("{}/{}/{kind}/{name}", self.base, Collection::of(kind).as_str())
    }

    async fn write(&self, method: Method, url: &str, body: Bytes, obj: &AnyObject) -> Result<WriteOutcome> {
        let reply = match self.call(Class::of_write(&obj.kind), method, url, body, CALL_TIMEOUT).await {
            Ok(reply) => reply,
            Err(e) if e.downcast_ref::<NotSent>().is_some() => return Err(e),
            Err(_) => return Ok(WriteOutcome::Unknown),
        };
        match reply.status {
            200 | 201 => match serde_json::from_slice(&reply.body) {
                Ok(obj) => Ok(WriteOutcome::Done(obj)),
                Err(_) => Ok(WriteOutcome::Unknown),
            },
            404 => Ok(WriteOutcome::Conflict(None)),
            409 => Ok(WriteOutcome::Conflict(serde_json::from_slice(&reply.body).unwrap_or_default())),
            500.. => Ok(WriteOutcome::Unknown),
            429 => bail!("the platform's rate limit refused the write"),
            _ => {
                let name = &obj.metadata.name;
                bail!("the platform refused {name}: {}", String::from_utf8_lossy(&reply.body))
            }
        }
    }

    fn limiter(&self) -> MutexGuard<'_, Limiter> {
        lock(&self.limiter)
    }
}
