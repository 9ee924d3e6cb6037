//! Applies changes to this host's view of the configuration, the backend servers, the evacuations and the other hosts,
//! and logs each change.

use std::{iter, sync::Arc, time::Duration};

use super::{
    Relay, ResponseHead, State, Wire,
    backends::{BackendKey, Change},
    brittle, configurations,
    confirm::{self, Topic},
    evacuations,
    follow::Hosts,
    followers::FollowState,
    place,
    request::Request,
    revision::{Epoch, EpochCheck, Revision},
    routes::Routes,
    shares::ShareCounts,
};
use crate::{
    logs::lines::{Level, Line, line},
    metrics::{Counter, Gauge},
    schema::fleet::{Configuration, ConfigurationChanges, Held, Member},
    util::{Instant, now, wall_ms},
};

/// Maximum number of backend server changes that are logged individually. For a longer list the total is logged as
/// well: at startup with ten thousand servers, a line for each would use up a second's quota of log lines.
const MAX_BACKEND_LOG_LINES: usize = 128;
/// Interval at which a host logs that it is not ready.
const NOT_READY_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a host logs the use of the retry budget.
const BUDGET_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a host logs its promises to refused callers.
const RETURNS_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of hosts per data centre that are registered in the store. They are replaced once half of them are
/// gone.
const MAX_REGISTERED_HOSTS: usize = 16;

/// Adds a store revision and its epoch to a log line.
pub(super) fn with_revision(l: Line, revision: Revision) -> Line {
    l.number("epoch", revision.epoch).number("revision", revision.number)
}

/// Notices that backend servers send about themselves in responses; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNotice {
    /// The server is leaving, which was not known before.
    Leaving,
    /// The server asks for a pause in new requests.
    Pause,
    /// The servers of a service are brittle, which was not known before.
    Brittle,
}

impl ServerNotice {
    /// Every notice.
    pub const ALL: [ServerNotice; 3] = [ServerNotice::Leaving, ServerNotice::Pause, ServerNotice::Brittle];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ServerNotice::Leaving => "leaving",
            ServerNotice::Pause => "pause",
            ServerNotice::Brittle => "brittle",
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Whether this host's view may be outdated: the store does not answer, or the configuration has not been confirmed
    /// recently.
    pub fn is_stale(&self) -> bool {
        let state = self.state();
        match state.contact {
            _ if state.confirmations.is_stale(now(), Topic::Configuration) => true,
            FollowState::Follows => false,
            FollowState::Lost => true,
            // Its state comes from a stale read of the store, or from hosts that may be gone.
            FollowState::Idle => {
                (state.has_read_copy || state.peers.knows_fleet()) && !state.peers.any_follows_store(now())
            }
        }
    }

    /// Time since the configuration was last confirmed to be the newest.
    pub fn configuration_age(&self) -> Duration {
        self.state().confirmations.age(now(), Topic::Configuration)
    }

    /// The current epoch of the store, as far as it is known.
    pub(crate) fn epoch(&self) -> Epoch {
        self.state().epochs.current()
    }

    /// Processes the epoch of an answer of the store. A newer epoch makes the followers list everything again: state
    /// read in the previous epoch may have been rolled back, and its revision numbers are reused.
    pub(crate) fn observe_epoch(&self, epoch: Epoch, from: &str) -> EpochCheck {
        let mut state = self.state();
        let before = state.epochs.current();
        let check = state.epochs.observe(epoch);
        drop(state);
        self.record_epoch_check(check, before, epoch, from);
        check
    }

    /// Processes the store epoch that another host reports. Returns whether it is plausible.
    pub(super) fn observe_peer_epoch(&self, state: &mut State, epoch: Epoch, from: &str) -> bool {
        let before = state.epochs.current();
        if !state.epochs.is_plausible(epoch) {
            self.record_epoch_check(EpochCheck::Rejected, before, epoch, from);
            return false;
        }
        if state.epochs.observe_peer(epoch) {
            self.record_epoch_check(EpochCheck::Newer, before, epoch, from);
        }
        true
    }

    /// Counts and logs the check of an epoch; a newer epoch wakes the followers of the store.
    fn record_epoch_check(&self, check: EpochCheck, before: Epoch, epoch: Epoch, from: &str) {
        if check == EpochCheck::Current {
            return;
        }
        self.metrics.add(Counter::RelayEpochs, check.as_str(), 1);
        line(Level::Notable, "store_epoch", |l| {
            let l = l.text("heard", check.as_str()).text("from", from);
            l.number("epoch", epoch).number("known", before)
        });
        if check == EpochCheck::Newer {
            self.store_restored.notify_waiters();
        }
    }

    /// Applies a configuration if it is newer than the current one. Returns whether it was applied.
    pub fn set_configuration(&self, cfg: Configuration, from: &str) -> bool {
        let mut state = self.state();
        if state.routes.as_ref().is_some_and(|r| r.version() >= cfg.version) {
            return false;
        }
        line(Level::Notable, "configuration", |l| {
            let l = l.number("version", cfg.version).text("from", from);
            l.number("routes", cfg.routes.len() as u64).number("workspaces", cfg.workspaces.len() as u64)
        });
        let (allowed, longest) = (cfg.limits.map_or(0, |l| l.body_bytes as usize), self.bodies.longest());
        if allowed > longest {
            line(Level::Notable, "bodies_exceed_memory", |l| {
                l.number("body_bytes", allowed as u64).number("longest", longest as u64)
            });
        }
        let cfg = Arc::new(cfg);
        state.configurations.push(cfg.clone());
        state.configured_at = now();
        let routes = Arc::new(Routes::new(cfg));
        let before = state.routes.replace(routes.clone());
        self.observe_routes(&mut state, before.as_deref(), &routes);
        if state.peers.pushes_changes() {
            self.beat_due.notify_one();
        } else {
            self.gossip_due.notify_one();
        }
        true
    }

    /// Applies configuration changes received from another host. Returns whether the full configuration is needed
    /// instead, since the changes don't apply to the one known here.
    pub(crate) fn apply_configuration_changes(&self, changes: &ConfigurationChanges, from: &str) -> bool {
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
                line(Level::Notable, "changes_unfit", |l| {
                    let l = l.number("version", routes.version()).text("from", from);
                    l.number("leads_from", changes.from).number("leads_to", changes.version)
                });
                true
            }
        }
    }

    /// Logs changes of the backend servers, drops outdated state of restarted and cold ones, and triggers an early
    /// heartbeat.
    pub(crate) fn on_backend_changes(&self, state: &mut State, changes: &[(BackendKey, Change)], from: &str) {
        if changes.len() > MAX_BACKEND_LOG_LINES {
            line(Level::Notable, "backends", |l| {
                let l = l.number("changes", changes.len() as u64).text("from", from);
                with_revision(l, state.backends.revision())
            });
        }
        for (key, _) in changes.iter().filter(|(_, change)| *change == Change::Restarted) {
            self.confirm_restart(state, *key);
            self.forget_backend(state, *key);
        }
        for (key, _) in changes.iter().filter(|(_, change)| *change == Change::Cold) {
            state.holders.forget(*key);
        }
        for (key, change) in changes.iter().take(MAX_BACKEND_LOG_LINES) {
            let Some(backend) = state.backends.get(*key) else { continue };
            line(Level::Notable, "backend", |l| {
                let l = l.text("backend", &backend.id).text("change", change.as_str()).text("from", from);
                let l = with_revision(l.text("service", &backend.service), state.backends.revision());
                let l = l.number("born", backend.born).text("server_version", &backend.version);
                let l = l.ms("cold_ms", backend.cold_until.saturating_sub(now()));
                l.text("address", &backend.addr.to_string())
            });
        }
        if !changes.is_empty() {
            self.gossip_change(state);
        }
    }

    /// Applies an update of the evacuated data centres from the store.
    pub fn update_evacuations(&self, update: &evacuations::Update, from: &str) {
        let mut state = self.state();
        let changes = state.evacuations.update(now(), update);
        self.on_evacuation_changes(&mut state, &changes, from);
        if !changes.is_empty() {
            self.gossip_change(&state);
        }
    }

    /// Logs each data centre that was evacuated or taken back. The servers of one that is taken back may be cold before
    /// their entries say so. A cold server has nothing cached, so its prompt parts are forgotten.
    pub(crate) fn on_evacuation_changes(
        &self,
        state: &mut State,
        changes: &[evacuations::Change],
        from: &str,
    ) {
        for change in changes {
            let data_centre = change.data_centre();
            line(Level::Notable, "evacuation", |l| {
                let l = l.text("data_centre", data_centre).text("change", change.as_str());
                with_revision(l.text("from", from), state.evacuations.revision())
            });
            if let (evacuations::Change::TakenBack(_), Some(routes)) = (change, state.routes.clone()) {
                let cold_period =
                    |service: &str| routes.cold_limit(service).map_or(Duration::ZERO, |limit| limit.duration);
                state.evacuation_ended = Some(now());
                let cold = state.backends.mark_cold(now(), data_centre, cold_period);
                cold.into_iter().for_each(|key| state.holders.forget(key));
            }
        }
    }

    /// Triggers an early heartbeat to spread a change, if this host is one of those that do so.
    fn gossip_change(&self, state: &State) {
        if state.peers.pushes_changes() {
            self.beat_due.notify_one();
        }
    }

    /// Records that a server has read a request's prompt.
    pub(crate) fn record_prompt_parts(&self, req: &Request, key: BackendKey) {
        let now = now();
        let mut state = self.state();
        let Some(tag) = state.backends.get(key).map(|b| b.tag) else { return };
        for part in place::shared(&req.parts) {
            if state.holders.insert(now, part.id, key) {
                state.new_holders.push(Held { part: part.id, backend: tag });
            }
        }
    }

    /// Drops the state kept about one run of a server: its cached prompt parts, its health, and the connections to it.
    fn forget_backend(&self, state: &mut State, key: BackendKey) {
        if let Some(tag) = state.backends.get(key).map(|b| b.tag) {
            state.paces.forget(tag);
            state.measurements.forget_server(tag);
        }
        state.health.forget(key);
        state.reach.forget(key);
        state.holders.forget(key);
        self.pool.clear(key);
    }

    /// Exports what callers and servers make this host hold.
    fn report_held(&self) {
        let connections = [
            ("caller_connections", self.callers.count()),
            ("auxiliary_connections", self.auxiliary.count()),
            ("peer_connections", self.peer_connections.count()),
        ];
        let bytes = [("body_bytes", self.bodies.used()), ("answer_bytes", self.buffers.used())];
        for (kind, held) in connections.into_iter().chain(bytes) {
            self.metrics.set(Gauge::RelayHeld, kind, held as f64);
        }
    }

    /// Exports the confirmation age of each topic, and logs topics that became stale or were confirmed again.
    fn report_confirmations(&self, state: &mut State, now: Instant) {
        for topic in state.confirmations.topics() {
            let age = state.confirmations.age(now, topic);
            self.metrics.set(Gauge::RelayUnconfirmed, topic.as_str(), age.as_secs_f64());
        }
        let own = state.local_versions();
        for change in state.confirmations.changes(now) {
            let fill = |l: Line, topic: Topic, after| {
                let l = l.text("kind", topic.as_str()).ms("after_ms", after);
                let l = l.text("contact", state.contact.as_str()).flag("alone", state.peers.is_alone(now));
                with_revision(l.number("version", own.configuration), own.backends)
            };
            match change {
                confirm::Change::Stale(topic, age) => {
                    line(Level::Notable, "unconfirmed", |l| fill(l, topic, age));
                }
                confirm::Change::Renewed(topic, after) => {
                    line(Level::Notable, "confirmed", |l| fill(l, topic, after));
                }
            }
        }
    }

    /// Logs once in a while why this host serves no callers, and what it waits for.
    fn report_not_ready(&self, state: &mut State, now: Instant) {
        let reported_recently =
            state.not_ready_reported.is_some_and(|at| at + NOT_READY_REPORT_INTERVAL > now);
        if state.is_ready() || state.leaving.is_some() || reported_recently {
            return;
        }
        state.not_ready_reported = Some(now);
        let own = state.local_versions();
        line(Level::Notable, "not_ready", |l| {
            let l = l
                .flag("has_configuration", state.routes.is_some())
                .flag("has_servers", state.backends_listed);
            let l =
                l.number("hosts", state.peers.host_count() as u64).flag("alone", state.peers.is_alone(now));
            let l = l.number("registered", self.registered.get().map_or(0, |hosts| hosts.count as u64));
            let l = l.number("sources", state.peers.fetch_source_count(now, own) as u64);
            l.text("contact", state.contact.as_str()).ms("after_ms", now - self.started)
        });
    }

    /// Logs the use of the retry budget, so that the sum over all hosts can be compared with what the fleet may spend.
    fn report_budget(&self, state: &mut State, now: Instant) {
        if state.budget_reported + BUDGET_REPORT_INTERVAL > now {
            return;
        }
        state.budget_reported = now;
        for used in state.budget.take_use(now) {
            line(Level::Notable, "retry_budget", |l| {
                let l = l.text("service", &used.service).number("taken", used.taken);
                let l = l.number("refused", used.refused).number("requests", used.requests);
                l.number("hosts", used.hosts as u64).ms("running_ms", now - self.started)
            });
        }
    }

    /// Computes the shares of workspaces anew, counts the requests that they applied to, and logs the workspaces that ask
    /// for more.
    fn update_shares(&self, state: &mut State, now: Instant) {
        let hosts = self.known_hosts(state);
        let State { shares, measurements, .. } = state;
        shares.update(now, hosts, measurements);
        let counts = shares.take_counts().values();
        for (label, n) in ShareCounts::LABELS.into_iter().zip(counts).filter(|(_, n)| *n > 0) {
            self.metrics.add(Counter::RelayShares, label, n);
        }
        let (summed, age) = (measurements.host_count(), measurements.mean_age(now));
        for over in shares.report(now, measurements) {
            line(Level::Notable, "share", |l| {
                let l = l.text("service", &over.service).text("workspace", &over.workspace);
                let l = l.decimal("demand", over.demand).decimal("admitted", over.admitted);
                let l = l.decimal("share", over.share).flag("bounded", over.is_bounded);
                l.number("hosts", summed).ms("age_ms", age)
            });
        }
    }

    /// Drops promises to refused callers that are past, counts what became of them, and logs the latest of each service.
    fn report_returns(&self, state: &mut State, now: Instant) {
        let (returns, measurements) = (&mut state.returns, &mut state.measurements);
        returns.expire(wall_ms(), measurements);
        for (event, n) in returns.take_counts() {
            self.metrics.add(Counter::RelayReturns, event.as_str(), n);
        }
        if state.returns_reported + RETURNS_REPORT_INTERVAL > now {
            return;
        }
        state.returns_reported = now;
        for (service, promise) in state.returns.take_promises() {
            line(Level::Notable, "promised", |l| {
                let l = l.text("service", &service).decimal("promised", promise.promised);
                let l = l.decimal("drained", promise.drained).number("slot", promise.slot);
                let l = l.ms("retry_after_ms", promise.delay).number("hosts", promise.hosts as u64);
                l.ms("age_ms", now.saturating_sub(promise.at))
            });
        }
    }

    /// Periodic housekeeping: expires peers, servers and evacuations, and closes idle connections.
    pub(crate) fn run_housekeeping(&self) {
        let now = now();
        let mut state = self.state();
        self.report_held();
        self.report_confirmations(&mut state, now);
        self.report_not_ready(&mut state, now);
        self.report_budget(&mut state, now);
        if self.registered.initialized() {
            let hosts = self.known_hosts(&state);
            state.budget.set_hosts(hosts);
        }
        for expired in state.peers.expire(now) {
            line(Level::Notable, "peer", |l| l.text("peer", &expired.to_string()).text("change", "lost"));
        }
        let (changes, forgotten) = state.backends.expire(now);
        self.on_backend_changes(&mut state, &changes, "grace period expired");
        for key in forgotten {
            self.forget_backend(&mut state, key);
        }
        let ended = state.evacuations.expire(now);
        self.on_evacuation_changes(&mut state, &ended, "not written again after a restore");
        self.observe_versions(&mut state, now, iter::empty());
        state.saver = state.peers.saver(self.cfg.peer_addr);
        state.brittle.expire(now).iter().for_each(log_brittle);
        state.warmup.expire(now);
        let timeout = state.peers.summary_timeout();
        state.measurements.expire_after(now, timeout);
        self.update_shares(&mut state, now);
        self.report_returns(&mut state, now);
        state.paces.expire(now);
        state.prefill.expire(now);
        self.expire_reach(&mut state);
        self.expire_crashes(&mut state);
        self.pool.evict(|key| state.backends.get(key).is_some_and(|b| b.accepts_work()));
        drop(state);
        self.count_rounds();
    }

    /// Counts the rounds of the background tasks, and logs those that wake up too often.
    fn count_rounds(&self) {
        for counted in self.rounds.count(now()).into_iter().flatten() {
            self.metrics.add(Counter::RelayRounds, counted.task.as_str(), counted.rounds);
            if counted.is_busy {
                line(Level::Notable, "busy_task", |l| {
                    l.text("task", counted.task.as_str()).number("rounds", counted.rounds)
                });
            }
        }
    }

    /// Sends nothing to a server for a while that could not be reached or stopped responding.
    pub(crate) fn avoid_backend(&self, key: BackendKey, why: &str) {
        let mut state = self.state();
        state.note_possible_restart(now(), key);
        let Some(pause) = state.health.record_unreachable(now(), key) else { return };
        let Some(id) = state.backends.get(key).map(|b| b.id.clone()) else { return };
        drop(state);
        line(Level::Notable, "avoided", |l| l.text("backend", &id).text("why", why).ms("for_ms", pause));
        self.beat_due.notify_one();
    }

    /// Records a complete answer of a server, which ends a period in which it was avoided.
    pub(crate) fn record_backend_success(&self, key: BackendKey) {
        let mut state = self.state();
        if !state.health.record_success(now(), key) {
            return;
        }
        state.note_possible_restart(now(), key);
        let Some(id) = state.backends.get(key).map(|b| b.id.clone()) else { return };
        drop(state);
        line(Level::Notable, "taken_back", |l| l.text("backend", &id));
    }

    /// Avoids a server that has crashed. Its cache is lost, even if the server is back before its store entry shows the
    /// restart.
    pub(crate) fn record_crash(&self, key: BackendKey) {
        self.state().holders.forget(key);
        self.avoid_backend(key, "crashed");
    }

    /// Applies the notices in a server's response: that it is leaving, whatever the store says about it, or that it
    /// wants no requests from this host for a while.
    pub(crate) fn apply_server_notices(&self, req: &Request, key: BackendKey, head: &ResponseHead) {
        if let Some(tolerated) = head.brittle {
            let change = self.state().brittle.record(now(), &req.service, tolerated);
            if let Some(change) = change {
                self.metrics.add(Counter::RelayTold, ServerNotice::Brittle.as_str(), 1);
                log_brittle(&change);
            }
        }
        if !head.leaving && head.pause.is_none() {
            return;
        }
        let id = self.backend_id(key);
        let id = id.as_deref().unwrap_or("gone");
        if head.leaving {
            self.log_request(Level::Notable, "told_leaving", req, |l| l.text("backend", id));
            let mut state = self.state();
            if let Some(change) = state.backends.mark_leaving(now(), key) {
                self.metrics.add(Counter::RelayTold, ServerNotice::Leaving.as_str(), 1);
                self.on_backend_changes(&mut state, &[change], "its response");
            }
        }
        if let Some(pause) = head.pause {
            self.log_request(Level::Notable, "told_pause", req, |l| {
                l.text("backend", id).ms("for_ms", pause)
            });
            self.metrics.add(Counter::RelayTold, ServerNotice::Pause.as_str(), 1);
            self.state().health.record_requested_pause(now(), key, pause);
        }
    }

    /// Records that a server turned a request away. A brittle one is left alone until it bears another refusal.
    pub(crate) fn record_refusal(&self, req: &Request, key: BackendKey) {
        let now = now();
        let mut state = self.state();
        state.health.record_failure(now, key);
        if !state.brittle.is_brittle(now, &req.service) {
            return;
        }
        let hosts = self.known_hosts(&state);
        if let Some(pause) = state.brittle.pause(now, &req.service, hosts) {
            state.health.record_requested_pause(now, key, pause);
        }
    }

    /// Identifier of a server, unless it was removed.
    pub(crate) fn backend_id(&self, key: BackendKey) -> Option<Arc<str>> {
        self.state().backends.get(key).map(|b| b.id.clone())
    }

    /// Marks a server as gone, for example when another one answers at its address.
    pub(crate) fn mark_backend_gone(&self, key: BackendKey, why: &str) {
        let mut state = self.state();
        self.confirm_restart(&mut state, key);
        if let Some(change) = state.backends.mark_replaced(key) {
            self.on_backend_changes(&mut state, &[change], why);
        }
    }

    /// Records that a timer of the housekeeping fired this much too late, since the host stood still.
    pub(crate) fn observe_stall(&self, late: Duration) {
        if self.state().stall.observe(now(), late) {
            line(Level::Notable, "stalled", |l| l.ms("late_ms", late));
        }
    }

    /// Makes the followers list everything again after the host was suspended: its state may be outdated, and the
    /// connections of pending watches may be dead.
    pub fn on_resume_from_suspend(&self, slept: Duration) {
        line(Level::Notable, "woken", |l| l.ms("slept_ms", slept));
        let mut state = self.state();
        if state.contact == FollowState::Follows {
            state.contact = FollowState::Lost;
        }
        drop(state);
        self.suspend_ended.notify_waiters();
    }

    /// Hosts of the data centre to register in the store in place of `registered`, or `None` while those are good
    /// enough. A host that hears no other host keeps the registered ones in addition to itself: it may be the only one
    /// that is cut off from them.
    pub(crate) fn hosts_to_register(&self, registered: &Hosts) -> Option<Hosts> {
        let state = self.state();
        if state.contact != FollowState::Follows {
            return None;
        }
        let me = &self.cfg.me;
        let routes =
            state.routes.as_ref().map_or(0, |r| r.source().routes.len() + r.source().workspaces.len());
        let servers = state.backends.count();
        let mut hosts = Hosts {
            sample: vec![me.clone()],
            count: 1,
            servers,
            routes,
            mixed: state.origins.mixed_services(),
        };
        let mixed_changed = hosts.mixed != registered.mixed;
        if state.peers.is_alone(now()) {
            let others = registered.sample.iter().filter(|m| m.peers != me.peers);
            hosts.sample.extend(others.take(MAX_REGISTERED_HOSTS - 1).cloned());
            hosts.count = hosts.sample.len();
            return (mixed_changed || !registered.sample.contains(me)).then_some(hosts);
        }
        hosts.sample.extend(state.peers.ready_in_data_centre(MAX_REGISTERED_HOSTS - 1));
        hosts.count = state.peers.data_centre_size();
        let remaining = registered.sample.iter().filter(|m| hosts.sample.contains(m)).count();
        let is_outdated =
            mixed_changed || hosts.has_doubled_since(registered) || remaining * 2 < registered.sample.len();
        is_outdated.then_some(hosts)
    }

    /// Takes in what the registration of hosts in the store says.
    pub(crate) fn learn_registered(&self, hosts: &Hosts) {
        self.add_hosts(&hosts.sample);
        self.state().origins.learn_registered(hosts.mixed.iter().map(|mixed| &*mixed.service));
    }

    /// Adds hosts that are registered in the store as candidate peers.
    pub fn add_hosts(&self, hosts: &[Member]) {
        self.state().peers.add_members(now(), hosts);
    }
}

/// Logs that the servers of a service are brittle now, or no longer.
fn log_brittle(change: &brittle::Change) {
    line(Level::Notable, "brittle", |l| {
        let l = l.text("service", &change.service).flag("is_brittle", change.tolerated.is_some());
        l.number("tolerated", change.tolerated.unwrap_or(0))
    });
}
