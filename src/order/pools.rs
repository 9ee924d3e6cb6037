//! Reads from the configuration which orders which pools need, and decides which routers try to hold their leases.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::Intent;
use crate::{
    catalog::{AnyObject, Catalog, Id},
    schema::object::EnginePool,
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

/// The pools that state models, adapters or a role, by name; their engines are those of the compiled catalog.
pub fn pools(objects: &[Arc<AnyObject>], cat: &Catalog) -> BTreeMap<Arc<str>, Pool> {
    let stated = objects.iter().filter(|obj| obj.kind == "EnginePool").filter_map(|obj| pool(obj, cat));
    let mut pools: BTreeMap<_, _> = stated.collect();
    share_out(&mut pools);
    pools
}

fn pool(obj: &AnyObject, cat: &Catalog) -> Option<(Arc<str>, Pool)> {
    let spec: EnginePool = serde_json::from_value(obj.spec.clone()).ok()?;
    if spec.models.is_empty() && spec.adapters.is_empty() && spec.role.is_empty() {
        return None;
    }
    let name: Arc<str> = obj.metadata.name.as_str().into();
    let members = &cat.pool_by_id(Id::of(&name))?.engines;
    let engines = members.iter().map(|key| cat.engine(*key)).map(|e| (e.name.clone(), e.addr)).collect();
    let intent = Intent::from(&spec);
    Some((name, Pool { intent, engines, checks_fencing: spec.checks_fencing, share: 0.0 }))
}

/// Divides the weight store's rate by the number of engines.
fn share_out(pools: &mut BTreeMap<Arc<str>, Pool>) {
    let total: usize = pools.values().map(|p| p.engines.len()).sum();
    for pool in pools.values_mut() {
        pool.share = pool.engines.len() as f64 / total.max(1) as f64;
    }
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
