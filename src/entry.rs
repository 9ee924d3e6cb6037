//! Entry answers: which routers a caller should use and in which order.

use std::{net::SocketAddr, sync::Arc};

use crate::util::hash;

mod directory;
mod query;

pub use directory::{Candidate, Directory, LOST_RETENTION};
pub use query::{Query, QueryError};

/// Maximum number of routers in one answer.
pub const MAX_ROUTERS: usize = 8;
/// Number of routers in an answer that are reserved for other data centres, in case the whole local one fails.
const MIN_REMOTE_ROUTERS: usize = 2;

/// Router that entry answers may list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Name.
    pub name: Arc<str>,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Data centre of the router.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
}

/// Orders `routers` for one caller: nearest first, and by rendezvous hashing of the key at the same distance.
///
/// When a router joins or leaves, only the keys that have it as first choice move.
pub fn rank_routers(routers: &[Router], query: &Query, max_routers: usize) -> Vec<Router> {
    let key = query.key.as_deref().map_or(query.salt, hash);
    let mut list: Vec<_> = routers.to_vec();
    list.sort_by_cached_key(|r| (distance(r, query), hash((&*r.name, key))));
    let local = list.iter().take_while(|r| r.data_centre == query.data_centre).count();
    let max_local = max_routers.saturating_sub(MIN_REMOTE_ROUTERS);
    if local > max_local && list.len() > local {
        list.drain(max_local..local);
    }
    list.truncate(max_routers);
    list
}

/// Distance of a router from the caller: 0 in the same data centre, 1 in the same region, otherwise 2.
fn distance(r: &Router, query: &Query) -> u8 {
    if r.data_centre == query.data_centre {
        return 0;
    }
    if r.region == query.region { 1 } else { 2 }
}
