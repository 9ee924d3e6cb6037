//! Tests restores of the store from a backup some seconds old: later writes are lost, and revision numbers are reused.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use cranberrytally::{
    platform::{PlatformWire, store::StoreClient},
    relay::{
        Relay,
        backends::{Backend as KnownBackend, Backends, Change, State},
        follow,
        revision::{EpochCheck, EpochTracker, Revision},
    },
    schema::fleet::{Backend, Backends as List, Start},
};
use proptest::prelude::*;
use serde_json::json;
use soak::store::{Store, configuration, server};

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;
use relay_support::{host, listed, relay_config};

/// Timeout for conditions that must become true.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A host that follows the servers in a store; its task ends with it.
struct Follower {
    relay: Arc<Relay<PlatformWire>>,
    task: tokio::task::JoinHandle<()>,
}

impl Follower {
    fn start(store: &Store) -> Self {
        let relay = Arc::new(Relay::new(relay_config("host-1"), PlatformWire).unwrap());
        let task = tokio::spawn(follow::follow_backends(relay.clone(), StoreClient::new(store.addr())));
        Self { relay, task }
    }

    /// Waits until this number of servers takes work; fails after the timeout.
    async fn until_servers(&self, count: usize) {
        until(&format!("work for {count} servers"), || self.relay.server_count("app") == count).await;
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Waits until a condition holds; fails after the timeout.
async fn until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, waiting).await.is_ok(), "timed out waiting for {what}");
}

/// Writes the entry of a server.
fn put(store: &Store, id: &str, state: &str) {
    let port: u16 = id.bytes().map(u16::from).sum();
    store.put("servers", id, server(([127, 0, 0, 1], port).into(), state));
}

/// Changes other objects, which only consumes revisions.
fn consume_revisions(store: &Store, count: usize) {
    (0..count).for_each(|n| store.put("others", "o", json!({ "n": n })));
}

/// Guards against work for a server that left after a restore, until the revisions exceeded those before it.
#[tokio::test]
async fn a_server_that_leaves_after_a_restore_gets_no_new_work() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    put(&store, "i-2", "ready");
    let backup = store.backup();
    consume_revisions(&store, 20);
    let host = Follower::start(&store);
    host.until_servers(2).await;

    store.restore(&backup);
    put(&store, "i-1", "draining");

    host.until_servers(1).await;
}

/// Guards against work for a server that left under a reused revision, where a watch from the old revision skips the
/// change.
#[tokio::test]
async fn a_change_under_a_reused_revision_is_not_skipped() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    put(&store, "i-2", "ready");
    let backup = store.backup();
    consume_revisions(&store, 20);
    let last_known = store.last_revision();
    let host = Follower::start(&store);
    host.until_servers(2).await;

    store.restore(&backup);
    put(&store, "i-1", "draining");
    while store.last_revision() < last_known {
        consume_revisions(&store, 1);
    }
    put(&store, "i-3", "ready");
    put(&store, "i-4", "ready");

    host.until_servers(3).await;
}

/// Guards against changes that are missed by a host that starts after a restore and gets a stale read from before it,
/// whose revision is higher than any that the store has assigned since.
#[tokio::test]
async fn a_stale_read_from_before_the_restore_hides_nothing() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    put(&store, "i-2", "ready");
    let backup = store.backup();
    consume_revisions(&store, 20);
    store.serve_stale_reads_from(store.backup());
    store.restore(&backup);

    let host = Follower::start(&store);
    host.until_servers(2).await;
    put(&store, "i-3", "ready");
    host.until_servers(3).await;
    put(&store, "i-1", "draining");

    host.until_servers(2).await;
}

/// Guards against a configuration that goes back with the store, and against ignoring the next one because its revision
/// is lower.
#[tokio::test]
async fn a_configuration_in_force_survives_a_restore_until_the_next_one() {
    let store = Store::start().await;
    store.put("config", "main", configuration(3, false));
    let backup = store.backup();
    consume_revisions(&store, 20);
    store.put("config", "main", configuration(5, true));
    let host = Follower::start(&store);
    let client = StoreClient::new(store.addr());
    let following = tokio::spawn(follow::follow_configuration(host.relay.clone(), client));
    let version = || host.relay.routes().map(|r| r.version());
    until("version 5", || version() == Some(5)).await;

    store.restore(&backup);
    put(&store, "i-1", "ready");
    until("the list after the restore", || host.relay.server_count("app") == 1).await;
    let after = version();
    store.put("config", "main", configuration(7, true));
    until("version 7", || version() == Some(7)).await;

    following.abort();
    assert_eq!(after, Some(5));
}

/// Guards against a host that ignores the store forever because the first answer after its start carried a wrong epoch,
/// so that all later ones seem earlier.
#[tokio::test]
async fn a_wrong_epoch_in_the_first_answer_does_not_hide_what_follows() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    store.send_epoch_once(9_000_000);
    let host = Follower::start(&store);
    host.until_servers(1).await;

    put(&store, "i-2", "ready");

    host.until_servers(2).await;
}

/// Guards against hosts that find no peers after a restore because the registration of hosts was lost and not written
/// again.
#[tokio::test]
async fn hosts_are_registered_again_after_a_restore() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    let backup = store.backup();
    let (first, seed) = host("host-1", &[]).await;
    let (_second, _) = host("host-2", &[seed]).await;
    let following = tokio::spawn(follow::follow_backends(first.clone(), StoreClient::new(store.addr())));
    let registering = tokio::spawn(follow::sync_hosts(first, StoreClient::new(store.addr())));
    until("the entry", || store.contains("hosts", "a")).await;

    store.restore(&backup);
    let lost = !store.contains("hosts", "a");
    put(&store, "i-2", "ready");
    until("the entry again", || store.contains("hosts", "a")).await;

    registering.abort();
    following.abort();
    assert!(lost);
}

/// Guards against a host that ignores the store forever after one wrong epoch, and against one that accepts state from
/// before a restore.
#[test]
fn a_later_epoch_is_accepted_after_two_answers() {
    let mut epochs = EpochTracker::default();

    let first = epochs.observe(3);
    let wrong = [epochs.observe(9_000_000), epochs.observe(3), epochs.observe(2)];
    let restored = [epochs.observe(4), epochs.observe(4), epochs.observe(3), epochs.observe(4)];

    assert_eq!(first, EpochCheck::Newer);
    assert_eq!(wrong, [EpochCheck::Unconfirmed, EpochCheck::Current, EpochCheck::Rejected]);
    assert_eq!(
        restored,
        [EpochCheck::Rejected, EpochCheck::Newer, EpochCheck::Rejected, EpochCheck::Current]
    );
    assert_eq!(epochs.current(), 4);
    assert!(epochs.observe_peer(6) && !epochs.observe_peer(5));
    assert_eq!(epochs.current(), 6);
}

/// Guards against treating a revision from before a restore as later than one after it.
#[test]
fn a_revision_of_a_later_epoch_is_later() {
    assert!(Revision::new(2, 3) > Revision::new(1, 22));
    assert!(Revision::new(2, 3) < Revision::new(2, 4));
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A list of servers in an epoch of the store.
fn list(epoch: u64, revision: u64, items: &[Backend]) -> List {
    List { epoch, revision, items: items.to_vec() }
}

/// A host that has listed `x` and `yy` and then applied these updates of `x` in the first epoch.
fn host_with_x(updates: &[(Option<Backend>, u64)]) -> Backends {
    let mut host = Backends::default();
    host.apply_list(ms(0), &list(1, 5, &[listed("x", false), listed("yy", false)]), None);
    for (put, number) in updates {
        let removed = if put.is_none() { vec!["x".to_owned()] } else { Vec::new() };
        host.apply_changes(ms(*number), Revision::new(1, *number), put.as_slice(), &removed, None);
    }
    host
}

fn usable(host: &Backends) -> Vec<&str> {
    let mut ids: Vec<_> = host.available("s").map(|(_, b)| &*b.id).collect();
    ids.sort_unstable();
    ids
}

/// Guards against work for a server that has left, once the restored store lists it as ready again.
#[test]
fn a_server_that_has_left_does_not_return_with_the_restore() {
    let backup = list(2, 6, &[listed("x", false), listed("yy", false)]);
    let draining = (Some(listed("x", true)), 7);
    for updates in [vec![draining.clone()], vec![draining, (None, 9)]] {
        let mut host = host_with_x(&updates);

        host.apply_list(ms(100), &backup, None);
        host.apply_changes(ms(200), Revision::new(2, 7), &[listed("x", false)], &[], None);
        host.expire(ms(20_000));

        assert_eq!(usable(&host), ["yy"]);
    }
}

/// Guards against work for a server whose removed entry is back in the restored store, and against no work for one that
/// is alive.
#[test]
fn a_restored_entry_counts_once_its_server_proves_to_be_alive() {
    let backup = list(2, 6, &[listed("x", false), listed("yy", false)]);
    let (mut gone, mut rewritten, mut kept) =
        (host_with_x(&[(None, 9)]), host_with_x(&[(None, 9)]), host_with_x(&[(None, 9)]));
    for host in [&mut gone, &mut rewritten, &mut kept] {
        let changes = host.apply_list(ms(100), &backup, None);
        assert_eq!(changes.iter().map(|(_, c)| *c).collect::<Vec<_>>(), [Change::Unconfirmed]);
        assert_eq!(usable(host), ["yy"]);
    }

    gone.apply_changes(ms(3_000), Revision::new(2, 8), &[], &["x".into()], None);
    gone.expire(ms(20_000));
    rewritten.apply_changes(ms(300), Revision::new(2, 8), &[listed("x", false)], &[], None);
    kept.expire(ms(5_000));
    let early = usable(&kept).len();
    kept.expire(ms(6_200));

    assert_eq!((usable(&gone), early), (vec!["yy"], 1));
    assert_eq!((usable(&rewritten), usable(&kept)), (vec!["x", "yy"], vec!["x", "yy"]));
}

/// Guards against live servers that get no work because the restored store does not list them yet.
#[test]
fn a_server_missing_from_the_backup_stays_usable_in_the_grace_period() {
    let mut host = host_with_x(&[]);

    host.apply_list(ms(100), &list(2, 4, &[listed("x", false)]), None);
    let (before, kept) = (usable(&host).len(), host.expire(ms(1_700)).0);
    host.apply_list(ms(1_750), &list(2, 4, &[listed("x", false)]), None);
    let after = usable(&host).len();
    host.expire(ms(1_900));

    assert_eq!((before, kept, after), (2, Vec::new(), 2));
    assert_eq!(usable(&host), ["x"]);
}

/// Guards against ignoring that a server is leaving because the report belongs to the previous epoch.
#[test]
fn leaving_is_applied_from_an_older_list_too() {
    let mut host = host_with_x(&[]);
    host.apply_list(ms(100), &list(2, 4, &[listed("x", false), listed("yy", false)]), None);

    host.apply_list(ms(200), &list(1, 9, &[listed("x", true), listed("zzz", false)]), None);

    assert_eq!(usable(&host), ["yy"]);
    assert_eq!(host.revision(), Revision::new(2, 4));
}

/// A host that starts after the restore lists a server as ready that the others have seen leaving.
#[test]
fn a_starting_host_learns_which_servers_have_left() {
    let informed = host_with_x(&[(Some(listed("x", true)), 7), (None, 9)]);
    let backup = list(2, 6, &[listed("x", false), listed("yy", false)]);
    let (mut informed_early, mut informed_late) = (Backends::default(), Backends::default());

    informed_early.apply_leaving_starts(ms(50), &informed.leaving_starts());
    informed_early.apply_list(ms(100), &backup, None);
    informed_late.apply_list(ms(100), &backup, None);
    informed_late.apply_leaving_starts(ms(150), &informed.leaving_starts());

    assert_eq!(informed.leaving_starts(), [Start { id: "x".into(), born: 0 }]);
    assert_eq!((usable(&informed_early), usable(&informed_late)), (vec!["yy"], vec!["yy"]));
}

/// Guards against work for a server that one host has seen leaving while another still lists it as ready.
#[test]
fn hosts_report_leaving_servers_to_each_other_for_a_while() {
    let mut informed = host_with_x(&[(Some(listed("x", true)), 7)]);
    let mut outdated = host_with_x(&[]);
    informed.apply_list(ms(100), &list(2, 6, &[listed("x", false), listed("yy", false)]), None);
    outdated.apply_list(ms(100), &list(2, 6, &[listed("x", false), listed("yy", false)]), None);

    let report = informed.recently_leaving(ms(200));
    outdated.apply_leaving(ms(200), &report);

    assert_eq!(usable(&outdated), ["yy"]);
    assert_eq!((outdated.digest(), informed.recently_leaving(ms(20_000))), (informed.digest(), Vec::new()));
}

/// Guards against one wrong answer at a server's address removing it on all hosts forever.
#[test]
fn only_a_servers_own_notice_is_passed_on() {
    let (mut lost, mut left) = (host_with_x(&[]), host_with_x(&[]));
    let key = |host: &Backends| host.available("s").find(|(_, b)| &*b.id == "x").unwrap().0;
    let (lost_key, left_key) = (key(&lost), key(&left));

    lost.mark_replaced(lost_key);
    left.mark_leaving(ms(10), left_key);

    assert_eq!((usable(&lost), usable(&left)), (vec!["yy"], vec!["yy"]));
    assert_eq!((lost.recently_leaving(ms(20)).len(), lost.leaving_starts().len()), (0, 0));
    assert!(lost.snapshot(ms(20)).items.iter().all(|item| !item.leaving));
    assert_eq!((left.recently_leaving(ms(20)).len(), left.leaving_starts().len()), (1, 1));
}

/// The next step of the model, with one of three servers or hosts.
#[derive(Clone, Debug)]
enum Step {
    Ready(usize),
    Leave(usize),
    Remove(usize),
    Backup,
    Restore,
    Fetch { host: usize, full: bool },
    Gossip { from: usize, to: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize).prop_map(Step::Ready),
        (0..3_usize).prop_map(Step::Leave),
        (0..3_usize).prop_map(Step::Remove),
        Just(Step::Backup),
        Just(Step::Restore),
        (0..3_usize, any::<bool>()).prop_map(|(host, full)| Step::Fetch { host, full }),
        (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Gossip { from, to }),
    ]
}

/// The model of the store: its entries, and all changes in the order of their numbers.
#[derive(Clone, Debug, Default)]
struct Model {
    epoch: u64,
    present: BTreeMap<usize, Backend>,
    log: Vec<(usize, Option<Backend>)>,
}

impl Model {
    fn write(&mut self, server: usize, entry: Option<Backend>) {
        if self.present.get(&server) == entry.as_ref() {
            return;
        }
        match entry.clone() {
            Some(entry) => drop(self.present.insert(server, entry)),
            None => drop(self.present.remove(&server)),
        }
        self.log.push((server, entry));
    }

    fn number(&self) -> u64 {
        self.log.len() as u64 + 1
    }

    /// Sends a host the changes since its revision, or the full list if they don't lead on from there.
    fn deliver(&self, host: &mut Backends, now: Duration, full: bool) {
        let known = host.revision();
        if full || known.epoch != self.epoch || !known.is_known() {
            let items: Vec<_> = self.present.values().cloned().collect();
            host.apply_list(now, &list(self.epoch, self.number(), &items), None);
            return;
        }
        let mut latest = BTreeMap::new();
        for (server, entry) in &self.log[known.number as usize - 1..] {
            latest.insert(*server, entry);
        }
        let puts: Vec<_> = latest.values().filter_map(|e| (*e).clone()).collect();
        let gone = latest.iter().filter(|(_, e)| e.is_none());
        let gone: Vec<_> = gone.map(|(server, _)| NAMES[*server].to_owned()).collect();
        host.apply_changes(now, Revision::new(self.epoch, self.number()), &puts, &gone, None);
    }
}

const NAMES: [&str; 3] = ["x", "yy", "zzz"];

/// What a host has known about servers so far.
#[derive(Clone, Debug, Default)]
struct History {
    left: BTreeSet<(String, u64)>,
    last_start: BTreeMap<String, u64>,
}

impl History {
    fn record(&mut self, b: &KnownBackend) {
        if b.state == State::Leaving && b.removed_at.is_none() {
            self.left.insert((b.id.to_string(), b.born));
        }
        let last = self.last_start.entry(b.id.to_string()).or_default();
        *last = b.born.max(*last);
    }

    /// Whether a start was seen leaving, or was followed by another one.
    fn has_left(&self, id: &str, born: u64) -> bool {
        self.left.contains(&(id.to_owned(), born)) || self.last_start.get(id).is_some_and(|last| *last > born)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() })]
    /// Servers register, leave and end, the store is restored at any time, and hosts receive updates late, also from
    /// each other. A server that a host has seen leaving never gets work from it again. Once no more changes occur,
    /// each host uses all servers that the store lists as ready and that it has not seen leaving, and no others.
    #[test]
    fn a_restore_neither_revives_left_servers_nor_drops_live_ones(steps in prop::collection::vec(step(), 0..60)) {
        let mut store = Model { epoch: 1, ..Model::default() };
        let mut backup = store.clone();
        let mut hosts = vec![Backends::default(); 3];
        let mut histories = vec![History::default(); 3];
        let mut start_numbers = [0_u64; 3];
        let mut now = ms(0);
        let entry = |server: usize, born: u64, leaving| Backend { born, ..listed(NAMES[server], leaving) };
        for step in &steps {
            now += ms(10);
            match *step {
                Step::Ready(n) => {
                    // A server that has left starts again under its identifier.
                    let live = store.present.get(&n).is_some_and(|e| !e.leaving);
                    start_numbers[n] += u64::from(!live);
                    store.write(n, Some(entry(n, start_numbers[n], false)));
                }
                Step::Leave(n) if store.present.contains_key(&n) => store.write(n, Some(entry(n, start_numbers[n], true))),
                Step::Leave(_) => {}
                Step::Remove(n) => store.write(n, None),
                Step::Backup => backup = store.clone(),
                Step::Restore => {
                    let epoch = store.epoch + 1;
                    store = Model { epoch, ..backup.clone() };
                }
                Step::Fetch { host, full } => store.deliver(&mut hosts[host], now, full),
                Step::Gossip { from, to } => {
                    let (tags, snapshot) = (hosts[from].recently_leaving(now), hosts[from].snapshot(now));
                    hosts[to].apply_leaving(now, &tags);
                    hosts[to].iter().for_each(|(_, b)| histories[to].record(b));
                    hosts[to].apply_list(now, &snapshot, None);
                }
            }
            for (host, history) in hosts.iter().zip(&mut histories) {
                for (_, b) in host.iter() {
                    history.record(b);
                    prop_assert!(!b.accepts_work() || !history.has_left(&b.id, b.born), "{} works again", b.id);
                }
            }
        }
        now += ms(10);
        for host in &mut hosts {
            store.deliver(host, now, true);
        }
        now += ms(10_000);
        for (host, history) in hosts.iter_mut().zip(&histories) {
            host.expire(now);
            let usable: BTreeSet<_> = host.available("s").map(|(_, b)| (b.id.to_string(), b.born)).collect();
            let listed: Vec<_> = store.present.values().map(|b| (b.id.clone(), b.born, b.leaving)).collect();
            for (id, born, leaving) in &listed {
                let is_live = !leaving && !history.has_left(id, *born);
                prop_assert!(!is_live || usable.contains(&(id.clone(), *born)), "{id} {born} gets no work");
            }
            // An entry of an earlier start, from the backup, is removed or rewritten by its server; a later start stays
            // usable.
            let is_justified = |(id, born): &(String, u64)| {
                listed.iter().any(|(i, b, leaving)| i == id && (b < born || b == born && !leaving))
            };
            prop_assert!(usable.iter().all(is_justified), "{usable:?} of {listed:?}");
        }
    }
}
