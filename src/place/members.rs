//! The routers, and which of them owns an engine.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    catalog::Id,
    util::{Map, hash},
};

/// A router as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifier made from the name.
    pub id: Id,
    /// Data centre in which it stands.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Where other routers reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub addr: SocketAddr,
}

/// How far a data centre is from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same data centre.
    Own,
    /// Another one of the same region.
    Region,
    /// In another region, or not known.
    Far,
}

/// Live routers. Two routers with different lists disagree only on the engines of the routers that differ.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Vec<Member>,
    regions: Map<Arc<str>, Arc<str>>,
    owners: Map<Id, usize>,
}

impl Members {
    /// Members of this list; routers that take no new ownership are not in it.
    pub fn new(list: Vec<Member>) -> Self {
        let regions = list.iter().map(|m| (m.data_centre.clone(), m.region.clone())).collect();
        Self { list, regions, owners: Map::default() }
    }

    /// All members.
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// The member that owns an engine of a data centre: by rendezvous hashing over the routers there, else over
    /// those of any other, so that an engine without a router nearby has one too.
    pub fn owner(&mut self, engine: Id, data_centre: &str) -> Option<&Member> {
        if let Some(&at) = self.owners.get(&engine) {
            return self.list.get(at);
        }
        let at = (0..self.list.len()).min_by_key(|&at| {
            let member = &self.list[at];
            (self.distance(&member.data_centre, data_centre), hash((engine.0, member.id.0)))
        })?;
        self.owners.insert(engine, at);
        self.list.get(at)
    }

    /// Engines whose owner was looked up and is `member`.
    pub fn known_of(&self, member: Id) -> impl Iterator<Item = Id> {
        let of = move |(&id, &at): (&Id, &usize)| (self.list.get(at)?.id == member).then_some(id);
        self.owners.iter().filter_map(of)
    }

    /// How far apart two data centres are.
    pub fn distance(&self, a: &str, b: &str) -> Distance {
        if a == b {
            return Distance::Own;
        }
        match (self.regions.get(a), self.regions.get(b)) {
            (Some(a), Some(b)) if a == b => Distance::Region,
            _ => Distance::Far,
        }
    }
}
