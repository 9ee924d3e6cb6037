//! The store comes back from a copy of some seconds ago: what was written since is gone, and revisions are given out again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use cranberrytally::{
    platform::{PlatformWire, store::StoreClient},
    relay::{
        Relay,
        backends::{Backend as Known, Backends, Change, State},
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

/// Longest wait for what must come about; reached only when it does not.
const PATIENCE: Duration = Duration::from_secs(20);

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
        until(&format!("work for {count} servers"), || self.relay.server_count("app") == count).await;
    }
}

impl Drop for Following {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Waits until something holds; fails when it does not come about.
async fn until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, waiting).await.is_ok(), "{what} does not come about");
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

/// Changes unseen by a host that has started after a restore and read a copy of before it: its revision is higher than any
/// that the store has given out since.
#[tokio::test]
async fn a_copy_of_before_the_restore_hides_nothing() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    put(&store, "i-2", "ready");
    let copy = store.copy();
    pass_revisions(&store, 20);
    store.answer_old_data_from(store.copy());
    store.restore(&copy);

    let host = Following::start(&store);
    host.until_servers(2).await;
    put(&store, "i-3", "ready");
    host.until_servers(3).await;
    put(&store, "i-1", "draining");

    host.until_servers(2).await;
}

/// A configuration in force gone back with the store, or the next one ignored since its revision is lower.
#[tokio::test]
async fn a_configuration_in_force_stays_and_the_next_one_follows() {
    let store = Store::start().await;
    store.put("config", "main", configuration(3, false));
    let copy = store.copy();
    pass_revisions(&store, 20);
    store.put("config", "main", configuration(5, true));
    let host = Following::start(&store);
    let client = StoreClient::new(store.addr());
    let following = tokio::spawn(follow::follow_configuration(host.relay.clone(), client));
    let version = || host.relay.routes().map(|r| r.version());
    until("version 5", || version() == Some(5)).await;

    store.restore(&copy);
    put(&store, "i-1", "ready");
    until("the list after the restore", || host.relay.server_count("app") == 1).await;
    let after = version();
    store.put("config", "main", configuration(7, true));
    until("version 7", || version() == Some(7)).await;

    following.abort();
    assert_eq!(after, Some(5));
}

/// A host deaf for good that starts and is told a wrong epoch by the first answer: all later ones seem to be earlier.
#[tokio::test]
async fn a_wrong_epoch_in_the_first_answer_does_not_hide_what_follows() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    store.tell_epoch_once(9_000_000);
    let host = Following::start(&store);
    host.until_servers(1).await;

    put(&store, "i-2", "ready");

    host.until_servers(2).await;
}

/// Hosts that start after the restore find nobody, since the entry of hosts is gone and nobody writes it again.
#[tokio::test]
async fn the_entry_of_hosts_is_written_again() {
    let store = Store::start().await;
    put(&store, "i-1", "ready");
    let copy = store.copy();
    let (first, seed) = host("host-1", &[]).await;
    let (_second, _) = host("host-2", &[seed]).await;
    let following = tokio::spawn(follow::follow_backends(first.clone(), StoreClient::new(store.addr())));
    let entering = tokio::spawn(follow::sync_hosts(first, StoreClient::new(store.addr())));
    until("the entry", || store.is_present("hosts", "a")).await;

    store.restore(&copy);
    let lost = !store.is_present("hosts", "a");
    put(&store, "i-2", "ready");
    until("the entry again", || store.is_present("hosts", "a")).await;

    entering.abort();
    following.abort();
    assert!(lost);
}

/// A host deaf for good after one wrong epoch, or believing a store that has gone back.
#[test]
fn a_later_epoch_counts_once_it_was_told_twice() {
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

/// A number of before a restore taken for later than one after it.
#[test]
fn a_revision_of_a_later_epoch_is_later() {
    assert!(Revision::new(2, 3) > Revision::new(1, 22));
    assert!(Revision::new(2, 3) < Revision::new(2, 4));
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Servers as the store lists them in its epoch.
fn list(epoch: u64, revision: u64, items: &[Backend]) -> List {
    List { epoch, revision, items: items.to_vec() }
}

/// A host that has heard of `x` and `yy`, and then of the end of `x` by these words of the first epoch.
fn host_that_lost_x(words: &[(Option<Backend>, u64)]) -> Backends {
    let mut host = Backends::default();
    host.apply_list(ms(0), &list(1, 5, &[listed("x", false), listed("yy", false)]), None);
    for (put, number) in words {
        let removed = if put.is_none() { vec!["x".to_owned()] } else { Vec::new() };
        host.apply_changes(ms(*number), Revision::new(1, *number), put.as_slice(), &removed, None);
    }
    host
}

fn working(host: &Backends) -> Vec<&str> {
    let mut ids: Vec<_> = host.available("s").map(|(_, b)| &*b.id).collect();
    ids.sort_unstable();
    ids
}

/// Work for a server that had left, once the restored store listed it as ready again.
#[test]
fn a_server_that_has_left_does_not_come_back_with_the_copy() {
    let copy = list(2, 6, &[listed("x", false), listed("yy", false)]);
    let draining = (Some(listed("x", true)), 7);
    for words in [vec![draining.clone()], vec![draining, (None, 9)]] {
        let mut host = host_that_lost_x(&words);

        host.apply_list(ms(100), &copy, None);
        host.apply_changes(ms(200), Revision::new(2, 7), &[listed("x", false)], &[], None);
        host.expire(ms(20_000));

        assert_eq!(working(&host), ["yy"]);
    }
}

/// Work for a server whose entry had been removed, since the restored store has it again; or none for one that lives.
#[test]
fn a_removed_entry_that_is_back_counts_once_its_server_has_shown_that_it_lives() {
    let copy = list(2, 6, &[listed("x", false), listed("yy", false)]);
    let (mut gone, mut writes, mut outlasts) =
        (host_that_lost_x(&[(None, 9)]), host_that_lost_x(&[(None, 9)]), host_that_lost_x(&[(None, 9)]));
    for host in [&mut gone, &mut writes, &mut outlasts] {
        let changes = host.apply_list(ms(100), &copy, None);
        assert_eq!(changes.iter().map(|(_, c)| *c).collect::<Vec<_>>(), [Change::Unconfirmed]);
        assert_eq!(working(host), ["yy"]);
    }

    gone.apply_changes(ms(3_000), Revision::new(2, 8), &[], &["x".into()], None);
    gone.expire(ms(20_000));
    writes.apply_changes(ms(300), Revision::new(2, 8), &[listed("x", false)], &[], None);
    outlasts.expire(ms(5_000));
    let early = working(&outlasts).len();
    outlasts.expire(ms(6_200));

    assert_eq!((working(&gone), early), (vec!["yy"], 1));
    assert_eq!((working(&writes), working(&outlasts)), (vec!["x", "yy"], vec!["x", "yy"]));
}

/// Live servers without work since a restored store had not heard of them yet.
#[test]
fn a_server_that_the_copy_does_not_have_keeps_its_work_while_it_may_write_again() {
    let mut host = host_that_lost_x(&[]);

    host.apply_list(ms(100), &list(2, 4, &[listed("x", false)]), None);
    let (before, kept) = (working(&host).len(), host.expire(ms(1_700)).0);
    host.apply_list(ms(1_750), &list(2, 4, &[listed("x", false)]), None);
    let after = working(&host).len();
    host.expire(ms(1_900));

    assert_eq!((before, kept, after), (2, Vec::new(), 2));
    assert_eq!(working(&host), ["x"]);
}

/// A word that a server leaves dropped as older, since it is of the epoch before.
#[test]
fn who_leaves_is_heard_from_an_older_list_too() {
    let mut host = host_that_lost_x(&[]);
    host.apply_list(ms(100), &list(2, 4, &[listed("x", false), listed("yy", false)]), None);

    host.apply_list(ms(200), &list(1, 9, &[listed("x", true), listed("zzz", false)]), None);

    assert_eq!(working(&host), ["yy"]);
    assert_eq!(host.revision(), Revision::new(2, 4));
}

/// A host that starts after the restore reads in the copy that a server is ready which the others have seen leaving.
#[test]
fn a_host_that_starts_learns_who_has_left() {
    let knows = host_that_lost_x(&[(Some(listed("x", true)), 7), (None, 9)]);
    let copy = list(2, 6, &[listed("x", false), listed("yy", false)]);
    let (mut told_first, mut told_last) = (Backends::default(), Backends::default());

    told_first.apply_leaving_starts(ms(50), &knows.leaving_starts());
    told_first.apply_list(ms(100), &copy, None);
    told_last.apply_list(ms(100), &copy, None);
    told_last.apply_leaving_starts(ms(150), &knows.leaving_starts());

    assert_eq!(knows.leaving_starts(), [Start { id: "x".into(), born: 0 }]);
    assert_eq!((working(&told_first), working(&told_last)), (vec!["yy"], vec!["yy"]));
}

/// A server that is seen leaving by one host gets work from another that still reads it as ready.
#[test]
fn hosts_tell_each_other_for_a_while_who_leaves() {
    let mut knows = host_that_lost_x(&[(Some(listed("x", true)), 7)]);
    let mut behind = host_that_lost_x(&[]);
    knows.apply_list(ms(100), &list(2, 6, &[listed("x", false), listed("yy", false)]), None);
    behind.apply_list(ms(100), &list(2, 6, &[listed("x", false), listed("yy", false)]), None);

    let told = knows.recently_leaving(ms(200));
    behind.apply_leaving(ms(200), &told);

    assert_eq!(working(&behind), ["yy"]);
    assert_eq!((behind.digest(), knows.recently_leaving(ms(20_000))), (knows.digest(), Vec::new()));
}

/// One wrong answer at a server's address ending it for all hosts, and for good.
#[test]
fn only_a_word_that_a_server_leaves_is_told_on() {
    let (mut lost, mut told) = (host_that_lost_x(&[]), host_that_lost_x(&[]));
    let key = |host: &Backends| host.available("s").find(|(_, b)| &*b.id == "x").unwrap().0;
    let (lost_key, told_key) = (key(&lost), key(&told));

    lost.mark_replaced(lost_key);
    told.mark_leaving(ms(10), told_key);

    assert_eq!((working(&lost), working(&told)), (vec!["yy"], vec!["yy"]));
    assert_eq!((lost.recently_leaving(ms(20)).len(), lost.leaving_starts().len()), (0, 0));
    assert!(lost.snapshot(ms(20)).items.iter().all(|item| !item.leaving));
    assert_eq!((told.recently_leaving(ms(20)).len(), told.leaving_starts().len()), (1, 1));
}

/// What the model's store does next, with one of three servers.
#[derive(Clone, Debug)]
enum Step {
    Ready(usize),
    Leave(usize),
    Remove(usize),
    Copy,
    Restore,
    Hear { host: usize, whole: bool },
    Tell { from: usize, to: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize).prop_map(Step::Ready),
        (0..3_usize).prop_map(Step::Leave),
        (0..3_usize).prop_map(Step::Remove),
        Just(Step::Copy),
        Just(Step::Restore),
        (0..3_usize, any::<bool>()).prop_map(|(host, whole)| Step::Hear { host, whole }),
        (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Tell { from, to }),
    ]
}

/// The model's store: its entries, and all changes in the order of their numbers.
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

    /// Tells a host what is new to it: what has changed, where that leads on from what it knows, or all.
    fn tell(&self, host: &mut Backends, now: Duration, whole: bool) {
        let known = host.revision();
        if whole || known.epoch != self.epoch || !known.is_known() {
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

/// What a host has known of servers so far.
#[derive(Clone, Debug, Default)]
struct Past {
    left: BTreeSet<(String, u64)>,
    last_start: BTreeMap<String, u64>,
}

impl Past {
    fn note(&mut self, b: &Known) {
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
    /// Servers write, leave and end, the store is restored at any time, hosts hear of it late, and from each other. A server that
    /// a host has once known as leaving never gets work from it again; once all is quiet, each host sends to all that the
    /// store lists as ready and that no host has seen leaving, and to no other.
    #[test]
    fn no_restore_brings_back_who_has_left_or_keeps_out_who_lives(steps in prop::collection::vec(step(), 0..60)) {
        let mut store = Model { epoch: 1, ..Model::default() };
        let mut copy = store.clone();
        let mut hosts = vec![Backends::default(); 3];
        let mut pasts = vec![Past::default(); 3];
        let mut starts = [0_u64; 3];
        let mut now = ms(0);
        let entry = |server: usize, born: u64, leaving| Backend { born, ..listed(NAMES[server], leaving) };
        for step in &steps {
            now += ms(10);
            match *step {
                Step::Ready(n) => {
                    // What has left for good starts anew, under its identifier.
                    let live = store.present.get(&n).is_some_and(|e| !e.leaving);
                    starts[n] += u64::from(!live);
                    store.write(n, Some(entry(n, starts[n], false)));
                }
                Step::Leave(n) if store.present.contains_key(&n) => store.write(n, Some(entry(n, starts[n], true))),
                Step::Leave(_) => {}
                Step::Remove(n) => store.write(n, None),
                Step::Copy => copy = store.clone(),
                Step::Restore => {
                    let epoch = store.epoch + 1;
                    store = Model { epoch, ..copy.clone() };
                }
                Step::Hear { host, whole } => store.tell(&mut hosts[host], now, whole),
                Step::Tell { from, to } => {
                    let (tags, snapshot) = (hosts[from].recently_leaving(now), hosts[from].snapshot(now));
                    hosts[to].apply_leaving(now, &tags);
                    hosts[to].iter().for_each(|(_, b)| pasts[to].note(b));
                    hosts[to].apply_list(now, &snapshot, None);
                }
            }
            for (host, past) in hosts.iter().zip(&mut pasts) {
                for (_, b) in host.iter() {
                    past.note(b);
                    prop_assert!(!b.accepts_work() || !past.has_left(&b.id, b.born), "{} works again", b.id);
                }
            }
        }
        now += ms(10);
        for host in &mut hosts {
            store.tell(host, now, true);
        }
        now += ms(10_000);
        for (host, past) in hosts.iter_mut().zip(&pasts) {
            host.expire(now);
            let working: BTreeSet<_> = host.available("s").map(|(_, b)| (b.id.to_string(), b.born)).collect();
            let listed: Vec<_> = store.present.values().map(|b| (b.id.clone(), b.born, b.leaving)).collect();
            for (id, born, leaving) in &listed {
                let lives = !leaving && !past.has_left(id, *born);
                prop_assert!(!lives || working.contains(&(id.clone(), *born)), "{id} {born} stays out");
            }
            // An entry of an earlier start, from the copy, ends with its server or is written again: a later one lives on.
            let stands = |(id, born): &(String, u64)| {
                listed.iter().any(|(i, b, leaving)| i == id && (b < born || b == born && !leaving))
            };
            prop_assert!(working.iter().all(stands), "{working:?} of {listed:?}");
        }
    }
}
