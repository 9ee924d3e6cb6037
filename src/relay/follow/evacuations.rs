//! Follows the evacuated data centres by one waiting watch.
//!
//! Evacuations are rare and each beat tells of them, so that a host that starts asks the store only when no other host has told
//! it for a while; a seed asks at once.

use std::{ops::Range, sync::Arc, time::Duration};

use super::{Call, GATHER, Store, StoreCall, StoreError, lose, regain, rest, start::is_told};
use crate::{
    logs::lines::{Weight, line},
    relay::{Relay, Wire, confirm::Topic, contact::StoreRetry},
    util::now,
};

/// How long a host that is no seed waits to be told, drawn so that hosts that start together don't ask together.
const TOLD: Range<Duration> = Duration::from_millis(500)..Duration::from_millis(1_500);

/// Follows the evacuated data centres until the task is ended, where operators evacuate any.
pub async fn follow_evacuations<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    if !relay.cfg.evacuates {
        return;
    }
    is_told(&relay, TOLD, Relay::knows_evacuations).await;
    let mut contact = StoreRetry::new("evacuations");
    let mut list = !relay.knows_evacuations();
    loop {
        let started = relay.knows_evacuations();
        if started && rest(&relay).await {
            contact = StoreRetry::new("evacuations");
        }
        let after = (!list).then(|| relay.state().evacuations.revision());
        let stale_ok = !started && !relay.is_seed();
        let call = Call {
            after,
            epoch: relay.epoch(),
            timeout: contact.timeout(),
            allow_large: true,
            stale_ok,
            no_wait: false,
        };
        let asked = relay.begin(call);
        let answer = relay.ask_store(StoreCall::evacuations(call), after, store.evacuations(call)).await;
        match relay.check_epoch(answer, |update| update.revision().epoch) {
            Ok(mut update) => {
                list = stale_ok;
                if stale_ok {
                    update.mark_stale();
                }
                regain(&mut contact);
                relay.update_evacuations(&update, "store");
                let revision = Some(update.revision()).filter(|_| !stale_ok);
                relay.record_answer(Topic::Evacuations, call, asked, revision);
                if after.is_some() && now() < asked + GATHER {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                line(Weight::Notable, "history_gone", |l| l.text("kind", "evacuations"));
                list = true;
            }
            Err(StoreError::Restored { .. } | StoreError::Deaf) => list = true,
            Err(e) => {
                list = true;
                lose(&mut contact, &e).await;
            }
        }
    }
}

impl<W: Wire> Relay<W> {
    fn knows_evacuations(&self) -> bool {
        self.state().evacuations.is_known()
    }
}
