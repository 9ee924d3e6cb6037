//! Cold backend servers: who sends to them, how much, and how hosts learn of them.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        backends::{Backends, Change},
        follow::BackendsUpdate,
        peers::Peers,
        warmup::{COLD_SENDERS, ColdLimit, Warmup},
    },
    schema::fleet::{Backend, Backends as List, Member},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use relay_support::{listed, rev};
use wire::{Act, Host, Server, configuration, header, ok, request, status};

const TAG: u32 = 77;
const LIMIT: ColdLimit = ColdLimit { duration: Duration::from_secs(3), per_second: 11.0 };

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The start of the server `x`, which tells for how much longer it is cold.
fn cold(cold_ms: u32) -> Backend {
    Backend { cold_ms, ..listed("x", false) }
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000))
}

/// What the host `me` knows of these hosts.
fn peers(me: usize, known: impl Iterator<Item = usize>) -> Peers {
    let member = |i| Member { peers: addr(i).to_string(), data_centre: "a".into(), ..Member::default() };
    let members: Vec<_> = known.map(member).collect();
    let mut peers = Peers::new(addr(me), "a", &[]);
    peers.add_members(ms(1), &members);
    peers
}

/// One host of a fleet that is split into sides.
struct Node {
    peers: Peers,
    warmup: Warmup,
}

fn node(i: usize, hosts: usize, sides: usize, knows_all: bool, started: Duration) -> Node {
    let known = (0..hosts).filter(|other| knows_all || other % sides == i % sides);
    Node { peers: peers(i, known), warmup: Warmup::default().with_start(started) }
}

/// The most requests in any second.
fn busiest_second(sent: &[Duration]) -> usize {
    let within = |from: &Duration| sent.iter().filter(|at| (*from..*from + ms(1_000)).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// A surge meets a fleet that is cut into sides, in which hosts have restarted, know only their own side and have
    /// forgotten what they sent. A cold server must not get more than it bears in any second from all of them together, and
    /// something from hosts that stay.
    #[test]
    fn a_cold_server_gets_no_more_than_it_bears(
        hosts in 3..120_usize,
        sides in 1..4_usize,
        restarts in prop::collection::vec((0..120_usize, 0..8_000_u64), 0..60),
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes: Vec<_> = (0..hosts).map(|i| node(i, hosts, sides, true, ms(0))).collect();
        let mut sent = Vec::new();
        for at in (4_000..14_000).step_by(10) {
            for (i, _) in restarts.iter().filter(|(i, when)| *i < hosts && when + 4_000 == at) {
                nodes[*i] = node(*i, hosts, sides, false, ms(at));
            }
            for node in nodes.iter_mut().filter(|_| rng.random_bool(0.7)) {
                let feeds = || node.peers.is_top_ranked(TAG, COLD_SENDERS);
                if node.warmup.may_send(ms(at), TAG, LIMIT, feeds) {
                    node.warmup.record_send(ms(at), TAG, LIMIT);
                    sent.push(ms(at));
                }
            }
        }

        let most = (LIMIT.per_second * 1.5 + 5.0) as usize;
        prop_assert!(busiest_second(&sent) <= most, "{} of {most}", busiest_second(&sent));
        if sides == 1 {
            prop_assert!(busiest_second(&sent) <= LIMIT.per_second as usize);
        }
        if restarts.is_empty() {
            prop_assert!(sent.len() >= 30, "{}", sent.len());
        }
    }
}

/// A server turns cold without a start; its next entries count down. The host that follows the store tells the others once, with
/// the time that is left when it tells, and their lists agree until the server tells that it is warm.
#[test]
fn what_an_entry_tells_of_cold_is_told_on_with_its_age() {
    let (mut follower, mut other) = (Backends::default(), Backends::default());
    for b in [&mut follower, &mut other] {
        b.apply_list(ms(0), &List { revision: 5, items: vec![cold(0)], ..List::default() }, None);
    }
    let warm = follower.digest();

    let turned = follower.apply_changes(ms(100), rev(6), &[cold(3_000)], &[], None);
    let counted = follower.apply_changes(ms(1_300), rev(7), &[cold(1_800)], &[], None);
    let told = follower.changes_since(ms(1_500), rev(5)).unwrap();
    other.apply_changes(ms(1_500), told.as_of(), &told.puts, &told.removed, None);

    assert!(matches!(turned[..], [(_, Change::Cold)]), "{turned:?}");
    assert_eq!(counted, []);
    assert_eq!(told.puts[0].cold_ms, 1_600);
    assert!(follower.digest() != warm && follower.digest() == other.digest());
    let until = other.available("s").next().unwrap().1.cold_until;
    assert_eq!(until, ms(3_100));
    follower.apply_changes(ms(3_200), rev(8), &[cold(0)], &[], None);
    assert_eq!(follower.digest(), warm);
}

/// An entry tells of a cold start that lasts for weeks: somebody else wrote it. The server must not stay without work.
#[test]
fn no_entry_keeps_a_server_cold_for_long() {
    let mut backends = Backends::default();

    backends.apply_list(ms(0), &List { revision: 5, items: vec![cold(u32::MAX)], ..List::default() }, None);

    assert!(backends.available("s").next().unwrap().1.cold_until <= ms(60_000));
}

/// A data centre is taken back with its servers' caches empty. Requests for parts that had been read there would read them
/// again, so that a host forgets who held them: it is told which servers are cold now, and none of another data centre.
#[test]
fn the_servers_of_a_data_centre_that_is_taken_back_are_named() {
    let other = Backend { id: "yy".into(), data_centre: "b".into(), ..cold(0) };
    let mut backends = Backends::default();
    backends.apply_list(ms(0), &List { revision: 5, items: vec![cold(0), other], ..List::default() }, None);

    let never = backends.mark_cold(ms(10), "a", |_| ms(0));
    let named = backends.mark_cold(ms(10), "a", |_| ms(3_000));

    assert_eq!(never, []);
    assert_eq!(named.iter().map(|key| &*backends.get(*key).unwrap().id).collect::<Vec<_>>(), ["x"]);
    assert_eq!(backends.get(named[0]).unwrap().cold_until, ms(3_010));
}

/// Servers of the fixture's configuration, cold for three seconds after a start and bearing this many requests a minute.
fn cold_configuration(per_minute: u32) -> cranberrytally::schema::fleet::Configuration {
    let mut cfg = configuration();
    cfg.version = 2;
    cfg.services[0].cold_ms = 3_000;
    cfg.services[0].cold_per_minute = per_minute;
    cfg
}

fn tell_cold(host: &Host, server: &Server, data_centre: &str) {
    let put = Backend {
        id: server.id.clone(),
        service: "app".into(),
        addr: server.addr.to_string(),
        data_centre: data_centre.into(),
        slots: 6,
        cold_ms: 3_000,
        ..Backend::default()
    };
    let update = BackendsUpdate::Changes { revision: rev(9), puts: vec![put], removed: Vec::new() };
    host.relay.update_backends(update, None, "test");
}

/// The nearest server has just come back cold. While another one has room, callers must be served there.
#[tokio::test]
async fn a_cold_server_is_left_alone_while_another_has_room() {
    let near = Server::start("near", vec![Act::Write(ok("near")); 4]).await;
    let far = Server::start("far", vec![Act::Write(ok("far")); 4]).await;
    let host = Host::with(&[&near, &far]).await;
    host.relay.set_configuration(cold_configuration(600), "test");

    let before = host.call(&request("/safe/1", "")).await;
    tell_cold(&host, &near, "a");
    let after = host.call(&request("/safe/2", "")).await;

    assert!(before.ends_with("near") && after.ends_with("far"), "{before} {after}");
}

/// A data centre is taken back, and the entries of its servers do not tell yet that they are cold.
#[tokio::test]
async fn servers_of_a_data_centre_that_is_taken_back_count_as_cold() {
    use cranberrytally::relay::evacuations::Update;
    let near = Server::start("near", vec![Act::Write(ok("near")); 4]).await;
    let far = Server::start("far", vec![Act::Write(ok("far")); 4]).await;
    let host = Host::with(&[&near, &far]).await;
    host.relay.set_configuration(cold_configuration(600), "test");

    for (revision, evacuated) in [(5, true), (6, false)] {
        let update = Update::Changes { revision: rev(revision), changes: vec![("a".into(), evacuated)] };
        host.relay.update_evacuations(&update, "test");
    }
    let answer = host.call(&request("/safe/1", "")).await;

    assert!(answer.ends_with("far"), "{answer}");
}

/// Every server of a service is cold and bears no more. Callers must hear at once that nothing ran.
#[tokio::test]
async fn a_service_that_is_cold_as_a_whole_is_refused() {
    let near = Server::start("near", vec![Act::Write(ok("near")); 4]).await;
    let host = Host::with(&[&near]).await;
    host.relay.set_configuration(cold_configuration(0), "test");
    tell_cold(&host, &near, "a");

    let answer = host.call(&request("/unsafe/1", "")).await;

    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("warming_up"), "{answer}");
    assert!(header(&answer, "retry-after").is_some());
    assert_eq!(near.seen().len(), 0);
}

/// The nearest server refuses connections, and is back before any entry tells of its start. A request that meets it first goes
/// elsewhere, and so do the next ones while it may be cold, also once the pause after the failure is over.
#[tokio::test]
async fn a_server_that_could_not_be_reached_counts_as_cold() {
    let near = Server::start("near", vec![Act::Crash]).await;
    let far = Server::start("far", vec![Act::Write(ok("far")); 8]).await;
    let host = Host::with(&[&near, &far]).await;
    let mut cfg = cold_configuration(600);
    cfg.services[0].cold_ms = 60_000;
    host.relay.set_configuration(cfg, "test");

    let answers = [host.call(&request("/safe/1", "")).await, host.call(&request("/safe/2", "")).await];
    tokio::time::sleep(ms(600)).await;
    let later = host.call(&request("/safe/3", "")).await;

    assert!(answers.iter().all(|a| a.ends_with("far")) && later.ends_with("far"), "{answers:?} {later}");
    assert_eq!(near.seen().len(), 1);
}

/// A server is back without an entry. It counts as cold for as long after its first answer as after a start.
#[test]
fn a_doubt_lasts_as_long_as_a_start_is_cold() {
    let mut warmup = Warmup::default();

    warmup.note_possible_restart(ms(0), TAG, LIMIT);
    warmup.note_possible_restart(ms(2_500), TAG, LIMIT);

    assert!(warmup.may_have_restarted(ms(5_499), TAG));
    assert!(!warmup.may_have_restarted(ms(5_500), TAG));
    assert!(!warmup.may_have_restarted(ms(2_501), TAG + 1));
}
