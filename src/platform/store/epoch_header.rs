//! Logs when the responses of the store begin or cease to have an epoch header.

use std::sync::Mutex;

use crate::{
    logs::lines::{Level, line},
    util::lock,
};

/// What the latest responses of a store had.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeaderHistory {
    /// Whether the last response had the header; `None` before the first one.
    present: Option<bool>,
    /// Number of consecutive responses like the last one.
    responses: u64,
}

impl HeaderHistory {
    /// Counts a response. If it is to be logged, returns the number of responses that differed from it: the header is missing
    /// from the first response, or its presence has changed.
    pub fn observe(&mut self, present: bool) -> Option<u64> {
        if self.present == Some(present) {
            self.responses += 1;
            return None;
        }
        let is_first = self.present.replace(present).is_none();
        let before = std::mem::replace(&mut self.responses, 1);
        (!is_first || !present).then_some(before)
    }
}

/// The epoch header in the responses of a store, shared by all clients of that store.
#[derive(Debug, Default)]
pub(super) struct EpochHeader(Mutex<HeaderHistory>);

impl EpochHeader {
    /// Records whether a response has the header.
    pub(super) fn observe(&self, present: bool) {
        let Some(before) = lock(&self.0).observe(present) else { return };
        line(Level::Notable, "store_epoch_header", |l| {
            l.flag("present", present).number("responses_before", before)
        });
    }
}
