//! Reports of a router's own findings: only what changed since the receiver's last acknowledgement.

use std::sync::Arc;

use super::{EngineTable, Finding, State, raw_state};
use crate::{
    schema::membership::{EngineLoad, Report},
    util::Instant,
};

/// Largest encoding of one state and of one load, in bytes.
const STATE_BYTES: usize = 5 + 1 + 10 + 10;
const LOAD_BYTES: usize = 5 + 5;
/// Number of the last change and the two lengths.
const HEAD_BYTES: usize = 10 + 2 + 2;

impl EngineTable {
    /// Changes after `acked` that fit `room` bytes, oldest first; `None` when there is none.
    pub fn report(&self, acked: u64, room: usize) -> Option<Report> {
        let mut changes: Vec<(u64, u32, bool)> = Vec::new();
        for id in &self.mine {
            let e = &self.entries[id];
            if e.findings.contains_key(&self.me) {
                changes.extend((e.state_seq > acked).then_some((e.state_seq, *id, true)));
                changes.extend((e.load_seq > acked).then_some((e.load_seq, *id, false)));
            }
        }
        changes.sort_unstable();
        let (mut report, mut loads) = (Report { upto: acked, ..Report::default() }, Vec::new());
        let mut used = HEAD_BYTES;
        for (seq, id, is_state) in changes {
            // A state and a load of one number stand together or not at all.
            used += if is_state { STATE_BYTES } else { LOAD_BYTES };
            if used > room {
                report.upto = report.upto.min(seq - 1);
                break;
            }
            let f = &self.entries[&id].findings[&self.me];
            match is_state {
                true => report.states.push(raw_state(id, f)),
                false => loads.push((id, f.running)),
            }
            report.upto = seq;
        }
        if report.states.is_empty() && loads.is_empty() {
            return None;
        }
        report.loads = steps(loads);
        Some(report)
    }

    /// Takes in what another router of this data centre found.
    pub fn merge_report(&mut self, now: Instant, origin: &Arc<str>, report: &Report) {
        for s in &report.states {
            let Some(state) = State::from_raw(s.state) else { continue };
            let new = Finding { state, start: s.start, running: 0, at: now, seq: s.seq };
            self.merge_finding(now, s.engine, origin.clone(), new);
        }
        let mut id = 0u32;
        for l in &report.loads {
            id = id.wrapping_add(l.step);
            let Some(e) = self.entries.get_mut(&id) else { continue };
            if let Some(f) = e.findings.get_mut(origin) {
                f.running = l.running;
                f.at = now;
            }
        }
    }
}

/// Loads by rising identifier, each as the difference to the one before, which takes fewer bytes.
fn steps(mut loads: Vec<(u32, u32)>) -> Vec<EngineLoad> {
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
