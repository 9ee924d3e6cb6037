//! Snapshots and changes of the backend servers for other hosts.

use super::{Backend, Backends, State};
use crate::{
    relay::revision::Revision,
    schema::fleet,
    util::{Instant, Set},
};

impl Backends {
    /// Changes after `since`, if the log reaches that far back. Sending the full list instead would cost a hundred
    /// kilobytes with three thousand servers, for each host of a data centre and each change.
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
                // The removal is included in the revision, so that a host that did not get it now would never learn
                // of it.
                Some(b) if b.is_missing() => changes.removed.push(id.to_string()),
                Some(b) => changes.puts.push(to_wire(now, b)),
                None => changes.removed.push(id.to_string()),
            }
        }
        Some(changes)
    }

    /// The full list. Servers with missing entries are omitted: only this host grants them a grace period, and a
    /// host that has seen them leave would take them for new servers.
    pub fn snapshot(&self, now: Instant) -> fleet::Backends {
        let listed =
            self.arena.iter().filter(|(key, b)| self.by_id.get(&b.id) == Some(key) && !b.is_missing());
        fleet::Backends {
            epoch: self.revision.epoch,
            revision: self.revision.number,
            items: listed.map(|(_, b)| to_wire(now, b)).collect(),
        }
    }
}

fn to_wire(now: Instant, b: &Backend) -> fleet::Backend {
    let cold = b.cold_until.saturating_sub(now).as_millis() as u32;
    let readable = b.state != State::Unreadable;
    fleet::Backend {
        id: b.id.to_string(),
        service: b.service.to_string(),
        addr: if readable { b.addr.to_string() } else { String::new() },
        data_centre: b.data_centre.to_string(),
        slots: b.slots,
        leaving: b.leaving_since.is_some(),
        born: b.born,
        // At least 1 ms while the entry declares the server cold, since hosts with the same entry must agree on
        // that flag.
        cold_ms: if b.reported_cold { cold.max(1) } else { 0 },
        unconfirmed_ms: match b.state {
            State::Unconfirmed { until } => (until.saturating_sub(now).as_millis() as u32).max(1),
            _ => 0,
        },
        version: b.version.to_string(),
    }
}
