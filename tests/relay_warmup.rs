//! Cold backend servers: which hosts send to them, at what rate, and how hosts learn that they are cold.

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
use wire::{Host, ScriptStep, Server, configuration, header, ok, request, status};

const TAG: u32 = 77;
const LIMIT: ColdLimit = ColdLimit { duration: Duration::from_secs(3), per_second: 11.0 };

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// An entry of the server `x` with its remaining cold period.
fn cold(cold_ms: u32) -> Backend {
    Backend { cold_ms, ..listed("x", false) }
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000))
}

/// The peers of the host `me`.
fn peers(me: usize, known: impl Iterator<Item = usize>) -> Peers {
    let member = |i| Member { peers: addr(i).to_string(), data_centre: "a".into(), ..Member::default() };
    let members: Vec<_> = known.map(member).collect();
    let mut peers = Peers::new(addr(me), "a", &[]);
    peers.add_members(ms(1), &members);
    peers
}

/// A host of a fleet that is partitioned into sides.
struct Node {
    peers: Peers,
    warmup: Warmup,
}

fn node(i: usize, hosts: usize, sides: usize, knows_all: bool, started: Duration) -> Node {
    let known = (0..hosts).filter(|other| knows_all || other % sides == i % sides);
    Node { peers: peers(i, known), warmup: Warmup::default().with_start(started) }
}

/// The maximum number of requests in any second.
fn busiest_second(sent: &[Duration]) -> usize {
    let within = |from: &Duration| sent.iter().filter(|at| (*from..*from + ms(1_000)).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// A surge meets a partitioned fleet in which restarted hosts know only their own side and have forgotten what
    /// they sent. The hosts together must not send a cold server more than its limit in any second, and hosts
    /// without a restart must send it some requests.
    #[test]
    fn a_cold_server_gets_no_more_than_its_limit(
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
                let is_sender = || node.peers.is_top_ranked(TAG, COLD_SENDERS);
                if node.warmup.may_send(ms(at), TAG, LIMIT, is_sender) {
                    node.warmup.record_send(ms(at), TAG, LIMIT);
                    sent.push(ms(at));
                }
            }
        }

        let max = (LIMIT.per_second * 1.5 + 5.0) as usize;
        prop_assert!(busiest_second(&sent) <= max, "{} of {max}", busiest_second(&sent));
        if sides == 1 {
            prop_assert!(busiest_second(&sent) <= LIMIT.per_second as usize);
        }
        if restarts.is_empty() {
            prop_assert!(sent.len() >= 30, "{}", sent.len());
        }
    }
}

/// A server turns cold without a restart, and its next entries count down. The host that follows the store passes
/// this on once, with the remaining time at that moment, and the lists stay equal until an entry declares the
/// server warm.
#[test]
fn the_remaining_cold_period_is_passed_on() {
    let (mut follower, mut other) = (Backends::default(), Backends::default());
    for b in [&mut follower, &mut other] {
        b.apply_list(ms(0), &List { revision: 5, items: vec![cold(0)], ..List::default() }, None);
    }
    let warm = follower.digest();

    let turned = follower.apply_changes(ms(100), rev(6), &[cold(3_000)], &[], None);
    let counted = follower.apply_changes(ms(1_300), rev(7), &[cold(1_800)], &[], None);
    let changes = follower.changes_since(ms(1_500), rev(5)).unwrap();
    other.apply_changes(ms(1_500), changes.as_of(), &changes.puts, &changes.removed, None);

    assert!(matches!(turned[..], [(_, Change::Cold)]), "{turned:?}");
    assert_eq!(counted, []);
    assert_eq!(changes.puts[0].cold_ms, 1_600);
    assert!(follower.digest() != warm && follower.digest() == other.digest());
    let until = other.available("s").next().unwrap().1.cold_until;
    assert_eq!(until, ms(3_100));
    follower.apply_changes(ms(3_200), rev(8), &[cold(0)], &[], None);
    assert_eq!(follower.digest(), warm);
}

/// An entry written by another party declares its server cold for weeks. The server must still get requests.
#[test]
fn the_cold_period_of_an_entry_is_capped() {
    let mut backends = Backends::default();

    backends.apply_list(ms(0), &List { revision: 5, items: vec![cold(u32::MAX)], ..List::default() }, None);

    assert!(backends.available("s").next().unwrap().1.cold_until <= ms(60_000));
}

/// The evacuation of a data centre ends, and its servers' caches are empty. Since requests placed on them for parts
/// that they had cached would read the parts again, a host forgets these holders: it gets the servers that are cold
/// now, and none of another data centre.
#[test]
fn marking_a_data_centre_cold_returns_its_servers() {
    let other = Backend { id: "yy".into(), data_centre: "b".into(), ..cold(0) };
    let mut backends = Backends::default();
    backends.apply_list(ms(0), &List { revision: 5, items: vec![cold(0), other], ..List::default() }, None);

    let unmarked = backends.mark_cold(ms(10), "a", |_| ms(0));
    let marked = backends.mark_cold(ms(10), "a", |_| ms(3_000));

    assert_eq!(unmarked, []);
    assert_eq!(marked.iter().map(|key| &*backends.get(*key).unwrap().id).collect::<Vec<_>>(), ["x"]);
    assert_eq!(backends.get(marked[0]).unwrap().cold_until, ms(3_010));
}

/// The fixture's configuration, with servers that are cold for three seconds after a start and take this many
/// requests a minute.
fn cold_configuration(per_minute: u32) -> cranberrytally::schema::fleet::Configuration {
    let mut cfg = configuration();
    cfg.version = 2;
    cfg.services[0].cold_ms = 3_000;
    cfg.services[0].cold_per_minute = per_minute;
    cfg
}

fn report_cold(host: &Host, server: &Server, data_centre: &str) {
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

/// The nearest server has just restarted cold. While another server has a free slot, requests go there.
#[tokio::test]
async fn a_cold_server_gets_no_requests_while_another_has_room() {
    let near = Server::start("near", vec![ScriptStep::Write(ok("near")); 4]).await;
    let far = Server::start("far", vec![ScriptStep::Write(ok("far")); 4]).await;
    let host = Host::with_servers(&[&near, &far]).await;
    host.relay.set_configuration(cold_configuration(600), "test");

    let before = host.call(&request("/safe/1", "")).await;
    report_cold(&host, &near, "a");
    let after = host.call(&request("/safe/2", "")).await;

    assert!(before.ends_with("near") && after.ends_with("far"), "{before} {after}");
}

/// The evacuation of a data centre ends, and the entries of its servers do not yet declare them cold.
#[tokio::test]
async fn servers_are_cold_after_the_evacuation_of_their_data_centre() {
    use cranberrytally::relay::evacuations::Update;
    let near = Server::start("near", vec![ScriptStep::Write(ok("near")); 4]).await;
    let far = Server::start("far", vec![ScriptStep::Write(ok("far")); 4]).await;
    let host = Host::with_servers(&[&near, &far]).await;
    host.relay.set_configuration(cold_configuration(600), "test");

    for (revision, evacuated) in [(5, true), (6, false)] {
        let update = Update::Changes { revision: rev(revision), changes: vec![("a".into(), evacuated)] };
        host.relay.update_evacuations(&update, "test");
    }
    let answer = host.call(&request("/safe/1", "")).await;

    assert!(answer.ends_with("far"), "{answer}");
}

/// Every server of a service is cold and takes no more requests. Callers must learn at once that nothing ran.
#[tokio::test]
async fn requests_are_refused_while_all_servers_are_cold() {
    let near = Server::start("near", vec![ScriptStep::Write(ok("near")); 4]).await;
    let host = Host::with_servers(&[&near]).await;
    host.relay.set_configuration(cold_configuration(0), "test");
    report_cold(&host, &near, "a");

    let answer = host.call(&request("/unsafe/1", "")).await;

    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("warming_up"), "{answer}");
    assert!(header(&answer, "retry-after").is_some());
    assert_eq!(near.requests().len(), 0);
}

/// The nearest server refuses connections, and is back before an entry with its new start time arrives. The first
/// request that meets it goes to another server, and so do the next ones while it may be cold, even after the
/// backoff.
#[tokio::test]
async fn an_unreachable_server_counts_as_cold() {
    let near = Server::start("near", vec![ScriptStep::Crash]).await;
    let far = Server::start("far", vec![ScriptStep::Write(ok("far")); 8]).await;
    let host = Host::with_servers(&[&near, &far]).await;
    let mut cfg = cold_configuration(600);
    cfg.services[0].cold_ms = 60_000;
    host.relay.set_configuration(cfg, "test");

    let answers = [host.call(&request("/safe/1", "")).await, host.call(&request("/safe/2", "")).await];
    tokio::time::sleep(ms(600)).await;
    let later = host.call(&request("/safe/3", "")).await;

    assert!(answers.iter().all(|a| a.ends_with("far")) && later.ends_with("far"), "{answers:?} {later}");
    assert_eq!(near.requests().len(), 1);
}

/// A server answers again without a new entry. It counts as cold for the same period after its first answer as
/// after a start.
#[test]
fn a_possible_restart_counts_for_the_cold_period() {
    let mut warmup = Warmup::default();

    warmup.note_possible_restart(ms(0), TAG, LIMIT);
    warmup.note_possible_restart(ms(2_500), TAG, LIMIT);

    assert!(warmup.may_have_restarted(ms(5_499), TAG));
    assert!(!warmup.may_have_restarted(ms(5_500), TAG));
    assert!(!warmup.may_have_restarted(ms(2_501), TAG + 1));
}
