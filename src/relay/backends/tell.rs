//! What a host tells others of the backend servers that it knows.

use super::{Backend, Backends, State};
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

fn wire(now: Instant, b: &Backend) -> fleet::Backend {
    let cold = b.cold_until.saturating_sub(now).as_millis() as u32;
    let readable = b.state != State::Unreadable;
    fleet::Backend {
        id: b.id.to_string(),
        service: b.service.to_string(),
        addr: if readable { b.addr.to_string() } else { String::new() },
        data_centre: b.data_centre.to_string(),
        slots: b.slots,
        leaving: b.left.is_some(),
        born: b.born,
        // Hosts that hold the same entry must agree on whether it tells of cold.
        cold_ms: if b.told_cold { cold.max(1) } else { 0 },
        unconfirmed_ms: match b.state {
            State::Unconfirmed { until } => (until.saturating_sub(now).as_millis() as u32).max(1),
            _ => 0,
        },
    }
}
