//! Follows configuration and backend servers by one waiting watch each.
//!
//! What is known stays in force while the store does not answer; the other hosts tell what is newer meanwhile.

use std::{future::Future, ops::Range, sync::Arc, time::Duration};

use rand::Rng;

use super::{Relay, Wire, backends::Revision, contact::Contact};
use crate::{
    logs::lines::{Weight, line},
    schema::fleet::{Backend, Backends, Configuration, Member},
    util::{now, wall_ms},
};

/// Pause after a change before the next watch, so that servers that come or go together cost one call. A server that
/// leaves may get new work for two seconds.
const GATHER: Duration = Duration::from_millis(200);
/// Time between two looks whether other hosts are heard, and with it before the first entry and the first look.
const LONELY: Duration = Duration::from_millis(3_000);
/// Time between two looks whether this host must follow the store again.
const REST: Duration = Duration::from_millis(250);

/// How far the clock of a backend server may be ahead, in milliseconds. A start that is told for a later time was written by
/// somebody else: taken for true, it would hide all that the server tells of itself from then on.
const MOST_AHEAD_MS: u64 = 3_600_000;

/// How long a host that is no seed waits to be told a long list before it reads it itself, drawn so that few do it at a
/// time; a seed has read it and told it within 0.3 s.
const LONG_LIST: Range<Duration> = Duration::from_millis(300)..Duration::from_millis(1_800);
/// Time between two looks whether it was told.
const LOOK: Duration = Duration::from_millis(20);

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The changes since the revision are not kept any more.
    HistoryGone,
    /// No answer in time.
    TimedOut,
    /// The list takes more calls than one, and only the first was asked for.
    Long,
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

/// How the store is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Revision after which changes are waited for; a list without one.
    pub after: Option<Revision>,
    /// Time for an answer, beside the time for which the store lets a call wait for a change.
    pub patience: Duration,
    /// Whether a list is read to its end, though it takes many calls.
    pub whole: bool,
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

    /// Enters this host among the hosts.
    fn enter(&mut self, me: &Member) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Takes this host's entry out.
    fn withdraw(&mut self, me: &Member) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Hosts that have entered themselves, some of them long gone.
    fn hosts(&mut self) -> impl Future<Output = Result<Vec<Member>, StoreError>> + Send;
}

/// Enters this host in the store, and looks for other hosts there while none is heard: the seeds may all be gone.
pub async fn follow_hosts<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut entered = false;
    // Hosts that start together don't write together: the store takes some hundred writes a second.
    let apart = rand::rng().random_range(Duration::ZERO..LONELY);
    tokio::time::sleep(apart).await;
    loop {
        tokio::time::sleep(LONELY).await;
        if !entered {
            entered = store.enter(&relay.cfg.me).await.inspect_err(note_hosts).is_ok();
        }
        if !relay.is_alone() {
            continue;
        }
        match store.hosts().await {
            Ok(hosts) => relay.learn(&hosts),
            Err(e) => note_hosts(&e),
        }
    }
}

/// Takes this host's entry out, as when it leaves.
pub async fn withdraw(me: Member, mut store: impl Store) {
    if let Err(e) = store.withdraw(&me).await {
        note_hosts(&e);
    }
}

fn note_hosts(e: &StoreError) {
    line(Weight::Notable, "hosts_failed", |l| l.text("why", &format!("{e:?}")));
}

/// Waits for an answer, but not longer than this host stays awake: while it was suspended the connection may have gone
/// silent and what is known may be old, so that everything is listed again.
async fn awake<W: Wire, T>(
    relay: &Relay<W>,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::select! {
        answer = call => answer,
        () = relay.woken.notified() => Err(StoreError::Unavailable("the host was suspended".into())),
    }
}

/// Follows the configuration until the task is ended.
pub async fn follow_configuration<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut contact = Contact::new("configuration");
    let mut after = None;
    loop {
        if after.is_some() && rest(&relay).await {
            after = None;
        }
        let call = Call { after, patience: contact.patience(), whole: true };
        match awake(&relay, store.configuration(call)).await {
            Ok((revision, cfg)) => {
                regain(&mut contact);
                after = after.max(Some(revision));
                if let Some(cfg) = cfg {
                    relay.set_configuration(cfg, "store");
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Weight::Notable, "history_gone", |l| l.text("kind", "configuration"));
                after = None;
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
    let mut contact = Contact::new("backends");
    let (mut list, mut whole) = (true, false);
    loop {
        if !list {
            rest(&relay).await;
        }
        let after = (!list).then(|| relay.state().backends.revision());
        let call = Call { after, patience: contact.patience(), whole };
        match awake(&relay, store.backends(call)).await {
            Ok(update) => {
                list = false;
                let grace = regain(&mut contact);
                let news = matches!(&update, BackendsUpdate::Changes { puts, removed, .. }
                    if !puts.is_empty() || !removed.is_empty());
                relay.update_backends(update, grace, "store");
                relay.state().store_lost = None;
                if news {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Weight::Notable, "history_gone", |l| l.text("kind", "backends"));
                list = true;
            }
            Err(StoreError::Long) => {
                list = !is_told(&relay).await;
                whole = true;
            }
            Err(e) => {
                // A watch would answer only at the next change, and what lapsed meanwhile would count from then on.
                list = true;
                relay.state().store_lost.get_or_insert_with(now);
                lose(&mut contact, &e).await;
            }
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Takes in an update of the backend servers.
    pub fn update_backends(&self, mut update: BackendsUpdate, grace: Option<Duration>, from: &str) {
        let now = now();
        update.distrust_after(wall_ms() + MOST_AHEAD_MS);
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

/// Waits a while for another host to tell the list, which takes many calls to read; returns whether one has. Seeds don't
/// wait, since all others hear of them first. After a start of all at once, 300 hosts that each read 9,900 entries kept the
/// store busy for longer than a call may take.
async fn is_told<W: Wire>(relay: &Relay<W>) -> bool {
    if relay.cfg.seeds.contains(&relay.cfg.peer_addr) {
        return false;
    }
    let until = now() + rand::rng().random_range(LONG_LIST);
    while !relay.state().listed && now() < until {
        tokio::time::sleep(LOOK).await;
    }
    relay.state().listed
}

/// Waits while enough other hosts of the data centre follow the store and tell this one; returns whether it has waited.
async fn rest<W: Wire>(relay: &Relay<W>) -> bool {
    let mut rested = false;
    loop {
        let follows = {
            let mut state = relay.state();
            state.follows = state.peers.should_follow(now());
            state.follows
        };
        if follows {
            return rested;
        }
        rested = true;
        tokio::time::sleep(REST).await;
    }
}

/// Notes an answer; returns how long entries that may have lapsed still count.
fn regain(contact: &mut Contact) -> Option<Duration> {
    let now = now();
    let (away, grace) = contact.answered(now);
    if let Some(away) = away {
        line(Weight::Notable, "store_back", |l| l.text("kind", contact.what()).ms("away_ms", away));
    }
    grace
}

async fn lose(contact: &mut Contact, e: &StoreError) {
    let lost = contact.failed(now(), *e == StoreError::TimedOut, &mut rand::rng());
    if lost.first {
        line(Weight::Notable, "store_lost", |l| {
            l.text("kind", contact.what()).text("why", &format!("{e:?}"))
        });
    }
    tokio::time::sleep(lost.wait).await;
}
