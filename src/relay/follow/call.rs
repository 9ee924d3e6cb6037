//! Calls to the store: how it is asked, and what is counted of it.

use std::{future::Future, time::Duration};

use super::StoreError;
use crate::{
    logs::lines::{Weight, line},
    metrics::Counter,
    relay::{
        Relay, Wire, belief,
        confirm::Topic,
        revision::{Epoch, EpochCheck, Revision},
    },
    util::now,
};

/// How the store is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Revision after which changes are waited for; a list without one.
    pub after: Option<Revision>,
    /// Epoch of the store that is known, as of which an answer is that tells none.
    pub epoch: Epoch,
    /// Time for an answer, beside the time for which the store lets a call wait for a change.
    pub timeout: Duration,
    /// Whether a list is read to its end, though it takes many calls.
    pub allow_large: bool,
    /// Whether a list may be some seconds old, which costs a tenth.
    pub stale_ok: bool,
    /// Whether changes are told at once, also where there are none.
    pub no_wait: bool,
}

/// What a call asks for; a label in logs and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// The configuration as of some seconds ago.
    ConfigurationCopy,
    /// The configuration.
    ConfigurationList,
    /// The next configuration.
    ConfigurationWatch,
    /// Whether there is another configuration.
    ConfigurationCheck,
    /// The backend servers as of some seconds ago.
    BackendsCopy,
    /// The backend servers.
    BackendsList,
    /// Changes of the backend servers.
    BackendsWatch,
    /// Whether there are any changes of these.
    BackendsCheck,
    /// The evacuated data centres as of some seconds ago.
    EvacuationsCopy,
    /// The evacuated data centres.
    EvacuationsList,
    /// The next change of these.
    EvacuationsWatch,
    /// Whether there is any change of these.
    EvacuationsCheck,
    /// The hosts that are entered.
    Hosts,
    /// To enter hosts.
    Register,
}

impl StoreCall {
    /// Everything that is asked for.
    pub const ALL: [StoreCall; 14] = [
        StoreCall::ConfigurationCopy,
        StoreCall::ConfigurationList,
        StoreCall::ConfigurationWatch,
        StoreCall::ConfigurationCheck,
        StoreCall::BackendsCopy,
        StoreCall::BackendsList,
        StoreCall::BackendsWatch,
        StoreCall::BackendsCheck,
        StoreCall::EvacuationsCopy,
        StoreCall::EvacuationsList,
        StoreCall::EvacuationsWatch,
        StoreCall::EvacuationsCheck,
        StoreCall::Hosts,
        StoreCall::Register,
    ];

    /// Name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            StoreCall::ConfigurationCopy => "configuration_copy",
            StoreCall::ConfigurationList => "configuration_list",
            StoreCall::ConfigurationWatch => "configuration_watch",
            StoreCall::ConfigurationCheck => "configuration_check",
            StoreCall::BackendsCopy => "backends_copy",
            StoreCall::BackendsList => "backends_list",
            StoreCall::BackendsWatch => "backends_watch",
            StoreCall::BackendsCheck => "backends_check",
            StoreCall::EvacuationsCopy => "evacuations_copy",
            StoreCall::EvacuationsList => "evacuations_list",
            StoreCall::EvacuationsWatch => "evacuations_watch",
            StoreCall::EvacuationsCheck => "evacuations_check",
            StoreCall::Hosts => "hosts",
            StoreCall::Register => "enter",
        }
    }

    /// What is waited for, in a call that waits.
    fn waits_for(self) -> Option<Topic> {
        match self {
            StoreCall::ConfigurationWatch => Some(Topic::Configuration),
            StoreCall::BackendsWatch => Some(Topic::Backends),
            StoreCall::EvacuationsWatch => Some(Topic::Evacuations),
            _ => None,
        }
    }

    pub(super) fn configuration(call: Call) -> Self {
        match call {
            Call { after: Some(_), .. } => StoreCall::ConfigurationWatch,
            Call { stale_ok: true, .. } => StoreCall::ConfigurationCopy,
            _ => StoreCall::ConfigurationList,
        }
    }

    pub(super) fn evacuations(call: Call) -> Self {
        match call {
            Call { after: Some(_), .. } => StoreCall::EvacuationsWatch,
            Call { stale_ok: true, .. } => StoreCall::EvacuationsCopy,
            _ => StoreCall::EvacuationsList,
        }
    }

    pub(super) fn backends(call: Call) -> Self {
        match call {
            Call { after: Some(_), .. } => StoreCall::BackendsWatch,
            Call { stale_ok: true, .. } => StoreCall::BackendsCopy,
            _ => StoreCall::BackendsList,
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Counts a call and waits for its answer, but not longer than this host stays awake and the store is as it was: while
    /// the host was suspended the connection may have gone silent, and once the store was restored nothing goes on from a
    /// revision of before, so that everything is listed again.
    pub(super) async fn ask_store<T>(
        &self,
        asked: StoreCall,
        after: Option<Revision>,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.metrics.add(Counter::RelayStoreCalls, asked.as_str(), 1);
        let begun = now();
        let waits_for = asked.waits_for();
        if let Some(topic) = waits_for {
            self.state().confirmations.record_watch(topic, after);
        }
        let answer = tokio::select! {
            answer = call => answer,
            () = self.suspend_ended.notified() => Err(StoreError::Unavailable("the host was suspended".into())),
            epoch = self.later_epoch(after) => Err(StoreError::Restored { epoch }),
            () = self.found_deaf(waits_for) => Err(StoreError::Deaf),
        };
        if let Some(topic) = waits_for {
            self.state().confirmations.record_watch(topic, None);
        }
        line(Weight::Routine, "store_called", |l| {
            let l = l.text("call", asked.as_str()).flag("answered", answer.is_ok());
            let l = if let Some(after) = after { belief::with_revision(l, after) } else { l };
            l.ms("after_ms", now().saturating_sub(begun))
        });
        answer
    }

    /// Waits until a later epoch than that of a revision is known.
    async fn later_epoch(&self, after: Option<Revision>) -> Epoch {
        let Some(after) = after else { return std::future::pending().await };
        loop {
            let restored = self.store_restored.notified();
            let known = self.epoch();
            if known > after.epoch {
                return known;
            }
            restored.await;
        }
    }

    /// Waits until a call that waits is known to wait in vain.
    async fn found_deaf(&self, waits_for: Option<Topic>) {
        match waits_for {
            Some(topic) => self.cancel_watch[topic as usize].notified().await,
            None => std::future::pending().await,
        }
    }

    /// Passes an answer of the store on if it is of its present epoch.
    ///
    /// # Errors
    /// When it is not, or there is none.
    pub(super) fn check_epoch<T>(
        &self,
        answer: Result<T, StoreError>,
        epoch: impl FnOnce(&T) -> Epoch,
    ) -> Result<T, StoreError> {
        let (epoch, answer) = match answer {
            Ok(answer) => (epoch(&answer), Some(answer)),
            Err(StoreError::Restored { epoch }) => (epoch, None),
            Err(e) => return Err(e),
        };
        match (self.observe_epoch(epoch, "store"), answer) {
            (EpochCheck::Current | EpochCheck::Newer, Some(answer)) => Ok(answer),
            (EpochCheck::Rejected, _) => Err(StoreError::Unavailable(format!("an answer of epoch {epoch}"))),
            (heard, _) => {
                if heard == EpochCheck::RolledBack {
                    self.forget_revisions();
                }
                Err(StoreError::Restored { epoch })
            }
        }
    }

    /// Goes back to the store's own epoch: revisions of the wrong one would hide all that it tells.
    fn forget_revisions(&self) {
        let mut state = self.state();
        state.backends.forget_revision();
        state.evacuations.forget_revision();
        for topic in Topic::ALL {
            state.confirmations.record_revision(topic, None);
            self.cancel_watch[topic as usize].notify_waiters();
        }
    }
}
