//! Reads from the configuration which orders which pools need, and decides which routers try to hold their leases.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::Intent;
use crate::{
    catalog::{AnyObject, matches},
    schema::object::{Engine, EnginePool},
    util::hash,
};

/// Routers that try to hold one pool's lease: the holder, and one that takes over.
const CANDIDATES: usize = 2;

/// What one pool needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// State that its engines shall have.
    pub intent: Intent,
    /// Its engines and where they listen.
    pub engines: BTreeMap<Arc<str>, SocketAddr>,
    /// Whether its engines refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Its share of the weight store's rate.
    pub share: f64,
}

/// The pools that state models, adapters or a role, by name.
pub fn pools(objects: &[Arc<AnyObject>]) -> BTreeMap<Arc<str>, Pool> {
    let engines: Vec<_> =
        objects.iter().filter_map(|obj| Some((obj, parse::<Engine>(obj, "Engine")?))).collect();
    let mut pools = BTreeMap::new();
    for obj in objects {
        let Some(spec) = parse::<EnginePool>(obj, "EnginePool") else { continue };
        if spec.models.is_empty() && spec.adapters.is_empty() && spec.role.is_empty() {
            continue;
        }
        let selector = spec.engines.clone().unwrap_or_default();
        let members = engines.iter().filter(|(obj, _)| matches(&selector, &obj.metadata.labels));
        let address = |(obj, engine): &(&Arc<AnyObject>, Engine)| {
            Some((Arc::from(obj.metadata.name.as_str()), engine.address.parse().ok()?))
        };
        let pool = Pool {
            intent: Intent::from(&spec),
            engines: members.filter_map(address).collect(),
            checks_fencing: spec.checks_fencing,
            share: 0.0,
        };
        pools.insert(Arc::from(obj.metadata.name.as_str()), pool);
    }
    share_out(&mut pools);
    pools
}

/// Divides the weight store's rate by the number of engines.
fn share_out(pools: &mut BTreeMap<Arc<str>, Pool>) {
    let total: usize = pools.values().map(|p| p.engines.len()).sum();
    for pool in pools.values_mut() {
        pool.share = pool.engines.len() as f64 / total.max(1) as f64;
    }
}

fn parse<T: serde::de::DeserializeOwned>(obj: &AnyObject, kind: &str) -> Option<T> {
    if obj.kind != kind {
        return None;
    }
    serde_json::from_value(obj.spec.clone()).ok()
}

impl From<&EnginePool> for Intent {
    fn from(spec: &EnginePool) -> Self {
        let names = |list: &[String]| list.iter().map(|s| s.as_str().into()).collect();
        Self { models: names(&spec.models), adapters: names(&spec.adapters), role: spec.role.as_str().into() }
    }
}

/// Whether `me` tries to hold the lease of `pool`, among the live routers `members`, `me` included.
///
/// Each pool has its own two, by rendezvous hashing, so that leases and their calls to the platform are spread.
pub fn is_candidate<'a>(me: &str, members: impl IntoIterator<Item = &'a str>, pool: &str) -> bool {
    let rank = |name: &str| hash(("orders", pool, name));
    let mine = rank(me);
    let ahead = members.into_iter().filter(|name| *name != me && rank(name) < mine).count();
    ahead < CANDIDATES
}
