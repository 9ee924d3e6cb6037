//! Checks with the store that the known state is still the newest, over a connection that no watch uses.

use std::{sync::Arc, time::Duration};

use super::{Call, Store, StoreCall, StoreError};
use crate::{
    logs::lines::{Level, line},
    relay::{
        Relay, Wire,
        confirm::Topic,
        evacuations,
        revision::{Epoch, Revision},
    },
    util::{Instant, now},
};

/// Timeout of a call. A follower that has lost the store doubles its timeout instead, so that a slow store is read
/// eventually.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest and longest interval at which the due time of the next check is computed again.
const POLL_INTERVAL: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(250));
/// Maximum number of attempts to get an answer of the current epoch.
const MAX_EPOCH_ATTEMPTS: usize = 4;
/// Time for a pending watch to deliver a change that a check has returned.
const WATCH_DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Checks the store whenever a confirmation is due, until the task is cancelled.
pub async fn keep_confirmed<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    loop {
        let delay = relay.next_check_at().saturating_sub(now());
        if !delay.is_zero() {
            tokio::time::sleep(delay.clamp(POLL_INTERVAL.0, POLL_INTERVAL.1)).await;
            continue;
        }
        match check_store(&relay, &mut store).await {
            Ok(()) => relay.beat_due.notify_one(),
            Err(e) => {
                line(Level::Notable, "confirm_failed", |l| l.text("why", &format!("{e:?}")));
                tokio::time::sleep(POLL_INTERVAL.0).await;
            }
        }
    }
}

/// Checks the configuration, and the other topics only if the store has changed since their revision.
async fn check_store<W: Wire>(relay: &Relay<W>, store: &mut impl Store) -> Result<(), StoreError> {
    let sent_at = now();
    relay.state().confirmations.record_check(sent_at);
    let newest = check_configuration(relay, store, sent_at).await?;
    let topics: Vec<_> = relay.state().confirmations.topics().collect();
    for topic in topics {
        match topic {
            Topic::Configuration => {}
            _ if relay.is_up_to_date(topic, newest) => relay.state().confirmations.confirm(topic, sent_at),
            Topic::Backends => check_backends(relay, store, sent_at).await?,
            Topic::Evacuations => check_evacuations(relay, store, sent_at).await?,
        }
    }
    Ok(())
}

/// Checks the configuration; returns the revision of the store.
pub(super) async fn check_configuration<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    sent_at: Instant,
) -> Result<Revision, StoreError> {
    for _ in 0..MAX_EPOCH_ATTEMPTS {
        let after = relay.state().confirmations.last_revision(Topic::Configuration);
        let call = no_wait_call(after, relay.epoch());
        let answer = relay.call_store(StoreCall::ConfigurationCheck, None, store.configuration(call)).await;
        match relay.check_epoch(answer, |(revision, _)| revision.epoch) {
            Ok((revision, cfg)) => {
                let changed = after.is_some() && cfg.is_some();
                if let Some(cfg) = cfg {
                    relay.set_configuration(cfg, "store");
                }
                relay.record_answer(Topic::Configuration, sent_at, Some(revision));
                if changed {
                    relay.cancel_stalled_watch(Topic::Configuration, revision).await;
                }
                return Ok(revision);
            }
            Err(StoreError::HistoryGone | StoreError::Restored { .. }) => {
                relay.state().confirmations.record_revision(Topic::Configuration, None);
            }
            Err(e) => return Err(e),
        }
    }
    Err(StoreError::Unavailable("the store's epoch changes with each answer".into()))
}

/// Checks the backend servers for changes.
async fn check_backends<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    sent_at: Instant,
) -> Result<(), StoreError> {
    let known = relay.state().backends.revision();
    if !known.is_known() || known == Revision::STALE_READ {
        // The first list is read by the follower task or received from a peer.
        return Ok(());
    }
    let call = no_wait_call(Some(known), relay.epoch());
    let answer = relay.call_store(StoreCall::BackendsCheck, None, store.backends(call)).await;
    let update = match relay.check_epoch(answer, |update| update.revision().epoch) {
        Ok(update) => update,
        Err(StoreError::HistoryGone | StoreError::Restored { .. }) => {
            relay.cancel_stalled_watch(Topic::Backends, Revision::LATEST).await;
            return Ok(());
        }
        Err(e) => return Err(e),
    };
    let revision = update.revision();
    // If a watch is pending, the follower task has to apply the changes: only it knows of an outage in which entries
    // may have expired.
    if update.has_events() && relay.state().confirmations.is_watching(Topic::Backends) {
        relay.cancel_stalled_watch(Topic::Backends, revision).await;
        return Ok(());
    }
    relay.update_backends(update, None, "store");
    relay.record_answer(Topic::Backends, sent_at, Some(revision));
    Ok(())
}

/// Checks the evacuated data centres for changes.
async fn check_evacuations<W: Wire>(
    relay: &Relay<W>,
    store: &mut impl Store,
    sent_at: Instant,
) -> Result<(), StoreError> {
    let known = relay.state().evacuations.revision();
    let after = Some(known).filter(|known| known.is_known() && *known != Revision::STALE_READ);
    let call = no_wait_call(after, relay.epoch());
    let answer = relay.call_store(StoreCall::EvacuationsCheck, None, store.evacuations(call)).await;
    match relay.check_epoch(answer, |update| update.revision().epoch) {
        Ok(update) => {
            let (revision, has_changes) = (update.revision(), has_changes(&update));
            relay.update_evacuations(&update, "store");
            relay.record_answer(Topic::Evacuations, sent_at, Some(revision));
            if has_changes {
                relay.cancel_stalled_watch(Topic::Evacuations, revision).await;
            }
        }
        Err(StoreError::HistoryGone | StoreError::Restored { .. }) => {
            relay.cancel_stalled_watch(Topic::Evacuations, Revision::LATEST).await;
        }
        Err(e) => return Err(e),
    }
    Ok(())
}

fn has_changes(update: &evacuations::Update) -> bool {
    matches!(update, evacuations::Update::Changes { changes, .. } if !changes.is_empty())
}

/// A watch that returns immediately.
fn no_wait_call(after: Option<Revision>, epoch: Epoch) -> Call {
    Call { after, epoch, timeout: CHECK_TIMEOUT, allow_large: true, stale_ok: false, no_wait: true }
}

impl<W: Wire> Relay<W> {
    /// When this host checks the store next, as far as is known now.
    fn next_check_at(&self) -> Instant {
        let state = self.state();
        state.confirmations.next_check_at(state.peers.confirmation_turn(now(), state.contact))
    }

    /// Whether the known state of a topic is as of the store's newest revision, so that nothing of it has changed.
    fn is_up_to_date(&self, topic: Topic, newest: Revision) -> bool {
        let state = self.state();
        let known = match topic {
            Topic::Configuration => return false,
            Topic::Backends => state.backends.revision(),
            Topic::Evacuations => state.evacuations.revision(),
        };
        known.epoch == newest.epoch && known >= newest
    }

    /// Cancels a pending watch if it does not soon deliver the changes up to a revision that another call has returned.
    async fn cancel_stalled_watch(&self, topic: Topic, changed: Revision) {
        tokio::time::sleep(WATCH_DELIVERY_TIME).await;
        if !self.state().confirmations.is_watch_behind(topic, changed) {
            return;
        }
        line(Level::Notable, "watch_deaf", |l| {
            l.text("kind", topic.as_str()).number("changed", changed.number)
        });
        self.cancel_watch[topic as usize].notify_waiters();
    }
}
