//! Changes of what this host believes: the configuration in force, the backend servers, the other hosts. Each has a line.

use std::{sync::Arc, time::Duration};

use super::{
    Read, Relay, State, Wire,
    backends::{BackendKey, Change},
    configurations,
    confirm::{self, Topic},
    evacuations,
    follow::Hosts,
    followers::Contact,
    place,
    request::Request,
    revision::{Epoch, Heard, Revision},
    routes::Routes,
};
use crate::{
    logs::lines::{Line, Weight, line},
    metrics::{Counter, Gauge},
    schema::fleet::{Configuration, ConfigurationChanges, Held, Member},
    util::{Instant, now},
};

/// Changes of backend servers that have a line each; of a longer list only the number is told beside them, since a start
/// before ten thousand servers would spend a second's lines on them.
const MOST_BACKEND_LINES: usize = 128;
/// Hosts of a data centre that are entered in the store. They are replaced once half of them are gone.
const MOST_ENTERED: usize = 16;

/// Tells a revision of the store and its epoch in a line.
pub(super) fn revision(l: Line, revision: Revision) -> Line {
    l.number("epoch", revision.epoch).number("revision", revision.number)
}

/// What servers say of themselves in answers; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// One leaves that was not known to.
    Leaving,
    /// One wants nothing for a while.
    Pause,
}

impl Said {
    /// All that they say.
    pub const ALL: [Said; 2] = [Said::Leaving, Said::Pause];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Said::Leaving => "leaving",
            Said::Pause => "pause",
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Whether what is known may be old: the store does not answer, or nobody has confirmed the configuration for a while.
    pub fn is_stale(&self) -> bool {
        let state = self.state();
        match state.contact {
            _ if state.confirmations.is_old(now(), Topic::Configuration) => true,
            Contact::Follows => false,
            Contact::Lost => true,
            // What it knows is as of a copy, or was told by hosts that may be gone.
            Contact::Idle => {
                (state.has_read_copy || state.peers.knows_fleet()) && !state.peers.any_follows_store(now())
            }
        }
    }

    /// Time since it was known that there is no newer configuration.
    pub fn configuration_age(&self) -> Duration {
        self.state().confirmations.age(now(), Topic::Configuration)
    }

    /// The store's epoch as far as it is known.
    pub(crate) fn epoch(&self) -> Epoch {
        self.state().epochs.known()
    }

    /// Takes in the epoch of an answer of the store. With a later one all that is followed is listed anew: what was read in
    /// the one before may be undone, and its revisions are given out again.
    pub(crate) fn hear_epoch(&self, epoch: Epoch, from: &str) -> Heard {
        let mut state = self.state();
        let before = state.epochs.known();
        let heard = state.epochs.hear(epoch);
        drop(state);
        self.note_epoch(heard, before, epoch, from);
        heard
    }

    /// Takes in the epoch as of which another host knows the store; returns whether that may be true.
    pub(super) fn hear_epoch_of_host(&self, state: &mut State, epoch: Epoch, from: &str) -> bool {
        let before = state.epochs.known();
        if !state.epochs.trusts(epoch) {
            self.note_epoch(Heard::Odd, before, epoch, from);
            return false;
        }
        if state.epochs.hear_host(epoch) {
            self.note_epoch(Heard::Later, before, epoch, from);
        }
        true
    }

    fn note_epoch(&self, heard: Heard, before: Epoch, epoch: Epoch, from: &str) {
        if heard == Heard::Known {
            return;
        }
        self.metrics.add(Counter::RelayEpochs, heard.as_str(), 1);
        line(Weight::Notable, "store_epoch", |l| {
            let l = l.text("heard", heard.as_str()).text("from", from);
            l.number("epoch", epoch).number("known", before)
        });
        if heard == Heard::Later {
            self.store_restored.notify_waiters();
        }
    }

    /// Puts a configuration in force, if it is newer than the one known. Returns whether it was.
    pub fn set_configuration(&self, cfg: Configuration, from: &str) -> bool {
        let mut state = self.state();
        if state.routes.as_ref().is_some_and(|r| r.version() >= cfg.version) {
            return false;
        }
        line(Weight::Notable, "configuration", |l| {
            let l = l.number("version", cfg.version).text("from", from);
            l.number("routes", cfg.routes.len() as u64).number("workspaces", cfg.workspaces.len() as u64)
        });
        let cfg = Arc::new(cfg);
        state.configurations.note(cfg.clone());
        state.routes = Some(Arc::new(Routes::new(cfg)));
        if state.peers.pushes_changes() {
            self.beat_due.notify_one();
        } else {
            self.gossip_due.notify_one();
        }
        true
    }

    /// Puts what another host told of a newer configuration in force. Returns whether what it leads from is not known here,
    /// so that the whole is needed.
    pub(crate) fn change_configuration(&self, changes: &ConfigurationChanges, from: &str) -> bool {
        let Some(routes) = self.routes() else { return true };
        if routes.version() >= changes.version {
            return false;
        }
        match configurations::apply(routes.source(), changes) {
            Some(cfg) => {
                self.set_configuration(cfg, from);
                false
            }
            None => {
                line(Weight::Notable, "changes_unfit", |l| {
                    let l = l.number("version", routes.version()).text("from", from);
                    l.number("leads_from", changes.from).number("leads_to", changes.version)
                });
                true
            }
        }
    }

    /// Takes in changes of the backend servers.
    pub(crate) fn note_changes(&self, state: &mut State, changes: &[(BackendKey, Change)], from: &str) {
        if changes.len() > MOST_BACKEND_LINES {
            line(Weight::Notable, "backends", |l| {
                let l = l.number("changes", changes.len() as u64).text("from", from);
                revision(l, state.backends.revision())
            });
        }
        for (key, _) in changes.iter().filter(|(_, change)| *change == Change::Restarted) {
            self.forget(state, *key);
        }
        for (key, _) in changes.iter().filter(|(_, change)| *change == Change::Cold) {
            state.holders.forget(*key);
        }
        for (key, change) in changes.iter().take(MOST_BACKEND_LINES) {
            let Some(backend) = state.backends.get(*key) else { continue };
            line(Weight::Notable, "backend", |l| {
                let l = l.text("backend", &backend.id).text("change", change.as_str()).text("from", from);
                let l = revision(l.text("service", &backend.service), state.backends.revision());
                let l = l.number("born", backend.born);
                let l = l.ms("cold_ms", backend.cold_until.saturating_sub(now()));
                l.text("address", &backend.addr.to_string())
            });
        }
        if !changes.is_empty() {
            self.tell_news(state);
        }
    }

    /// Takes in what the store tells of evacuated data centres.
    pub fn update_evacuations(&self, update: &evacuations::Update, from: &str) {
        let mut state = self.state();
        let changes = state.evacuations.update(now(), update);
        self.note_evacuations(&mut state, &changes, from);
        if !changes.is_empty() {
            self.tell_news(&state);
        }
    }

    /// Writes a line for each data centre that was evacuated or taken back. The servers of one that is taken back may be cold
    /// before their entries tell so, and a cold one has nothing cached: requests sent there for their parts read them again.
    pub(crate) fn note_evacuations(&self, state: &mut State, changes: &[evacuations::Change], from: &str) {
        for change in changes {
            let data_centre = change.data_centre();
            line(Weight::Notable, "evacuation", |l| {
                let l = l.text("data_centre", data_centre).text("change", change.as_str());
                revision(l.text("from", from), state.evacuations.revision())
            });
            if let (evacuations::Change::TakenBack(_), Some(routes)) = (change, state.routes.clone()) {
                let lasts =
                    |service: &str| routes.cold_limit(service).map_or(Duration::ZERO, |limit| limit.duration);
                state.evacuation_ended = Some(now());
                let cold = state.backends.mark_cold(now(), data_centre, lasts);
                cold.into_iter().for_each(|key| state.holders.forget(key));
            }
        }
    }

    /// Sends a beat at once that tells of something newer.
    fn tell_news(&self, state: &State) {
        if state.peers.pushes_changes() {
            self.beat_due.notify_one();
        }
    }

    /// Notes that a server has read a request's prompt.
    pub(crate) fn note_read(&self, req: &Request, key: BackendKey) {
        let now = now();
        let mut state = self.state();
        let Some(tag) = state.backends.get(key).map(|b| b.tag) else { return };
        for part in place::shared(&req.parts) {
            if state.holders.note(now, part.id, key) {
                state.new_holders.push(Held { part: part.id, backend: tag });
            }
        }
    }

    /// Ends what is believed of a start of a server: what it has cached, how it fares, and the connections to it.
    fn forget(&self, state: &mut State, key: BackendKey) {
        state.health.forget(key);
        state.holders.forget(key);
        self.pool.clear(key);
    }

    /// Shows how long ago each topic was confirmed, with a line where that has grown long, and where it has been since.
    fn show_confirmed(&self, state: &mut State, now: Instant) {
        for topic in state.confirmations.topics() {
            let age = state.confirmations.age(now, topic);
            self.metrics.set(Gauge::RelayUnconfirmed, topic.as_str(), age.as_secs_f64());
        }
        let versions = state.local_versions();
        for change in state.confirmations.changes(now) {
            let fill = |l: Line, topic: Topic, after| {
                let l = l.text("kind", topic.as_str()).ms("after_ms", after);
                let l = l.text("contact", state.contact.as_str()).flag("alone", state.peers.is_alone(now));
                revision(l.number("version", versions.configuration), versions.backends)
            };
            match change {
                confirm::Change::Old(topic, age) => {
                    line(Weight::Notable, "unconfirmed", |l| fill(l, topic, age));
                }
                confirm::Change::Renewed(topic, after) => {
                    line(Weight::Notable, "confirmed", |l| fill(l, topic, after));
                }
            }
        }
    }

    /// Housekeeping: expires peers and servers, closes idle connections.
    pub(crate) fn tick(&self) {
        let now = now();
        let mut state = self.state();
        self.show_confirmed(&mut state, now);
        for lost in state.peers.expire(now) {
            line(Weight::Notable, "peer", |l| l.text("peer", &lost.to_string()).text("change", "lost"));
        }
        let (changes, forgotten) = state.backends.expire(now);
        self.note_changes(&mut state, &changes, "grace over");
        for key in forgotten {
            self.forget(&mut state, key);
        }
        let ended = state.evacuations.expire(now);
        self.note_evacuations(&mut state, &ended, "not written again");
        state.warmup.expire(now);
        self.pool.evict(|key| state.backends.get(key).is_some_and(|b| b.accepts_work()));
    }

    /// Leaves a server alone for a while that could not be reached or fell silent.
    pub(crate) fn avoid(&self, key: BackendKey, why: &str) {
        let mut state = self.state();
        state.note_possible_restart(now(), key);
        let Some(pause) = state.health.record_unreachable(now(), key) else { return };
        let Some(id) = state.backends.get(key).map(|b| b.id.clone()) else { return };
        drop(state);
        line(Weight::Notable, "avoided", |l| l.text("backend", &id).text("why", why).ms("for_ms", pause));
        self.beat_due.notify_one();
    }

    /// Notes a whole answer of a server, which ends a pause.
    pub(crate) fn trust(&self, key: BackendKey) {
        let mut state = self.state();
        if !state.health.record_success(now(), key) {
            return;
        }
        state.note_possible_restart(now(), key);
        let Some(id) = state.backends.get(key).map(|b| b.id.clone()) else { return };
        drop(state);
        line(Weight::Notable, "taken_back", |l| l.text("backend", &id));
    }

    /// Leaves a server alone that has crashed. What it had cached is gone with it, also where it is back before its entry
    /// tells of the new start.
    pub(crate) fn note_crash(&self, key: BackendKey) {
        self.state().holders.forget(key);
        self.avoid(key, "crashed");
    }

    /// Takes in what a server says of itself in an answer: that it leaves, whatever the store knows of it, or that it wants
    /// nothing from this host for a while.
    pub(crate) fn hear_backend(&self, req: &Request, key: BackendKey, read: &Read) {
        if !read.leaves && read.pause.is_none() {
            return;
        }
        let id = self.id_of(key);
        let id = id.as_deref().unwrap_or("gone");
        if read.leaves {
            self.log_request(Weight::Notable, "told_leaving", req, |l| l.text("backend", id));
            let mut state = self.state();
            if let Some(change) = state.backends.mark_leaving(now(), key) {
                self.metrics.add(Counter::RelayTold, Said::Leaving.as_str(), 1);
                self.note_changes(&mut state, &[change], "its answer");
            }
        }
        if let Some(pause) = read.pause {
            self.log_request(Weight::Notable, "told_pause", req, |l| {
                l.text("backend", id).ms("for_ms", pause)
            });
            self.metrics.add(Counter::RelayTold, Said::Pause.as_str(), 1);
            self.state().health.record_requested_pause(now(), key, pause);
        }
    }

    /// Identifier of a server, unless it is gone and forgotten.
    pub(crate) fn id_of(&self, key: BackendKey) -> Option<Arc<str>> {
        self.state().backends.get(key).map(|b| b.id.clone())
    }

    /// Counts a server as gone, as when another one answers at its address.
    pub(crate) fn lose(&self, key: BackendKey, why: &str) {
        let mut state = self.state();
        if let Some(change) = state.backends.mark_replaced(key) {
            self.note_changes(&mut state, &[change], why);
        }
    }

    /// Lists everything at the store again, as after the host was suspended: what it knows may be old, and the connections
    /// on which it waits may have gone silent.
    pub fn wake(&self, slept: Duration) {
        line(Weight::Notable, "woken", |l| l.ms("slept_ms", slept));
        let mut state = self.state();
        if state.contact == Contact::Follows {
            state.contact = Contact::Lost;
        }
        drop(state);
        self.suspend_ended.notify_waiters();
    }

    /// Hosts of the data centre to enter in the store, in place of those `entered`; `None` while these do. A host that hears
    /// nobody keeps those that are entered beside itself: they may be cut off from it alone.
    pub(crate) fn hosts_to_enter(&self, entered: &Hosts) -> Option<Hosts> {
        let state = self.state();
        if state.contact != Contact::Follows {
            return None;
        }
        let me = &self.cfg.me;
        let mut some = vec![me.clone()];
        if state.peers.is_alone(now()) {
            let others = entered.some.iter().filter(|m| m.peers != me.peers);
            some.extend(others.take(MOST_ENTERED - 1).cloned());
            return (!entered.some.contains(me)).then_some(Hosts { count: some.len(), some });
        }
        some.extend(state.peers.ready_in_data_centre(MOST_ENTERED - 1));
        let left = entered.some.iter().filter(|m| some.contains(m)).count();
        let count = state.peers.data_centre_size();
        let grown = count >= entered.count * 2;
        (grown || left * 2 < entered.some.len()).then_some(Hosts { some, count })
    }

    /// Seeks hosts of which the store tells.
    pub fn learn(&self, hosts: &[Member]) {
        self.state().peers.add_members(now(), hosts);
    }
}
