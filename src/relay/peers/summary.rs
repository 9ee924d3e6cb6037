//! What data centres tell each other of their hosts.

use super::{Peer, Peers};
use crate::{
    relay::backends::Tag,
    schema::fleet::{Centre, InProgress, Member},
    util::{Instant, Map, Set, hash},
};

/// What a summary told of another data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Summary {
    pub(super) heard: Instant,
    pub(super) loads: Map<Tag, u32>,
}

/// Tag of a host in summaries.
fn member_tag(member: &Member) -> u32 {
    hash(&member.peers) as u32
}

impl Peers {
    pub(super) fn summarised(&mut self, now: Instant, centre: String, told: &Centre) {
        if centre == self.data_centre {
            return;
        }
        let loads: Map<_, _> = told.in_progress.iter().map(|l| (l.backend, l.requests)).collect();
        let limit = self.lost_summary();
        let named = |p: &&Peer| p.named.is_some_and(|named| named + limit >= now) && is_in(p, &centre);
        let known = self.peers.values().filter(named).count();
        // A host that has just started knows few others of its data centre; one that leaves hosts out has lost them.
        let is_whole = told.ready.len() * 2 > known;
        let ready: Set<u32> = told.ready.iter().copied().collect();
        for peer in self.peers.values_mut() {
            match &peer.member {
                Some(member) if ready.contains(&member_tag(member)) => peer.named = Some(now),
                Some(member) if is_whole && member.data_centre == centre => peer.named = None,
                _ => {}
            }
        }
        let summary = self.centres.entry(centre).or_default();
        let old = std::mem::replace(summary, Summary { heard: now, loads: loads.clone() });
        self.count(&old.loads, &loads);
    }

    /// The summary of the own data centre, with this host's own requests in progress.
    pub fn data_centre_summary(&self, own: &[InProgress], me: &Member, ready: bool) -> Centre {
        let mut loads: Map<Tag, u32> = own.iter().map(|l| (l.backend, l.requests)).collect();
        let near = self
            .peers
            .values()
            .filter(|p| p.member.as_ref().is_some_and(|m| m.data_centre == me.data_centre));
        let mut tags: Vec<_> = ready.then(|| member_tag(me)).into_iter().collect();
        for peer in near {
            for (tag, n) in &peer.loads {
                *loads.entry(*tag).or_default() += n;
            }
            tags.extend(peer.member.as_ref().filter(|_| peer.ready).map(member_tag));
        }
        let in_progress = loads.into_iter().map(|(backend, requests)| InProgress { backend, requests });
        Centre { in_progress: in_progress.collect(), ready: tags }
    }
}

fn is_in(peer: &Peer, data_centre: &str) -> bool {
    peer.member.as_ref().is_some_and(|m| m.data_centre == data_centre)
}
