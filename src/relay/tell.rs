//! What this host tells the others, and what it takes in from them.

use std::{borrow::Cow, net::SocketAddr};

use super::{
    Relay, State, Wire,
    confirm::Topic,
    datagram::DropReason,
    followers::FollowState,
    peers::{Own, Scope},
};
use crate::{
    logs::lines::{Weight, line},
    schema::fleet::{Beat, Evacuations, Held, InProgress, Start},
    util::{Instant, now},
};

/// Holders told to a host that has just started: 50 KB.
const MOST_HELD: usize = 4_096;
/// Parts told in one beat; the rest follows in the next ones.
const MOST_NEWS: usize = 32;

impl<W: Wire> Relay<W> {
    /// Targets of the next beat.
    pub(crate) fn targets(&self) -> Vec<(SocketAddr, Scope)> {
        let mut state = self.state();
        let state = &mut *state;
        state.peers.targets(now(), &mut state.rng)
    }

    /// Hosts that are told of news out of turn.
    pub(crate) fn few_targets(&self) -> Vec<(SocketAddr, Scope)> {
        let mut state = self.state();
        let state = &mut *state;
        state.peers.few(now(), &mut state.rng).into_iter().map(|addr| (addr, Scope::Own)).collect()
    }

    /// Composes the next beat.
    pub(crate) fn beat(&self, full: bool) -> Beat {
        let now = now();
        let mut state = self.state();
        let own = state.own();
        let at = state.backends.iter().filter(|(_, b)| b.in_progress > 0);
        let in_progress = at.map(|(_, b)| InProgress { backend: b.tag, requests: b.in_progress }).collect();
        let service: Vec<_> = state.backends.iter().map(|(key, _)| key).collect();
        let paused = service.iter().filter(|key| state.health.paused(now, **key));
        let avoided = paused.filter_map(|key| state.backends.get(*key)).map(|b| b.tag).collect();
        let told = state.news.len().min(MOST_NEWS);
        let mut beat = Beat {
            start: self.start,
            ready: state.is_ready(),
            configuration: own.configuration,
            backends: own.backends.number,
            backends_epoch: own.backends.epoch,
            backends_digest: own.digest,
            follows_store: state.contact == FollowState::Follows,
            lost_store: state.contact == FollowState::Lost,
            in_progress,
            held: state.news.drain(..told).collect(),
            avoided,
            suspects: state.suspects.told(now),
            evacuations: state.evacuations.snapshot(now),
            left: state.backends.left_lately(now),
            confirmed: Some(state.confirmations.summary(now)),
            ..Beat::default()
        };
        state.peers.number(&mut beat, &self.cfg.me, full);
        beat
    }

    /// The same beat as other data centres are told it.
    pub(crate) fn summarise(&self, beat: &Beat) -> Beat {
        let centre = self.state().peers.centre(&beat.in_progress, &self.cfg.me, beat.ready);
        Beat { in_progress: Vec::new(), centre: Some(centre), ..beat.clone() }
    }

    /// Takes a beat of another host in; returns whether it wants a full one.
    ///
    /// # Errors
    /// When it has come before, or later than a newer one.
    pub(crate) fn hear(&self, from: SocketAddr, beat: &Beat) -> Result<bool, DropReason> {
        let now = now();
        let mut state = self.state();
        let own = state.own();
        let beat = &trusted(&state, beat);
        let heard = state.peers.hear(now, from, beat, own);
        if heard.old {
            return Err(DropReason::Replayed);
        }
        if state.peers.is_any_ahead(now, own) {
            self.behind.notify_one();
        }
        if hear_confirmed(&mut state, now.saturating_sub(heard.late), beat, own) {
            self.tell.notify_one();
        }
        let hosts = state.peers.hosts();
        state.budget.set_hosts(hosts);
        state.suspects.hear(now, &beat.suspects);
        state.doubt_avoided(now, &beat.avoided);
        let left = state.backends.hear_left(now, &beat.left);
        self.on_backend_changes(&mut state, &left, &from.to_string());
        if let Some(told) = &beat.evacuations {
            let changes = state.evacuations.merge(now, told);
            self.on_evacuation_changes(&mut state, &changes, &from.to_string());
        }
        if heard.joined {
            line(Weight::Notable, "peer", |l| {
                let l = l.text("peer", &from.to_string()).text("change", "heard");
                l.flag("ready", beat.ready).number("hosts", hosts as u64)
            });
        }
        drop(state);
        self.hear_held(&beat.held);
        Ok(heard.answer)
    }

    /// Holders of prompt parts for a host that has just started.
    pub(crate) fn held(&self) -> Vec<Held> {
        let state = self.state();
        let tag = |key| state.backends.get(key).map(|b| b.tag);
        let newest = state.holders.most_recent(MOST_HELD).into_iter();
        newest.filter_map(|(part, key)| Some(Held { part, backend: tag(key)? })).collect()
    }

    /// Takes in starts of servers that another host has seen leaving.
    pub(crate) fn learn_left(&self, starts: &[Start], from: &str) {
        let mut state = self.state();
        let changes = state.backends.learn_left(now(), starts);
        self.on_backend_changes(&mut state, &changes, from);
    }

    /// Takes in holders of prompt parts that another host told.
    pub(crate) fn hear_held(&self, held: &[Held]) {
        let now = now();
        let mut state = self.state();
        for held in held {
            if let Some(key) = state.backends.by_tag(held.backend) {
                state.holders.insert(now, held.part, key);
            }
        }
    }
}

/// Takes in up to when another host knew all changes, where it knows nothing that this host does not. Returns whether the
/// others of the data centre must be told at once: the host of another one has told it few hosts.
fn hear_confirmed(state: &mut State, sent: Instant, beat: &Beat, own: Own) -> bool {
    let Some(told) = &beat.confirmed else { return false };
    let backends = beat.backends_as_of();
    let is_passed = backends.epoch == own.backends.epoch && backends <= own.backends;
    let is_same = backends.epoch >= own.backends.epoch && beat.backends_digest == own.digest;
    let known = state.evacuations.revision();
    let is_known = |e: &Evacuations| e.epoch == known.epoch && e.as_of() <= known;
    let mut news = false;
    if beat.configuration <= own.configuration {
        news |= state.confirmations.merge(sent, Topic::Configuration, told);
    }
    if is_passed || is_same {
        news |= state.confirmations.merge(sent, Topic::Backends, told);
    }
    if beat.evacuations.as_ref().is_some_and(is_known) {
        news |= state.confirmations.merge(sent, Topic::Evacuations, told);
    }
    news && beat.centre.is_some()
}

/// A beat without what it tells as of an epoch that can't be the store's: its sender would seem to be ahead for good.
fn trusted<'a>(state: &State, beat: &'a Beat) -> Cow<'a, Beat> {
    let is_true = |epoch| state.epochs.is_plausible(epoch);
    if is_true(beat.backends_epoch) && beat.evacuations.as_ref().is_none_or(|told| is_true(told.epoch)) {
        return Cow::Borrowed(beat);
    }
    Cow::Owned(Beat { backends: 0, backends_epoch: 0, evacuations: None, confirmed: None, ..beat.clone() })
}
