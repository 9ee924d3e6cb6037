//! Configuration compiled from the platform's objects: engines, pools, policies, workspaces and services.
//!
//! Selectors are evaluated once a configuration change; a request only looks things up.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use slotmap::{SlotMap, new_key_type};

use crate::{
    schema::object::{self as raw, Selector},
    util::Map,
};

new_key_type! {
    /// Key of an engine in a [`Catalog`].
    pub struct EngineKey;
}

/// One stored object: kind, metadata and spec.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Object<S> {
    /// Kind, such as `EnginePool`.
    pub kind: String,
    /// Name, labels, version.
    pub metadata: raw::Meta,
    /// What the operator states.
    pub spec: S,
}

/// An object whose spec has not been parsed.
pub type AnyObject = Object<serde_json::Value>;

/// Labels of an object.
pub type Labels = BTreeMap<String, String>;

/// An engine as the configuration describes it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name.
    pub name: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: Arc<str>,
    /// Requests that it runs well at once.
    pub capacity: u32,
    labels: Labels,
}

/// Engines that serve together.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name.
    pub name: Arc<str>,
    /// Members.
    pub engines: Vec<EngineKey>,
    /// Highest load of an engine as a multiple of the mean.
    pub load_bound: f64,
}

/// A plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Backend servers.
    pub engines: Vec<EngineKey>,
    /// Path prefixes whose calls may not be repeated.
    pub non_idempotent: Vec<Arc<str>>,
    /// Whether such a call needs an idempotency key.
    pub require_key: bool,
}

#[derive(Clone, Debug)]
struct Policy {
    workspaces: Selector,
    model: Arc<str>,
    pool: Arc<str>,
    rank: u32,
}

/// Why no pool serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPool {
    /// The workspace is not configured.
    UnknownWorkspace,
    /// No policy routes this workspace and model.
    NoPolicy,
    /// The policy's pool has no engine.
    EmptyPool,
}

/// Compiled configuration of one version.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version of the platform's collection from which it was compiled.
    pub version: u64,
    engines: SlotMap<EngineKey, Engine>,
    pools: Map<Arc<str>, Pool>,
    policies: Vec<Policy>,
    workspaces: Map<Arc<str>, Labels>,
    services: Map<Arc<str>, Service>,
}

const DEFAULT_BOUND: f64 = 1.25;

impl Catalog {
    /// Compiles `objects`; returns the catalog and what is wrong with objects that were left out.
    pub fn compile(version: u64, objects: &[AnyObject]) -> (Self, Vec<String>) {
        let mut cat = Self { version, ..Self::default() };
        let mut faults = Vec::new();
        for obj in objects {
            if let Err(e) = cat.add_base(obj) {
                faults.push(format!("{}/{}: {e:#}", obj.kind, obj.metadata.name));
            }
        }
        for obj in objects {
            if let Err(e) = cat.add_derived(obj) {
                faults.push(format!("{}/{}: {e:#}", obj.kind, obj.metadata.name));
            }
        }
        cat.policies.sort_by_key(|p| std::cmp::Reverse(p.rank));
        (cat, faults)
    }

    fn add_base(&mut self, obj: &AnyObject) -> anyhow::Result<()> {
        let name: Arc<str> = obj.metadata.name.as_str().into();
        match obj.kind.as_str() {
            "Engine" => {
                let spec: raw::Engine = parse(obj)?;
                self.engines.insert(Engine {
                    name,
                    addr: spec.address.parse()?,
                    data_centre: spec.data_centre.into(),
                    capacity: spec.capacity.max(1),
                    labels: obj.metadata.labels.clone(),
                });
            }
            "Workspace" => {
                let _: raw::Workspace = parse(obj)?;
                self.workspaces.insert(name, obj.metadata.labels.clone());
            }
            _ => {}
        }
        Ok(())
    }

    fn add_derived(&mut self, obj: &AnyObject) -> anyhow::Result<()> {
        let name: Arc<str> = obj.metadata.name.as_str().into();
        match obj.kind.as_str() {
            "EnginePool" => {
                let spec: raw::EnginePool = parse(obj)?;
                let engines = self.select(&spec.engines.unwrap_or_default());
                let load_bound = match spec.load_bound_milli {
                    0 => DEFAULT_BOUND,
                    milli => f64::from(milli) / 1000.0,
                };
                self.pools.insert(name.clone(), Pool { name, engines, load_bound });
            }
            "RoutingPolicy" => {
                let spec: raw::RoutingPolicy = parse(obj)?;
                self.policies.push(Policy {
                    workspaces: spec.workspaces.unwrap_or_default(),
                    model: spec.model.into(),
                    pool: spec.pool.into(),
                    rank: spec.rank,
                });
            }
            "Service" => {
                let spec: raw::Service = parse(obj)?;
                let service = Service {
                    engines: self.select(&spec.engines.unwrap_or_default()),
                    non_idempotent: spec.non_idempotent.into_iter().map(Into::into).collect(),
                    require_key: spec.require_key,
                };
                self.services.insert(name, service);
            }
            _ => {}
        }
        Ok(())
    }

    fn select(&self, selector: &Selector) -> Vec<EngineKey> {
        let mut keys: Vec<_> =
            self.engines.iter().filter(|(_, e)| matches(selector, &e.labels)).map(|(k, _)| k).collect();
        keys.sort_by(|a, b| self.engines[*a].name.cmp(&self.engines[*b].name));
        keys
    }

    /// The pool that serves chats of `workspace` with `model`.
    ///
    /// # Errors
    /// Never falls back to engines that the operator excluded.
    pub fn pool(&self, workspace: &str, model: &str) -> Result<&Pool, NoPool> {
        let labels = self.workspaces.get(workspace).ok_or(NoPool::UnknownWorkspace)?;
        let policy = self
            .policies
            .iter()
            .find(|p| (p.model.is_empty() || &*p.model == model) && matches(&p.workspaces, labels))
            .ok_or(NoPool::NoPolicy)?;
        let pool = self.pools.get(&policy.pool).ok_or(NoPool::NoPolicy)?;
        if pool.engines.is_empty() {
            return Err(NoPool::EmptyPool);
        }
        Ok(pool)
    }

    /// The plain service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether the workspace is configured.
    pub fn has_workspace(&self, name: &str) -> bool {
        self.workspaces.contains_key(name)
    }

    /// The engine behind a key of this catalog.
    pub fn engine(&self, key: EngineKey) -> &Engine {
        &self.engines[key]
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        self.engines.iter()
    }
}

fn parse<T: serde::de::DeserializeOwned>(obj: &AnyObject) -> anyhow::Result<T> {
    Ok(serde_json::from_value(obj.spec.clone())?)
}

/// Whether `labels` meet every part of `selector`; an empty selector matches all.
pub fn matches(selector: &Selector, labels: &Labels) -> bool {
    let equal = selector.match_labels.iter().all(|(k, v)| labels.get(k) == Some(v));
    equal && selector.match_expressions.iter().all(|r| meets(r, labels))
}

fn meets(req: &raw::Requirement, labels: &Labels) -> bool {
    let value = labels.get(&req.key);
    match req.operator.as_str() {
        "In" => value.is_some_and(|v| req.values.contains(v)),
        "NotIn" => value.is_none_or(|v| !req.values.contains(v)),
        "Exists" => value.is_some(),
        "DoesNotExist" => value.is_none(),
        _ => false,
    }
}
