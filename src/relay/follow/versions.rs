//! Reads from the store which versions have servers, when a caller takes up a stream that no host knows.
//!
//! A server registers before it gets requests. So a read that began after a stream was taken up lists the version that began it, if that
//! still has a server, whatever other hosts can be reached and however old this host's own list is.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use super::{BackendsUpdate, Call, Store, StoreCall, StoreError, confirm::check_configuration};
use crate::{
    logs::lines::{Level, line},
    relay::{Relay, Wire, backends::BackendEvent, revision::Revision},
    schema::fleet::Backend,
    util::{Instant, now},
};

/// Timeout of a read, after which another one begins.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a request waits for a read that began after it.
const WAIT: Duration = Duration::from_millis(200);
/// Pause after a read that failed. Requests are not kept waiting meanwhile.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of calls of a read: the store may have dropped its history, or been restored.
const MAX_CALLS: usize = 3;

/// Reads the versions of the servers whenever a request waits for that, until the task is cancelled.
pub async fn read_versions<W: Wire>(relay: Arc<Relay<W>>, mut store: impl Store) {
    loop {
        relay.versions_wanted.notified().await;
        let began = now();
        let result = read(&relay, &mut store).await;
        let failed = result.is_err();
        match result {
            Ok(()) => relay.state().versions_read.succeed(began),
            Err(e) => {
                line(Level::Notable, "versions_not_read", |l| l.text("why", &format!("{e:?}")));
                relay.state().versions_read.fail(now() + FAILURE_PAUSE);
            }
        }
        relay.origin_heard.notify_waiters();
        if failed {
            sleep(FAILURE_PAUSE).await;
        }
    }
}

/// When the versions were last read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionsRead {
    /// When the last read that succeeded began.
    began: Option<Instant>,
    /// Until when none is tried after one that failed.
    paused_until: Option<Instant>,
}

impl VersionsRead {
    fn succeed(&mut self, began: Instant) {
        *self = Self { began: Some(began), paused_until: None };
    }

    fn fail(&mut self, paused_until: Instant) {
        self.paused_until = Some(paused_until);
    }

    /// Whether a read that began at a time or later has succeeded.
    pub(crate) fn began_since(&self, time: Instant) -> bool {
        self.began.is_some_and(|began| began >= time)
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }
}

/// Reads which versions have servers, and whether the routes still lead to these services. A host that has just started reads which
/// versions had servers before.
async fn read<W: Wire>(relay: &Relay<W>, store: &mut impl Store) -> Result<(), StoreError> {
    if !relay.has_seen_all_versions() && !relay.state().registration_read {
        relay.read_registration(store).await?;
    }
    check_configuration(relay, store, now()).await?;
    read_servers(relay, store).await
}

/// Reads what has changed since the known list, or all of it where that is not known.
async fn read_servers<W: Wire>(relay: &Relay<W>, store: &mut impl Store) -> Result<(), StoreError> {
    let known = relay.state().backends.revision();
    let mut after = Some(known).filter(|known| known.is_known() && *known != Revision::STALE_READ);
    for _ in 0..MAX_CALLS {
        let call = Call {
            after,
            epoch: relay.epoch(),
            timeout: READ_TIMEOUT,
            allow_large: true,
            stale_ok: false,
            no_wait: true,
        };
        let answer = relay.call_store(StoreCall::Versions, None, store.backends(call)).await;
        match relay.check_epoch(answer, |update| update.revision().epoch) {
            Ok(update) => {
                relay.observe_entries(&update);
                return Ok(());
            }
            Err(StoreError::HistoryGone | StoreError::Restored { .. }) => after = None,
            Err(e) => return Err(e),
        }
    }
    Err(StoreError::Unavailable("the store's history changes with each call".into()))
}

impl BackendsUpdate {
    /// The entries of servers that are listed or were written, in order.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Backend> {
        let (listed, events): (&[Backend], &[BackendEvent]) = match self {
            BackendsUpdate::List(list) => (&list.items, &[]),
            BackendsUpdate::Events { events, .. } => (&[], events),
            BackendsUpdate::Changes { puts, .. } => (puts, &[]),
        };
        listed.iter().chain(events.iter().filter_map(BackendEvent::written))
    }
}

impl<W: Wire> Relay<W> {
    /// Notes which versions the entries of an update tell.
    fn observe_entries(&self, update: &BackendsUpdate) {
        let (now, mut state) = (now(), self.state());
        if matches!(update, BackendsUpdate::List(_)) && state.backends.revision().is_known() {
            self.record_new_list(&mut state, now);
        }
        self.observe_versions(&mut state, now, update.entries());
    }

    /// Waits until this host has read, since a time, which versions have servers, unless the store does not answer.
    pub(crate) async fn await_versions(&self, since: Instant) {
        let reading = async {
            loop {
                let heard = self.origin_heard.notified();
                tokio::pin!(heard);
                heard.as_mut().enable();
                let read = self.state().versions_read;
                if read.began_since(since) || read.is_paused(now()) {
                    return;
                }
                self.versions_wanted.notify_one();
                heard.await;
            }
        };
        // A caller whose stream stays unconfirmed is told when to come back.
        let _ = timeout(WAIT, reading).await;
    }
}
