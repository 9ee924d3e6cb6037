//! Fills datagrams: what must go first, then news by importance while size and budget allow.

use std::{net::SocketAddr, sync::Arc};

use rand::Rng;
use serde::Serialize;

use super::{
    Body, IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES, Membership, Outgoing, Priority, Reach, Record, Status,
    Topic, Usage,
    packet::{MAC, size},
};
use crate::{
    schema::membership::{Bucket, Datagram, Detail},
    util::{Instant, Set},
};

/// Bytes kept free for the length prefixes of lists, which grow with them.
const SLACK: usize = 16;
/// Longer lists of hashes give way to the records themselves.
const MAX_DETAIL: usize = 700;
/// Less room than this is not worth a report.
const LEAST_REPORT: usize = 64;

/// What else a datagram shall carry if it can.
#[derive(Clone, Debug, Default)]
pub(super) struct Extras {
    /// Hashes of the member table.
    pub(super) sync: bool,
    /// Report of engines since this change.
    pub(super) report: Option<u64>,
    /// Members that the receiver knows wrongly.
    pub(super) corrections: Vec<Arc<str>>,
    /// Data centres whose members the two know differently.
    pub(super) differing: Vec<Arc<str>>,
    /// What the receiver has of some data centres; it is sent what it lacks.
    pub(super) theirs: Vec<Detail>,
}

/// Room left in one datagram, by class.
struct Filling<'a> {
    used: Usage,
    budget: &'a mut super::Budget,
    now: Instant,
    deferred: u64,
}

impl Filling<'_> {
    fn available(&mut self, class: Priority) -> usize {
        let size = (MAX_DATAGRAM_BYTES + IP_UDP_HEADER_BYTES).saturating_sub(self.used.iter().sum());
        size.min(self.budget.available(self.now, class, &self.used))
    }

    fn add<T: Serialize>(&mut self, class: Priority, list: &mut Vec<T>, part: T) -> bool {
        let bytes = size(&part);
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
    /// Sends a datagram. Returns `None` when the budget does not allow it, else the last change of a report in it.
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
        used[class as usize] = size(&d) + MAC + IP_UDP_HEADER_BYTES + SLACK;
        if used[class as usize] > self.budget.available(now, class, &Usage::default()) {
            self.counts.withheld += 1;
            return None;
        }
        self.seq += 1;
        let near =
            to.and_then(|n| self.table.get(n)).is_some_and(|m| m.record.data_centre == self.me.data_centre);
        let mut budget = std::mem::replace(&mut self.budget, super::Budget::new(0));
        let mut filling = Filling { used, budget: &mut budget, now, deferred: 0 };
        self.fill_members(&mut filling, &mut d, to, near, &extras);
        self.fill_config(&mut filling, &mut d);
        self.fill_comparison(&mut filling, &mut d, near, &extras);
        let upto = self.fill_engines(&mut filling, &mut d, near, &extras);
        self.fill_notes(&mut filling, &mut d, Topic::Suspects);
        self.counts.deferred += filling.deferred;
        let bytes = self.key.seal(&d);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let usage = filling.used;
        budget.spend(now, usage);
        self.budget = budget;
        self.counts.sent += 1;
        self.counts.sent_bytes += (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        self.out.send.push(Outgoing { to: addr, bytes });
        Some(upto)
    }

    fn fill_members(
        &mut self,
        filling: &mut Filling,
        d: &mut Datagram,
        to: Option<&str>,
        near: bool,
        extras: &Extras,
    ) {
        // A member that others hold for suspect or dead must learn it to be able to refute.
        let accused = to.and_then(|n| self.table.get(n)).filter(|m| m.record.status >= Status::Suspect);
        let first = accused.map(|m| m.record.clone()).into_iter();
        let wrong = extras.corrections.iter().filter_map(|n| self.table.get(n)).map(|m| m.record.clone());
        for record in first.chain(wrong).collect::<Vec<_>>() {
            filling.add(Priority::Members, &mut d.lacking, record.to_raw());
        }
        self.news.make_contiguous().sort_by_key(|n| (n.reach == Reach::All, std::cmp::Reverse(n.sends)));
        for n in &mut self.news {
            let Some(m) = self.table.get(&n.name) else {
                n.sends = 0;
                continue;
            };
            if n.reach == Reach::Near && !near {
                continue;
            }
            let Some(record) = for_receiver(&m.record, near) else { continue };
            if !filling.add(Priority::Members, &mut d.records, record.to_raw()) {
                break;
            }
            n.sends -= 1;
        }
        self.news.retain(|n| n.sends > 0);
    }

    fn fill_config(&mut self, filling: &mut Filling, d: &mut Datagram) {
        let mut pending: Vec<_> = self.summaries.centres.values_mut().filter(|c| c.sends > 0).collect();
        pending.sort_by(|a, b| (b.sends, &a.summary.data_centre).cmp(&(a.sends, &b.summary.data_centre)));
        for c in pending {
            if !filling.add(Priority::Config, &mut d.summaries, c.summary.clone()) {
                break;
            }
            c.sends -= 1;
        }
    }

    fn fill_engines(
        &mut self,
        filling: &mut Filling,
        d: &mut Datagram,
        near: bool,
        extras: &Extras,
    ) -> Option<u64> {
        let mut upto = None;
        if near {
            self.events.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
            for (event, left) in &mut self.events {
                if !filling.add(Priority::Engines, &mut d.events, event.clone()) {
                    break;
                }
                *left -= 1;
            }
            self.events.retain(|(_, left)| *left > 0);
        }
        self.fill_notes(filling, d, Topic::Engines);
        let available = filling.available(Priority::Engines);
        if let Some(acked) = extras.report.filter(|_| available > LEAST_REPORT)
            && let Some(report) = self.engines.report(acked, available)
        {
            filling.used[Priority::Engines as usize] += size(&report);
            upto = Some(report.upto);
            d.report = Some(report);
        }
        if extras.report.is_some()
            && let Some(note) = self.notes.get(Topic::Load, &self.me.name)
        {
            filling.add(Priority::Engines, &mut d.notes, note.clone());
        }
        upto
    }

    fn fill_notes(&mut self, filling: &mut Filling, d: &mut Datagram, topic: Topic) {
        for held in self.notes.pending(topic) {
            if !filling.add(topic.priority(), &mut d.notes, held.note.clone()) {
                break;
            }
            held.sends -= 1;
        }
    }

    fn fill_comparison(&mut self, filling: &mut Filling, d: &mut Datagram, near: bool, extras: &Extras) {
        if extras.sync {
            for bucket in self.buckets() {
                filling.add(Priority::Config, &mut d.buckets, bucket);
            }
        }
        for theirs in &extras.theirs {
            self.fill_lacking(filling, d, near, theirs);
        }
        for centre in &extras.differing {
            let detail = self.detail(centre);
            if size(&detail) > MAX_DETAIL {
                let nothing = Detail { data_centre: centre.to_string(), records: Vec::new() };
                self.fill_lacking(filling, d, near, &nothing);
            } else {
                filling.add(Priority::Config, &mut d.details, detail);
            }
        }
    }

    fn fill_lacking(&mut self, filling: &mut Filling, d: &mut Datagram, near: bool, theirs: &Detail) {
        let has: Set<u32> = theirs.records.iter().copied().collect();
        let lacking = |r: &Record| !r.status.gone() && !has.contains(&r.digest());
        let members = self.table.centre(&theirs.data_centre).filter(|m| lacking(&m.record));
        let mut records: Vec<_> = members.filter_map(|m| for_receiver(&m.record, near)).collect();
        if records.is_empty() {
            return;
        }
        records.sort_by(|a, b| a.name.cmp(&b.name));
        // Another start each time: what did not fit this datagram comes with a later one.
        let start = self.rng.random_range(0..records.len());
        records.rotate_left(start);
        for record in records {
            if !filling.add(Priority::Config, &mut d.lacking, record.to_raw()) {
                return;
            }
        }
    }

    /// The live members of a data centre as hashes.
    pub(super) fn detail(&self, centre: &str) -> Detail {
        let live = self.table.centre(centre).filter(|m| !m.record.status.gone());
        Detail { data_centre: centre.into(), records: live.map(|m| m.record.digest()).collect() }
    }

    pub(super) fn buckets(&self) -> Vec<Bucket> {
        let mut names: Vec<_> = self.table.centres().cloned().collect();
        names.sort();
        let bucket = |n: &Arc<str>| Bucket { data_centre: n.to_string(), hash: self.table.hash(n) };
        names.iter().map(bucket).filter(|b| b.hash != 0).collect()
    }
}

/// The record as a receiver near or far shall have it: suspicion is a matter of one data centre.
fn for_receiver(record: &Record, near: bool) -> Option<Record> {
    if record.status == Status::Suspect && !near {
        return None;
    }
    Some(record.clone())
}
