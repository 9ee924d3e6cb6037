//! Reports of the local data centre to the others, published by its reporter.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Membership, Status, Summary, Topic, record::Member};
use crate::util::Instant;

/// Time between summaries while nothing changes.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum time between summaries, and between lists of engines.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which an unchanged list of engines is published again.
const ENGINES_REFRESH_INTERVAL: Duration = Duration::from_secs(60);

impl Membership {
    /// Returns the reporter of the local data centre: the first live member by name. While members disagree there may
    /// be two, and receivers prefer the first.
    pub(super) fn reporter(&self) -> Option<(Arc<str>, SocketAddr)> {
        let live = self.table.centre(&self.me.data_centre).filter(|m| m.record.status <= Status::Leaving);
        live.map(|m| (m.record.name.clone(), m.record.peer)).min()
    }

    /// Publishes the reports that are due if this router is the reporter.
    pub(super) fn report_data_centre(&mut self, now: Instant) {
        if self.reporter().is_none_or(|(name, _)| name != self.me.name) {
            return;
        }
        self.publish_summary(now);
        self.publish_engines(now);
    }

    fn publish_summary(&mut self, now: Instant) {
        let is_serving = |m: &&Member| m.record.ready && m.record.status <= Status::Suspect && m.in_force > 0;
        let ready: Vec<_> = self.table.centre(&self.me.data_centre).filter(is_serving).collect();
        let in_force = ready.iter().map(|m| m.in_force).min().unwrap_or(0);
        let count = ready.len() as u32;
        let (at, old_in_force, old_count) = self.last_summary;
        let unchanged = (in_force, count) == (old_in_force, old_count);
        if now < at + if unchanged { SUMMARY_INTERVAL } else { MIN_REPORT_INTERVAL } {
            return;
        }
        self.last_summary = (now, in_force, count);
        self.seq += 1;
        let summary = Summary {
            data_centre: self.me.data_centre.to_string(),
            reporter: self.me.name.to_string(),
            incarnation: self.me.incarnation,
            seq: self.seq,
            in_force,
            ready: count,
        };
        let sends = self.summary_sends();
        self.summaries.merge(now, &summary, sends);
    }

    fn publish_engines(&mut self, now: Instant) {
        let list = self.engines.not_up();
        let (at, old) = &self.last_engine_list;
        if now < *at + if list == *old { ENGINES_REFRESH_INTERVAL } else { MIN_REPORT_INTERVAL } {
            return;
        }
        let mut payload = Vec::new();
        for count in (0..=list.len().min(Topic::Engines.max_payload_bytes() / 2)).rev() {
            payload = postcard::to_stdvec(&list[..count]).unwrap_or_default();
            if payload.len() <= Topic::Engines.max_payload_bytes() {
                break;
            }
        }
        self.last_engine_list = (now, list);
        let sent = self.publish(now, Topic::Engines, payload);
        debug_assert!(sent.is_ok());
    }
}
