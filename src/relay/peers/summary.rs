//! Summaries that data centres exchange about their hosts.

use super::{Peer, Peers};
use crate::{
    relay::backends::Tag,
    schema::fleet::{Centre, InProgress, Member},
    util::{Instant, Map, Set, hash},
};

/// The latest summary of another data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Summary {
    pub(super) received_at: Instant,
    pub(super) loads: Map<Tag, u32>,
}

/// Identifies a host in summaries.
fn member_tag(member: &Member) -> u32 {
    hash(&member.peers) as u32
}

impl Peers {
    /// Applies another data centre's summary: the load of its hosts and which of them are ready.
    pub(super) fn apply_summary(&mut self, now: Instant, data_centre: String, reported: &Centre) {
        if data_centre == self.data_centre {
            return;
        }
        let loads: Map<_, _> = reported.in_progress.iter().map(|l| (l.backend, l.requests)).collect();
        let summary_timeout = self.summary_timeout();
        let is_named_ready = |p: &&Peer| p.is_named_ready(now, summary_timeout) && is_in(p, &data_centre);
        let previously_ready = self.peers.values().filter(is_named_ready).count();
        // A host that has just started knows few others of its data centre, so that hosts missing from a short
        // summary are kept; those missing from a long one are lost.
        let is_complete = reported.ready.len() * 2 > previously_ready;
        let ready: Set<u32> = reported.ready.iter().copied().collect();
        for peer in self.peers.values_mut() {
            match &peer.member {
                Some(member) if ready.contains(&member_tag(member)) => peer.named_ready = Some(now),
                Some(member) if is_complete && member.data_centre == data_centre => peer.named_ready = None,
                _ => {}
            }
        }
        let summary = self.summaries.entry(data_centre).or_default();
        let old = std::mem::replace(summary, Summary { received_at: now, loads: loads.clone() });
        self.update_loads(&old.loads, &loads);
    }

    /// The summary of this host's data centre, including its own requests in progress.
    pub fn data_centre_summary(&self, own: &[InProgress], me: &Member, ready: bool) -> Centre {
        let mut loads: Map<Tag, u32> = own.iter().map(|l| (l.backend, l.requests)).collect();
        let local = self
            .peers
            .values()
            .filter(|p| p.member.as_ref().is_some_and(|m| m.data_centre == me.data_centre));
        let mut tags: Vec<_> = ready.then(|| member_tag(me)).into_iter().collect();
        for peer in local {
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
