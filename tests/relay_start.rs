//! Tests the start of a whole fleet in front of many backend servers.

use std::{future::pending, sync::Arc, time::Duration};

use cranberrytally::{
    platform::PlatformWire,
    relay::{
        Relay, RelayConfig,
        backends::packed,
        evacuations::Update,
        follow::{self, BackendsUpdate, Call, Hosts, Store, StoreError},
        origins::saved::SavedStreams,
        read_turn::{ReadTurn, must_spread},
        revision::Revision,
    },
    schema::fleet,
};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/start.rs"]
mod start;
use relay_support::{ask, host, listed, relay_config, rev};
use start::Start;

/// Time within which all hosts must have the list after all were killed, once the store answers.
const ALL_READY: Duration = Duration::from_secs(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ready_after(start: Start) -> Duration {
    start.run().all.expect("all hosts get the list")
}

/// Guards against a fleet in which all hosts read the list together, so that none has it for as long as all of them take.
#[test]
fn all_hosts_have_the_list_soon_after_all_were_killed() {
    for hosts in [30, 300, 1_000] {
        for seed in 1..=3 {
            let after = ready_after(Start { seed, ..Start::of(hosts) });

            assert!(after < ALL_READY, "{hosts} hosts, seed {seed}: {after:?}");
        }
    }
}

/// Guards against a fleet that depends on its seeds to read the list.
#[test]
fn all_hosts_have_the_list_soon_after_all_and_the_seeds_were_killed() {
    for hosts in [300, 1_000] {
        let after = ready_after(Start { seeds: 0, ..Start::of(hosts) });

        assert!(after < ALL_READY, "{hosts} hosts: {after:?}");
    }
}

/// Guards against reads that pile up while the store is slow or silent, and then delay each other.
#[test]
fn all_hosts_have_the_list_soon_after_the_store_answers_again() {
    let recovery = ms(3_500);
    for hosts in [300, 1_000] {
        let slow = Start { slow_until: recovery, slow_answer: ms(120), ..Start::of(hosts) };
        let silent = Start { silent_until: recovery, ..Start::of(hosts) };

        for start in [slow, silent] {
            let after = ready_after(start);

            assert!(after < recovery + ALL_READY, "{start:?}: {after:?}");
        }
    }
}

/// Guards against a list that takes too long to get through a fleet because each host must have all of it before it passes
/// any of it on.
#[test]
fn all_hosts_of_twice_the_fleet_have_the_list_soon() {
    let after = ready_after(Start::of(2_000));

    assert!(after < ALL_READY, "{after:?}");
}

/// Guards against referrals to hosts of the version before, which have nothing to pass on until they have all.
#[test]
fn all_hosts_have_the_list_soon_while_some_are_of_the_version_before() {
    for old_one_in in [1, 2, 10] {
        let after = ready_after(Start { old_one_in, ..Start::of(1_000) });

        assert!(after < ALL_READY, "one in {old_one_in}: {after:?}");
    }
}

/// Guards against a list that many hosts wait for in vain, since one before them in the tree of transfers was killed.
#[test]
fn all_hosts_have_the_list_soon_though_some_are_killed_while_they_pass_it_on() {
    for killed_at in [ms(1_700), ms(2_100)] {
        for seed in 1..=3 {
            let start = Start { killed_one_in: 10, killed_at, seed, ..Start::of(1_000) };

            let after = ready_after(start);

            assert!(after < ALL_READY, "{start:?}: {after:?}");
        }
    }
}

/// Guards against a host that waits for its turn in a large fleet although it hears nobody who could send it the state.
#[test]
fn a_host_that_hears_nobody_reads_soon() {
    let mut alone = ReadTurn::new(ms(0), 3_000_000, 0.99);
    let mut heard = alone;

    assert!(!alone.is_due(ms(1_000), 1_000, true));
    assert!(alone.is_due(ms(1_500), 1_000, true));
    assert!(!heard.is_due(ms(1_500), 1_000, false));
}

/// Guards against waits in fleets whose reads are done in a moment.
#[test]
fn only_large_reads_of_many_hosts_are_spread() {
    assert!(!must_spread(3_600, 8));
    assert!(!must_spread(50_000, 295));
    assert!(must_spread(3_000_000, 30));
}

/// A store with a registered fleet; it reports each call.
struct RegisteredStore {
    calls: UnboundedSender<Option<Call>>,
    hosts: Hosts,
}

impl Store for RegisteredStore {
    async fn configuration(
        &mut self,
        call: Call,
    ) -> Result<(Revision, Option<fleet::Configuration>), StoreError> {
        self.calls.send(Some(call)).unwrap();
        pending().await
    }

    async fn backends(&mut self, call: Call) -> Result<BackendsUpdate, StoreError> {
        self.calls.send(Some(call)).unwrap();
        pending().await
    }

    async fn evacuations(&mut self, _: Call) -> Result<Update, StoreError> {
        pending().await
    }

    async fn register_hosts(&mut self, _: &str, _: &Hosts) -> Result<(), StoreError> {
        Ok(())
    }

    async fn hosts(&mut self, _: bool) -> Result<Hosts, StoreError> {
        self.calls.send(None).unwrap();
        Ok(self.hosts.clone())
    }

    async fn save_streams(&mut self, _: &str, _: &SavedStreams) -> Result<(), StoreError> {
        Ok(())
    }

    async fn saved_streams(&mut self, _: Call) -> Result<Vec<SavedStreams>, StoreError> {
        Ok(Vec::new())
    }
}

/// So many hosts that the turn of one of them does not come in a test.
fn huge_fleet() -> Hosts {
    Hosts { count: 1_000_000_000, servers: 1_000_000, routes: 1_000_000, ..Hosts::default() }
}

/// Guards against a first page or a configuration that every host of a large fleet asks the store for at its start.
#[tokio::test]
async fn a_host_of_a_large_fleet_waits_for_its_peers() {
    let relay = Arc::new(Relay::new(relay_config("host-1"), PlatformWire).unwrap());
    let (calls, mut seen) = unbounded_channel();
    let store = |calls| RegisteredStore { calls, hosts: huge_fleet() };
    let tasks = [
        tokio::spawn(follow::follow_backends(relay.clone(), store(calls.clone()))),
        tokio::spawn(follow::follow_configuration(relay.clone(), store(calls))),
    ];

    let first = seen.recv().await.unwrap();
    let list = fleet::Backends { revision: 7, items: vec![listed("a", false)], ..fleet::Backends::default() };
    relay.update_backends(BackendsUpdate::List(list), None, "a peer");
    relay.set_configuration(fleet::Configuration { version: 3, ..fleet::Configuration::default() }, "a peer");
    let next = [seen.recv().await.unwrap().unwrap(), seen.recv().await.unwrap().unwrap()];

    tasks.iter().for_each(|task| task.abort());
    assert_eq!(first, None, "the registered hosts, once for both");
    assert!(next.iter().any(|call| call.after == Some(rev(7))), "{next:?}");
    assert!(next.iter().all(|call| !call.stale_ok), "it follows the store, and read no copy of it: {next:?}");
}

/// Guards against list entries that change on their way between hosts.
#[test]
fn a_packed_list_is_the_same_list() {
    let mut items: Vec<_> = (0..100).map(|n| listed(&format!("i-{n:08x}"), n % 7 == 0)).collect();
    for (n, item) in items.iter_mut().enumerate() {
        (item.service, item.data_centre) = ("llm-chat".into(), format!("dc-{}", n % 5));
        item.addr = format!("10.200.{n}.45:8000");
    }
    items[1].addr = "[2001:db8::1]:80".into();
    (items[2].addr, items[2].service) = (String::new(), String::new());
    (items[3].born, items[4].born) = (1_790_000_000_000, 1_790_000_000_123);
    (items[5].cold_ms, items[6].unconfirmed_ms) = (4_000, 17);
    items[7].addr = "10.0.0.1:0".into();
    let list = fleet::Backends { epoch: 2, revision: 90, items };

    let packed = packed::pack(list.clone());
    let bytes = postcard::to_allocvec(&packed).unwrap().len();

    assert!(
        bytes * 3 < postcard::to_allocvec(&list).unwrap().len() * 2,
        "{bytes} bytes instead of a third less"
    );
    assert_eq!(packed::unpack(packed), Some(list));
}

/// Guards against lists of a faulty peer: names that are missing, impossible ports and start times.
#[test]
fn an_inconsistent_packed_list_is_dropped() {
    let list = fleet::Backends { revision: 9, items: vec![listed("a", false)], ..fleet::Backends::default() };
    let packed = packed::pack(list);
    let with = |change: fn(&mut fleet::PackedBackends)| {
        let mut packed = packed.clone();
        change(&mut packed);
        packed
    };
    let cases = [
        with(|p| p.items[0].service = 1),
        with(|p| p.data_centres.clear()),
        with(|p| p.items[0].port = 70_000),
        with(|p| (p.earliest_start, p.items[0].start) = (u64::MAX, 2)),
    ];

    for case in cases {
        assert_eq!(packed::unpack(case.clone()), None, "{case:?}");
    }
}

/// Guards against a host with a fast link that sends new state to as few others at a time as one with a slow link.
#[test]
fn a_fast_link_serves_more_hosts_at_once() {
    let slots = [0.0, 20.0, 200.0, 1_000.0].map(RelayConfig::concurrent_fetches);

    assert_eq!(slots, [1, 1, 10, 24]);
}

/// Guards against a fleet in which hosts of two versions can't read each other's lists while they are replaced.
#[tokio::test]
async fn a_host_of_the_version_before_gets_the_list_that_it_can_read() {
    let (host, at) = host("host-1", &[]).await;
    let list = fleet::Backends { revision: 7, items: vec![listed("a", false)], ..fleet::Backends::default() };
    host.update_backends(BackendsUpdate::List(list.clone()), None, "test");
    let fetch = |accepts_packed| {
        postcard::to_allocvec(&fleet::Fetch { accepts_packed, ..fleet::Fetch::default() }).unwrap()
    };
    let without_last_field = fetch(false)[..fetch(false).len() - 1].to_vec();

    let old = ask(at, &without_last_field).await;
    let new = ask(at, &fetch(true)).await;

    let [old, new] = [old, new].map(|answer| postcard::from_bytes::<fleet::Fetched>(&answer).unwrap());
    assert_eq!((old.backends, old.packed), (Some(list.clone()), None));
    assert_eq!((new.backends, new.packed.and_then(packed::unpack)), (None, Some(list)));
}
