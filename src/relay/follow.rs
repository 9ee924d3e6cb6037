//! Follows configuration and backend servers by one waiting watch each.
//!
//! A host that starts reads a copy of both, which may be seconds old and costs little; a seed reads the newest, so that
//! somebody knows it at once. A moment later each host has heard who else is there, and only the [`super::followers`] go on: the
//! others are told. What is known stays in force while the store does not answer; the other hosts tell what is newer
//! meanwhile.

use std::{future::Future, ops::Range, sync::Arc, time::Duration};

mod call;
mod confirm;
mod evacuations;
mod hosts;
mod start;

pub use call::{Call, StoreCall};
pub use confirm::keep_confirmed;
pub use evacuations::follow_evacuations;
pub use hosts::{Hosts, sync_hosts};
use start::{is_told, turns};

use super::{
    Relay, Wire,
    confirm::Topic,
    contact::StoreRetry,
    followers::FollowState,
    revision::{Epoch, Revision},
};
use crate::{
    logs::lines::{Weight, line},
    schema::fleet::{Backend, Backends, Configuration},
    util::{Instant, now, wall_ms},
};

/// Pause after a change before the next watch, so that changes that come together cost one call, and after a watch that has
/// ended within it: a store that does not let watches wait would be called without end. A server that leaves may get new
/// work for two seconds.
const GATHER: Duration = Duration::from_millis(200);
/// The same after a change of the backend servers, as a part of the time within which changes are in force: in a small fleet, and
/// in a large one, in which a change costs a call a data centre.
const GATHER_SMALL: f64 = 1.0 / 10.0;
const GATHER_LARGE: f64 = 1.0 / 5.0;
/// Time between two looks whether this host must follow the store again.
const REST: Duration = Duration::from_millis(250);
/// How far the clock of a backend server may be ahead, in milliseconds. A start that is told for a later time was written by
/// somebody else: taken for true, it would hide all that the server tells of itself from then on.
const MOST_AHEAD_MS: u64 = 3_600_000;

/// How long a host that is no seed waits to be told a long list before it reads it itself, drawn so that few do it at a
/// time; a seed has read it and told it within 0.3 s.
const LONG_LIST: Range<Duration> = Duration::from_millis(300)..Duration::from_millis(1_800);

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The changes since the revision are not kept any more.
    HistoryGone,
    /// The store was restored since the revision, so that nothing leads on from there.
    Restored {
        /// Its epoch.
        epoch: Epoch,
    },
    /// A call waited in vain: another one has told what it should have.
    Deaf,
    /// No answer in time.
    TimedOut,
    /// The list takes more calls than one, and only the first was asked for.
    Long,
    /// The answer is large, and only a small one was asked for.
    Large {
        /// Its length.
        bytes: u64,
    },
    /// A refusal for now, or no connection.
    Unavailable(String),
    /// The answer can't be understood; what was known before stays in force.
    Unreadable(String),
}

/// Changes of the backend servers.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendsUpdate {
    /// All of them.
    List(Backends),
    /// What has changed.
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
    /// Revision as of which it tells.
    pub fn revision(&self) -> Revision {
        match self {
            BackendsUpdate::List(list) => list.as_of(),
            BackendsUpdate::Changes { revision, .. } => *revision,
        }
    }

    /// Takes a list for one of a copy, after which nothing is waited for.
    fn mark_stale(&mut self) {
        if let BackendsUpdate::List(list) = self {
            (list.epoch, list.revision) = (Revision::STALE_READ.epoch, Revision::STALE_READ.number);
        }
    }

    /// Takes entries for unreadable that tell of a start after `latest`, in milliseconds since 1970.
    fn distrust_after(&mut self, latest: u64) {
        let items = match self {
            BackendsUpdate::List(list) => &mut list.items,
            BackendsUpdate::Changes { puts, .. } => puts,
        };
        for item in items.iter_mut().filter(|item| item.born > latest) {
            *item = Backend { id: std::mem::take(&mut item.id), ..Backend::default() };
        }
    }
}

/// The platform's store, as an adapter speaks to it.
pub trait Store: Send + Sync + 'static {
    /// The configuration: at once without a revision, else once it has changed after it, or unchanged after a while.
    fn configuration(
        &mut self,
        call: Call,
    ) -> impl Future<Output = Result<(Revision, Option<Configuration>), StoreError>> + Send;

    /// The backend servers, likewise.
    fn backends(&mut self, call: Call) -> impl Future<Output = Result<BackendsUpdate, StoreError>> + Send;

    /// The evacuated data centres, likewise.
    fn evacuations(
        &mut self,
        call: Call,
    ) -> impl Future<Output = Result<super::evacuations::Update, StoreError>> + Send;

    /// Enters some hosts of a data centre, in place of those entered before.
    fn register_hosts(
        &mut self,
        data_centre: &str,
        hosts: &Hosts,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Hosts that are entered, some of them long gone.
    fn hosts(&mut self) -> impl Future<Output = Result<Hosts, StoreError>> + Send;
}

/// Follows the configuration until the task is ended.
pub async fn follow_configuration<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut contact = StoreRetry::new("configuration");
    let (mut after, mut started, mut allow_large) = (None, false, false);
    loop {
        started |= relay.routes().is_some();
        if started && rest(&relay).await {
            contact = StoreRetry::new("configuration");
        }
        let stale_ok = !started && !relay.is_seed();
        let call = Call {
            after,
            epoch: relay.epoch(),
            timeout: contact.timeout(),
            allow_large,
            stale_ok,
            no_wait: false,
        };
        let asked = relay.begin(call);
        let answer = relay.ask_store(StoreCall::configuration(call), after, store.configuration(call)).await;
        match relay.check_epoch(answer, |(revision, _)| revision.epoch) {
            Ok((revision, cfg)) => {
                started = true;
                let revision = Some(revision).filter(|_| !stale_ok);
                relay.state().has_read_copy |= stale_ok;
                regain(&mut contact);
                let news = after.is_some() && cfg.is_some();
                let soon = after.is_some() && now() < asked + GATHER;
                after = after.max(revision);
                if let Some(cfg) = cfg {
                    relay.set_configuration(cfg, "store");
                }
                relay.record_answer(Topic::Configuration, call, asked, revision);
                if news || soon {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Weight::Notable, "history_gone", |l| l.text("kind", "configuration"));
                after = None;
            }
            Err(StoreError::Restored { .. } | StoreError::Deaf) => after = None,
            Err(StoreError::Large { bytes }) => {
                let turns = turns(&relay, &mut store, bytes).await;
                is_told(&relay, turns, |relay| relay.routes().is_some()).await;
                allow_large = true;
            }
            Err(e) => {
                after = None;
                lose(&mut contact, &e).await;
            }
        }
    }
}

/// Follows the backend servers until the task is ended.
pub async fn follow_backends<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut contact = StoreRetry::new("backends");
    let (mut list, mut allow_large) = (true, false);
    loop {
        let started = relay.state().backends_listed;
        if started && rest(&relay).await {
            contact = StoreRetry::new("backends");
        }
        let after = (!list).then(|| relay.state().backends.revision());
        let stale_ok = !started && !relay.is_seed();
        let call = Call {
            after,
            epoch: relay.epoch(),
            timeout: contact.timeout(),
            allow_large,
            stale_ok,
            no_wait: false,
        };
        let asked = relay.begin(call);
        let answer = relay.ask_store(StoreCall::backends(call), after, store.backends(call)).await;
        match relay.check_epoch(answer, |update| update.revision().epoch) {
            Ok(mut update) => {
                list = stale_ok;
                if stale_ok {
                    update.mark_stale();
                }
                let grace = regain(&mut contact);
                let news = matches!(&update, BackendsUpdate::Changes { puts, removed, .. }
                    if !puts.is_empty() || !removed.is_empty());
                let soon = after.is_some() && now() < asked + GATHER;
                let revision = Some(update.revision()).filter(|_| !stale_ok);
                relay.update_backends(update, grace, "store");
                relay.record_answer(Topic::Backends, call, asked, revision);
                relay.note_contact(FollowState::Follows);
                if news || soon {
                    tokio::time::sleep(relay.gather()).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Weight::Notable, "history_gone", |l| l.text("kind", "backends"));
                list = true;
            }
            Err(StoreError::Restored { .. } | StoreError::Deaf) => list = true,
            Err(StoreError::Long) => {
                list = !is_told(&relay, LONG_LIST, |relay| relay.state().backends_listed).await;
                allow_large = true;
            }
            Err(StoreError::Large { bytes }) => {
                let turns = turns(&relay, &mut store, bytes).await;
                list = !is_told(&relay, turns, |relay| relay.state().backends_listed).await;
                allow_large = true;
            }
            Err(e) => {
                // A watch would answer only at the next change, and what lapsed meanwhile would count from then on.
                list = true;
                relay.note_contact(FollowState::Lost);
                lose(&mut contact, &e).await;
            }
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Notes the start of a call by a follower; returns when that was.
    fn begin(&self, call: Call) -> Instant {
        let now = now();
        if call.after.is_none() && !call.stale_ok {
            self.state().confirmations.record_check(now);
        }
        now
    }

    /// Notes that the store has answered a call of `asked` as of a revision; none is noted of a copy. What a waiting call
    /// brings is as of its end.
    fn record_answer(&self, topic: Topic, call: Call, asked: Instant, revision: Option<Revision>) {
        let Some(revision) = revision else { return };
        let at = if call.after.is_some() && !call.no_wait { now() } else { asked };
        let confirmations = &mut self.state().confirmations;
        confirmations.confirm(topic, at);
        confirmations.record_revision(topic, Some(revision));
    }

    /// Whether this host is one of those that the settings name to all others.
    fn is_seed(&self) -> bool {
        self.cfg.seeds.contains(&self.cfg.peer_addr)
    }

    /// Pause after a change of the backend servers.
    fn gather(&self) -> Duration {
        let part = if self.state().peers.is_small() { GATHER_SMALL } else { GATHER_LARGE };
        self.cfg.in_force.mul_f64(part)
    }

    /// Decides whether this host follows the store now.
    fn should_follow_store(&self) -> bool {
        let mut state = self.state();
        let state = &mut *state;
        let on_duty = state.leaving.is_none() && state.peers.should_follow_store(now(), state.contact);
        if !on_duty && state.peers.knows_fleet() {
            state.contact = FollowState::Idle;
        }
        on_duty
    }

    /// Notes whether the store has answered this host, and tells the others where that has changed: they step in or rest.
    fn note_contact(&self, contact: FollowState) {
        let mut state = self.state();
        if !state.peers.knows_fleet() {
            return;
        }
        let before = std::mem::replace(&mut state.contact, contact);
        drop(state);
        if before != contact {
            self.beat_due.notify_one();
        }
    }

    /// Takes in an update of the backend servers.
    pub fn update_backends(&self, mut update: BackendsUpdate, grace: Option<Duration>, from: &str) {
        let now = now();
        update.distrust_after(wall_ms() + MOST_AHEAD_MS);
        let mut state = self.state();
        if !self.observe_peer_epoch(&mut state, update.revision().epoch, from) {
            return;
        }
        state.backends_listed = true;
        let (told, known) = (update.revision(), state.backends.revision());
        if told < known {
            line(Weight::Notable, "older_ignored", |l| {
                let l = l.text("kind", "backends").text("from", from);
                let l = l.number("told", told.number).number("told_epoch", told.epoch);
                l.number("known", known.number).number("known_epoch", known.epoch)
            });
        }
        let changes = match update {
            BackendsUpdate::List(list) => state.backends.apply_list(now, &list, grace),
            BackendsUpdate::Changes { revision, puts, removed } => {
                state.backends.apply_changes(now, revision, &puts, &removed, grace)
            }
        };
        self.on_backend_changes(&mut state, &changes, from);
    }
}

/// Waits while enough other hosts of the data centre follow the store and tell this one; returns whether it has waited.
async fn rest<W: Wire>(relay: &Relay<W>) -> bool {
    let mut rested = false;
    while !relay.should_follow_store() {
        rested = true;
        tokio::time::sleep(REST).await;
    }
    rested
}

/// Notes an answer; returns how long entries that may have lapsed still count.
fn regain(contact: &mut StoreRetry) -> Option<Duration> {
    let now = now();
    let (away, grace) = contact.record_answer(now);
    if let Some(away) = away {
        line(Weight::Notable, "store_back", |l| l.text("kind", contact.topic()).ms("away_ms", away));
    }
    grace
}

async fn lose(contact: &mut StoreRetry, e: &StoreError) {
    let lost = contact.record_failure(now(), *e == StoreError::TimedOut, &mut rand::rng());
    if lost.first {
        line(Weight::Notable, "store_lost", |l| {
            l.text("kind", contact.topic()).text("why", &format!("{e:?}"))
        });
    }
    tokio::time::sleep(lost.wait).await;
}
