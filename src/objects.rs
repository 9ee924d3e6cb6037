//! Client of the platform's object API: get, list, create, conditional update, delete and watch.
//!
//! Objects belong to one of two collections, each with its own version: the configuration, which routers list and
//! watch, and the records (leases, claim shards). They are separate so that the frequent writes of records are not sent
//! to every watch.

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
mod decode;
mod transport;
mod watch;
mod write;

use calls::{Class, Counts, Limiter, Rates};
use decode::Decoder;
use transport::NotSent;
pub use watch::{NextEvent, OpenedWatch, Watch};
pub use write::{PendingWrite, Step};

/// Version of an object or of a collection.
pub type Version = u64;

/// Path under which the API is served.
pub(crate) const PREFIX: &str = "/apis/cranberrytally/v1";
/// Maximum size of an object that the platform accepts.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

const WRITE_ATTEMPTS: u32 = 5;
const WRITE_BACKOFF_BASE: Duration = Duration::from_millis(100);
const WRITE_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Kinds that operators write. All other kinds are records, written by the routers.
pub const CONFIGURATION_KINDS: [&str; 6] =
    ["Engine", "EnginePool", "RoutingPolicy", "Service", "Workspace", "WorkspaceGroup"];

/// Set of objects under a common version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Collection {
    /// Objects that operators write.
    Configuration,
    /// Leases, claim shards and other objects that routers write.
    Records,
}

impl Collection {
    /// Both collections.
    pub const ALL: [Collection; 2] = [Collection::Configuration, Collection::Records];

    /// Returns the collection that contains the objects of a kind.
    pub fn of(kind: &str) -> Self {
        if CONFIGURATION_KINDS.contains(&kind) { Collection::Configuration } else { Collection::Records }
    }

    /// Name in URL paths of the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Collection::Configuration => "configuration",
            Collection::Records => "records",
        }
    }
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and stored this object.
    Done(AnyObject),
    /// Another write came first. Contains the current object, if it exists.
    Conflict(Option<AnyObject>),
    /// No response was received; the write may have taken effect or may still do so.
    Unknown,
}

/// Objects with the version of their collection.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct List {
    /// Version of the collection.
    pub version: Version,
    /// Objects of all kinds, or of the requested kind.
    pub items: Vec<AnyObject>,
}

/// Change reported by a watch.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Version of the collection after the change.
    pub version: Version,
    /// Whether the object was deleted.
    pub deleted: bool,
    /// The object.
    pub object: AnyObject,
}

/// Client of the platform's object API; clones share the rate limits and the counters.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    base: String,
    limiter: Arc<Mutex<Limiter>>,
    counts: Arc<Counts>,
    decoder: Arc<Decoder>,
}

impl Platform {
    /// Creates a client of the platform at `addr` with the default rate limits.
    pub fn new(addr: SocketAddr) -> Self {
        Self::with_rates(addr, Rates::default())
    }

    /// Creates a client with the rate limits `rates`.
    pub fn with_rates(addr: SocketAddr, rates: Rates) -> Self {
        Self {
            client: Client::default(),
            base: format!("http://{addr}{PREFIX}"),
            limiter: Arc::new(Mutex::new(Limiter::new(rates))),
            counts: Arc::default(),
            decoder: Arc::default(),
        }
    }

    /// Also counts the calls in `metrics`.
    pub fn with_metrics(self, metrics: Arc<Metrics>) -> Self {
        Self { counts: Arc::new(Counts::new(metrics)), ..self }
    }

    /// Changes the rate limits, for example when the size of the fleet changes.
    pub fn set_rates(&self, rates: Rates) {
        self.limiter().set_rates(now(), rates);
    }

    /// Counters of the calls made so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lists the objects of all configuration kinds. An unreadable one has a null spec.
    ///
    /// # Errors
    /// If the call fails or the platform returns no list.
    pub async fn list(&self) -> Result<List> {
        self.list_at(&format!("{}/{}", self.base, Collection::Configuration.as_str())).await
    }

    /// Lists the objects of one kind. An unreadable one has a null spec.
    ///
    /// # Errors
    /// If the call fails or the platform returns no list.
    pub async fn list_kind(&self, kind: &str) -> Result<List> {
        self.list_at(&format!("{}/{}/{kind}", self.base, Collection::of(kind).as_str())).await
    }

    async fn list_at(&self, url: &str) -> Result<List> {
        let reply = self.call(Class::Read, Method::GET, url, Bytes::new(), LIST_TIMEOUT).await?;
        ensure!(reply.status == 200, "the platform responded with status {}", reply.status);
        self.decoder.list(&reply.body).context("could not parse the list")
    }

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    /// If the call fails or the response is invalid.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<AnyObject>> {
        let url = self.object_url(kind, name);
        let reply = self.call(Class::Read, Method::GET, &url, Bytes::new(), CALL_TIMEOUT).await?;
        match reply.status {
            200 => Ok(Some(serde_json::from_slice(&reply.body).context("could not parse the object")?)),
            404 => Ok(None),
            status => bail!("the platform responded with status {status}"),
        }
    }

    /// Writes an object if its version is still `obj.metadata.resource_version`; an empty version creates it.
    ///
    /// # Errors
    /// If the write certainly has not taken effect and never will: the platform rejected the object or could not be
    /// reached, or a rate limit prevented the call.
    pub async fn put(&self, obj: &AnyObject) -> Result<WriteOutcome> {
        let url = self.object_url(&obj.kind, &obj.metadata.name);
        let body = serde_json::to_vec(obj).context("could not encode the object")?;
        ensure!(
            body.len() <= MAX_OBJECT_BYTES,
            "object too large: {} of at most {MAX_OBJECT_BYTES} bytes",
            body.len()
        );
        self.write(Method::PUT, &url, body.into(), obj).await
    }

    /// Deletes an object if its version is still `obj.metadata.resource_version`.
    ///
    /// # Errors
    /// Same as [`Platform::put`].
    pub async fn delete(&self, obj: &AnyObject) -> Result<WriteOutcome> {
        let url = self.object_url(&obj.kind, &obj.metadata.name);
        let url = format!("{url}?version={}", obj.metadata.resource_version);
        self.write(Method::DELETE, &url, Bytes::new(), obj).await
    }

    /// Writes an object and retries until the outcome is known, also when responses are lost.
    ///
    /// # Errors
    /// Same as [`Platform::put`].
    pub async fn put_with_retries(
        &self,
        obj: AnyObject,
        rng: &mut (impl Rng + Send),
    ) -> Result<WriteOutcome> {
        let nonce = format!("{:016x}", rng.random::<u64>());
        let mut write = PendingWrite::new(obj, nonce, WRITE_ATTEMPTS);
        let mut backoff = backoff::Backoff::new(WRITE_BACKOFF_BASE, WRITE_BACKOFF_MAX);
        let mut step = write.next_attempt();
        loop {
            match step {
                Step::Send(obj) => {
                    let outcome = match self.put(&obj).await {
                        Err(e) if !write.was_unanswered() => return Err(e),
                        // An earlier attempt may have taken effect, so an error of this one decides nothing.
                        Err(_) => WriteOutcome::Unknown,
                        Ok(outcome) => outcome,
                    };
                    if outcome == WriteOutcome::Unknown {
                        tokio::time::sleep(backoff.next_delay(rng)).await;
                    }
                    step = write.handle_outcome(outcome);
                }
                Step::Done(obj) => return Ok(WriteOutcome::Done(obj)),
                Step::Conflict(obj) => return Ok(WriteOutcome::Conflict(obj)),
                Step::Unknown => return Ok(WriteOutcome::Unknown),
            }
        }
    }

    /// Opens a watch on the changes of the configuration after `version`.
    ///
    /// # Errors
    /// If the watch could not be opened.
    pub async fn watch(&self, version: Version) -> Result<OpenedWatch> {
        let url = format!("{}/watch/{}?from={version}", self.base, Collection::Configuration.as_str());
        let res = self.send(Class::Watch, Method::GET, &url, Bytes::new(), CALL_TIMEOUT).await?;
        match res.status().as_u16() {
            200 => Ok(OpenedWatch::Open(Watch::new(res.into_body(), self.decoder.clone()))),
            410 => Ok(OpenedWatch::Expired),
            status => bail!("the platform responded with status {status}"),
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
            429 => bail!("the platform rejected the write: its rate limit was exceeded"),
            _ => {
                let name = &obj.metadata.name;
                bail!("the platform rejected {name}: {}", String::from_utf8_lossy(&reply.body))
            }
        }
    }

    fn limiter(&self) -> MutexGuard<'_, Limiter> {
        lock(&self.limiter)
    }
}
