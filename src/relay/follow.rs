//! Follows configuration and backend servers by one waiting watch each.
//!
//! What is known stays in force while the store does not answer; the other hosts tell what is newer meanwhile.

use std::{future::Future, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};

use super::{Relay, Wire, backends::Revision};
use crate::{
    logs::lines::{Weight, line},
    objects::backoff::Backoff,
    schema::fleet::{Backend, Backends, Configuration},
    util::{Instant, now},
};

/// First and longest wait after a failed call. A call costs, also one that is refused; a second is well within the
/// time in which a change must be in force.
const WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_000));
/// How long entries that are missing after the store's return still count: live servers write again within two seconds.
const GRACE: Duration = Duration::from_millis(2_000);
/// An outage shorter than this lets no entry lapse.
const SHORT_OUTAGE: Duration = Duration::from_millis(500);

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The changes since the revision are not kept any more.
    HistoryGone,
    /// No answer, or a refusal for now.
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

/// The platform's store, as an adapter speaks to it.
pub trait Store: Send + Sync + 'static {
    /// The configuration: at once without a revision, else once it has changed after it, or unchanged after a while.
    fn configuration(
        &mut self,
        after: Option<Revision>,
    ) -> impl Future<Output = Result<(Revision, Option<Configuration>), StoreError>> + Send;

    /// The backend servers, likewise.
    fn backends(
        &mut self,
        after: Option<Revision>,
    ) -> impl Future<Output = Result<BackendsUpdate, StoreError>> + Send;
}

/// Follows the configuration until the task is ended.
pub async fn follow_configuration<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut contact = Contact::new("configuration");
    let mut after = None;
    loop {
        match store.configuration(after).await {
            Ok((revision, cfg)) => {
                contact.answered();
                after = after.max(Some(revision));
                if let Some(cfg) = cfg {
                    relay.set_configuration(cfg, "store");
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Weight::Notable, "history_gone", |l| l.text("kind", "configuration"));
                after = None;
            }
            Err(e) => contact.failed(&e).await,
        }
    }
}

/// Follows the backend servers until the task is ended.
pub async fn follow_backends<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut contact = Contact::new("backends");
    let mut list = true;
    loop {
        let after = (!list).then(|| relay.state().backends.revision());
        match store.backends(after).await {
            Ok(update) => {
                list = false;
                let grace = contact.answered();
                relay.update_backends(update, grace, "store");
                relay.state().store_lost = None;
            }
            Err(StoreError::HistoryGone) => {
                line(Weight::Notable, "history_gone", |l| l.text("kind", "backends"));
                list = true;
            }
            Err(e) => {
                relay.state().store_lost.get_or_insert_with(now);
                contact.failed(&e).await;
            }
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Takes in an update of the backend servers.
    pub(crate) fn update_backends(&self, update: BackendsUpdate, grace: Option<Duration>, from: &str) {
        let now = now();
        let mut state = self.state();
        state.listed = true;
        let changes = match update {
            BackendsUpdate::List(list) => state.backends.list(now, &list, grace),
            BackendsUpdate::Changes { revision, puts, removed } => {
                state.backends.change(now, revision, &puts, &removed, grace)
            }
        };
        self.note_changes(&mut state, &changes, from);
    }
}

/// Contact of one follower with the store.
struct Contact {
    what: &'static str,
    lost: Option<Instant>,
    back: Option<Instant>,
    backoff: Backoff,
    rng: SmallRng,
}

impl Contact {
    fn new(what: &'static str) -> Self {
        let backoff = Backoff::new(WAITS.0, WAITS.1);
        Self { what, lost: None, back: None, backoff, rng: SmallRng::from_os_rng() }
    }

    /// Notes an answer. While entries that lapsed in an outage may come back, returns how long they still count.
    fn answered(&mut self) -> Option<Duration> {
        let now = now();
        if let Some(lost) = self.lost.take() {
            line(Weight::Notable, "store_back", |l| l.text("kind", self.what).ms("away_ms", now - lost));
            if lost + SHORT_OUTAGE < now {
                self.back = Some(now);
            }
        }
        self.backoff.reset();
        let over = now.saturating_sub(self.back?);
        GRACE.checked_sub(over).filter(|left| !left.is_zero())
    }

    async fn failed(&mut self, e: &StoreError) {
        if self.lost.is_none() {
            self.lost = Some(now());
            line(Weight::Notable, "store_lost", |l| l.text("kind", self.what).text("why", &format!("{e:?}")));
        }
        tokio::time::sleep(self.backoff.wait(&mut self.rng)).await;
    }
}
