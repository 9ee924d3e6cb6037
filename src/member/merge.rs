//! Takes in what a datagram says.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::{IndexedRandom, SliceRandom};

use super::{Body, Event, Membership, Reach, Record, Reject, Status, Topic, compose::Extras, detect::Relay};
use crate::{
    schema::membership::{Ack, Bucket, Datagram, Detail, Ping},
    util::{Instant, Map, Set},
};

/// Shortest time between two refutations; two routers set up with one name would otherwise outbid each other.
const REFUTE_SPACING: Duration = Duration::from_millis(500);

/// Times that a router sends on what it learnt by comparing tables.
const OLD_NEWS_SENDS: u32 = 1;
/// Members named to one that lacks some.
const REFERRALS: usize = 4;

impl Membership {
    pub(super) fn merge(&mut self, now: Instant, from: SocketAddr, d: Datagram) -> Result<(), Reject> {
        if *d.from == *self.me.name {
            return Err(Reject::Replay);
        }
        self.check_order(now, from, &d)?;
        if d.newest > self.newest {
            self.newest = d.newest;
            self.out.events.push(Event::NewerVersion(d.newest));
        }
        let stranger = self.table.get(&d.from).is_none();
        let trusted = self.table.get(&d.from).is_none_or(|m| m.record.status <= Status::Leaving);
        let mut corrections = Vec::new();
        let news = d.records.iter().map(|r| (r, true));
        for (raw, fresh) in news.chain(d.lacking.iter().map(|r| (r, false))) {
            let record = Record::from_raw(raw).ok_or(Reject::Garbage)?;
            // A member that is itself suspect may be hearing nobody; its accusations prove nothing.
            let accusation = matches!(record.status, Status::Suspect | Status::Dead);
            if accusation && !trusted && record.name != self.me.name {
                continue;
            }
            corrections.extend(self.learn(now, record, fresh));
        }
        if self.table.get(&d.from).is_none() {
            self.caller = Some(from);
        }
        self.merge_sender(&d);
        self.merge_news(now, &d);
        let differing = self.differing(&d.buckets);
        if !d.buckets.is_empty() {
            self.differs = !differing.is_empty();
        }
        let asked = matches!(d.body, Some(Body::Ping(_) | Body::Ack(_)));
        let mut extras = Extras { corrections, differing, theirs: d.details.clone(), ..Extras::default() };
        if asked {
            // Only an answer to a ping or an ack asks back, so that two members never go on asking each other.
            extras.differing.extend(self.lacking(&d.details));
        }
        if stranger && matches!(d.body, Some(Body::Ping(_))) {
            // A seed that a whole starting fleet asks at once must spend few bytes on each.
            extras = Extras { corrections: self.referrals(), ..Extras::default() };
        }
        self.answer(now, from, d, extras, stranger);
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
    pub(super) fn learn(&mut self, now: Instant, record: Record, fresh: bool) -> Option<Arc<str>> {
        if record.name == self.me.name {
            self.refute(now, &record);
            return None;
        }
        let (name, status) = (record.name.clone(), record.status);
        let reach = match self.table.get(&name) {
            Some(m) if m.record.same_for_remote(&record) => Reach::Near,
            _ if status == Status::Suspect => Reach::Near,
            _ => Reach::All,
        };
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
        // What came from a comparison of tables is old; spread on like news it would go round many times, and after
        // a start of the whole fleet at once the budget would carry little else.
        let sends = if fresh || status != Status::Alive { self.sends() } else { OLD_NEWS_SENDS };
        self.spread(name.clone(), sends, reach);
        if let Some(loser) = self.table.superseded(&name) {
            self.learn(now, loser, true);
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
        let reach = if record.status == Status::Suspect { Reach::Near } else { Reach::All };
        self.announce(now, reach, |_| {});
    }

    fn differing(&mut self, theirs: &[Bucket]) -> Vec<Arc<str>> {
        if theirs.is_empty() {
            return Vec::new();
        }
        let theirs: Map<&str, u32> = theirs.iter().map(|b| (b.data_centre.as_str(), b.hash)).collect();
        let differs = |n: &&Arc<str>| theirs.get(&***n) != Some(&self.table.hash(n));
        let mut names: Vec<_> = self.table.centres().filter(differs).cloned().collect();
        names.extend(theirs.keys().filter(|n| !self.table.has_centre(n)).map(|n| Arc::from(*n)));
        names.sort();
        // In another order each time: with one order, a datagram's room would go to the first data centre for ever.
        names.shuffle(&mut self.rng);
        names
    }

    /// Data centres of which the sender has members that are not known here.
    fn lacking(&self, details: &[Detail]) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for theirs in details {
            let mine: Set<u32> = self.detail(&theirs.data_centre).records.into_iter().collect();
            if theirs.records.iter().any(|r| !mine.contains(r)) {
                names.push(theirs.data_centre.as_str().into());
            }
        }
        names
    }

    fn answer(&mut self, now: Instant, from: SocketAddr, d: Datagram, mut extras: Extras, stranger: bool) {
        let sender = d.from.clone();
        match d.body {
            Some(Body::Ping(ping)) => {
                extras.sync = !stranger && !d.buckets.is_empty() && self.table_differs(&d.buckets);
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
        if !extras.corrections.is_empty() || !extras.differing.is_empty() || !extras.theirs.is_empty() {
            self.send(now, Some(&sender), from, None, extras);
        }
    }

    /// A few random members for one that is new: it goes on to these, so that the few seeds, which every settings
    /// file names, need not answer everybody all the time.
    fn referrals(&mut self) -> Vec<Arc<str>> {
        let live = self.others(|m| m.record.status <= Status::Leaving);
        let names: Vec<_> = live.into_iter().map(|(name, _)| name).collect();
        names.choose_multiple(&mut self.rng, REFERRALS).cloned().collect()
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
