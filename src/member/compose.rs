//! Composes datagrams: the required body first, then further items by priority while size and budget allow.

use std::{net::SocketAddr, sync::Arc};

use rand::Rng;
use serde::Serialize;

use super::{
    Body, IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES, Membership, Outgoing, Priority, Record, Scope, Status,
    Topic, Usage,
    packet::{MAC_BYTES, encoded_size},
};
use crate::{
    schema::membership::{Bucket, Datagram, Detail},
    util::{Instant, Set},
};

/// Bytes reserved for the length prefixes of lists, which grow with the lists.
const LENGTH_PREFIX_RESERVE_BYTES: usize = 16;
/// Maximum size of a list of record hashes; instead of a longer one the records themselves are sent.
const MAX_DETAIL_BYTES: usize = 700;
/// Minimum space for which a report is included.
const MIN_REPORT_BYTES: usize = 64;

/// Optional contents of a datagram.
#[derive(Clone, Debug, Default)]
pub(super) struct Extras {
    /// Whether to include the hashes of the member table.
    pub(super) sync: bool,
    /// Include a report of the engine changes after this one.
    pub(super) report: Option<u64>,
    /// Members of which the receiver has an outdated record.
    pub(super) corrections: Vec<Arc<str>>,
    /// Data centres whose members differ between the tables of sender and receiver.
    pub(super) differing: Vec<Arc<str>>,
    /// Record hashes that the receiver has for some data centres; it is sent the records it lacks.
    pub(super) peer_details: Vec<Detail>,
}

/// Space left in one datagram under its size limit and the byte budget.
struct DatagramSpace<'a> {
    used: Usage,
    budget: &'a mut super::Budget,
    now: Instant,
    deferred: u64,
}

impl DatagramSpace<'_> {
    fn available(&mut self, class: Priority) -> usize {
        let size = (MAX_DATAGRAM_BYTES + IP_UDP_HEADER_BYTES).saturating_sub(self.used.iter().sum());
        size.min(self.budget.available(self.now, class, &self.used))
    }

    fn add<T: Serialize>(&mut self, class: Priority, list: &mut Vec<T>, part: T) -> bool {
        let bytes = encoded_size(&part);
        if bytes > self.available(class) {
            self.deferred += 1;
            return false;
        }
        self.used[class as usize] += bytes;
        list.push(part);
        true
    }
}

impl Membership {
    /// Sends a datagram. Returns `None` if the budget does not allow it, otherwise the last change of the report it
    /// carries, if any.
    pub(super) fn send(
        &mut self,
        now: Instant,
        to: Option<&str>,
        addr: SocketAddr,
        body: Option<Body>,
        extras: Extras,
    ) -> Option<Option<u64>> {
        let mut d = Datagram {
            from: self.me.name.to_string(),
            incarnation: self.me.incarnation,
            seq: self.seq + 1,
            newest: self.newest,
            in_force: self.in_force,
            body,
            ..Datagram::default()
        };
        let class = if d.body.is_some() { Priority::Liveness } else { Priority::Config };
        let mut used = Usage::default();
        used[class as usize] =
            encoded_size(&d) + MAC_BYTES + IP_UDP_HEADER_BYTES + LENGTH_PREFIX_RESERVE_BYTES;
        if used[class as usize] > self.budget.available(now, class, &Usage::default()) {
            self.counts.withheld += 1;
            return None;
        }
        self.seq += 1;
        let local =
            to.and_then(|n| self.table.get(n)).is_some_and(|m| m.record.data_centre == self.me.data_centre);
        let mut budget = std::mem::replace(&mut self.budget, super::Budget::new(0));
        let mut space = DatagramSpace { used, budget: &mut budget, now, deferred: 0 };
        self.fill_members(&mut space, &mut d, to, local, &extras);
        self.fill_summaries(&mut space, &mut d);
        self.fill_sync(&mut space, &mut d, local, &extras);
        let upto = self.fill_engines(&mut space, &mut d, local, &extras);
        self.fill_notes(&mut space, &mut d, Topic::Suspects);
        self.counts.deferred += space.deferred;
        let bytes = self.key.seal(&d);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let usage = space.used;
        budget.spend(now, usage);
        self.budget = budget;
        self.counts.sent += 1;
        self.counts.sent_bytes += (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        self.out.send.push(Outgoing { to: addr, bytes });
        Some(upto)
    }

    fn fill_members(
        &mut self,
        space: &mut DatagramSpace,
        d: &mut Datagram,
        to: Option<&str>,
        local: bool,
        extras: &Extras,
    ) {
        // A member that is considered suspect or dead must be told so that it can refute.
        let suspected = to.and_then(|n| self.table.get(n)).filter(|m| m.record.status >= Status::Suspect);
        let first = suspected.map(|m| m.record.clone()).into_iter();
        let outdated = extras.corrections.iter().filter_map(|n| self.table.get(n)).map(|m| m.record.clone());
        for record in first.chain(outdated).collect::<Vec<_>>() {
            space.add(Priority::Members, &mut d.lacking, record.to_raw());
        }
        self.broadcasts
            .make_contiguous()
            .sort_by_key(|b| (b.scope == Scope::Fleet, std::cmp::Reverse(b.sends)));
        for b in &mut self.broadcasts {
            let Some(m) = self.table.get(&b.name) else {
                b.sends = 0;
                continue;
            };
            if b.scope == Scope::DataCentre && !local {
                continue;
            }
            let Some(record) = for_receiver(&m.record, local) else { continue };
            if !space.add(Priority::Members, &mut d.records, record.to_raw()) {
                break;
            }
            b.sends -= 1;
        }
        self.broadcasts.retain(|b| b.sends > 0);
    }

    fn fill_summaries(&mut self, space: &mut DatagramSpace, d: &mut Datagram) {
        let mut pending: Vec<_> = self.summaries.centres.values_mut().filter(|c| c.sends > 0).collect();
        pending.sort_by(|a, b| (b.sends, &a.summary.data_centre).cmp(&(a.sends, &b.summary.data_centre)));
        for c in pending {
            if !space.add(Priority::Config, &mut d.summaries, c.summary.clone()) {
                break;
            }
            c.sends -= 1;
        }
    }

    fn fill_engines(
        &mut self,
        space: &mut DatagramSpace,
        d: &mut Datagram,
        local: bool,
        extras: &Extras,
    ) -> Option<u64> {
        let mut upto = None;
        if local {
            self.engine_events.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
            for (event, left) in &mut self.engine_events {
                if !space.add(Priority::Engines, &mut d.events, event.clone()) {
                    break;
                }
                *left -= 1;
            }
            self.engine_events.retain(|(_, left)| *left > 0);
        }
        self.fill_notes(space, d, Topic::Engines);
        let available = space.available(Priority::Engines);
        if let Some(acked) = extras.report.filter(|_| available > MIN_REPORT_BYTES)
            && let Some(report) = self.engines.report(acked, available)
        {
            space.used[Priority::Engines as usize] += encoded_size(&report);
            upto = Some(report.upto);
            d.report = Some(report);
        }
        if extras.report.is_some()
            && let Some(note) = self.notes.get(Topic::Load, &self.me.name)
        {
            space.add(Priority::Engines, &mut d.notes, note.clone());
        }
        upto
    }

    fn fill_notes(&mut self, space: &mut DatagramSpace, d: &mut Datagram, topic: Topic) {
        for stored in self.notes.pending(topic) {
            if !space.add(topic.priority(), &mut d.notes, stored.note.clone()) {
                break;
            }
            stored.sends -= 1;
        }
    }

    fn fill_sync(&mut self, space: &mut DatagramSpace, d: &mut Datagram, local: bool, extras: &Extras) {
        if extras.sync {
            for bucket in self.buckets() {
                space.add(Priority::Config, &mut d.buckets, bucket);
            }
        }
        for peer_detail in &extras.peer_details {
            self.fill_missing_records(space, d, local, peer_detail);
        }
        for centre in &extras.differing {
            let detail = self.detail(centre);
            if encoded_size(&detail) > MAX_DETAIL_BYTES {
                let empty = Detail { data_centre: centre.to_string(), records: Vec::new() };
                self.fill_missing_records(space, d, local, &empty);
            } else {
                space.add(Priority::Config, &mut d.details, detail);
            }
        }
    }

    fn fill_missing_records(
        &mut self,
        space: &mut DatagramSpace,
        d: &mut Datagram,
        local: bool,
        peer_detail: &Detail,
    ) {
        let has: Set<u32> = peer_detail.records.iter().copied().collect();
        let lacking = |r: &Record| !r.status.is_dead_or_left() && !has.contains(&r.digest());
        let members = self.table.centre(&peer_detail.data_centre).filter(|m| lacking(&m.record));
        let mut records: Vec<_> = members.filter_map(|m| for_receiver(&m.record, local)).collect();
        if records.is_empty() {
            return;
        }
        records.sort_by(|a, b| a.name.cmp(&b.name));
        // A random start each time, so that records that do not fit now are sent with a later datagram.
        let start = self.rng.random_range(0..records.len());
        records.rotate_left(start);
        for record in records {
            if !space.add(Priority::Config, &mut d.lacking, record.to_raw()) {
                return;
            }
        }
    }

    /// Hashes of the records of a data centre's live members.
    pub(super) fn detail(&self, centre: &str) -> Detail {
        let live = self.table.centre(centre).filter(|m| !m.record.status.is_dead_or_left());
        Detail { data_centre: centre.into(), records: live.map(|m| m.record.digest()).collect() }
    }

    pub(super) fn buckets(&self) -> Vec<Bucket> {
        let mut names: Vec<_> = self.table.centres().cloned().collect();
        names.sort();
        let bucket = |n: &Arc<str>| Bucket { data_centre: n.to_string(), hash: self.table.hash(n) };
        names.iter().map(bucket).filter(|b| b.hash != 0).collect()
    }
}

/// Returns the record to send to a receiver; suspicions are sent only within the local data centre.
fn for_receiver(record: &Record, local: bool) -> Option<Record> {
    if record.status == Status::Suspect && !local {
        return None;
    }
    Some(record.clone())
}
