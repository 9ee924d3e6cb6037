//! Chooses the hosts that remember for others which version began a stream.

use std::{cmp::Reverse, net::SocketAddr};

use super::{Peer, Peers};
use crate::util::{Instant, Map, hash};

/// Number of hosts of the highest rank that are compared by data centre.
const MAX_RANKED: usize = 32;

/// A host that remembers a stream for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Address for other hosts.
    pub addr: SocketAddr,
    /// Whether it was heard of recently.
    pub alive: bool,
}

impl Peers {
    /// Whether this host comes before all others that are alive for something with this key, by rendezvous hashing.
    pub fn ranks_first(&self, now: Instant, key: u64) -> bool {
        let (host_timeout, summary_timeout) = (self.host_timeout(), self.summary_timeout());
        let is_alive = |p: &Peer| p.is_heard(now, host_timeout) || p.is_named_ready(now, summary_timeout);
        let own = self.own_addr.map(|addr| hash((key, addr)));
        let others = self.peers.iter().filter(|(_, p)| is_alive(p)).map(|(addr, _)| Some(hash((key, *addr))));
        others.max().flatten() < own
    }

    /// The hosts that remember the stream with this key, in order: by rendezvous hashing, and those of different data
    /// centres first, so that the loss of a data centre does not lose the stream. Hosts that were lost recently are
    /// included, since they may count as lost here only.
    pub fn replicas(&self, now: Instant, stream: u64, max: usize) -> Vec<Replica> {
        let (host_timeout, summary_timeout) = (self.host_timeout(), self.summary_timeout());
        let known = self.peers.iter().filter(|(_, p)| p.was_seen_alive() || p.learned_at.is_some());
        let mut ranked: Vec<_> = known.map(|(addr, p)| (hash((stream, addr)), addr, p)).collect();
        if ranked.len() > MAX_RANKED {
            ranked.select_nth_unstable_by_key(MAX_RANKED, |(rank, ..)| Reverse(*rank));
            ranked.truncate(MAX_RANKED);
        }
        ranked.sort_unstable_by_key(|(rank, ..)| Reverse(*rank));
        let mut in_centre: Map<&str, usize> = Map::default();
        let mut ordered: Vec<_> = ranked
            .into_iter()
            .map(|(rank, addr, p)| {
                let centre = p.member.as_ref().map_or("", |m| &m.data_centre);
                let position = in_centre.entry(centre).or_default();
                *position += 1;
                let alive = p.is_heard(now, host_timeout) || p.is_named_ready(now, summary_timeout);
                (*position, Reverse(rank), Replica { addr: *addr, alive })
            })
            .collect();
        ordered.sort_unstable_by_key(|(position, rank, _)| (*position, *rank));
        ordered.into_iter().take(max).map(|(.., replica)| replica).collect()
    }
}
