//! Live routers and the ownership of engines among them.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    catalog::Id,
    util::{Map, hash},
};

/// A live router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Hash of the router's name.
    pub id: Id,
    /// Data centre of the router.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Address for other routers.
    pub peer: SocketAddr,
    /// Address for callers.
    pub addr: SocketAddr,
}

/// Distance between two data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same data centre.
    SameDataCentre,
    /// Different data centres of the same region.
    SameRegion,
    /// Different or unknown regions.
    OtherRegion,
}

/// Live routers and the engine owners derived from them. Routers with different member lists disagree only on the
/// engines owned by the members that differ.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Vec<Member>,
    regions: Map<Arc<str>, Arc<str>>,
    /// Owner of each engine that was looked up, as position in `list`.
    owner_cache: Map<Id, usize>,
}

impl Members {
    /// Creates the membership from a list without routers that must not own engines, such as leaving ones.
    pub fn new(list: Vec<Member>) -> Self {
        let regions = list.iter().map(|m| (m.data_centre.clone(), m.region.clone())).collect();
        Self { list, regions, owner_cache: Map::default() }
    }

    /// All members.
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// Owner of an engine, by rendezvous hashing over the routers nearest to its data centre. Without a router in
    /// that data centre, one of the region or of any other region owns the engine.
    pub fn owner(&mut self, engine: Id, data_centre: &str) -> Option<&Member> {
        if let Some(&at) = self.owner_cache.get(&engine) {
            return self.list.get(at);
        }
        let at = (0..self.list.len()).min_by_key(|&at| {
            let member = &self.list[at];
            (self.distance(&member.data_centre, data_centre), hash((engine.0, member.id.0)))
        })?;
        self.owner_cache.insert(engine, at);
        self.list.get(at)
    }

    /// Engines owned by `member`, among those whose owner has been looked up.
    pub fn known_engines_of(&self, member: Id) -> impl Iterator<Item = Id> {
        let is_owner = move |(&id, &at): (&Id, &usize)| (self.list.get(at)?.id == member).then_some(id);
        self.owner_cache.iter().filter_map(is_owner)
    }

    /// Distance between two data centres.
    pub fn distance(&self, a: &str, b: &str) -> Distance {
        if a == b {
            return Distance::SameDataCentre;
        }
        match (self.regions.get(a), self.regions.get(b)) {
            (Some(a), Some(b)) if a == b => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}
