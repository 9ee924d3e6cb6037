//! Follows the evacuated data centres with one long-polling watch.
//!
//! Evacuations are rare and each heartbeat carries them, so a starting host calls the store only if it has not received
//! them from a peer for a while; a seed calls at once.

use std::{ops::Range, sync::Arc, time::Duration};

use super::{
    COALESCE_DELAY, Call, Store, StoreCall, StoreError, back_off, record_answer_and_log,
    start::wait_for_gossip, wait_until_follower,
};
use crate::{
    logs::lines::{Level, line},
    relay::{Relay, Wire, confirm::Topic, contact::StoreRetry},
    util::now,
};

/// How long a host that is not a seed waits to receive the evacuations from a peer. The wait is random, so that hosts
/// that start together don't call the store together.
const GOSSIP_WAIT: Range<Duration> = Duration::from_millis(500)..Duration::from_millis(1_500);

/// Follows the evacuated data centres until the task is cancelled, if the settings say that operators evacuate any.
pub async fn follow_evacuations<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    if !relay.cfg.evacuates {
        return;
    }
    wait_for_gossip(&relay, GOSSIP_WAIT, Relay::knows_evacuations).await;
    let mut retry = StoreRetry::new("evacuations");
    let mut needs_list = !relay.knows_evacuations();
    loop {
        let started = relay.knows_evacuations();
        if started && wait_until_follower(&relay).await {
            retry = StoreRetry::new("evacuations");
        }
        let after = (!needs_list).then(|| relay.state().evacuations.revision());
        let stale_ok = !started && !relay.is_seed();
        let call = Call { after, stale_ok, ..relay.new_call(&retry) };
        let sent_at = relay.start_call(call);
        let answer = relay.call_store(StoreCall::evacuations(call), after, store.evacuations(call)).await;
        match relay.check_epoch(answer, |update| update.revision().epoch) {
            Ok(mut update) => {
                needs_list = stale_ok;
                if stale_ok {
                    update.mark_as_stale_read();
                }
                record_answer_and_log(&mut retry);
                relay.update_evacuations(&update, "store");
                let revision = Some(update.revision()).filter(|_| !stale_ok);
                relay.record_answer(Topic::Evacuations, sent_at, revision);
                if after.is_some() && now() < sent_at + COALESCE_DELAY {
                    tokio::time::sleep(COALESCE_DELAY).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Level::Notable, "history_gone", |l| l.text("kind", "evacuations"));
                needs_list = true;
            }
            Err(StoreError::Restored { .. } | StoreError::WatchStalled) => needs_list = true,
            Err(e) => {
                needs_list = true;
                back_off(&mut retry, &e).await;
            }
        }
    }
}

impl<W: Wire> Relay<W> {
    fn knows_evacuations(&self) -> bool {
        self.state().evacuations.is_known()
    }
}
