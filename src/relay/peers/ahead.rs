//! Chooses the peers to fetch newer state from.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::{LocalVersions, Peer, Peers};
use crate::util::Instant;

/// How long a peer must be ahead before its newer state is fetched; usually the store delivers it to both hosts
/// within this time.
const FETCH_DELAY: Duration = Duration::from_millis(200);
/// The delay for a peer in another data centre, if hosts of the local one follow the store: these usually deliver
/// the same within milliseconds, and traffic between data centres is expensive.
const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(700);
/// How long a peer is asked only after the others once a fetch from it has failed.
const FAILURE_PERIOD: Duration = Duration::from_secs(5);
/// One in this many ready peers counts as up for a long time.
const LONGEST_UP_ONE_IN: usize = 4;

impl Peers {
    /// A peer that has been ahead for long enough, to fetch from. Peers of the local data centre are preferred
    /// because traffic within it is free. The peer is chosen at random, since all hosts start or learn of a change
    /// at the same time and would all ask the same one.
    pub fn fetch_source(&self, now: Instant, own: LocalVersions, rng: &mut impl Rng) -> Option<SocketAddr> {
        let failed = |p: &Peer| p.fetch_failed.is_some_and(|failed| failed + FAILURE_PERIOD > now);
        let order = |p: &Peer| (failed(p), !self.is_direct(p));
        let best = self.peers_ahead(now, own).map(|(_, p)| order(p)).min()?;
        self.peers_ahead(now, own).filter(|(_, p)| order(p) == best).map(|(addr, _)| *addr).choose(rng)
    }

    /// Records that a fetch from a host failed, so that other hosts are asked first.
    pub fn record_fetch_failure(&mut self, now: Instant, addr: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.fetch_failed = Some(now);
        }
    }

    /// Whether any peer has been ahead for long enough to fetch from it.
    pub fn has_fetch_source(&self, now: Instant, own: LocalVersions) -> bool {
        self.peers_ahead(now, own).next().is_some()
    }

    /// Number of peers that newer state can be fetched from.
    pub fn fetch_source_count(&self, now: Instant, own: LocalVersions) -> usize {
        self.peers_ahead(now, own).count()
    }

    /// Peers that have been ahead for longer than the delay that applies to them.
    fn peers_ahead(&self, now: Instant, own: LocalVersions) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let follows = self.pushes_changes();
        let at_once = own.configuration == 0 || !own.backends.is_known() || !follows;
        let direct = if at_once { Duration::ZERO } else { FETCH_DELAY };
        let remote = if follows { direct } else { REMOTE_FETCH_DELAY };
        let delay = move |p: &Peer| if self.is_direct(p) { direct } else { remote };
        let is_due = move |p: &Peer| p.ahead_since.is_some_and(|since| since + delay(p) <= now);
        self.peers.iter().filter(move |(_, p)| is_due(p) && is_ahead(p, own))
    }

    /// A random one of the ready peers that have been up the longest, since these know the most.
    pub fn longest_up(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let mut up: Vec<_> =
            self.peers.iter().filter(|(_, p)| p.ready).map(|(addr, p)| (p.start, *addr)).collect();
        up.sort_unstable();
        up.truncate(up.len().div_ceil(LONGEST_UP_ONE_IN));
        up.into_iter().map(|(_, addr)| addr).choose(rng)
    }
}

/// Whether a peer has a newer configuration, or a newer and different list of backend servers.
pub(super) fn is_ahead(peer: &Peer, own: LocalVersions) -> bool {
    let backends = peer.backends > own.backends && peer.backends_digest != own.digest;
    peer.configuration > own.configuration || backends
}
