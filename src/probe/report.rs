//! Reports of a router's own observations, as deltas since the receiver's last acknowledgement.

use std::sync::Arc;

use super::{EngineTable, Observation, State, encode_state};
use crate::{
    schema::membership::{EngineLoad, Report},
    util::Instant,
};

/// Maximum encoded size of one state, in bytes.
const MAX_STATE_BYTES: usize = 5 + 1 + 10 + 10;
/// Maximum encoded size of one load, in bytes.
const MAX_LOAD_BYTES: usize = 5 + 5;
/// Maximum encoded size of the last sequence number and the two list lengths, in bytes.
const MAX_HEADER_BYTES: usize = 10 + 2 + 2;

impl EngineTable {
    /// Builds a report of the changes after `acked` that fit into `room` bytes, oldest first; `None` if there are none.
    pub fn report(&self, acked: u64, room: usize) -> Option<Report> {
        let mut changes: Vec<(u64, u32, bool)> = Vec::new();
        for id in &self.assigned {
            let e = &self.entries[id];
            if e.observations.contains_key(&self.me) {
                changes.extend((e.state_changed_seq > acked).then_some((e.state_changed_seq, *id, true)));
                changes.extend((e.load_changed_seq > acked).then_some((e.load_changed_seq, *id, false)));
            }
        }
        changes.sort_unstable();
        let (mut report, mut loads) = (Report { upto: acked, ..Report::default() }, Vec::new());
        let mut used = MAX_HEADER_BYTES;
        for (seq, id, is_state) in changes {
            // A state and a load with the same sequence number are sent together or not at all.
            used += if is_state { MAX_STATE_BYTES } else { MAX_LOAD_BYTES };
            if used > room {
                report.upto = report.upto.min(seq - 1);
                break;
            }
            let f = &self.entries[&id].observations[&self.me];
            match is_state {
                true => report.states.push(encode_state(id, f)),
                false => loads.push((id, f.running)),
            }
            report.upto = seq;
        }
        if report.states.is_empty() && loads.is_empty() {
            return None;
        }
        report.loads = delta_encode(loads);
        Some(report)
    }

    /// Merges a report of another router of this data centre.
    pub fn merge_report(&mut self, now: Instant, origin: &Arc<str>, report: &Report) {
        for s in &report.states {
            let Some(state) = State::from_raw(s.state) else { continue };
            let new = Observation { state, start: s.start, running: 0, at: now, seq: s.seq };
            self.merge_observation(now, s.engine, origin.clone(), new);
        }
        let mut id = 0u32;
        for l in &report.loads {
            id = id.wrapping_add(l.step);
            let Some(e) = self.entries.get_mut(&id) else { continue };
            if let Some(f) = e.observations.get_mut(origin) {
                f.running = l.running;
                f.at = now;
            }
        }
    }
}

/// Sorts loads by engine ID and encodes each ID as the difference to the previous one, which takes fewer bytes.
fn delta_encode(mut loads: Vec<(u32, u32)>) -> Vec<EngineLoad> {
    loads.sort_unstable();
    let mut last = 0;
    loads
        .into_iter()
        .map(|(id, running)| {
            let step = id - last;
            last = id;
            EngineLoad { step, running }
        })
        .collect()
}
