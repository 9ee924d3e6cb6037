//! Composes the heartbeats of this host and merges those of other hosts.

use std::{borrow::Cow, net::SocketAddr};

use super::{
    Relay, State, Wire,
    backends::{BackendKey, Tag},
    confirm::Topic,
    datagram::DropReason,
    followers::FollowState,
    hot_servers::{FANOUT, ReportUse},
    measurements::{Recorded, Report},
    peers::{LocalVersions, Scope},
};
use crate::{
    logs::lines::{Level, line},
    metrics::Counter,
    schema::fleet::{Beat, Evacuations, Held, InProgress, Measurements, Start},
    util::{Instant, now},
};

/// Maximum number of prompt part holders sent to a host that has just started: 50 KB.
const MAX_HOLDERS_SENT: usize = 4_096;
/// Maximum number of new prompt part holders in one heartbeat; the rest follows in the next ones.
const MAX_NEW_HOLDERS: usize = 32;

impl<W: Wire> Relay<W> {
    /// Targets of the next heartbeat.
    pub(crate) fn heartbeat_targets(&self) -> Vec<(SocketAddr, Scope)> {
        let mut state = self.state();
        let state = &mut *state;
        state.peers.targets(now(), &mut state.rng)
    }

    /// Hosts that get an early heartbeat about a change.
    pub(crate) fn early_targets(&self) -> Vec<(SocketAddr, Scope)> {
        let mut state = self.state();
        let state = &mut *state;
        state
            .peers
            .gossip_targets(now(), &mut state.rng)
            .into_iter()
            .map(|addr| (addr, Scope::Host))
            .collect()
    }

    /// Composes the next heartbeat.
    pub(crate) fn heartbeat(&self, full: bool) -> Beat {
        let now = now();
        let mut state = self.state();
        let own = state.local_versions();
        let busy = state.backends.iter().filter(|(_, b)| b.in_progress > 0);
        let in_progress = busy.map(|(_, b)| InProgress { backend: b.tag, requests: b.in_progress }).collect();
        let keys: Vec<_> = state.backends.iter().map(|(key, _)| key).collect();
        // What a host that is cut off fails to reach says nothing about the servers.
        let is_cut_off = state.reach.is_cut_off(now);
        let is_avoided = |key: &&BackendKey| {
            state.health.is_backing_off(now, **key) && !(is_cut_off && state.reach.is_unreached(now, **key))
        };
        let paused = keys.iter().filter(is_avoided);
        let avoided = paused.filter_map(|key| state.backends.get(*key)).map(|b| b.tag).collect();
        let sent = state.new_holders.len().min(MAX_NEW_HOLDERS);
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
            held: state.new_holders.drain(..sent).collect(),
            avoided,
            evacuations: state.evacuations.snapshot(now),
            left: state.backends.recently_leaving(now),
            confirmed: Some(state.confirmations.report(now)),
            ..Beat::default()
        };
        state.peers.finish_beat(&mut beat, &self.cfg.me, full);
        beat
    }

    /// The same heartbeat for other data centres, with a summary of this one.
    pub(crate) fn summarise(&self, beat: &Beat) -> Beat {
        let centre = self.state().peers.data_centre_summary(&beat.in_progress, &self.cfg.me, beat.ready);
        Beat { in_progress: Vec::new(), centre: Some(centre), ..beat.clone() }
    }

    /// What this host, or its data centre, has measured and tells others with its next heartbeat.
    pub(crate) fn measurements(&self, scope: Scope) -> Option<Measurements> {
        let (now, mut state) = (now(), self.state());
        if self.cfg.limits_plain_together {
            state.publish_plain(now);
        }
        state.measurements.message(now, self.start, scope)
    }

    /// Processes what another host has measured.
    ///
    /// # Errors
    /// When the message is a duplicate or older than one already received.
    pub(crate) fn receive_measurements(
        &self,
        from: SocketAddr,
        message: &Measurements,
    ) -> Result<(), DropReason> {
        let now = now();
        let mut state = self.state();
        let state = &mut *state;
        for (tag, old) in state.measurements.merge_reports(now, &message.reports) {
            self.on_server_report(state, now, tag, old);
        }
        let data_centre = state.peers.data_centre_of(from);
        let is_new = state.measurements.receive(now, from, data_centre, &self.cfg.me.data_centre, message);
        if !is_new {
            return Err(DropReason::Replayed);
        }
        state.learn_paces(now, message);
        Ok(())
    }

    /// Records the load that a server has reported with an answer. Small fleets exchange full loads so often that they
    /// need no reports.
    pub(crate) fn record_server_report(&self, state: &mut State, now: Instant, tag: Tag, report: Report) {
        if state.peers.is_small() {
            return;
        }
        if let Recorded::Replaced(old) = state.measurements.record_report(tag, report) {
            self.on_server_report(state, now, tag, old);
        }
    }

    /// Decides whether others are told of a server's newest report.
    fn on_server_report(&self, state: &mut State, now: Instant, tag: Tag, old: Option<Report>) {
        let Some(b) = state.backends.by_tag(tag).and_then(|key| state.backends.get(key)) else { return };
        let Some(new) = state.measurements.report(now, tag) else { return };
        if !state.hot_servers.on_report(&b.service, tag, old.as_ref(), new) {
            return;
        }
        self.reports_due.notify_one();
        self.metrics.add(Counter::RelayHotServers, ReportUse::Found.as_str(), 1);
        // One host logs it, not each one that passes it on.
        if new.at == now {
            line(Level::Routine, "hot_server", |l| {
                l.text("backend", &b.id).number("load", new.load).number("told", FANOUT as u64)
            });
        }
    }

    /// The message about hot servers that is due, and the hosts that get it.
    pub(crate) fn take_hot_reports(&self) -> Option<(Vec<SocketAddr>, Measurements)> {
        let now = now();
        let mut state = self.state();
        let state = &mut *state;
        let message = state.hot_servers.take(now, self.start, &state.measurements)?;
        self.metrics.add(Counter::RelayHotServers, ReportUse::Sent.as_str(), message.reports.len() as u64);
        Some((state.peers.random_hosts(now, FANOUT, &mut state.rng), message))
    }

    /// Processes a heartbeat of another host; returns whether the sender wants a full one.
    ///
    /// # Errors
    /// When the heartbeat is a duplicate or older than one already received.
    pub(crate) fn receive(&self, from: SocketAddr, beat: &Beat) -> Result<bool, DropReason> {
        let now = now();
        let mut state = self.state();
        let own = state.local_versions();
        let beat = &without_implausible_state(&state, beat);
        let heard = state.peers.receive(now, from, beat, own);
        if heard.stale {
            return Err(DropReason::Replayed);
        }
        if state.peers.has_fetch_source(now, own) {
            self.fetch_due.notify_one();
        }
        if has_other_revision(beat, own) {
            self.record_new_list(&mut state, now);
        }
        if merge_confirmations(&mut state, now.saturating_sub(heard.delay), beat, own) {
            self.beat_due.notify_one();
        }
        let hosts = self.known_hosts(&state);
        state.budget.set_hosts(hosts);
        state.treat_avoided_as_cold(now, &beat.avoided);
        let left = state.backends.apply_leaving(now, &beat.left);
        self.on_backend_changes(&mut state, &left, &from.to_string());
        if let Some(report) = &beat.evacuations {
            let changes = state.evacuations.merge(now, report);
            self.on_evacuation_changes(&mut state, &changes, &from.to_string());
        }
        if heard.joined {
            self.tell_newcomer(&mut state, from);
            line(Level::Notable, "peer", |l| {
                let l = l.text("peer", &from.to_string()).text("change", "heard");
                l.flag("ready", beat.ready).number("hosts", hosts as u64)
            });
        }
        drop(state);
        self.merge_holders(&beat.held);
        Ok(heard.wants_full)
    }

    /// Holders of prompt parts, for a host that has just started.
    pub(crate) fn holders_snapshot(&self) -> Vec<Held> {
        let state = self.state();
        let tag = |key| state.backends.get(key).map(|b| b.tag);
        let newest = state.holders.most_recent(MAX_HOLDERS_SENT).into_iter();
        newest.filter_map(|(part, key)| Some(Held { part, backend: tag(key)? })).collect()
    }

    /// Merges server starts that another host has seen leaving.
    pub(crate) fn merge_left_servers(&self, starts: &[Start], from: &str) {
        let mut state = self.state();
        let changes = state.backends.apply_leaving_starts(now(), starts);
        self.on_backend_changes(&mut state, &changes, from);
    }

    /// Merges holders of prompt parts received from another host.
    pub(crate) fn merge_holders(&self, held: &[Held]) {
        let now = now();
        let mut state = self.state();
        for held in held {
            if let Some(key) = state.backends.by_tag(held.backend) {
                state.holders.insert(now, held.part, key);
            }
        }
    }
}

/// Merges the confirmations of another host for each topic of which it knows nothing newer than this host. Returns
/// whether the rest of the data centre must be informed at once: a host of another data centre has sent them to few
/// hosts.
fn merge_confirmations(state: &mut State, sent: Instant, beat: &Beat, own: LocalVersions) -> bool {
    let Some(report) = &beat.confirmed else { return false };
    let backends = beat.backends_as_of();
    let is_not_newer = backends.epoch == own.backends.epoch && backends <= own.backends;
    let has_same_digest = backends.epoch >= own.backends.epoch && beat.backends_digest == own.digest;
    let known = state.evacuations.revision();
    let are_not_newer = |e: &Evacuations| e.epoch == known.epoch && e.as_of() <= known;
    let mut advanced = false;
    if beat.configuration <= own.configuration {
        advanced |= state.confirmations.merge(sent, Topic::Configuration, report);
    }
    if is_not_newer || has_same_digest {
        advanced |= state.confirmations.merge(sent, Topic::Backends, report);
    }
    if beat.evacuations.as_ref().is_some_and(are_not_newer) {
        advanced |= state.confirmations.merge(sent, Topic::Evacuations, report);
    }
    advanced && beat.centre.is_some()
}

/// Whether another host has the same list of servers at a later revision, between which servers may have come and gone.
fn has_other_revision(beat: &Beat, own: LocalVersions) -> bool {
    own.backends.is_known() && beat.backends_as_of() > own.backends && beat.backends_digest == own.digest
}

/// Removes the state of a heartbeat that carries an implausible epoch: its sender would seem to be ahead forever.
fn without_implausible_state<'a>(state: &State, beat: &'a Beat) -> Cow<'a, Beat> {
    let is_plausible = |epoch| state.epochs.is_plausible(epoch);
    if is_plausible(beat.backends_epoch)
        && beat.evacuations.as_ref().is_none_or(|report| is_plausible(report.epoch))
    {
        return Cow::Borrowed(beat);
    }
    Cow::Owned(Beat { backends: 0, backends_epoch: 0, evacuations: None, confirmed: None, ..beat.clone() })
}
