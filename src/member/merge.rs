//! Takes in what a datagram says.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Body, Event, Membership, Record, Reject, Status, Topic, compose::Extras, detect::Relay};
use crate::{
    schema::membership::{Ack, Bucket, Datagram, Ping},
    util::{Instant, Map, Set},
};

/// Shortest time between two refutations; two routers set up with one name would otherwise outbid each other.
const REFUTE_SPACING: Duration = Duration::from_millis(500);

impl Membership {
    pub(super) fn merge(&mut self, now: Instant, from: SocketAddr, d: Datagram) -> Result<(), Reject> {
        if *d.from == *self.me.name {
            return Err(Reject::Replay);
        }
        self.check_order(now, from, &d)?;
        if d.newest > self.newest {
            self.newest = d.newest;
            self.out.events.push(Event::Newest(d.newest));
        }
        let trusted = self.table.get(&d.from).is_none_or(|m| m.record.status <= Status::Leaving);
        let mut corrections = Vec::new();
        for raw in &d.records {
            let record = Record::from_raw(raw).ok_or(Reject::Garbage)?;
            // A member that is itself suspect may be hearing nobody; its accusations prove nothing.
            let accusation = matches!(record.status, Status::Suspect | Status::Dead);
            if accusation && !trusted && record.name != self.me.name {
                continue;
            }
            corrections.extend(self.learn(now, record));
        }
        self.merge_sender(&d);
        self.merge_news(now, &d);
        let differing = self.differing(&d.buckets);
        let extras = Extras { corrections, differing, ..Extras::default() };
        self.answer(now, from, d, extras);
        Ok(())
    }

    /// Datagrams of one sender only rise in number. An old one that comes again would bring back an old version or
    /// an ack that was never given.
    fn check_order(&mut self, now: Instant, from: SocketAddr, d: &Datagram) -> Result<(), Reject> {
        let Some(m) = self.table.get_mut(&d.from) else { return Ok(()) };
        let number = (d.incarnation, d.seq);
        if number > m.seq && d.incarnation >= m.record.incarnation {
            m.seq = number;
            return Ok(());
        }
        // A router whose wall clock went back starts with too low an incarnation. Told its old record, it takes a
        // higher one. Only a sender that asks something is told, and from the budget of the least important.
        if d.incarnation < m.record.incarnation && matches!(d.body, Some(Body::Ping(_))) {
            let corrections = vec![m.record.name.clone()];
            let extras = Extras { corrections, ..Extras::default() };
            self.send(now, None, from, None, extras);
        }
        Err(Reject::Replay)
    }

    fn merge_sender(&mut self, d: &Datagram) {
        if let Some(m) = self.table.get_mut(&d.from) {
            m.seq = m.seq.max((d.incarnation, d.seq));
            m.in_force = m.in_force.max(d.in_force);
        }
    }

    fn merge_news(&mut self, now: Instant, d: &Datagram) {
        let sends = self.sends();
        let summary_sends = self.summary_sends();
        for summary in &d.summaries {
            self.summaries.merge(now, summary, summary_sends);
        }
        for event in &d.events {
            if self.engines.merge_event(now, event) {
                self.events.push((event.clone(), sends));
            }
        }
        let near = self.table.get(&d.from).filter(|m| m.record.data_centre == self.me.data_centre);
        if let Some((report, name)) = d.report.as_ref().zip(near.map(|m| m.record.name.clone())) {
            self.engines.merge_report(now, &name, report);
        }
        for note in &d.notes {
            if *note.origin == *self.me.name {
                continue;
            }
            let Some(topic) = self.notes.merge(now, note, sends) else { continue };
            let origin: Arc<str> = note.origin.as_str().into();
            if topic == Topic::Engines {
                self.merge_remote(now, &origin, &note.payload);
            } else {
                self.out.events.push(Event::Note { topic, origin, payload: note.payload.clone() });
            }
        }
    }

    fn merge_remote(&mut self, now: Instant, origin: &str, payload: &[u8]) {
        let Some(m) = self.table.get(origin) else { return };
        let centre = m.record.data_centre.clone();
        if centre == self.me.data_centre {
            return;
        }
        if let Ok(list) = postcard::from_bytes::<Vec<(u32, u32)>>(payload) {
            self.engines.set_remote(now, &centre, &list);
        }
    }

    /// Takes a record in. Returns the member's name when the sender has an old state of a member that is gone.
    pub(super) fn learn(&mut self, now: Instant, record: Record) -> Option<Arc<str>> {
        if record.name == self.me.name {
            self.refute(now, &record);
            return None;
        }
        let (name, status) = (record.name.clone(), record.status);
        if !self.table.merge(now, record) {
            let gone = self.table.get(&name).is_some_and(|m| m.record.status.gone());
            return (gone && !status.gone()).then_some(name);
        }
        if status == Status::Suspect
            && let Some(m) = self.table.get_mut(&name)
            && m.record.data_centre == self.me.data_centre
        {
            m.suspect_until = Some(now + self.cfg.suspicion);
        }
        self.spread(name.clone());
        if let Some(loser) = self.table.superseded(&name) {
            self.learn(now, loser);
        }
        self.engines.set_probers(now, self.near());
        self.out.events.push(Event::Routers);
        None
    }

    /// Another holds this router for suspect or dead, or knows an earlier start of it: a higher incarnation wins.
    fn refute(&mut self, now: Instant, record: &Record) {
        let accused = record.incarnation == self.me.incarnation && record.status > self.me.status;
        if !(accused || record.incarnation > self.me.incarnation) {
            return;
        }
        if self.last_refutation + REFUTE_SPACING > now && self.last_refutation > Instant::ZERO {
            return;
        }
        self.last_refutation = now;
        self.me.incarnation = self.me.incarnation.max(record.incarnation);
        self.announce(now, |_| {});
    }

    fn differing(&self, theirs: &[Bucket]) -> Vec<Arc<str>> {
        if theirs.is_empty() {
            return Vec::new();
        }
        let theirs: Map<&str, u32> = theirs.iter().map(|b| (b.data_centre.as_str(), b.hash)).collect();
        let mine = self.table.centres().cloned().collect::<Set<_>>();
        let mut names: Vec<_> =
            mine.into_iter().filter(|n| theirs.get(&**n) != Some(&self.table.hash(n))).collect();
        names.sort();
        names
    }

    fn answer(&mut self, now: Instant, from: SocketAddr, d: Datagram, mut extras: Extras) {
        let sender = d.from.clone();
        match d.body {
            Some(Body::Ping(ping)) => {
                extras.sync = !d.buckets.is_empty() && self.table_differs(&d.buckets);
                let ack = Ack { nonce: ping.nonce, subject: String::new() };
                self.send(now, Some(&sender), from, Some(Body::Ack(ack)), extras);
                return;
            }
            Some(Body::Ack(ack)) => self.acked(now, &d.from, d.incarnation, ack),
            Some(Body::PingRequest(req)) => {
                let Some(m) = self.table.get(&req.subject) else { return };
                let (subject, addr) = (m.record.name.clone(), m.record.peer);
                let nonce = self.number();
                let relay = Relay { asker: from, nonce: req.nonce, subject: subject.clone(), at: now };
                self.relays.insert(nonce, relay);
                let ping = Body::Ping(Ping { nonce });
                self.send(now, Some(&subject), addr, Some(ping), Extras::default());
            }
            None => {}
        }
        if !extras.corrections.is_empty() || !extras.differing.is_empty() {
            self.send(now, Some(&sender), from, None, extras);
        }
    }

    fn table_differs(&self, theirs: &[Bucket]) -> bool {
        let mut mine = self.buckets();
        let mut theirs = theirs.to_vec();
        let key = |b: &Bucket| b.data_centre.clone();
        mine.sort_by_key(key);
        theirs.sort_by_key(key);
        mine != theirs
    }

    fn acked(&mut self, now: Instant, from: &str, incarnation: u64, ack: Ack) {
        self.last_ack = now;
        self.unanswered.clear();
        if let Some(relay) = self.relays.remove(&ack.nonce) {
            if *relay.subject == *from {
                let body = Ack { nonce: relay.nonce, subject: relay.subject.to_string() };
                self.send(now, None, relay.asker, Some(Body::Ack(body)), Extras::default());
            }
            return;
        }
        let subject = if ack.subject.is_empty() { from } else { &ack.subject };
        let matches =
            |t: &super::Trial| t.nonce == ack.nonce && (t.target.is_empty() || *t.target == *subject);
        let Some(at) = self.trials.iter().position(matches) else { return };
        let trial = self.trials.swap_remove(at);
        if ack.subject.is_empty()
            && let Some(m) = self.table.get_mut(from)
            && trial.incarnation == incarnation
        {
            m.acked = m.acked.max(trial.upto);
        }
    }
}
