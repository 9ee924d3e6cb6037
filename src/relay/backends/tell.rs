//! What a host tells others of the backend servers that it knows.

use std::time::Duration;

use super::{Backend, Backends, State, Tag};
use crate::{
    relay::revision::Revision,
    schema::fleet,
    util::{Instant, Set},
};

impl Backends {
    /// What has changed after `since`, if the log goes back so far: a fetch of the whole list costs a hundred kilobytes
    /// with three thousand servers, for each host of a data centre and each change.
    pub fn changes_since(&self, now: Instant, since: Revision) -> Option<fleet::BackendChanges> {
        if since < self.logged_from {
            return None;
        }
        let ids: Set<_> =
            self.log.iter().filter(|(revision, _)| *revision > since).map(|(_, id)| id.clone()).collect();
        let mut changes = fleet::BackendChanges {
            epoch: self.revision.epoch,
            revision: self.revision.number,
            ..Default::default()
        };
        for id in ids {
            match self.by_id.get(&id).and_then(|key| self.arena.get(*key)) {
                // The revision counts the removal in, so that leaving it out would hide it for good.
                Some(b) if b.is_missing() => changes.removed.push(id.to_string()),
                Some(b) => changes.puts.push(wire(now, b)),
                None => changes.removed.push(id.to_string()),
            }
        }
        Some(changes)
    }

    /// The list for another host. Servers whose entries are missing are left out: this host alone gives them time to come
    /// back, and another that has seen them leave would take them for new ones.
    pub fn snapshot(&self, now: Instant) -> fleet::Backends {
        let listed =
            self.arena.iter().filter(|(key, b)| self.by_id.get(&b.id) == Some(key) && !b.is_missing());
        fleet::Backends {
            epoch: self.revision.epoch,
            revision: self.revision.number,
            items: listed.map(|(_, b)| wire(now, b)).collect(),
        }
    }
}

/// How long others are told that a server was seen leaving. Who does not know it yet by then has it from its list.
const LEFT_TOLD: Duration = Duration::from_secs(5);
/// Servers seen leaving that are told in one beat.
const MOST_LEFT: usize = 16;
/// The same for a host that has just started.
const MOST_STARTS: usize = 512;

impl Backends {
    /// Tags of servers that were seen leaving lately, the latest first.
    pub fn left_lately(&self, now: Instant) -> Vec<Tag> {
        let left = self.arena.values().filter_map(|b| Some((b.left?, b.tag)));
        let mut lately: Vec<_> = left.filter(|(at, _)| *at + LEFT_TOLD > now).collect();
        lately.sort_unstable_by(|a, b| b.cmp(a));
        lately.into_iter().take(MOST_LEFT).map(|(_, tag)| tag).collect()
    }

    /// Starts that were seen leaving, for a host that has just started: a store that was restored may list them as ready.
    pub fn left(&self) -> Vec<fleet::Start> {
        let leaving = self.arena.values().filter(|b| b.left.is_some() && b.gone.is_none());
        let leaving = leaving.map(|b| fleet::Start { id: b.id.to_string(), born: b.born });
        leaving.chain(self.ended.left()).take(MOST_STARTS).collect()
    }
}

fn wire(now: Instant, b: &Backend) -> fleet::Backend {
    let cold = b.cold_until.saturating_sub(now).as_millis() as u32;
    let readable = b.state != State::Unreadable;
    fleet::Backend {
        id: b.id.to_string(),
        service: b.service.to_string(),
        addr: if readable { b.addr.to_string() } else { String::new() },
        data_centre: b.data_centre.to_string(),
        slots: b.slots,
        leaving: b.state == State::Leaving,
        born: b.born,
        // Hosts that hold the same entry must agree on whether it tells of cold.
        cold_ms: if b.told_cold { cold.max(1) } else { 0 },
        unconfirmed_ms: match b.state {
            State::Unconfirmed { until } => (until.saturating_sub(now).as_millis() as u32).max(1),
            _ => 0,
        },
    }
}
