//! Heartbeats and fetches between hosts, and their effects.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        configurations,
        follow::BackendsUpdate,
        followers::FollowState,
        peers::{LocalVersions, Peers, Scope},
        revision::Revision,
    },
    schema::fleet::{Backend, Backends, Beat, Centre, Configuration, Fetch, Fetched, InProgress, Member},
};
use rand::{SeedableRng, rngs::SmallRng};
use relay_support::{ask, host, rev};
use tokio::net::TcpStream;

const LOCAL: LocalVersions =
    LocalVersions { configuration: 5, backends: Revision { epoch: 0, number: 9 }, digest: 1 };

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn addr(i: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i], 7000))
}

fn member(i: u8, data_centre: &str) -> Member {
    Member {
        name: format!("host-{i}"),
        callers: format!("10.0.0.{i}:80"),
        peers: addr(i).to_string(),
        data_centre: data_centre.into(),
    }
}

fn beat(i: u8, data_centre: &str, number: u64) -> Beat {
    Beat {
        start: 1,
        number,
        ready: true,
        configuration: 5,
        backends: 9,
        backends_digest: 1,
        follows_store: true,
        sender: Some(member(i, data_centre)),
        ..Beat::default()
    }
}

fn busy(i: u8, number: u64, loads: &[(u32, u32)]) -> Beat {
    let in_progress =
        loads.iter().map(|(backend, requests)| InProgress { backend: *backend, requests: *requests });
    Beat { in_progress: in_progress.collect(), ..beat(i, "a", number) }
}

fn ready(peers: &Peers, now: Duration) -> BTreeSet<String> {
    peers.ready_members(now).map(|m| m.name.clone()).collect()
}

#[test]
fn loads_are_summed_and_replaced_by_newer_beats_only() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    peers.receive(ms(0), addr(1), &busy(1, 2, &[(77, 3), (78, 1)]), LOCAL);
    peers.receive(ms(0), addr(2), &busy(2, 1, &[(77, 4)]), LOCAL);
    assert_eq!((peers.remote_load(77), peers.remote_load(78)), (7, 1));

    // An older heartbeat, a duplicate, and a newer one.
    peers.receive(ms(10), addr(1), &busy(1, 1, &[(77, 9)]), LOCAL);
    peers.receive(ms(10), addr(2), &busy(2, 1, &[(77, 4)]), LOCAL);
    peers.receive(ms(20), addr(1), &busy(1, 3, &[(78, 2)]), LOCAL);

    assert_eq!((peers.remote_load(77), peers.remote_load(78)), (4, 2));
}

/// A host restarts: its heartbeats are numbered from the start again, and must count at once.
#[test]
fn heartbeats_of_a_restarted_host_count_at_once() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    peers.receive(ms(0), addr(1), &busy(1, 100, &[(77, 3)]), LOCAL);

    let receipt = peers.receive(ms(10), addr(1), &Beat { start: 2, ..busy(1, 1, &[(77, 1)]) }, LOCAL);

    assert!(receipt.joined);
    assert_eq!(peers.remote_load(77), 1);
}

/// A host loses power. Callers must no longer be sent there, and its requests must no longer count.
#[test]
fn a_lost_host_stops_counting() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    peers.receive(ms(0), addr(1), &busy(1, 1, &[(77, 3)]), LOCAL);
    peers.receive(ms(900), addr(2), &busy(2, 1, &[(77, 2)]), LOCAL);

    let lost = peers.expire(ms(1_400));

    assert_eq!(lost, [addr(1)]);
    assert_eq!(peers.remote_load(77), 2);
    assert_eq!(ready(&peers, ms(1_400)), BTreeSet::from(["host-2".into()]));
    assert_eq!(peers.host_count(), 3, "it may be partitioned and still spend its share of budgets");
}

/// Two hosts avoid a server; then one of them uses it again, and the other is lost.
#[test]
fn hosts_that_avoid_a_server_are_counted() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    let avoids = |i, number, tags: &[u32]| Beat { avoided: tags.to_vec(), ..beat(i, "a", number) };
    peers.receive(ms(0), addr(1), &avoids(1, 1, &[77, 78]), LOCAL);
    peers.receive(ms(0), addr(2), &avoids(2, 1, &[77]), LOCAL);
    assert_eq!((peers.avoiding_hosts(77), peers.avoiding_hosts(78)), (2, 1));

    peers.receive(ms(1_000), addr(1), &avoids(1, 2, &[78]), LOCAL);
    assert_eq!(peers.avoiding_hosts(77), 1);
    peers.expire(ms(1_400));

    assert_eq!((peers.avoiding_hosts(77), peers.avoiding_hosts(78)), (0, 1));
}

#[test]
fn a_leaving_host_is_not_handed_out() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    peers.receive(ms(0), addr(1), &beat(1, "a", 1), LOCAL);
    peers.receive(ms(10), addr(1), &Beat { ready: false, ..beat(1, "a", 2) }, LOCAL);

    assert_eq!(ready(&peers, ms(10)), BTreeSet::new());
}

/// A peer has a newer configuration. Since the store usually delivers it to both hosts within milliseconds, it is
/// fetched only if the peer stays ahead; a host without any configuration fetches at once.
#[test]
fn newer_state_is_fetched_once_a_peer_stays_ahead() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    let none = LocalVersions::default();
    peers.receive(ms(0), addr(1), &Beat { configuration: 6, ..beat(1, "a", 1) }, LOCAL);
    peers.receive(ms(250), addr(1), &Beat { configuration: 6, ..beat(1, "a", 2) }, LOCAL);

    assert_eq!(peers.fetch_source(ms(199), LOCAL, &mut rng()), None);
    assert_eq!(peers.fetch_source(ms(250), LOCAL, &mut rng()), Some(addr(1)));
    assert_eq!(peers.fetch_source(ms(0), none, &mut rng()), Some(addr(1)));
    assert_eq!(peers.fetch_source(ms(250), LocalVersions { configuration: 6, ..LOCAL }, &mut rng()), None);
}

/// A data centre of 30 hosts learns of a change at the same moment, from several hosts that have it. If all asked
/// the same one, its answers would take longer than they wait, and each would ask it again.
#[test]
fn hosts_that_lack_the_same_state_ask_different_peers() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    for i in 1..9 {
        peers.receive(ms(0), addr(i), &Beat { configuration: 6, ..beat(i, "a", 1) }, LOCAL);
    }
    let mut rng = rng();

    let sources: BTreeSet<_> =
        (0..100).filter_map(|_| peers.fetch_source(ms(250), LOCAL, &mut rng)).collect();

    assert_eq!(sources.len(), 8);
}

/// A change reaches the followers in data centre `b` first. Host 0 does not follow the store; the followers in its
/// own data centre will have the change in a moment. It fetches from `b` only if they do not.
#[test]
fn changes_are_fetched_from_the_local_data_centre_first() {
    let mut peers = large_fleet();
    assert!(!peers.decide_following(ms(10), FollowState::Idle), "two hosts of its data centre follow");
    let next = |i, centre| Beat { configuration: 6, ..beat(i, centre, 2) };
    peers.receive(ms(100), addr(4), &next(4, "b"), LOCAL);
    let before = peers.fetch_source(ms(400), LOCAL, &mut rng());
    let alone = peers.fetch_source(ms(800), LOCAL, &mut rng());
    peers.receive(ms(800), addr(3), &next(3, "a"), LOCAL);

    let near = peers.fetch_source(ms(800), LOCAL, &mut rng());

    assert_eq!((before, alone, near), (None, Some(addr(4)), Some(addr(3))));
}

/// A host in a data centre of twenty has fetched a configuration. It notifies a few neighbours at once, different
/// ones each time, so that the configuration spreads quickly although one host can serve it to only a few at a
/// time.
#[test]
fn a_configuration_is_gossiped_to_a_few_random_neighbours() {
    let peers = large_fleet();
    let mut rng = rng();

    let reported: Vec<_> = (0..40).map(|_| peers.gossip_targets(ms(10), &mut rng)).collect();

    assert!(reported.iter().all(|few| few.len() == 4));
    let all: BTreeSet<_> = reported.iter().flatten().collect();
    assert_eq!(all.len(), 19, "all of the local data centre, and no others");
}

/// Two followers have read the store at different revisions, but their lists are equal: nothing needs to be
/// fetched.
#[test]
fn a_higher_revision_of_the_same_list_is_not_fetched() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    peers.receive(ms(0), addr(1), &Beat { backends: 12, ..beat(1, "a", 1) }, LOCAL);
    assert_eq!(peers.fetch_source(ms(1_000), LOCAL, &mut rng()), None);

    peers.receive(ms(1), addr(1), &Beat { backends: 12, backends_digest: 2, ..beat(1, "a", 2) }, LOCAL);

    assert_eq!(peers.fetch_source(ms(1_000), LOCAL, &mut rng()), Some(addr(1)));
}

/// Sixty hosts in three data centres, from the view of host 0 in `a`.
fn large_fleet() -> Peers {
    let mut peers = Peers::new(addr(0), "a", &[]);
    for i in 1..60 {
        let centre = ["a", "b", "c"][usize::from(i) % 3];
        peers.receive(ms(0), addr(i), &beat(i, centre, 1), LOCAL);
    }
    peers
}

#[test]
fn in_a_large_fleet_heartbeats_go_to_the_local_data_centre_and_one_host_of_each_other() {
    let mut peers = large_fleet();

    let targets = peers.targets(ms(10), &mut rng());

    let own = targets.iter().filter(|(_, scope)| *scope == Scope::Host).count();
    let centre = targets.iter().filter(|(_, scope)| *scope == Scope::DataCentre).count();
    assert_eq!((own, centre), (19, 2));
    assert!(peers.period() < ms(500), "{:?}", peers.period());
}

/// All hosts restart, knowing three seeds. A seed that knows sixty hosts sends all of them to a new host within a
/// few heartbeats; until then callers would be sent to the seeds alone.
#[test]
fn a_new_host_learns_all_members_within_its_first_heartbeats() {
    let mut seed = large_fleet();
    let mut new = Peers::new(addr(100), "a", &[addr(0)]);
    let me = member(0, "a");

    for n in 0..5 {
        let mut asks = Beat::default();
        new.finish_beat(&mut asks, &member(100, "a"), false);
        assert!(asks.wants_full);
        let mut answer = Beat { number: 0, ..beat(0, "a", 0) };
        seed.finish_beat(&mut answer, &me, true);
        new.receive(ms(n), addr(0), &answer, LOCAL);
    }

    // Direct peers are sent heartbeats; a summary of `b` is enough to hand out all of its hosts.
    let near = new.targets(ms(5_000), &mut rng()).into_iter().filter(|(_, scope)| *scope == Scope::Host);
    assert_eq!(near.count(), 20);
    let mut other = Peers::new(addr(1), "b", &[]);
    let centre_b = (4..60).filter(|i| i % 3 == 1);
    for i in centre_b.clone() {
        other.receive(ms(0), addr(i), &beat(i, "b", 1), LOCAL);
    }
    let summary = other.data_centre_summary(&[], &member(1, "b"), true);
    new.receive(ms(5_001), addr(1), &Beat { centre: Some(summary), ..beat(1, "b", 9) }, LOCAL);
    let handed_out = ready(&new, ms(5_001));
    assert!(centre_b.clone().all(|i| handed_out.contains(&format!("host-{i}"))), "{handed_out:?}");
}

/// The hosts of data centre `a`, of sixty hosts in three data centres, that decide to follow the store, while those
/// in `follow` already do and those in `lost` cannot reach it.
fn followers(follow: &[u8], lost: &[u8]) -> Vec<u8> {
    let contact = |i: u8| match (follow.contains(&i), lost.contains(&i)) {
        (true, _) => FollowState::Follows,
        (_, true) => FollowState::Lost,
        _ => FollowState::Idle,
    };
    let decides = |me: &u8| {
        let mut peers = Peers::new(addr(*me), "a", &[]);
        for i in (0..60).filter(|i| i != me) {
            let centre = ["a", "b", "c"][usize::from(i) % 3];
            let follows_store = contact(i) == FollowState::Follows;
            let lost_store = contact(i) == FollowState::Lost;
            peers.receive(ms(0), addr(i), &Beat { follows_store, lost_store, ..beat(i, centre, 1) }, LOCAL);
        }
        peers.decide_following(ms(10), contact(*me))
    };
    (0..60).filter(|i| i % 3 == 0).filter(decides).collect()
}

/// Each host decides by itself whether it follows the store. For any hashes, two hosts of a data centre do, and
/// they continue while nothing changes; if one of them loses the store, one other host joins the remaining one.
#[test]
fn a_few_hosts_of_each_data_centre_follow_the_store() {
    let first = followers(&[], &[]);
    let still = followers(&first, &[]);
    let cut = followers(&first[1..], &first[..1]);

    assert_eq!(first.len(), 2);
    assert_eq!(still, first);
    assert_eq!(cut.len(), 3, "{cut:?}");
    assert!(first.iter().all(|i| cut.contains(i)), "{first:?} {cut:?}");
}

/// A follower is shutting down. It still sends heartbeats for seconds, but no longer counts as a follower.
#[test]
fn a_host_that_leaves_does_not_follow_the_store() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    for i in 1..20 {
        let leaves = Beat { ready: false, follows_store: true, ..beat(i, "a", 1) };
        peers.receive(ms(0), addr(i), &leaves, LOCAL);
    }

    assert!(peers.decide_following(ms(10), FollowState::Idle));
}

/// All hosts were killed during an outage of the store. After the outage the entries of servers reappeared one by
/// one, and callers were refused for a second because no host followed the store, as none knew the number of hosts
/// yet. Seeds therefore follow it from their start; the other hosts decide once they know most of the fleet.
#[test]
fn a_seed_follows_the_store_before_it_knows_the_fleet() {
    let seeds = [addr(1), addr(2)];
    let mut peers = [1, 9].map(|i| Peers::new(addr(i), "a", &seeds).with_start(ms(50_000)));

    let duty =
        |peers: &mut [Peers; 2], at| peers.each_mut().map(|p| p.should_follow_store(at, FollowState::Idle));
    let first = duty(&mut peers, ms(50_010));
    let early = duty(&mut peers, ms(50_900));
    let settled = duty(&mut peers, ms(51_100));

    assert_eq!((first, early), ([true, false], [true, false]));
    assert_eq!(settled, [true, true], "all hosts follow in a small fleet");
}

/// After a start of the whole fleet, ninety of three hundred hosts followed the store because each knew few others
/// by then, and every call costs. A host that has peers therefore decides later.
#[test]
fn a_host_with_peers_waits_for_them_to_follow_the_store() {
    let start = |i: u8| Peers::new(addr(i), "a", &[]).with_start(ms(50_000));
    let tell = |peers: &mut Peers, follows_store, at| {
        peers.receive(ms(at), addr(1), &Beat { follows_store, ..beat(1, "a", at) }, LOCAL);
    };
    let [mut alone, mut peered, mut followed] = [9, 9, 9].map(start);
    tell(&mut peered, false, 50_100);
    (0..8).for_each(|n| tell(&mut followed, true, 50_100 + 500 * n));

    let at = |peers: &mut Peers, at| peers.should_follow_store(ms(at), FollowState::Idle);
    let alone_decisions = [at(&mut alone, 50_900), at(&mut alone, 51_100)];
    tell(&mut peered, false, 51_900);
    let peered_decisions = [at(&mut peered, 51_950), at(&mut peered, 52_100)];
    let followed_decisions = [at(&mut followed, 53_900), at(&mut followed, 54_100)];

    assert_eq!([alone_decisions, peered_decisions, followed_decisions], [[false, true]; 3]);
}

/// The seeds of a new host are all gone. It finds other hosts by the entry of a data centre in the store, which
/// lists those that have been up the longest and is rewritten only once half of them are gone.
#[test]
fn hosts_entered_for_a_data_centre_are_those_up_the_longest() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    for i in 1..40 {
        let start = u64::from(100 - i);
        peers.receive(ms(0), addr(i), &Beat { start, ..beat(i, ["a", "b"][usize::from(i) % 2], 1) }, LOCAL);
    }

    let near: Vec<_> = peers.ready_in_data_centre(3).into_iter().map(|m| m.name).collect();

    assert_eq!(near, ["host-38", "host-36", "host-34"]);
}

/// Host 0 learns about data centre `b` only from summaries, sent by any of its hosts. A newer summary replaces an
/// older one, and when they stop, `b` no longer counts.
#[test]
fn summaries_report_other_data_centres() {
    let mut peers = large_fleet();
    peers.expire(ms(2_000));
    let mut sender = Peers::new(addr(4), "b", &[]);
    sender.receive(ms(0), addr(7), &Beat { sender: Some(member(7, "b")), ..busy(7, 1, &[(77, 3)]) }, LOCAL);
    let own = [InProgress { backend: 77, requests: 2 }];
    let reported = sender.data_centre_summary(&own, &member(4, "b"), true);
    assert_eq!(reported.in_progress, [InProgress { backend: 77, requests: 5 }]);

    peers.receive(ms(2_000), addr(4), &Beat { centre: Some(reported), ..beat(4, "b", 2) }, LOCAL);
    assert_eq!(peers.remote_load(77), 5);
    assert_eq!(ready(&peers, ms(2_000)), BTreeSet::from(["host-4".into(), "host-7".into()]));
    let less = Centre { in_progress: vec![InProgress { backend: 77, requests: 1 }], ready: Vec::new() };
    peers.receive(ms(2_100), addr(7), &Beat { centre: Some(less), ..beat(7, "b", 2) }, LOCAL);
    assert_eq!(peers.remote_load(77), 1);
    peers.expire(ms(5_200));

    assert_eq!(peers.remote_load(77), 0);
    assert_eq!(ready(&peers, ms(5_200)), BTreeSet::new());
}

/// A host of `b` loses power. Its neighbours notice and omit it from their summaries. `a` must then stop sending
/// callers there at once, rather than only when the last summary that lists the host times out. A host of `b` that
/// has just started, and knows few others, does not make anybody forget them.
#[test]
fn a_host_missing_from_its_data_centres_summary_is_not_handed_out() {
    let mut peers = large_fleet();
    let of_b: Vec<u8> = (0..60).filter(|i| i % 3 == 1).collect();
    let summary = |hosts: &[u8], number| {
        let mut sender = Peers::new(addr(1), "b", &[]);
        for i in hosts {
            sender.receive(ms(0), addr(*i), &beat(*i, "b", 1), LOCAL);
        }
        Beat { centre: Some(sender.data_centre_summary(&[], &member(1, "b"), true)), ..beat(1, "b", number) }
    };
    let in_b = |peers: &Peers, now| ready(peers, now).iter().filter(|name| is_of(name, &of_b)).count();
    peers.receive(ms(100), addr(1), &summary(&of_b, 2), LOCAL);
    assert_eq!(in_b(&peers, ms(100)), 20);

    peers.receive(ms(200), addr(1), &summary(&of_b[..19], 3), LOCAL);
    let lost = in_b(&peers, ms(200));
    peers.receive(ms(300), addr(1), &summary(&of_b[..3], 4), LOCAL);

    assert_eq!(lost, 19);
    assert_eq!(in_b(&peers, ms(300)), 19, "a host that knows three others proves nothing about the rest");
}

fn is_of(name: &str, hosts: &[u8]) -> bool {
    hosts.iter().any(|i| name == format!("host-{i}"))
}

/// A host of data centre `a` gets a heartbeat from a given host of `b` once in half a minute, and a full one once
/// in minutes. A neighbour has reported its description, so that no full heartbeat is needed; a summary of `b` is
/// enough to hand it out, and it counts for budgets at once.
#[test]
fn hosts_of_other_data_centres_are_learnt_from_neighbours() {
    let mut peers = large_fleet();
    let reported = Beat { members: vec![member(70, "b"), member(71, "b")], ..beat(3, "a", 2) };
    peers.receive(ms(10), addr(3), &reported, LOCAL);
    peers.receive(ms(20), addr(70), &Beat { sender: None, ..beat(70, "b", 1) }, LOCAL);
    let mut sender = Peers::new(addr(4), "b", &[]);
    sender.receive(ms(0), addr(71), &beat(71, "b", 1), LOCAL);
    let summary = sender.data_centre_summary(&[], &member(4, "b"), true);

    peers.receive(ms(30), addr(4), &Beat { centre: Some(summary), ..beat(4, "b", 2) }, LOCAL);

    let mut next = Beat::default();
    (0..13).for_each(|_| peers.finish_beat(&mut next, &member(0, "a"), false));
    assert!(!next.wants_full);
    assert!(ready(&peers, ms(30)).contains("host-71"));
    assert_eq!(peers.host_count(), 62);
}

/// A host is gone, and others still report it. It is not passed on, and is forgotten after a minute; otherwise the
/// fleet would send heartbeats to hosts that are gone forever.
#[test]
fn a_host_without_heartbeats_is_not_passed_on() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    peers.receive(ms(0), addr(1), &Beat { members: vec![member(9, "a")], ..beat(1, "a", 1) }, LOCAL);
    let mut full = Beat::default();
    peers.finish_beat(&mut full, &member(0, "a"), true);
    let is_target =
        |peers: &mut Peers, at| peers.targets(at, &mut rng()).iter().any(|(to, _)| *to == addr(9));
    let first = is_target(&mut peers, ms(10));

    peers.receive(ms(61_000), addr(1), &beat(1, "a", 2), LOCAL);
    peers.expire(ms(61_000));

    assert!(first);
    assert_eq!(full.members, [member(1, "a")]);
    assert!(!is_target(&mut peers, ms(62_000)));
}

/// Three hosts know one seed, and only the first reaches the store. The others get the configuration and backend
/// servers from it, become ready, and are handed out to callers; a change and a leaving server reach them as well.
#[tokio::test]
async fn hosts_without_the_store_learn_from_one_that_reaches_it() {
    let (first, seed) = host("host-1", &[]).await;
    let (second, _) = host("host-2", &[seed]).await;
    let (third, _) = host("host-3", &[seed]).await;
    let server = |leaving| Backend {
        id: "i-1".into(),
        service: "app".into(),
        addr: "127.0.0.1:9".into(),
        data_centre: "a".into(),
        slots: 6,
        leaving,
        ..Backend::default()
    };
    first.set_configuration(wire::configuration(), "test");
    let list = Backends { revision: 3, items: vec![server(false)], ..Backends::default() };
    first.update_backends(BackendsUpdate::List(list), None, "test");

    wire::wait_until("all are handed out", || third.addresses(64).len() == 3).await;
    wire::wait_until("all are ready", || second.is_ready() && third.is_ready()).await;
    first.set_configuration(Configuration { version: 2, ..wire::configuration() }, "test");
    let change = BackendsUpdate::Changes { revision: rev(4), puts: vec![server(true)], removed: Vec::new() };
    first.update_backends(change, None, "test");

    wire::wait_until("the change", || third.routes().is_some_and(|r| r.version() == 2)).await;
    wire::wait_until("the leaving server", || third.server_count("app") == 0).await;
    assert_eq!(first.server_count("app"), 0);
}

/// Sends a fetch to a host, as another host would.
async fn fetch(at: SocketAddr, fetch: Fetch) -> Fetched {
    postcard::from_bytes(&ask(at, &postcard::to_allocvec(&fetch).unwrap()).await).unwrap()
}

/// A route's timeout changes. A host with the previous configuration gets only this change; a host without a
/// configuration, or with one that is no longer in the log, gets the full configuration.
#[tokio::test]
async fn a_host_gets_only_the_configuration_changes_it_lacks() {
    let (host, at) = host("host-1", &[]).await;
    let mut newer = Configuration { version: 7, ..wire::configuration() };
    newer.routes[1].timeout_ms += 1;
    host.set_configuration(wire::configuration(), "test");
    host.set_configuration(newer.clone(), "test");
    let knows = |configuration| Fetch { configuration, ..Fetch::default() };

    let one = fetch(at, knows(1)).await;
    let none = fetch(at, knows(0)).await;
    let unknown = fetch(at, knows(5)).await;

    let changes = one.configuration_changes.unwrap();
    assert_eq!((one.configuration, changes.new_routes.len()), (None, 1));
    assert_eq!(configurations::apply(&wire::configuration(), &changes), Some(newer.clone()));
    assert_eq!((none.configuration, none.configuration_changes), (Some(newer.clone()), None));
    assert_eq!(unknown.configuration, Some(newer));
    assert_eq!(fetch(at, knows(7)).await.configuration_changes, None);
}

/// Two hosts hold different configurations under the same version, for instance because it was rewritten. The
/// changes sent by one do not apply on the other, which fetches the full configuration.
#[tokio::test]
async fn changes_that_do_not_apply_are_replaced_by_the_full_configuration() {
    let (first, seed) = host("host-1", &[]).await;
    let (second, _) = host("host-2", &[seed]).await;
    let mut other = wire::configuration();
    other.routes.truncate(1);
    second.set_configuration(other, "test");
    first.set_configuration(wire::configuration(), "test");
    let newer = Configuration { version: 2, ..wire::configuration() };
    first.set_configuration(newer.clone(), "test");

    wire::wait_until("the newer one", || second.routes().is_some_and(|r| **r.source() == newer)).await;
}

/// All hosts of a data centre start at once and ask the first one that has the list. If it answered all of them
/// concurrently, each would wait longer than its timeout; those that are turned away ask hosts that have been
/// answered meanwhile.
#[tokio::test]
async fn a_host_answers_a_limited_number_of_fetches_at_once() {
    let (_host, at) = host("host-1", &[]).await;
    let mut waiting = Vec::new();
    for _ in 0..3 {
        waiting.push(TcpStream::connect(at).await.unwrap());
    }

    let fetched = fetch(at, Fetch::default()).await;

    assert!(fetched.busy);
    assert_eq!(waiting.len(), 3);
}

/// A host stayed behind for seconds because it kept asking hosts that it could not reach, although another one
/// would have answered.
#[test]
fn hosts_with_failed_fetches_are_asked_last() {
    let mut peers = Peers::new(addr(0), "a", &[]);
    for i in 1..=7 {
        peers.receive(ms(0), addr(i), &Beat { configuration: 6, ..beat(i, "a", 1) }, LOCAL);
    }
    let later = ms(700);

    (1..=6).for_each(|i| peers.record_fetch_failure(later, addr(i)));
    let sources: BTreeSet<_> = (0..50).filter_map(|_| peers.fetch_source(later, LOCAL, &mut rng())).collect();
    peers.record_fetch_failure(later, addr(7));
    let again = peers.fetch_source(later, LOCAL, &mut rng());

    assert_eq!(sources, BTreeSet::from([addr(7)]));
    assert!(again.is_some(), "once all have failed they are asked again");
}
