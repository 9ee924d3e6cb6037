//! What this router is running at each engine.

use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use super::Fingerprint;
use crate::util::Map;

new_key_type! {
    /// One request in progress at an engine.
    pub struct Run;
}

/// Contents in progress, by engine.
#[derive(Debug, Default)]
pub struct Running {
    engines: Map<Arc<str>, SlotMap<Run, Fingerprint>>,
}

impl Running {
    /// Notes a content that starts at an engine.
    pub fn start(&mut self, engine: &Arc<str>, content: Fingerprint) -> Run {
        self.engines.entry(engine.clone()).or_default().insert(content)
    }

    /// Notes a run that has ended, for whatever reason.
    pub fn finish(&mut self, engine: &Arc<str>, run: Run) {
        let Some(runs) = self.engines.get_mut(engine) else { return };
        runs.remove(run);
        if runs.is_empty() {
            self.engines.remove(engine);
        }
    }

    /// The contents in progress at an engine.
    pub fn contents_on(&self, engine: &str) -> Vec<Fingerprint> {
        self.engines.get(engine).map(|runs| runs.values().copied().collect()).unwrap_or_default()
    }
}
