//! Contents that this router is running on each engine.

use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use super::Fingerprint;
use crate::util::Map;

new_key_type! {
    /// Key of a request in progress on an engine.
    pub struct RunKey;
}

/// Contents in progress, by engine.
#[derive(Debug, Default)]
pub struct RunningContents {
    engines: Map<Arc<str>, SlotMap<RunKey, Fingerprint>>,
}

impl RunningContents {
    /// Records the start of a content on an engine.
    pub fn start(&mut self, engine: &Arc<str>, content: Fingerprint) -> RunKey {
        self.engines.entry(engine.clone()).or_default().insert(content)
    }

    /// Records the end of a run, for whatever reason.
    pub fn finish(&mut self, engine: &Arc<str>, run: RunKey) {
        let Some(runs) = self.engines.get_mut(engine) else { return };
        runs.remove(run);
        if runs.is_empty() {
            self.engines.remove(engine);
        }
    }

    /// Contents in progress on an engine.
    pub fn contents_on(&self, engine: &str) -> Vec<Fingerprint> {
        self.engines.get(engine).map(|runs| runs.values().copied().collect()).unwrap_or_default()
    }
}
