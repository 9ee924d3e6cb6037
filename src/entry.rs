//! Entry answers: which routers a caller should use, in which order, and for how long.

use std::{net::SocketAddr, sync::Arc};

use crate::util::hash;

mod directory;
mod query;

pub use directory::{Candidate, Directory, LOST_RETENTION};
pub use query::{Query, QueryError};

/// Most routers in one answer.
pub const MAX_ROUTERS: usize = 8;
/// Last places of an answer that are kept for another data centre, should the nearest one be lost as a whole.
const MIN_REMOTE_ROUTERS: usize = 2;

/// A router that may be handed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Name.
    pub name: Arc<str>,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
}

/// Orders `routers` for one caller: nearest first, then by rendezvous hashing of the key.
///
/// A router that comes or goes moves only the keys that are its own.
pub fn order(routers: &[Router], query: &Query, max_routers: usize) -> Vec<Router> {
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

fn distance(r: &Router, query: &Query) -> u8 {
    if r.data_centre == query.data_centre {
        return 0;
    }
    if r.region == query.region { 1 } else { 2 }
}
