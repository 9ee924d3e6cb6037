//! Merges the contents of received datagrams and responds to them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    Body, Event, Membership, Record, Reject, Scope, Status, Topic, compose::Extras, detect::RelayedPing,
};
use crate::{
    schema::membership::{Ack, Bucket, Datagram, Detail, Ping},
    util::{Instant, Map, Set},
};

/// Minimum time between two refutations; without it, two routers configured with the same name would keep raising
/// their incarnations against each other.
const MIN_REFUTATION_INTERVAL: Duration = Duration::from_millis(500);

/// Number of times that a router forwards a record received from a comparison of tables.
const SYNCED_RECORD_SENDS: u32 = 1;
/// Number of members that are sent to a new member.
const MAX_REFERRALS: usize = 4;

impl Membership {
    /// Merges one datagram and sends the response.
    pub(super) fn merge(&mut self, now: Instant, from: SocketAddr, d: Datagram) -> Result<(), Reject> {
        if *d.from == *self.me.name {
            return Err(Reject::Replay);
        }
        self.check_order(now, from, &d)?;
        if d.newest > self.newest {
            self.newest = d.newest;
            self.out.events.push(Event::NewerVersion(d.newest));
        }
        let is_new = self.table.get(&d.from).is_none();
        let trusted = self.table.get(&d.from).is_none_or(|m| m.record.status <= Status::Leaving);
        let mut corrections = Vec::new();
        let broadcasts = d.records.iter().map(|r| (r, true));
        for (raw, from_broadcast) in broadcasts.chain(d.lacking.iter().map(|r| (r, false))) {
            let record = Record::from_raw(raw).ok_or(Reject::Malformed)?;
            // A member that is suspect or dead may be isolated, so its suspicions of others are ignored.
            let declares_failure = matches!(record.status, Status::Suspect | Status::Dead);
            if declares_failure && !trusted && record.name != self.me.name {
                continue;
            }
            corrections.extend(self.apply_record(now, record, from_broadcast));
        }
        if self.table.get(&d.from).is_none() {
            self.unknown_sender = Some(from);
        }
        self.merge_sender(&d);
        self.merge_payload(now, &d);
        let differing = self.differing(&d.buckets);
        if !d.buckets.is_empty() {
            self.out_of_sync = !differing.is_empty();
        }
        let may_request = matches!(d.body, Some(Body::Ping(_) | Body::Ack(_)));
        let mut extras =
            Extras { corrections, differing, peer_details: d.details.clone(), ..Extras::default() };
        if may_request {
            // Only the response to a ping or an ack requests records, so that two members never request forever.
            extras.differing.extend(self.centres_with_missing_records(&d.details));
        }
        if is_new && matches!(d.body, Some(Body::Ping(_))) {
            // A seed pinged by a whole fleet that starts at once must spend few bytes on each member.
            extras = Extras { corrections: self.referrals(), ..Extras::default() };
        }
        self.respond(now, from, d, extras, is_new);
        Ok(())
    }

    /// Rejects a datagram whose sequence number is not higher than that of the sender's last one. A replayed datagram
    /// could restore an old version or deliver an ack that was never sent.
    fn check_order(&mut self, now: Instant, from: SocketAddr, d: &Datagram) -> Result<(), Reject> {
        let Some(m) = self.table.get_mut(&d.from) else { return Ok(()) };
        let sequence = (d.incarnation, d.seq);
        if sequence > m.last_seq && d.incarnation >= m.record.incarnation {
            m.last_seq = sequence;
            return Ok(());
        }
        // A router whose wall clock went backwards starts with too low an incarnation; it raises it once it receives
        // its old record. The record is sent only in response to a ping, and not with the priority of an ack.
        if d.incarnation < m.record.incarnation && matches!(d.body, Some(Body::Ping(_))) {
            let corrections = vec![m.record.name.clone()];
            let extras = Extras { corrections, ..Extras::default() };
            self.send(now, None, from, None, extras);
        }
        Err(Reject::Replay)
    }

    fn merge_sender(&mut self, d: &Datagram) {
        if let Some(m) = self.table.get_mut(&d.from) {
            m.last_seq = m.last_seq.max((d.incarnation, d.seq));
            m.in_force = m.in_force.max(d.in_force);
        }
    }

    fn merge_payload(&mut self, now: Instant, d: &Datagram) {
        let sends = self.broadcast_sends();
        let summary_sends = self.summary_sends();
        for summary in &d.summaries {
            self.summaries.merge(now, summary, summary_sends);
        }
        for event in &d.events {
            if self.engines.merge_event(now, event) {
                self.engine_events.push((event.clone(), sends));
            }
        }
        let local = self.table.get(&d.from).filter(|m| m.record.data_centre == self.me.data_centre);
        if let Some((report, name)) = d.report.as_ref().zip(local.map(|m| m.record.name.clone())) {
            self.engines.merge_report(now, &name, report);
        }
        for note in &d.notes {
            if *note.origin == *self.me.name {
                continue;
            }
            let Some(topic) = self.notes.merge(now, note, sends) else { continue };
            let origin: Arc<str> = note.origin.as_str().into();
            if topic == Topic::Engines {
                self.merge_remote_engines(now, &origin, &note.payload);
            } else {
                self.out.events.push(Event::Note { topic, origin, payload: note.payload.clone() });
            }
        }
    }

    fn merge_remote_engines(&mut self, now: Instant, origin: &str, payload: &[u8]) {
        let Some(m) = self.table.get(origin) else { return };
        let centre = m.record.data_centre.clone();
        if centre == self.me.data_centre {
            return;
        }
        if let Ok(list) = postcard::from_bytes::<Vec<(u32, u32)>>(payload) {
            self.engines.set_remote(now, &centre, &list);
        }
    }

    /// Merges a record. Returns the member's name if the sender does not know yet that the member is dead or has left.
    pub(super) fn apply_record(
        &mut self,
        now: Instant,
        record: Record,
        from_broadcast: bool,
    ) -> Option<Arc<str>> {
        if record.name == self.me.name {
            self.refute(now, &record);
            return None;
        }
        let (name, status) = (record.name.clone(), record.status);
        let scope = match self.table.get(&name) {
            Some(m) if m.record.same_for_remote(&record) => Scope::DataCentre,
            _ if status == Status::Suspect => Scope::DataCentre,
            _ => Scope::Fleet,
        };
        if !self.table.merge(now, record) {
            let is_dead_or_left = self.table.get(&name).is_some_and(|m| m.record.status.is_dead_or_left());
            return (is_dead_or_left && !status.is_dead_or_left()).then_some(name);
        }
        if status == Status::Suspect
            && let Some(m) = self.table.get_mut(&name)
            && m.record.data_centre == self.me.data_centre
        {
            m.suspect_until = Some(now + self.cfg.suspicion_timeout);
        }
        // Records from a comparison of tables are old. Forwarded as often as broadcasts, they would circulate many
        // times and use up most of the budget after a start of the whole fleet.
        let sends = if from_broadcast || status != Status::Alive {
            self.broadcast_sends()
        } else {
            SYNCED_RECORD_SENDS
        };
        self.queue_broadcast(name.clone(), sends, scope);
        if let Some(older) = self.table.superseded(&name) {
            self.apply_record(now, older, true);
        }
        self.engines.set_probers(now, self.local_routers());
        self.out.events.push(Event::RoutersChanged);
        None
    }

    /// Refutes a suspicion or death of this router, or a record of an earlier start, by a higher incarnation.
    fn refute(&mut self, now: Instant, record: &Record) {
        let suspected_or_dead = record.incarnation == self.me.incarnation && record.status > self.me.status;
        if !(suspected_or_dead || record.incarnation > self.me.incarnation) {
            return;
        }
        if self.last_refutation + MIN_REFUTATION_INTERVAL > now && self.last_refutation > Instant::ZERO {
            return;
        }
        self.last_refutation = now;
        self.me.incarnation = self.me.incarnation.max(record.incarnation);
        let scope = if record.status == Status::Suspect { Scope::DataCentre } else { Scope::Fleet };
        self.announce(now, scope, |_| {});
    }

    /// Data centres whose table hash differs from the sender's.
    fn differing(&mut self, theirs: &[Bucket]) -> Vec<Arc<str>> {
        if theirs.is_empty() {
            return Vec::new();
        }
        let theirs: Map<&str, u32> = theirs.iter().map(|b| (b.data_centre.as_str(), b.hash)).collect();
        let differs = |n: &&Arc<str>| theirs.get(&***n) != Some(&self.table.hash(n));
        let mut names: Vec<_> = self.table.centres().filter(differs).cloned().collect();
        names.extend(theirs.keys().filter(|n| !self.table.has_centre(n)).map(|n| Arc::from(*n)));
        names.sort();
        // Shuffled, since in a fixed order the first data centre would always take the space of the datagram.
        names.shuffle(&mut self.rng);
        names
    }

    /// Data centres for which the sender has records that this router lacks.
    fn centres_with_missing_records(&self, details: &[Detail]) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for theirs in details {
            let mine: Set<u32> = self.detail(&theirs.data_centre).records.into_iter().collect();
            if theirs.records.iter().any(|r| !mine.contains(r)) {
                names.push(theirs.data_centre.as_str().into());
            }
        }
        names
    }

    /// Responds to the body of a datagram and sends the extras.
    fn respond(&mut self, now: Instant, from: SocketAddr, d: Datagram, mut extras: Extras, is_new: bool) {
        let sender = d.from.clone();
        match d.body {
            Some(Body::Ping(ping)) => {
                extras.sync = !is_new && !d.buckets.is_empty() && self.table_differs(&d.buckets);
                let ack = Ack { nonce: ping.nonce, subject: String::new() };
                self.send(now, Some(&sender), from, Some(Body::Ack(ack)), extras);
                return;
            }
            Some(Body::Ack(ack)) => self.handle_ack(now, &d.from, d.incarnation, ack),
            Some(Body::PingRequest(req)) => {
                let Some(m) = self.table.get(&req.subject) else { return };
                let (subject, addr) = (m.record.name.clone(), m.record.peer);
                let nonce = self.random_nonce();
                let relayed =
                    RelayedPing { requester: from, nonce: req.nonce, subject: subject.clone(), at: now };
                self.relayed_pings.insert(nonce, relayed);
                let ping = Body::Ping(Ping { nonce });
                self.send(now, Some(&subject), addr, Some(ping), Extras::default());
            }
            None => {}
        }
        if !extras.corrections.is_empty() || !extras.differing.is_empty() || !extras.peer_details.is_empty() {
            self.send(now, Some(&sender), from, None, extras);
        }
    }

    /// Random members for a new member to contact next, so that the few seeds in the settings do not have to serve all
    /// members.
    fn referrals(&mut self) -> Vec<Arc<str>> {
        let live = self.others(|m| m.record.status <= Status::Leaving);
        let names: Vec<_> = live.into_iter().map(|(name, _)| name).collect();
        names.choose_multiple(&mut self.rng, MAX_REFERRALS).cloned().collect()
    }

    fn table_differs(&self, theirs: &[Bucket]) -> bool {
        let mut mine = self.buckets();
        let mut theirs = theirs.to_vec();
        let key = |b: &Bucket| b.data_centre.clone();
        mine.sort_by_key(key);
        theirs.sort_by_key(key);
        mine != theirs
    }

    /// Handles an ack: completes this router's own ping, or relays the ack to the member that requested the ping.
    fn handle_ack(&mut self, now: Instant, from: &str, incarnation: u64, ack: Ack) {
        self.last_ack = now;
        self.unacked.clear();
        if let Some(relayed) = self.relayed_pings.remove(&ack.nonce) {
            if *relayed.subject == *from {
                let body = Ack { nonce: relayed.nonce, subject: relayed.subject.to_string() };
                self.send(now, None, relayed.requester, Some(Body::Ack(body)), Extras::default());
            }
            return;
        }
        let subject = if ack.subject.is_empty() { from } else { &ack.subject };
        let matches =
            |p: &super::PendingPing| p.nonce == ack.nonce && (p.target.is_empty() || *p.target == *subject);
        let Some(at) = self.pending_pings.iter().position(matches) else { return };
        let pending = self.pending_pings.swap_remove(at);
        if ack.subject.is_empty()
            && let Some(m) = self.table.get_mut(from)
            && pending.incarnation == incarnation
        {
            m.acked_change = m.acked_change.max(pending.upto);
        }
    }
}
