//! Selects the probes to send now, within the byte budget.

use super::{EngineTable, PROBE_WIRE_BYTES, Probe};
use crate::{
    member::{Priority, Usage},
    util::Instant,
};

impl EngineTable {
    /// Returns the probes that are due and within the budget, most overdue first.
    ///
    /// If there are more engines than the budget allows, the interval between probes grows; no engine is left out.
    pub fn due_probes(&mut self, now: Instant) -> Vec<Probe> {
        let mut due: Vec<_> = self
            .assigned
            .iter()
            .filter_map(|id| self.entries.get(id).map(|e| (e.next_probe_at, *id, e.probe_in_flight)))
            .filter(|&(next, _, probe_in_flight)| next <= now && !probe_in_flight)
            .collect();
        due.sort_unstable();
        let mut probes = Vec::new();
        for (_, id, _) in due {
            if self.budget.available(now, Priority::Liveness, &Usage::default()) < PROBE_WIRE_BYTES {
                break;
            }
            let Some(e) = self.entries.get_mut(&id) else { continue };
            self.budget.spend(now, [PROBE_WIRE_BYTES, 0, 0, 0, 0]);
            e.probe_in_flight = true;
            probes.push(Probe { engine: e.spec.name.clone(), addr: e.spec.addr });
        }
        probes
    }
}
