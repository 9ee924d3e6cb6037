//! Which probes to make now, within the byte budget.

use super::{EngineTable, PROBE_WIRE_BYTES, Probe};
use crate::{
    member::{Priority, Usage},
    util::Instant,
};

impl EngineTable {
    /// Probes that are due and that the budget allows; those that wait longest go first.
    ///
    /// With more engines than the budget carries, the time between probes grows; no engine is left out.
    pub fn due_probes(&mut self, now: Instant) -> Vec<Probe> {
        let mut due: Vec<_> = self
            .mine
            .iter()
            .filter_map(|id| self.entries.get(id).map(|e| (e.next, *id, e.waiting)))
            .filter(|&(next, _, waiting)| next <= now && !waiting)
            .collect();
        due.sort_unstable();
        let mut probes = Vec::new();
        for (_, id, _) in due {
            if self.budget.room(now, Priority::Liveness, &Usage::default()) < PROBE_WIRE_BYTES {
                break;
            }
            let Some(e) = self.entries.get_mut(&id) else { continue };
            self.budget.spend(now, [PROBE_WIRE_BYTES, 0, 0, 0, 0]);
            e.waiting = true;
            probes.push(Probe { engine: e.spec.name.clone(), addr: e.spec.addr });
        }
        probes
    }
}
