//! Saves in the store which versions began streams, and reads what was saved before all hosts were killed.

use std::{sync::Arc, time::Duration};

use futures_util::FutureExt;
use tokio::time::{Instant, sleep_until};

use super::{Call, Store, StoreCall};
use crate::{
    logs::lines::{Level, line},
    metrics::Counter,
    relay::{
        Relay, State, Wire,
        contact::StoreRetry,
        exchange::OriginTraffic,
        origins::{StreamKey, VersionTag, saved::SavedStreams},
    },
    util::{now, wall_ms},
};

/// Time from one call in which a host saves streams to the next, in a small fleet, where one host does so for all, and in a
/// large one. Streams that begin meanwhile are unknown after a kill of all hosts.
const SMALL_FLEET_SAVE_INTERVAL: Duration = Duration::from_millis(25);
const LARGE_FLEET_SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a call that the store did not answer.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Time between two reads of what all hosts have saved.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// How long a request waits for the first read: some round trips to the store.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of hosts from which on the saved streams are read from a copy of the store.
const MIN_HOSTS_FOR_COPY: usize = 64;

/// Saves streams while several versions serve, until the task is cancelled.
pub async fn save_streams<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    let mut next_save = Instant::now();
    loop {
        relay.unsaved.notified().await;
        sleep_until(next_save).await;
        next_save = Instant::now() + relay.save_interval();
        let unsaved = relay.state().saved_part.take_unsaved(&relay.cfg.me.data_centre);
        let Some((name, streams)) = unsaved else { continue };
        let saving = store.save_streams(&name, &streams);
        if let Err(e) = relay.call_store(StoreCall::SaveStreams, None, saving).await {
            line(Level::Notable, "streams_not_saved", |l| l.text("why", &format!("{e:?}")));
            relay.state().saved_part.note_failed();
            tokio::time::sleep(FAILURE_PAUSE).await;
            relay.unsaved.notify_one();
        }
    }
}

/// Reads the saved streams whenever a caller takes up one that no host knows, until the task is cancelled.
pub async fn read_saved_streams<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    loop {
        relay.saved_wanted.notified().await;
        let stale_ok = relay.known_hosts(&relay.state()) >= MIN_HOSTS_FOR_COPY;
        let call = Call { stale_ok, ..relay.new_call(&StoreRetry::new("streams")) };
        match relay.call_store(StoreCall::Streams, None, store.saved_streams(call)).await {
            Ok(saved) => relay.learn_saved(&saved),
            Err(e) => line(Level::Notable, "streams_not_read", |l| l.text("why", &format!("{e:?}"))),
        }
        relay.state().saved_read_at = Some(now());
        relay.origin_heard.notify_waiters();
        tokio::time::sleep(READ_INTERVAL).await;
        // Those that asked during the read have its result.
        let _ = relay.saved_wanted.notified().now_or_never();
    }
}

impl<W: Wire> Relay<W> {
    fn save_interval(&self) -> Duration {
        match self.state().peers.is_small() {
            true => SMALL_FLEET_SAVE_INTERVAL,
            false => LARGE_FLEET_SAVE_INTERVAL,
        }
    }

    /// Adds a stream to those that are to be saved, if this host saves them.
    pub(crate) fn add_unsaved(&self, state: &mut State, stream: StreamKey, version: VersionTag) {
        let (time, lifetime) = (Duration::from_millis(wall_ms()), state.origins.lifetime());
        if state.saver != self.cfg.peer_addr {
            return;
        }
        match state.saved_part.add(time, lifetime, stream, version) {
            true => self.unsaved.notify_one(),
            false => self.metrics.add(Counter::RelayOrigins, OriginTraffic::Unsaved.as_str(), 1),
        }
    }

    fn learn_saved(&self, saved: &[SavedStreams]) {
        let mut state = self.state();
        let mut count = 0u64;
        for (stream, version) in saved.iter().flat_map(SavedStreams::unpack) {
            state.origins.hear(stream, version);
            count += 1;
        }
        line(Level::Notable, "streams_read", |l| {
            l.number("streams", count).number("parts", saved.len() as u64)
        });
    }

    /// Waits until this host has read the saved streams, unless it has done so lately.
    pub(crate) async fn await_saved(&self) {
        let has_read = || self.state().saved_read_at.is_some_and(|at| at + READ_INTERVAL > now());
        let reading = async {
            loop {
                let heard = self.origin_heard.notified();
                tokio::pin!(heard);
                heard.as_mut().enable();
                if has_read() {
                    return;
                }
                self.saved_wanted.notify_one();
                heard.await;
            }
        };
        // A caller whose stream stays unknown is told when to come back.
        let _ = tokio::time::timeout(READ_TIMEOUT, reading).await;
    }
}
