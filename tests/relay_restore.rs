//! The store comes back from a copy of some seconds ago: what was written since is gone, and revisions are given out again.

use std::{sync::Arc, time::Duration};

use cranberrytally::{
    platform::{PlatformWire, store::StoreClient},
    relay::{Relay, follow},
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
