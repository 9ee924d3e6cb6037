//! Calls to the store: their options, their kinds, and the accounting of each call.

use std::{future::Future, time::Duration};

use super::StoreError;
use crate::{
    logs::lines::{Level, line},
    metrics::Counter,
    relay::{
        Relay, Wire,
        confirm::Topic,
        revision::{Epoch, EpochCheck, Revision},
        updates,
    },
    util::now,
};

/// Options of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Revision after which the call watches for changes; `None` lists everything.
    pub after: Option<Revision>,
    /// Current epoch of the store, which is assumed for an answer that carries none.
    pub epoch: Epoch,
    /// Timeout, excluding the time for which the store holds a watch open.
    pub timeout: Duration,
    /// Whether a large answer, or a list of many pages, is read.
    pub allow_large: bool,
    /// Whether a list may be some seconds old, which costs a tenth.
    pub stale_ok: bool,
    /// Whether a watch returns immediately, even without changes.
    pub no_wait: bool,
}

/// Kind of a call; a label in logs and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// List of the configuration from a stale read.
    ConfigurationCopy,
    /// List of the configuration.
    ConfigurationList,
    /// Watch of the configuration.
    ConfigurationWatch,
    /// Check for a newer configuration.
    ConfigurationCheck,
    /// List of the backend servers from a stale read.
    BackendsCopy,
    /// List of the backend servers.
    BackendsList,
    /// Watch of the backend servers.
    BackendsWatch,
    /// Check for changes of the backend servers.
    BackendsCheck,
    /// List of the evacuated data centres from a stale read.
    EvacuationsCopy,
    /// List of the evacuated data centres.
    EvacuationsList,
    /// Watch of the evacuated data centres.
    EvacuationsWatch,
    /// Check for changes of the evacuated data centres.
    EvacuationsCheck,
    /// List of the registered hosts.
    Hosts,
    /// Registration of hosts.
    Register,
    /// List of the saved streams.
    Streams,
    /// Streams that this host saves.
    SaveStreams,
    /// Check for versions of the backend servers that this host does not know.
    Versions,
}

impl StoreCall {
    /// Every kind of call.
    pub const ALL: [StoreCall; 17] = [
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
        StoreCall::Streams,
        StoreCall::SaveStreams,
        StoreCall::Versions,
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
            StoreCall::Streams => "streams",
            StoreCall::SaveStreams => "save_streams",
            StoreCall::Versions => "versions",
        }
    }

    /// The topic that is watched, if the call is a watch.
    fn watched_topic(self) -> Option<Topic> {
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
    /// Counts a call and waits for its answer. A pending call is cancelled when the host resumes from a suspension,
    /// since the connection may be dead, when the store was restored, since no watch can continue from an earlier
    /// epoch, and when the watch is found to be stalled.
    pub(super) async fn call_store<T>(
        &self,
        kind: StoreCall,
        after: Option<Revision>,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.metrics.add(Counter::RelayStoreCalls, kind.as_str(), 1);
        let started = now();
        let watched_topic = kind.watched_topic();
        if let Some(topic) = watched_topic {
            self.state().confirmations.record_watch(topic, after);
        }
        let answer = tokio::select! {
            answer = call => answer,
            () = self.suspend_ended.notified() => Err(StoreError::Unavailable("the host was suspended".into())),
            epoch = self.newer_epoch(after) => Err(StoreError::Restored { epoch }),
            () = self.watch_stalled(watched_topic) => Err(StoreError::WatchStalled),
        };
        if let Some(topic) = watched_topic {
            self.state().confirmations.record_watch(topic, None);
        }
        line(Level::Routine, "store_called", |l| {
            let l = l.text("call", kind.as_str()).flag("answered", answer.is_ok());
            let l = if let Some(after) = after { updates::with_revision(l, after) } else { l };
            l.ms("after_ms", now().saturating_sub(started))
        });
        answer
    }

    /// Waits until the store's epoch is later than that of a revision.
    async fn newer_epoch(&self, after: Option<Revision>) -> Epoch {
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

    /// Waits until the watch of a topic is found to be stalled.
    async fn watch_stalled(&self, watched_topic: Option<Topic>) {
        match watched_topic {
            Some(topic) => self.cancel_watch[topic as usize].notified().await,
            None => std::future::pending().await,
        }
    }

    /// Passes on an answer of the store if it is of the current epoch.
    ///
    /// # Errors
    /// When it is not, or the call failed.
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
            (EpochCheck::Rejected, _) => {
                Err(StoreError::Unavailable(format!("unexpected epoch {epoch} in the answer")))
            }
            (check, _) => {
                if check == EpochCheck::RolledBack {
                    self.forget_revisions();
                }
                Err(StoreError::Restored { epoch })
            }
        }
    }

    /// Discards all revisions after the epoch was rolled back: those of the wrong epoch would hide everything that the
    /// store reports.
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
