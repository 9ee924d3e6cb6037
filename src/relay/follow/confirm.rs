//! Asks the store whether what is known is still the newest, over a connection that no waiting call uses.

use std::{sync::Arc, time::Duration};

use super::{BackendsUpdate, Call, Store, StoreCall, StoreError};
use crate::{
    logs::lines::{Weight, line},
    relay::{
        Relay, Wire,
        confirm::Topic,
        evacuations,
        revision::{Epoch, Revision},
    },
    util::{Instant, now},
};

/// Time for an answer. A follower that has lost the store gives it more with each call, so that a slow one is read.
const PATIENCE: Duration = Duration::from_millis(400);
/// Shortest and longest time between two looks whether it is time to ask.
const LOOKS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(250));
/// Calls until one must have been answered in the store's present epoch.
const MOST_CALLS: usize = 4;
/// Time for a waiting call to bring what another one has told.
const SETTLE: Duration = Duration::from_millis(100);

/// Keeps sure that what is known is the newest, until the task is ended.
pub async fn keep_confirmed<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    loop {
        let left = relay.next_check_at().saturating_sub(now());
        if !left.is_zero() {
            tokio::time::sleep(left.clamp(LOOKS.0, LOOKS.1)).await;
            continue;
        }
        match ask(&relay, &mut store).await {
            Ok(()) => relay.beat_due.notify_one(),
            Err(e) => {
                line(Weight::Notable, "confirm_failed", |l| l.text("why", &format!("{e:?}")));
                tokio::time::sleep(LOOKS.0).await;
            }
        }
    }
}

/// Asks for the configuration; of the other topics only where the store has changed since they were told.
async fn ask<W: Wire>(relay: &Relay<W>, store: &mut impl Store) -> Result<(), StoreError> {
    let asked = now();
    relay.state().confirmations.record_check(asked);
    let newest = ask_configuration(relay, store, asked).await?;
    let topics: Vec<_> = relay.state().confirmations.topics().collect();
    for topic in topics {
        match topic {
            Topic::Configuration => {}
            _ if relay.is_as_of(topic, newest) => relay.state().confirmations.confirm(topic, asked),
            Topic::Backends => ask_backends(relay, store, asked).await?,
            Topic::Evacuations => ask_evacuations(relay, store, asked).await?,
        }
    }
    Ok(())
}

/// Returns the revision of the store.
async fn ask_configuration<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    asked: Instant,
) -> Result<Revision, StoreError> {
    for _ in 0..MOST_CALLS {
        let after = relay.state().confirmations.last_revision(Topic::Configuration);
        let call = call(after, relay.epoch());
        let answer = relay.ask_store(StoreCall::ConfigurationCheck, None, store.configuration(call)).await;
        match relay.check_epoch(answer, |(revision, _)| revision.epoch) {
            Ok((revision, cfg)) => {
                let changed = after.is_some() && cfg.is_some();
                if let Some(cfg) = cfg {
                    relay.set_configuration(cfg, "store");
                }
                relay.record_answer(Topic::Configuration, call, asked, Some(revision));
                if changed {
                    relay.end_deaf(Topic::Configuration, revision).await;
                }
                return Ok(revision);
            }
            Err(StoreError::HistoryGone | StoreError::Restored { .. }) => {
                relay.state().confirmations.record_revision(Topic::Configuration, None);
            }
            Err(e) => return Err(e),
        }
    }
    Err(StoreError::Unavailable("its epoch changes with each answer".into()))
}

async fn ask_backends<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    asked: Instant,
) -> Result<(), StoreError> {
    let known = relay.state().backends.revision();
    if !known.is_known() || known == Revision::STALE_READ {
        // Whoever reads the list for the first time does so as a follower, or is told.
        return Ok(());
    }
    let call = call(Some(known), relay.epoch());
    let answer = relay.ask_store(StoreCall::BackendsCheck, None, store.backends(call)).await;
    let update = match relay.check_epoch(answer, |update| update.revision().epoch) {
        Ok(update) => update,
        Err(StoreError::HistoryGone | StoreError::Restored { .. }) => {
            relay.end_deaf(Topic::Backends, Revision::LATEST).await;
            return Ok(());
        }
        Err(e) => return Err(e),
    };
    let revision = update.revision();
    let is_news = matches!(&update, BackendsUpdate::Changes { puts, removed, .. }
        if !puts.is_empty() || !removed.is_empty());
    // A follower takes news in itself: only it knows of an outage in which entries may have lapsed.
    if is_news && relay.state().confirmations.is_watching(Topic::Backends) {
        relay.end_deaf(Topic::Backends, revision).await;
        return Ok(());
    }
    relay.update_backends(update, None, "store");
    relay.record_answer(Topic::Backends, call, asked, Some(revision));
    Ok(())
}

async fn ask_evacuations<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    asked: Instant,
) -> Result<(), StoreError> {
    let known = relay.state().evacuations.revision();
    let after = Some(known).filter(|known| known.is_known() && *known != Revision::STALE_READ);
    let call = call(after, relay.epoch());
    let answer = relay.ask_store(StoreCall::EvacuationsCheck, None, store.evacuations(call)).await;
    match relay.check_epoch(answer, |update| update.revision().epoch) {
        Ok(update) => {
            let (revision, is_news) = (update.revision(), is_change(&update));
            relay.update_evacuations(&update, "store");
            relay.record_answer(Topic::Evacuations, call, asked, Some(revision));
            if is_news {
                relay.end_deaf(Topic::Evacuations, revision).await;
            }
        }
        Err(StoreError::HistoryGone | StoreError::Restored { .. }) => {
            relay.end_deaf(Topic::Evacuations, Revision::LATEST).await;
        }
        Err(e) => return Err(e),
    }
    Ok(())
}

fn is_change(update: &evacuations::Update) -> bool {
    matches!(update, evacuations::Update::Changes { changes, .. } if !changes.is_empty())
}

/// A call that is answered at once.
fn call(after: Option<Revision>, epoch: Epoch) -> Call {
    Call { after, epoch, timeout: PATIENCE, allow_large: true, stale_ok: false, no_wait: true }
}

impl<W: Wire> Relay<W> {
    /// When this host asks the store, as far as is known now.
    fn next_check_at(&self) -> Instant {
        let state = self.state();
        state.confirmations.next_check_at(state.peers.confirmation_turn(now(), state.contact))
    }

    /// Whether a topic is known as of a revision of the store, so that nothing of it has changed up to there.
    fn is_as_of(&self, topic: Topic, newest: Revision) -> bool {
        let state = self.state();
        let known = match topic {
            Topic::Configuration => return false,
            Topic::Backends => state.backends.revision(),
            Topic::Evacuations => state.evacuations.revision(),
        };
        known.epoch == newest.epoch && known >= newest
    }

    /// Ends a call that waits for changes of a topic, if it does not bring those up to a revision that another call has told.
    async fn end_deaf(&self, topic: Topic, changed: Revision) {
        tokio::time::sleep(SETTLE).await;
        if !self.state().confirmations.is_watch_behind(topic, changed) {
            return;
        }
        line(Weight::Notable, "watch_deaf", |l| {
            l.text("kind", topic.as_str()).number("changed", changed.number)
        });
        self.cancel_watch[topic as usize].notify_waiters();
    }
}
