//! Whom to ask for what is newer than what this host has.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::{LocalVersions, Peer, Peers};
use crate::util::Instant;

/// How long a peer must be ahead before its newer state is fetched; the store mostly tells both within this time.
const AHEAD: Duration = Duration::from_millis(200);
/// The same for a peer in another data centre, where the own one has hosts that follow the store: they tell the same within
/// milliseconds mostly, and bytes between data centres are dear.
const AHEAD_FAR: Duration = Duration::from_millis(700);
/// How long a peer that did not give what it has is asked after the others.
const FAILED: Duration = Duration::from_secs(5);
/// One of so many peers counts as up for long.
const LONG_UP_PART: usize = 4;

impl Peers {
    /// A peer that has had something newer for a while, to fetch it from: one of the own data centre if any is ahead, since
    /// bytes within it cost nothing. It is drawn, since all hosts start or hear of a change at the same moment
    /// and would all ask the same one.
    pub fn fetch_source(&self, now: Instant, own: LocalVersions, rng: &mut impl Rng) -> Option<SocketAddr> {
        let failed = |p: &Peer| p.failed.is_some_and(|failed| failed + FAILED > now);
        let order = |p: &Peer| (failed(p), !self.is_near(p));
        let best = self.all_ahead(now, own).map(|(_, p)| order(p)).min()?;
        self.all_ahead(now, own).filter(|(_, p)| order(p) == best).map(|(addr, _)| *addr).choose(rng)
    }

    /// Notes that a host did not give what it has: the others that have it are asked first.
    pub fn record_fetch_failure(&mut self, now: Instant, addr: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.failed = Some(now);
        }
    }

    /// Whether any peer has had something newer for a while.
    pub fn has_fetch_source(&self, now: Instant, own: LocalVersions) -> bool {
        self.all_ahead(now, own).next().is_some()
    }

    fn all_ahead(&self, now: Instant, own: LocalVersions) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let follows = self.pushes_changes();
        let first = own.configuration == 0 || !own.backends.is_known() || !follows;
        let near = if first { Duration::ZERO } else { AHEAD };
        let far = if follows { near } else { AHEAD_FAR };
        let patience = move |p: &Peer| if self.is_near(p) { near } else { far };
        let ripe = move |p: &Peer| p.ahead.is_some_and(|since| since + patience(p) <= now);
        self.peers.iter().filter(move |(_, p)| ripe(p) && is_ahead(p, own))
    }

    /// One of the peers that are heard and have been up for the longest, which know most.
    pub fn longest_up(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let mut up: Vec<_> =
            self.peers.iter().filter(|(_, p)| p.ready).map(|(addr, p)| (p.start, *addr)).collect();
        up.sort_unstable();
        up.truncate(up.len().div_ceil(LONG_UP_PART));
        up.into_iter().map(|(_, addr)| addr).choose(rng)
    }
}

pub(super) fn is_ahead(peer: &Peer, own: LocalVersions) -> bool {
    let backends = peer.backends > own.backends && peer.backends_digest != own.digest;
    peer.configuration > own.configuration || backends
}
