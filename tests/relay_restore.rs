//! The store comes back from a copy of some seconds ago: what was written since is gone, and revisions are given out again.

use std::{sync::Arc, time::Duration};

use cranberrytally::{
    platform::{PlatformWire, store::StoreClient},
    relay::{
        Relay, follow,
        revision::{Epochs, Heard, Revision},
    },
};
use serde_json::json;
use soak::store::{Store, server};

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;
use relay_support::relay_config;

/// Longest wait for what must come about; reached only when it does not.
const PATIENCE: Duration = Duration::from_secs(8);

/// A host that follows the servers at a store; its tasks end with it.
struct Following {
    relay: Arc<Relay<PlatformWire>>,
    task: tokio::task::JoinHandle<()>,
}

impl Following {
    fn start(store: &Store) -> Self {
        let relay = Arc::new(Relay::new(relay_config("host-1"), PlatformWire).unwrap());
        let task = tokio::spawn(follow::follow_backends(relay.clone(), StoreClient::new(store.addr())));
        Self { relay, task }
    }

    /// Waits until so many servers take work; fails when it does not come about.
    async fn until_servers(&self, count: usize) {
        let waiting = async {
            while self.relay.servers("app") != count {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let came = tokio::time::timeout(PATIENCE, waiting).await.is_ok();
        assert!(came, "{} servers take work instead of {count}", self.relay.servers("app"));
    }
}

impl Drop for Following {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Writes an entry of a server.
fn put(store: &Store, id: &str, state: &str) {
    let port: u16 = id.bytes().map(u16::from).sum();
    store.put("servers", id, server(([127, 0, 0, 1], port).into(), state));
}

/// Changes of other objects, that only take up revisions.
fn pass_revisions(store: &Store, count: usize) {
    (0..count).for_each(|n| store.put("others", "o", json!({ "n": n })));
}

/// Work for a server that left after a restore, until the revisions had passed those of before.
#[tokio::test]
async fn a_server_that_leaves_after_the_store_was_restored_gets_no_new_work() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    put(&store, "i-2", "ready");
    let copy = store.copy();
    pass_revisions(&store, 20);
    let host = Following::start(&store);
    host.until_servers(2).await;

    store.restore(&copy);
    put(&store, "i-1", "draining");

    host.until_servers(1).await;
}

/// Work for a server that left under a revision that was given out before: the watch from there goes on behind it.
#[tokio::test]
async fn a_change_under_a_revision_that_is_given_out_again_is_not_skipped() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    put(&store, "i-2", "ready");
    let copy = store.copy();
    pass_revisions(&store, 20);
    let known = store.last_revision();
    let host = Following::start(&store);
    host.until_servers(2).await;

    store.restore(&copy);
    put(&store, "i-1", "draining");
    while store.last_revision() < known {
        pass_revisions(&store, 1);
    }
    put(&store, "i-3", "ready");
    put(&store, "i-4", "ready");

    host.until_servers(3).await;
}

/// A host deaf for good after one wrong epoch, or believing a store that has gone back.
#[test]
fn a_later_epoch_counts_once_it_was_told_twice() {
    let mut epochs = Epochs::default();

    let first = epochs.hear(3);
    let wrong = [epochs.hear(9_000_000), epochs.hear(3), epochs.hear(2)];
    let restored = [epochs.hear(4), epochs.hear(4), epochs.hear(3), epochs.hear(4)];

    assert_eq!(first, Heard::Later);
    assert_eq!(wrong, [Heard::Unconfirmed, Heard::Known, Heard::Odd]);
    assert_eq!(restored, [Heard::Odd, Heard::Later, Heard::Odd, Heard::Known]);
    assert_eq!(epochs.known(), 4);
    assert!(epochs.hear_host(6) && !epochs.hear_host(5));
    assert_eq!(epochs.known(), 6);
}

/// A number of before a restore taken for later than one after it.
#[test]
fn a_revision_of_a_later_epoch_is_later() {
    assert!(Revision::new(2, 3) > Revision::new(1, 22));
    assert!(Revision::new(2, 3) < Revision::new(2, 4));
}
