//! Follows the configuration and the backend servers with one long-polling watch each.
//!
//! A starting host lists both from a copy of the store, which may be seconds old but costs little. If they are large for
//! the number of hosts that may be starting, it waits for its turn, or for a peer to send them. A seed reads the newest
//! state, so that some host has it at once. Soon afterwards each host has heard which others exist, and only the
//! hosts elected by [`super::followers`] keep watching; the others receive changes by gossip. During an outage of the
//! store the known state stays in force, and hosts pass on newer state that any of them has.

use std::{future::Future, sync::Arc, time::Duration};

mod call;
mod confirm;
mod connection;
mod evacuations;
mod hosts;
mod start;
mod streams;
mod versions;

pub use call::{Call, StoreCall};
pub use confirm::keep_confirmed;
pub use connection::StoreConnection;
pub use evacuations::follow_evacuations;
pub use hosts::{Hosts, sync_hosts};
use start::{LONG_LIST_BYTES, size_to_spread, until_known, wait_for_turn};
pub use streams::{read_saved_streams, save_streams};
pub(crate) use versions::VersionsRead;
pub use versions::read_versions;

use super::{
    Relay, State, Wire,
    backends::BackendEvent,
    confirm::Topic,
    contact::StoreRetry,
    followers::FollowState,
    origins::saved::SavedStreams,
    revision::{Epoch, Revision},
};
use crate::{
    logs::lines::{Level, line},
    schema::fleet::{Backend, Backends, Configuration},
    util::{Instant, now, wall_ms},
};

/// Pause between a change and the next watch, so that changes in quick succession cost one call. The same pause follows
/// a watch that ended sooner than this: a store that does not hold watches open would be called in a tight loop. The
/// pause must be short, since a leaving server may get new work for only two seconds.
const COALESCE_DELAY: Duration = Duration::from_millis(200);
/// The pause after a change of the backend servers, as a fraction of the propagation bound, in a small fleet and in a
/// large one, where each change costs one call per data centre.
const SMALL_FLEET_COALESCE_FRACTION: f64 = 1.0 / 10.0;
const LARGE_FLEET_COALESCE_FRACTION: f64 = 1.0 / 5.0;
/// Interval at which an idle host checks whether it has to follow the store again.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How far the clock of a backend server may be ahead, in milliseconds. An entry with a later start time was written by
/// somebody else; accepting it would hide everything that the server reports afterwards.
const MAX_CLOCK_SKEW_MS: u64 = 3_600_000;

/// Why a call to the store returned no state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store no longer keeps the changes since the revision.
    HistoryGone,
    /// The store was restored since the revision, so no watch can continue from it.
    Restored {
        /// The store's new epoch.
        epoch: Epoch,
    },
    /// The watch is stalled: another call returned a change that it should have delivered.
    WatchStalled,
    /// The call timed out.
    TimedOut,
    /// The list has more than one page, and only a short list was accepted.
    Long,
    /// The answer is large, and only a small one was accepted.
    Large {
        /// Its length.
        bytes: u64,
    },
    /// The store refused the call, or there is no connection.
    Unavailable(String),
    /// The answer can't be decoded; the known state stays in force.
    Unreadable(String),
}

/// An update of the backend servers from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendsUpdate {
    /// The full list.
    List(Backends),
    /// Events since an earlier revision, in the store's order: an entry may be written and removed several times.
    Events {
        /// Revision that the events lead to.
        revision: Revision,
        /// The events.
        events: Vec<BackendEvent>,
    },
    /// What has changed since an earlier revision, as another host tells it. Each server is in one of the lists.
    Changes {
        /// Revision that the changes lead to.
        revision: Revision,
        /// Servers that are new or have changed.
        puts: Vec<Backend>,
        /// Identifiers of servers whose entries were removed.
        removed: Vec<String>,
    },
}

impl BackendsUpdate {
    /// Revision of the store that the update leads to.
    pub fn revision(&self) -> Revision {
        match self {
            BackendsUpdate::List(list) => list.as_of(),
            BackendsUpdate::Events { revision, .. } | BackendsUpdate::Changes { revision, .. } => *revision,
        }
    }

    /// Whether it has events.
    fn has_events(&self) -> bool {
        matches!(self, BackendsUpdate::Events { events, .. } if !events.is_empty())
    }

    /// Marks a list as a stale read, which any later list replaces and from which no watch continues.
    fn mark_as_stale_read(&mut self) {
        if let BackendsUpdate::List(list) = self {
            (list.epoch, list.revision) = (Revision::STALE_READ.epoch, Revision::STALE_READ.number);
        }
    }

    /// Clears entries with a start time after `latest`, in milliseconds since 1970, so that they count as unreadable.
    fn blank_starts_after(&mut self, latest: u64) {
        let items: Vec<_> = match self {
            BackendsUpdate::List(list) => list.items.iter_mut().collect(),
            BackendsUpdate::Events { events, .. } => {
                events.iter_mut().filter_map(BackendEvent::written_mut).collect()
            }
            BackendsUpdate::Changes { puts, .. } => puts.iter_mut().collect(),
        };
        for item in items.into_iter().filter(|item| item.born > latest) {
            *item = Backend { id: std::mem::take(&mut item.id), ..Backend::default() };
        }
    }
}

/// Client interface of the platform's store.
pub trait Store: Send + Sync + 'static {
    /// Reads the configuration: immediately if the call has no revision, otherwise once it has changed after that
    /// revision, or unchanged after the watch timeout.
    fn configuration(
        &mut self,
        call: Call,
    ) -> impl Future<Output = Result<(Revision, Option<Configuration>), StoreError>> + Send;

    /// Reads the backend servers in the same way.
    fn backends(&mut self, call: Call) -> impl Future<Output = Result<BackendsUpdate, StoreError>> + Send;

    /// Reads the evacuated data centres in the same way.
    fn evacuations(
        &mut self,
        call: Call,
    ) -> impl Future<Output = Result<super::evacuations::Update, StoreError>> + Send;

    /// Registers some hosts of a data centre, replacing those registered before.
    fn register_hosts(
        &mut self,
        data_centre: &str,
        hosts: &Hosts,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// The registered hosts, some of which may be long gone; `stale_ok` allows a registration that is some seconds old.
    fn hosts(&mut self, stale_ok: bool) -> impl Future<Output = Result<Hosts, StoreError>> + Send;

    /// Saves streams under a name, in place of those saved under it before.
    fn save_streams(
        &mut self,
        name: &str,
        streams: &SavedStreams,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists all saved streams.
    fn saved_streams(
        &mut self,
        call: Call,
    ) -> impl Future<Output = Result<Vec<SavedStreams>, StoreError>> + Send;
}

/// Starts the tasks that follow the store, each with a client of its own.
pub fn start_tasks<W: Wire, S: Store>(relay: &Arc<Relay<W>>, store: impl Fn() -> S) {
    tokio::spawn(follow_configuration(relay.clone(), store()));
    tokio::spawn(follow_backends(relay.clone(), store()));
    tokio::spawn(follow_evacuations(relay.clone(), store()));
    tokio::spawn(keep_confirmed(relay.clone(), store()));
    tokio::spawn(sync_hosts(relay.clone(), store()));
    tokio::spawn(save_streams(relay.clone(), store()));
    tokio::spawn(read_saved_streams(relay.clone(), store()));
    tokio::spawn(read_versions(relay.clone(), store()));
}

/// Follows the configuration until the task is cancelled.
pub async fn follow_configuration<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut retry = StoreRetry::new("configuration");
    let is_known = |relay: &Relay<W>| relay.routes().is_some();
    let mut large = size_to_spread(&relay, &mut store, Topic::Configuration).await;
    let (mut after, mut started) = (None, false);
    loop {
        started |= is_known(&relay);
        if started && wait_until_follower(&relay).await {
            retry = StoreRetry::new("configuration");
        }
        let stale_ok = !started && !relay.is_seed();
        let spread = large.filter(|_| stale_ok);
        if let Some(bytes) = spread
            && wait_for_turn(&relay, &mut store, bytes, is_known).await
        {
            continue;
        }
        let allow_large = started || large.is_some();
        let call = Call { after, allow_large, stale_ok, ..relay.new_call(&retry) };
        let sent_at = relay.start_call(call);
        let reading = relay.call_store(StoreCall::configuration(call), after, store.configuration(call));
        let Some(answer) = unless_received(&relay, spread, is_known, reading).await else { continue };
        match relay.check_epoch(answer, |(revision, _)| revision.epoch) {
            Ok((revision, cfg)) => {
                started = true;
                let revision = Some(revision).filter(|_| !stale_ok);
                relay.state().has_read_copy |= stale_ok;
                record_answer_and_log(&mut retry);
                let changed = after.is_some() && cfg.is_some();
                let ended_early = after.is_some() && now() < sent_at + COALESCE_DELAY;
                after = after.max(revision);
                if let Some(cfg) = cfg {
                    relay.set_configuration(cfg, "store");
                }
                relay.record_answer(Topic::Configuration, sent_at, revision);
                if changed || ended_early {
                    tokio::time::sleep(COALESCE_DELAY).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Level::Notable, "history_gone", |l| l.text("kind", "configuration"));
                after = None;
            }
            Err(StoreError::Restored { .. } | StoreError::WatchStalled) => after = None,
            Err(StoreError::Large { bytes }) => large = Some(bytes),
            Err(e) => {
                after = None;
                back_off(&mut retry, &e).await;
            }
        }
    }
}

/// Follows the backend servers until the task is cancelled.
pub async fn follow_backends<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut retry = StoreRetry::new("backends");
    let is_known = |relay: &Relay<W>| relay.state().backends_listed;
    let mut large = size_to_spread(&relay, &mut store, Topic::Backends).await;
    let mut needs_list = true;
    loop {
        let started = is_known(&relay);
        if started && wait_until_follower(&relay).await {
            retry = StoreRetry::new("backends");
        }
        let stale_ok = !started && !relay.is_seed();
        let spread = large.filter(|_| stale_ok);
        if let Some(bytes) = spread
            && wait_for_turn(&relay, &mut store, bytes, is_known).await
        {
            needs_list = false;
            continue;
        }
        let after = (!needs_list).then(|| relay.state().backends.revision());
        let allow_large = started || large.is_some();
        let call = Call { after, allow_large, stale_ok, ..relay.new_call(&retry) };
        let sent_at = relay.start_call(call);
        let reading = relay.call_store(StoreCall::backends(call), after, store.backends(call));
        let Some(answer) = unless_received(&relay, spread, is_known, reading).await else {
            needs_list = false;
            continue;
        };
        match relay.check_epoch(answer, |update| update.revision().epoch) {
            Ok(mut update) => {
                needs_list = stale_ok;
                if stale_ok {
                    update.mark_as_stale_read();
                }
                let grace = record_answer_and_log(&mut retry);
                let changed = update.has_events();
                let ended_early = after.is_some() && now() < sent_at + COALESCE_DELAY;
                let revision = Some(update.revision()).filter(|_| !stale_ok);
                relay.update_backends(update, grace, "store");
                relay.record_answer(Topic::Backends, sent_at, revision);
                relay.set_follow_state(FollowState::Follows);
                if changed || ended_early {
                    tokio::time::sleep(relay.coalesce_delay()).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Level::Notable, "history_gone", |l| l.text("kind", "backends"));
                needs_list = true;
            }
            Err(StoreError::Restored { .. } | StoreError::WatchStalled) => needs_list = true,
            Err(StoreError::Long) => large = Some(LONG_LIST_BYTES),
            Err(StoreError::Large { bytes }) => large = Some(bytes),
            Err(e) => {
                // A watch would return only at the next change, and entries that expired meanwhile would remain valid
                // until then.
                needs_list = true;
                relay.set_follow_state(FollowState::Lost);
                back_off(&mut retry, &e).await;
            }
        }
    }
}

/// Waits for a read of the store. One that was `spread` is cancelled once a peer has sent the state: its bytes would
/// delay the reads of other hosts.
async fn unless_received<W: Wire, T>(
    relay: &Relay<W>,
    spread: Option<u64>,
    is_known: impl Fn(&Relay<W>) -> bool,
    reading: impl Future<Output = T>,
) -> Option<T> {
    if spread.is_none() {
        return Some(reading.await);
    }
    tokio::select! {
        answer = reading => Some(answer),
        () = until_known(relay, is_known) => None,
    }
}

impl<W: Wire> Relay<W> {
    /// The options of a follower's next call that do not depend on what it asks for.
    fn new_call(&self, retry: &StoreRetry) -> Call {
        Call {
            after: None,
            epoch: self.epoch(),
            timeout: retry.timeout(),
            allow_large: true,
            stale_ok: false,
            no_wait: false,
        }
    }

    /// Records the start of a follower's call; returns the time.
    fn start_call(&self, call: Call) -> Instant {
        let now = now();
        if call.after.is_none() && !call.stale_ok {
            self.state().confirmations.record_check(now);
        }
        now
    }

    /// Records that the store answered a call that was sent at `sent_at`, as of `revision`, which is `None` for a stale
    /// read. Also the answer to a watch may have been on its way, or have waited at this host, since soon after that.
    fn record_answer(&self, topic: Topic, sent_at: Instant, revision: Option<Revision>) {
        let Some(revision) = revision else { return };
        let confirmations = &mut self.state().confirmations;
        confirmations.confirm(topic, sent_at);
        confirmations.record_revision(topic, Some(revision));
    }

    /// Whether this host is one of the seeds, which the settings of all hosts name.
    fn is_seed(&self) -> bool {
        self.cfg.seeds.contains(&self.cfg.peer_addr)
    }

    /// Pause after a change of the backend servers.
    fn coalesce_delay(&self) -> Duration {
        let fraction = if self.state().peers.is_small() {
            SMALL_FLEET_COALESCE_FRACTION
        } else {
            LARGE_FLEET_COALESCE_FRACTION
        };
        self.cfg.in_force.mul_f64(fraction)
    }

    /// Decides whether this host should follow the store now.
    fn should_follow_store(&self) -> bool {
        let mut state = self.state();
        let state = &mut *state;
        let follows = state.leaving.is_none() && state.peers.should_follow_store(now(), state.contact);
        if !follows && state.peers.knows_fleet() {
            state.contact = FollowState::Idle;
        }
        follows
    }

    /// Records whether the store answers this host. A change is sent to the other hosts at once, so that they step in
    /// or stand down.
    fn set_follow_state(&self, follow_state: FollowState) {
        let mut state = self.state();
        if !state.peers.knows_fleet() {
            return;
        }
        let before = std::mem::replace(&mut state.contact, follow_state);
        drop(state);
        if before != follow_state {
            self.beat_due.notify_one();
        }
    }

    /// Applies an update of the backend servers.
    pub fn update_backends(&self, mut update: BackendsUpdate, grace: Option<Duration>, from: &str) {
        let now = now();
        update.blank_starts_after(wall_ms() + MAX_CLOCK_SKEW_MS);
        let mut state = self.state();
        if !self.observe_peer_epoch(&mut state, update.revision().epoch, from) {
            return;
        }
        state.backends_listed = true;
        let (received, known) = (update.revision(), state.backends.revision());
        if received < known {
            line(Level::Notable, "older_ignored", |l| {
                let l = l.text("kind", "backends").text("from", from);
                let l = l.number("told", received.number).number("told_epoch", received.epoch);
                l.number("known", known.number).number("known_epoch", known.epoch)
            });
        }
        if let Some(grace) = grace {
            state.entries_missing_until = state.entries_missing_until.max(now + grace);
        }
        if !matches!(update, BackendsUpdate::Events { .. }) && received > known && known.is_known() {
            self.record_new_list(&mut state, now);
        }
        let changes = match &update {
            BackendsUpdate::List(list) => state.backends.apply_list(now, list, grace),
            BackendsUpdate::Events { revision, events } => {
                state.backends.apply_events(now, *revision, events, grace)
            }
            BackendsUpdate::Changes { revision, puts, removed } => {
                state.backends.apply_changes(now, *revision, puts, removed, grace)
            }
        };
        self.on_backend_changes(&mut state, &changes, from);
        // A server may have been written and removed in the same events.
        let written = update.has_events().then(|| update.entries()).into_iter().flatten();
        self.observe_versions(&mut state, now, written);
    }

    /// Notes that a list of servers takes the place of the known one.
    pub(super) fn record_new_list(&self, state: &mut State, now: Instant) {
        let confirmed = now.saturating_sub(state.confirmations.age(now, Topic::Backends));
        state.origins.record_new_list(now, confirmed, self.cfg.in_force);
    }
}

/// Waits while enough other hosts of the data centre follow the store; returns whether it had to wait.
async fn wait_until_follower<W: Wire>(relay: &Relay<W>) -> bool {
    let mut waited = false;
    while !relay.should_follow_store() {
        waited = true;
        tokio::time::sleep(FOLLOW_CHECK_INTERVAL).await;
    }
    waited
}

/// Records an answer and logs the end of an outage. Returns the rest of the grace period for missing entries.
fn record_answer_and_log(retry: &mut StoreRetry) -> Option<Duration> {
    let now = now();
    let (away, grace) = retry.record_answer(now);
    if let Some(away) = away {
        line(Level::Notable, "store_back", |l| l.text("kind", retry.topic()).ms("away_ms", away));
    }
    grace
}

/// Records a failed call, logs the start of an outage, and waits for the backoff.
async fn back_off(retry: &mut StoreRetry, e: &StoreError) {
    let failure = retry.record_failure(now(), *e == StoreError::TimedOut, &mut rand::rng());
    if failure.first {
        line(Level::Notable, "store_lost", |l| l.text("kind", retry.topic()).text("why", &format!("{e:?}")));
    }
    tokio::time::sleep(failure.wait).await;
}
