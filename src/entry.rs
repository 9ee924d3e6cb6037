//! Entry answers: which routers a caller should use, in which order, and for how long.

use std::{net::SocketAddr, sync::Arc};

use crate::util::hash;

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

/// What a caller asks.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Caller's data centre; empty for the answering router's.
    pub data_centre: Arc<str>,
    /// Caller's region; empty for the answering router's.
    pub region: Arc<str>,
    /// Chat or workspace that shall meet the same router again.
    pub key: Option<Arc<str>>,
    /// Spreads callers without a key.
    pub salt: u64,
}

/// Orders `routers` for one caller: nearest first, then by rendezvous hashing of the key.
pub fn order(routers: &[Router], query: &Query, most: usize) -> Vec<Router> {
    let key = query.key.as_deref().map_or(query.salt, hash);
    let mut list: Vec<_> = routers.to_vec();
    list.sort_by_cached_key(|r| (distance(r, query), hash((&*r.name, key))));
    list.truncate(most);
    list
}

fn distance(r: &Router, query: &Query) -> u8 {
    if r.data_centre == query.data_centre {
        return 0;
    }
    if r.region == query.region { 1 } else { 2 }
}
