//! What the reporter of a data centre tells the others about it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Membership, Status, Summary, Topic, record::Member};
use crate::util::Instant;

/// Time between digests while nothing changes.
const PERIOD: Duration = Duration::from_secs(5);
/// Shortest time between digests.
const SPACING: Duration = Duration::from_secs(2);
/// Time after which an unchanged list of engines is told again.
const REFRESH: Duration = Duration::from_secs(60);

impl Membership {
    /// The first live member by name reports; while members disagree two may, and receivers take the first.
    pub(super) fn reporter(&self) -> Option<(Arc<str>, SocketAddr)> {
        let live = self.table.centre(&self.me.data_centre).filter(|m| m.record.status <= Status::Leaving);
        live.map(|m| (m.record.name.clone(), m.record.peer)).min()
    }

    pub(super) fn report_centre(&mut self, now: Instant) {
        if self.reporter().is_none_or(|(name, _)| name != self.me.name) {
            return;
        }
        self.report_versions(now);
        self.report_engines(now);
    }

    fn report_versions(&mut self, now: Instant) {
        let serves = |m: &&Member| m.record.ready && m.record.status <= Status::Suspect && m.in_force > 0;
        let ready: Vec<_> = self.table.centre(&self.me.data_centre).filter(serves).collect();
        let in_force = ready.iter().map(|m| m.in_force).min().unwrap_or(0);
        let count = ready.len() as u32;
        let (at, old_in_force, old_count) = self.last_summary;
        let same = (in_force, count) == (old_in_force, old_count);
        if now < at + if same { PERIOD } else { SPACING } {
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

    fn report_engines(&mut self, now: Instant) {
        let list = self.engines.not_up();
        let (at, old) = &self.last_listed;
        if now < *at + if list == *old { REFRESH } else { SPACING } {
            return;
        }
        let mut payload = Vec::new();
        for most in (0..=list.len().min(Topic::Engines.bound() / 2)).rev() {
            payload = postcard::to_stdvec(&list[..most]).unwrap_or_default();
            if payload.len() <= Topic::Engines.bound() {
                break;
            }
        }
        self.last_listed = (now, list);
        let sent = self.publish(now, Topic::Engines, payload);
        debug_assert!(sent.is_ok());
    }
}
