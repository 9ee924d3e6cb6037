//! Catalog: the platform's configuration objects (engines, pools, policies, workspaces, services), compiled for
//! lookups.
//!
//! Selectors are evaluated once per configuration change, not per request.

use std::{borrow::Borrow, cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc};

use anyhow::{Context, Result, bail};
use slotmap::{SlotMap, new_key_type};

use crate::{
    admit::{ConcurrencyLimit, Scope},
    place::rank::Ranking,
    schema::object as raw,
    util::{Map, hash},
};

mod selector;

pub use selector::{matches, validate};

new_key_type! {
    /// Key of an engine in one [`Catalog`]; not valid in any other catalog.
    pub struct EngineKey;
}

/// Identifier of a named object, a hash of its name; equal on all routers and in all catalogs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Id(pub u64);

impl Id {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        Self(hash(name).max(1))
    }
}

/// Configuration object as stored by the platform.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Object<S> {
    /// Kind, such as `EnginePool`.
    pub kind: String,
    /// Name, labels, version.
    pub metadata: raw::Meta,
    /// Specification written by the operator.
    pub spec: S,
}

/// Object with an unparsed spec.
pub type AnyObject = Object<serde_json::Value>;

/// Labels of an object.
pub type Labels = BTreeMap<String, String>;

/// Configured engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Identifier of the engine.
    pub id: Id,
    /// Name.
    pub name: Arc<str>,
    /// Listen address.
    pub addr: SocketAddr,
    /// Data centre of the engine.
    pub data_centre: Arc<str>,
    /// Number of requests that the engine can run concurrently without slowing down.
    pub capacity: u32,
    labels: Labels,
}

/// Label that takes an engine out of service when an operator sets it to `true`.
pub const LEAVING_LABEL: &str = "leaving";

impl Engine {
    /// Whether the engine has the label [`LEAVING_LABEL`] with the value `true`.
    pub fn has_leaving_label(&self) -> bool {
        self.labels.get(LEAVING_LABEL).is_some_and(|v| v == "true")
    }
}

/// Pool of engines that share load.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Identifier of the pool.
    pub id: Id,
    /// Name.
    pub name: Arc<str>,
    /// Engines selected by the pool.
    pub engines: Vec<EngineKey>,
    /// Maximum load of an engine, as a multiple of the mean.
    pub load_bound: f64,
    by_id: Map<Id, EngineKey>,
    by_data_centre: Vec<(Arc<str>, Ranking)>,
}

impl Pool {
    /// Key of the engine with this identifier; `None` if the pool does not select it.
    pub fn member(&self, id: Id) -> Option<EngineKey> {
        self.by_id.get(&id).copied()
    }

    /// Engines by data centre, grouped for ranking.
    pub fn by_data_centre(&self) -> &[(Arc<str>, Ranking)] {
        &self.by_data_centre
    }
}

/// Plain (non-chat) service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Backend servers.
    pub engines: Vec<EngineKey>,
    /// Backend servers, grouped for ranking.
    pub ranking: Ranking,
    /// Path prefixes whose calls are not idempotent, whatever their method.
    pub non_idempotent: Vec<Arc<str>>,
    /// Paths, including their subpaths, whose `POST` and `PATCH` calls are idempotent.
    pub idempotent: Vec<Arc<str>>,
    /// Whether a call that is not idempotent requires an idempotency key.
    pub require_key: bool,
}

#[derive(Clone, Debug)]
struct Policy {
    name: Arc<str>,
    workspaces: raw::Selector,
    model: Arc<str>,
    pool: Arc<str>,
    rank: u32,
}

/// Why no pool was found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPool {
    /// The workspace is not configured.
    UnknownWorkspace,
    /// No policy routes this workspace and model.
    NoPolicy,
    /// The policy names a pool that is not configured or has an invalid spec.
    UnknownPool,
    /// No engine matches the pool's selector.
    EmptyPool,
}

/// Compiled configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version of the platform's collection that was compiled.
    pub version: u64,
    engines: SlotMap<EngineKey, Engine>,
    by_id: Map<Id, EngineKey>,
    pools: Map<Arc<str>, Pool>,
    pools_by_id: Map<Id, Arc<str>>,
    policies: Vec<Policy>,
    workspaces: Map<Arc<str>, Labels>,
    concurrency_limits: Map<Arc<str>, Arc<[ConcurrencyLimit]>>,
    /// For each workspace, the policies that select it, as positions in `policies`, highest rank first.
    routes: Map<Arc<str>, Vec<usize>>,
    services: Map<Arc<str>, Service>,
}

/// Load bound of pools without a configured one.
const DEFAULT_LOAD_BOUND: f64 = 1.25;
/// Minimum load bound, in thousandths of the mean. A bound of the mean itself can't be enforced, since some engine is
/// always above the mean.
pub(crate) const MIN_LOAD_BOUND_MILLI: u32 = 1050;

impl Catalog {
    /// Compiles `objects`. Invalid objects are skipped, and their problems are returned with the catalog.
    pub fn compile(version: u64, objects: &[impl Borrow<AnyObject>]) -> (Self, Vec<String>) {
        let mut cat = Self { version, ..Self::default() };
        let mut problems = Vec::new();
        for obj in objects.iter().map(Borrow::borrow) {
            if let Err(e) = cat.add_engine_or_workspace(obj) {
                problems.push(format!("{}/{}: {e:#}", obj.kind, obj.metadata.name));
            }
        }
        for obj in objects.iter().map(Borrow::borrow) {
            if let Err(e) = cat.add_dependent(obj) {
                problems.push(format!("{}/{}: {e:#}", obj.kind, obj.metadata.name));
            }
        }
        cat.build_routes(&mut problems);
        (cat, problems)
    }

    /// Adds a concurrency limit to a workspace; 0 means unlimited.
    fn add_limit(&mut self, workspace: &Arc<str>, scope: Scope, max: u32) {
        if max > 0 {
            let concurrency_limits = self.concurrency_limits.entry(workspace.clone()).or_default();
            *concurrency_limits =
                concurrency_limits.iter().cloned().chain([ConcurrencyLimit { scope, max }]).collect();
        }
    }

    fn add_group_limit(&mut self, name: Arc<str>, spec: raw::WorkspaceGroup) -> Result<()> {
        let selector = spec.workspaces.unwrap_or_default();
        validate(&selector)?;
        let members: Vec<_> =
            self.workspaces.iter().filter(|(_, l)| matches(&selector, l)).map(|(n, _)| n.clone()).collect();
        for workspace in members {
            self.add_limit(&workspace, Scope::Group(name.clone()), spec.max_running);
        }
        Ok(())
    }

    /// Concurrency limits that apply to a workspace: its own and those of its groups.
    pub fn concurrency_limits(&self, workspace: &str) -> Arc<[ConcurrencyLimit]> {
        self.concurrency_limits.get(workspace).cloned().unwrap_or_default()
    }

    fn add_engine_or_workspace(&mut self, obj: &AnyObject) -> Result<()> {
        let name: Arc<str> = obj.metadata.name.as_str().into();
        match obj.kind.as_str() {
            "Engine" => {
                let spec: raw::Engine = parse(obj)?;
                let id = Id::of(&name);
                let addr = spec.address.parse().with_context(|| {
                    format!("`address` is not an IP address and port: {:?}", spec.address)
                })?;
                let key = self.engines.insert(Engine {
                    id,
                    name,
                    addr,
                    data_centre: spec.data_centre.into(),
                    capacity: spec.capacity.max(1),
                    labels: obj.metadata.labels.clone(),
                });
                self.by_id.insert(id, key);
            }
            "Workspace" => {
                let spec: raw::Workspace = parse(obj)?;
                self.add_limit(&name, Scope::Workspace(name.clone()), spec.max_running);
                self.workspaces.insert(name, obj.metadata.labels.clone());
            }
            _ => {}
        }
        Ok(())
    }

    /// Adds an object whose selectors refer to engines or workspaces, which must have been added before.
    fn add_dependent(&mut self, obj: &AnyObject) -> Result<()> {
        let name: Arc<str> = obj.metadata.name.as_str().into();
        match obj.kind.as_str() {
            "EnginePool" => {
                let pool = self.build_pool(name.clone(), parse(obj)?)?;
                self.pools_by_id.insert(pool.id, name.clone());
                self.pools.insert(name, pool);
            }
            "RoutingPolicy" => {
                let spec: raw::RoutingPolicy = parse(obj)?;
                let workspaces = spec.workspaces.unwrap_or_default();
                validate(&workspaces)?;
                let (model, pool) = (spec.model.into(), spec.pool.into());
                self.policies.push(Policy { name, workspaces, model, pool, rank: spec.rank });
            }
            "WorkspaceGroup" => self.add_group_limit(name, parse(obj)?)?,
            "Service" => {
                let spec: raw::Service = parse(obj)?;
                let engines = self.select_engines(&spec.engines.unwrap_or_default())?;
                let service = Service {
                    ranking: Ranking::new(engines.iter().map(|&key| (key, &self.engines[key]))),
                    engines,
                    non_idempotent: spec.non_idempotent.into_iter().map(Into::into).collect(),
                    idempotent: spec.idempotent.into_iter().map(Into::into).collect(),
                    require_key: spec.require_key,
                };
                self.services.insert(name, service);
            }
            _ => {}
        }
        Ok(())
    }

    fn build_pool(&self, name: Arc<str>, spec: raw::EnginePool) -> Result<Pool> {
        let load_bound = match spec.load_bound_milli {
            0 => DEFAULT_LOAD_BOUND,
            milli if milli < MIN_LOAD_BOUND_MILLI => {
                bail!("`loadBoundMilli` is {milli}, but must be 0 or at least {MIN_LOAD_BOUND_MILLI}")
            }
            milli => f64::from(milli) / 1000.0,
        };
        let engines = self.select_engines(&spec.engines.unwrap_or_default())?;
        let by_id = engines.iter().map(|&key| (self.engines[key].id, key)).collect();
        let mut engines_by_data_centre: BTreeMap<Arc<str>, Vec<EngineKey>> = BTreeMap::new();
        for &key in &engines {
            engines_by_data_centre.entry(self.engines[key].data_centre.clone()).or_default().push(key);
        }
        let ranking = |keys: Vec<EngineKey>| Ranking::new(keys.iter().map(|&key| (key, &self.engines[key])));
        let by_data_centre =
            engines_by_data_centre.into_iter().map(|(dc, keys)| (dc, ranking(keys))).collect();
        Ok(Pool { id: Id::of(&name), name, engines, load_bound, by_id, by_data_centre })
    }

    /// Resolves the routing policies of each workspace, by descending rank.
    ///
    /// Policies of equal rank are ordered by name. Each router receives the objects in a different order, so routers
    /// could otherwise route a workspace to different pools.
    fn build_routes(&mut self, problems: &mut Vec<String>) {
        self.policies.sort_by(|a, b| (Reverse(a.rank), &a.name).cmp(&(Reverse(b.rank), &b.name)));
        for policy in self.policies.iter().filter(|p| !self.pools.contains_key(&p.pool)) {
            problems.push(format!("RoutingPolicy/{}: there is no pool {:?}", policy.name, policy.pool));
        }
        for (name, labels) in &self.workspaces {
            let selected = |(at, p): (usize, &Policy)| matches(&p.workspaces, labels).then_some(at);
            let route = self.policies.iter().enumerate().filter_map(selected).collect();
            self.routes.insert(name.clone(), route);
        }
    }

    fn select_engines(&self, selector: &raw::Selector) -> Result<Vec<EngineKey>> {
        validate(selector)?;
        let mut keys: Vec<_> =
            self.engines.iter().filter(|(_, e)| matches(selector, &e.labels)).map(|(k, _)| k).collect();
        keys.sort_by(|a, b| self.engines[*a].name.cmp(&self.engines[*b].name));
        Ok(keys)
    }

    /// Pool that serves chats of `workspace` with `model`.
    ///
    /// # Errors
    /// When no policy applies, or its pool is unknown or empty. There is no fallback to other engines: the operator
    /// may have excluded them.
    pub fn pool(&self, workspace: &str, model: &str) -> Result<&Pool, NoPool> {
        let route = self.routes.get(workspace).ok_or(NoPool::UnknownWorkspace)?;
        let policy = route
            .iter()
            .map(|&at| &self.policies[at])
            .find(|p| p.model.is_empty() || &*p.model == model)
            .ok_or(NoPool::NoPolicy)?;
        let pool = self.pools.get(&policy.pool).ok_or(NoPool::UnknownPool)?;
        if pool.engines.is_empty() {
            return Err(NoPool::EmptyPool);
        }
        Ok(pool)
    }

    /// Pool with this identifier.
    pub fn pool_by_id(&self, id: Id) -> Option<&Pool> {
        self.pools.get(self.pools_by_id.get(&id)?)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Plain service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether the workspace is configured.
    pub fn has_workspace(&self, name: &str) -> bool {
        self.workspaces.contains_key(name)
    }

    /// Engine with this key, which must be of this catalog.
    pub fn engine(&self, key: EngineKey) -> &Engine {
        &self.engines[key]
    }

    /// Key of the engine with this identifier.
    pub fn engine_key(&self, id: Id) -> Option<EngineKey> {
        self.by_id.get(&id).copied()
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        self.engines.iter()
    }
}

fn parse<T: serde::de::DeserializeOwned>(obj: &AnyObject) -> Result<T> {
    Ok(serde_json::from_value(obj.spec.clone())?)
}
