//! Streams while servers of several software versions serve: a stream goes on only at the version that began it.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;

use std::time::{Duration, Instant};

use cranberrytally::{
    metrics::Counter,
    platform::store::StoreClient,
    relay::{
        RelayConfig,
        follow::{self, BackendsUpdate},
        origins::saved::PARTS,
    },
    schema::fleet::{Backend, Backends, Share, Workspace},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use relay_support::RunningHost;
use soak::store::{Store, server_of_version};
use wire::{ScriptStep, Server, chunk, event, events, header, is_complete, request, status, stream_head};

/// A server with the version of its software and its data centre. Servers in the hosts' own, `a`, are preferred.
type Listed<'a> = (&'a Server, &'a str, &'a str);

/// An outage of the store in which entries of servers may lapse.
const OUTAGE: Duration = Duration::from_millis(700);
/// Time within which live servers write such entries again.
const RETURN_TIME: Duration = Duration::from_millis(1_700);

/// Server that breaks off after its second event.
async fn breaking(id: &str) -> Server {
    let begun = stream_head() + &chunk(&event(1)) + &chunk(&event(2));
    Server::start(id, [ScriptStep::WriteAndReset(begun)]).await
}

/// Server that goes on after the second event.
async fn continuing(id: &str) -> Server {
    let rest = stream_head() + &chunk(&event(3)) + &chunk(&event(4)) + "0\r\n\r\n";
    Server::start(id, [ScriptStep::Write(rest)]).await
}

/// Entry of a server of the service `app`.
fn listed((server, version, data_centre): &Listed<'_>) -> Backend {
    Backend {
        id: server.id.clone(),
        service: "app".into(),
        addr: server.addr.to_string(),
        data_centre: (*data_centre).into(),
        slots: 6,
        version: (*version).into(),
        ..Backend::default()
    }
}

fn set_servers(host: &RunningHost, revision: u64, servers: &[Listed<'_>]) {
    let list = Backends { revision, items: servers.iter().map(listed).collect(), ..Backends::default() };
    host.relay.update_backends(BackendsUpdate::List(list), None, "test");
}

/// Starts hosts that know each other, the configuration and the servers.
async fn fleet(count: usize, servers: &[Listed<'_>]) -> Vec<RunningHost> {
    let mut hosts: Vec<RunningHost> = Vec::new();
    for n in 0..count {
        let seeds: Vec<_> = hosts.iter().map(|h| h.peers_at).collect();
        let host = RunningHost::start(&format!("host-{n}"), &seeds).await;
        host.relay.set_configuration(wire::configuration(), "test");
        set_servers(&host, 1, servers);
        hosts.push(host);
    }
    let know_each_other = || hosts.iter().all(|h| h.relay.addresses(count).len() == count);
    wire::wait_until("the hosts to hear each other", know_each_other).await;
    hosts
}

/// Sends a request with the attempt identifier `id` to a host; returns the complete answer.
async fn call(host: &RunningHost, request: &str, id: &str) -> String {
    let mut stream = TcpStream::connect(host.callers_at).await.unwrap();
    stream
        .write_all(request.replace("Attempt-Id: r1", &format!("Attempt-Id: {id}")).as_bytes())
        .await
        .unwrap();
    wire::read_answer(&mut stream).await
}

/// Request that goes on after the second event of the stream that the attempt `first` began.
fn resumption(first: &str) -> String {
    let resumed = format!("Last-Event-Id: 2\r\nResumes: {first}\r\nKey:");
    request("/stream/x", "").replace("Key:", &resumed)
}

/// Guards against a broken stream that goes on at a server of another version, in the same answer.
#[tokio::test]
async fn a_broken_stream_goes_on_at_the_version_that_began_it() {
    let (first, other, same) = (breaking("i-1").await, continuing("i-2").await, continuing("i-3").await);
    let hosts = fleet(1, &[(&first, "v1", "a"), (&other, "v2", "a"), (&same, "v1", "b")]).await;

    // A new stream begins at either of the two servers in the host's data centre.
    let mut answers = Vec::new();
    while first.requests().is_empty() {
        answers.push(call(&hosts[0], &request("/stream/x", ""), "r1").await);
    }

    assert_eq!(resumed_at(&other), 0, "{answers:?}");
    assert_eq!((resumed_at(&same), events(answers.last().unwrap())), (1, vec!["e1", "e2", "e3", "e4"]));
}

/// Guards against a silent server whose stream another one goes on with at its own version: there is none of the same version,
/// so the silent one is waited for.
#[tokio::test]
async fn a_silent_server_is_not_replaced_by_one_of_another_version() {
    let begun = stream_head() + &chunk(&event(1)) + &chunk(&event(2));
    let rest = chunk(&event(3)) + "0\r\n\r\n";
    let pausing = ScriptStep::WriteSlowly(vec![begun, rest], Duration::from_millis(1_600));
    let (first, other) = (Server::start("i-1", [pausing]).await, continuing("i-2").await);
    let hosts = fleet(1, &[(&first, "v1", "a"), (&other, "v2", "b")]).await;

    let answer = call(&hosts[0], &request("/stream/x", ""), "r1").await;

    assert_eq!((resumed_at(&other), events(&answer)), (0, vec!["e1", "e2", "e3"]), "{answer}");
    assert!(is_complete(&answer), "{answer}");
}

/// Guards against a stream that a caller takes up at another host, which goes on there at a server of another version.
#[tokio::test]
async fn a_stream_taken_up_at_another_host_goes_on_at_the_version_that_began_it() {
    let (first, other, same) = (breaking("i-1").await, continuing("i-2").await, continuing("i-3").await);
    let hosts = fleet(2, &[(&first, "v1", "a"), (&other, "v2", "b")]).await;
    let broken = call(&hosts[0], &request("/stream/x", ""), "r1").await;
    set_servers(&hosts[1], 2, &[(&other, "v2", "a"), (&same, "v1", "b")]);

    let taken_up = call(&hosts[1], &resumption("r1"), "r2").await;

    assert_eq!((events(&broken), is_complete(&broken)), (vec!["e1", "e2"], false), "{broken}");
    assert_eq!((resumed_at(&other), events(&taken_up)), (0, vec!["e3", "e4"]), "{taken_up}");
}

/// Guards against a stream that cannot go on, because the host that began it was killed and took its knowledge with it.
#[tokio::test]
async fn a_stream_goes_on_at_the_version_that_began_it_after_its_host_was_killed() {
    let (first, other, same) = (breaking("i-1").await, continuing("i-2").await, continuing("i-3").await);
    let mut hosts = fleet(3, &[(&first, "v1", "a"), (&other, "v2", "b")]).await;
    call(&hosts[0], &request("/stream/x", ""), "r1").await;
    wire::wait_until("a host to be told", || heard(&hosts[1]) + heard(&hosts[2]) == 2).await;
    drop(hosts.remove(0));
    set_servers(&hosts[1], 2, &[(&other, "v2", "a"), (&same, "v1", "b")]);

    let taken_up = call(&hosts[1], &resumption("r1"), "r2").await;

    assert_eq!((resumed_at(&other), events(&taken_up)), (0, vec!["e3", "e4"]), "{taken_up}");
}

/// Guards against a stream that no host was told of, because a single version served when it began, and that goes on at the
/// version which has appeared since.
#[tokio::test]
async fn a_stream_that_began_before_the_second_version_goes_on_at_its_own() {
    let (first, other, same) = (breaking("i-1").await, continuing("i-2").await, continuing("i-3").await);
    let mut hosts = fleet(2, &[(&first, "v1", "a")]).await;
    call(&hosts[0], &request("/stream/x", ""), "r1").await;
    assert_eq!(heard(&hosts[1]), 0);
    for host in &hosts {
        set_servers(host, 2, &[(&other, "v2", "a"), (&same, "v1", "b")]);
    }
    wire::wait_until("the other host to be told", || heard(&hosts[1]) == 1).await;
    drop(hosts.remove(0));

    let taken_up = call(&hosts[0], &resumption("r1"), "r2").await;

    assert_eq!((resumed_at(&other), events(&taken_up)), (0, vec!["e3", "e4"]), "{taken_up}");
}

/// Guards against a stream that is lost although its version is certain, because nobody was told of it: while one version
/// serves, hosts tell nothing.
#[tokio::test]
async fn a_stream_that_nobody_knows_goes_on_while_one_version_serves() {
    let server = continuing("i-1").await;
    let store = Store::start().await;
    store.put("servers", "i-1", server_of_version(server.addr, "ready", "v1"));
    let hosts = fleet(2, &[(&server, "v1", "a")]).await;
    let reading = tokio::spawn(follow::read_versions(hosts[1].relay.clone(), StoreClient::new(store.addr())));

    let answer = call(&hosts[1], &resumption("nobody"), "r2").await;
    store.set_busy(true);
    let refused = call(&hosts[1], &resumption("nobody either"), "r3").await;

    reading.abort();
    assert_eq!(events(&answer), ["e3", "e4"], "{answer}");
    assert!(refused.contains("stream_version_unknown"), "the store does not answer: {refused}");
    let stopped = hosts[1].relay.metrics().totals(Counter::RelayStreamsStopped);
    assert_eq!(stopped.get("unconfirmed"), Some(&1), "{stopped:?}");
}

/// Guards against a stream that goes on at another version because no server of its own is left, and against an answer that
/// claims less than that it has not run.
#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_as_not_run() {
    let (first, other) = (breaking("i-1").await, continuing("i-2").await);
    let hosts = fleet(1, &[(&first, "v1", "a"), (&other, "v2", "b")]).await;
    let broken = call(&hosts[0], &request("/stream/x", ""), "r1").await;
    set_servers(&hosts[0], 2, &[(&other, "v2", "a")]);

    let answer = call(&hosts[0], &resumption("r1"), "r2").await;

    assert!(!is_complete(&broken), "{broken}");
    assert_eq!((status(&answer), resumed_at(&other)), (503, 0), "{answer}");
    assert!(answer.contains("stream_version_gone") && header(&answer, "retry-after").is_some(), "{answer}");
    let stopped = hosts[0].relay.metrics().totals(Counter::RelayStreamsStopped);
    assert_eq!(stopped.get("gone"), Some(&1), "the first attempt asks its own server again");
}

/// Guards against a stream that goes on at a server which cannot be reached and may start again with another version: its
/// entry tells of that a little later.
#[tokio::test]
async fn a_stream_does_not_go_on_at_a_server_that_may_have_started_again() {
    let begun = stream_head() + &chunk(&event(1)) + &chunk(&event(2));
    let first = Server::start("i-1", [ScriptStep::WriteAndReset(begun), ScriptStep::Crash]).await;
    let other = continuing("i-2").await;
    let hosts = fleet(1, &[(&first, "v1", "a"), (&other, "v2", "b")]).await;
    call(&hosts[0], &request("/stream/x", ""), "r1").await;

    let answer = call(&hosts[0], &resumption("r1"), "r2").await;

    assert_eq!((status(&answer), resumed_at(&other)), (503, 0), "{answer}");
    assert!(answer.contains("stream_version_gone"), "{answer}");
}

/// Guards against a workspace that goes on with the stream of another one by the identifier of its attempt.
#[tokio::test]
async fn a_workspace_cannot_take_up_the_stream_of_another_one() {
    let (first, other) = (breaking("i-1").await, continuing("i-2").await);
    let hosts = fleet(1, &[(&first, "v1", "a"), (&other, "v2", "b")]).await;
    let mut cfg = wire::configuration();
    cfg.version += 1;
    cfg.workspaces.push(Workspace { name: "other".into(), keys: vec!["k2".into()], rank: None });
    hosts[0].relay.set_configuration(cfg, "test");
    call(&hosts[0], &request("/stream/x", ""), "r1").await;
    let before = resumed_at(&first);

    let answer = call(&hosts[0], &resumption("r1").replace("Key: k1", "Key: k2"), "r2").await;

    assert_eq!((status(&answer), resumed_at(&first), resumed_at(&other)), (503, before, 0), "{answer}");
    assert!(answer.contains("stream_version_unknown"), "{answer}");
}

/// Guards against a stream that goes on at another service, because its route was moved between two attempts.
#[tokio::test]
async fn a_stream_does_not_go_on_at_the_service_to_which_its_route_was_moved() {
    let (first, other) = (breaking("i-1").await, continuing("i-2").await);
    let hosts = fleet(1, &[(&first, "v1", "a")]).await;
    call(&hosts[0], &request("/stream/x", ""), "r1").await;
    let mut cfg = wire::configuration();
    cfg.version += 1;
    cfg.routes.iter_mut().for_each(|route| route.shares[0].service = "moved".into());
    hosts[0].relay.set_configuration(cfg, "test");
    let moved = Backend { service: "moved".into(), ..listed(&(&other, "v1", "a")) };
    let list =
        Backends { revision: 2, items: vec![listed(&(&first, "v1", "a")), moved], ..Backends::default() };
    hosts[0].relay.update_backends(BackendsUpdate::List(list), None, "test");

    let answer = call(&hosts[0], &resumption("r1"), "r2").await;

    assert_eq!((status(&answer), resumed_at(&other)), (503, 0), "{answer}");
}

/// Guards against hosts that take a stream for one of the only version in the list, because all hosts were killed after the
/// last server of another version had left: nobody remembers that version but the registration of hosts in the store.
#[tokio::test]
async fn a_host_that_starts_alone_learns_from_the_store_that_several_versions_served() {
    let server = continuing("i-1").await;
    let store = Store::start().await;
    store.put("servers", "i-1", server_of_version(server.addr, "ready", "v1"));
    store.put(
        "hosts",
        "a",
        serde_json::json!({ "members": [], "count": 1, "mixed": [{ "service": "app" }] }),
    );
    for is_seed in [false, true] {
        let seeds = |cfg: &RelayConfig| if is_seed { vec![cfg.peer_addr] } else { Vec::new() };
        let change = |cfg: RelayConfig| RelayConfig { seeds: seeds(&cfg), ..cfg };
        let host = RunningHost::start_with("host-1", &[], change).await;
        host.relay.set_configuration(wire::configuration(), "test");
        let client = || StoreClient::new(store.addr());
        let following = tokio::spawn(follow::follow_backends(host.relay.clone(), client()));
        let reading = tokio::spawn(follow::read_versions(host.relay.clone(), client()));
        wire::wait_until("the server", || host.relay.server_count("app") == 1).await;

        let answer = call(&host, &resumption("nobody"), "r2").await;

        following.abort();
        reading.abort();
        assert_eq!((status(&answer), resumed_at(&server)), (503, 0), "seed: {is_seed}, {answer}");
    }
}

/// Guards against streams that cannot go on, because all hosts were killed while several versions served.
#[tokio::test]
async fn a_stream_goes_on_at_the_version_that_began_it_after_all_hosts_were_killed() {
    let (first, other, same) = (breaking("i-1").await, continuing("i-2").await, continuing("i-3").await);
    let store = Store::start().await;
    let mut hosts = fleet(1, &[(&first, "v1", "a"), (&other, "v2", "b")]).await;
    let saving = tokio::spawn(follow::save_streams(hosts[0].relay.clone(), StoreClient::new(store.addr())));
    let broken = call(&hosts[0], &request("/stream/x", ""), "r1").await;
    let is_saved = || (0..PARTS).any(|part| store.contains("streams", &format!("a-{part}")));
    wire::wait_until("the stream to be saved", is_saved).await;
    saving.abort();
    hosts.clear();

    let hosts = fleet(1, &[(&other, "v2", "a"), (&same, "v1", "b")]).await;
    let reading =
        tokio::spawn(follow::read_saved_streams(hosts[0].relay.clone(), StoreClient::new(store.addr())));
    let taken_up = call(&hosts[0], &resumption("r1"), "r2").await;
    let unknown = call(&hosts[0], &resumption("nobody"), "r3").await;

    reading.abort();
    assert_eq!((events(&broken), is_complete(&broken)), (vec!["e1", "e2"], false), "{broken}");
    assert_eq!((resumed_at(&other), events(&taken_up)), (0, vec!["e3", "e4"]), "{taken_up}");
    assert!(unknown.contains("stream_version_unknown"), "{unknown}");
}

/// Guards against saved streams that are not read, because each service of their route has one version only.
#[tokio::test]
async fn a_stream_of_a_route_to_two_services_goes_on_at_its_own_after_all_hosts_were_killed() {
    let (first, other, same) = (breaking("i-1").await, continuing("i-2").await, continuing("i-3").await);
    let store = Store::start().await;
    let start = async |server: &Server| {
        let mut cfg = wire::configuration();
        for route in &mut cfg.routes {
            route.shares[0].weight = 1_000_000;
            route.shares.push(Share { service: "canary".into(), weight: 1 });
        }
        let host = RunningHost::start("host-0", &[]).await;
        host.relay.set_configuration(cfg, "test");
        let canary = Backend { service: "canary".into(), ..listed(&(&other, "v1", "b")) };
        let items = vec![listed(&(server, "v1", "a")), canary];
        let list = Backends { revision: 1, items, ..Backends::default() };
        host.relay.update_backends(BackendsUpdate::List(list), None, "test");
        host
    };
    let host = start(&first).await;
    let saving = tokio::spawn(follow::save_streams(host.relay.clone(), StoreClient::new(store.addr())));
    call(&host, &request("/stream/x", ""), "r1").await;
    let is_saved = || (0..PARTS).any(|part| store.contains("streams", &format!("a-{part}")));
    wire::wait_until("the stream to be saved", is_saved).await;
    saving.abort();
    drop(host);

    let host = start(&same).await;
    let reading =
        tokio::spawn(follow::read_saved_streams(host.relay.clone(), StoreClient::new(store.addr())));
    let taken_up = call(&host, &resumption("r1"), "r2").await;

    reading.abort();
    assert_eq!((resumed_at(&other), events(&taken_up)), (0, vec!["e3", "e4"]), "{taken_up}");
}

/// Guards against a registration of hosts that does not say that several versions serve.
#[tokio::test]
async fn hosts_register_services_with_several_versions() {
    let (one, other) = (continuing("i-1").await, continuing("i-2").await);
    let store = Store::start().await;
    store.put("servers", "i-1", server_of_version(one.addr, "ready", "v1"));
    let hosts = fleet(2, &[]).await;
    let relay = &hosts[0].relay;
    let following = tokio::spawn(follow::follow_backends(relay.clone(), StoreClient::new(store.addr())));
    let registering = tokio::spawn(follow::sync_hosts(relay.clone(), StoreClient::new(store.addr())));
    let mixed = || store.spec("hosts", "a").map(|spec| spec["mixed"].clone());
    wire::wait_until("the registration", || mixed() == Some(serde_json::json!([]))).await;

    store.put("servers", "i-2", server_of_version(other.addr, "ready", "v2"));

    wire::wait_until("the registration of the service", || {
        mixed() == Some(serde_json::json!([{ "service": "app", "versions": ["v1", "v2"] }]))
    })
    .await;
    registering.abort();
    following.abort();
}

/// Guards against a stream of a new version that goes on at another one: the host at which it is taken up hears no host that knows
/// the stream, and its own watch of the store has not returned yet.
#[tokio::test]
async fn a_stream_does_not_go_on_at_a_host_that_has_not_heard_of_its_version() {
    let (old, new) = (continuing("i-1").await, breaking("i-2").await);
    let store = Store::start().await;
    store.put("servers", "i-1", server_of_version(old.addr, "ready", "v1"));
    store.set_watches_unanswered(true);
    // The two hosts do not hear each other.
    let knowing = fleet(1, &[(&new, "v2", "a")]).await;
    let other = RunningHost::start("host-1", &[]).await;
    other.relay.set_configuration(wire::configuration(), "test");
    follow::start_tasks(&other.relay, || StoreClient::new(store.addr()));
    wire::wait_until("the server", || other.relay.server_count("app") == 1).await;
    let certain = call(&other, &resumption("nobody"), "r0").await;
    store.put("servers", "i-2", server_of_version(new.addr, "ready", "v2"));
    let broken = call(&knowing[0], &request("/stream/x", ""), "r1").await;

    let taken_up = call(&other, &resumption("r1"), "r2").await;

    assert_eq!(events(&certain), ["e3", "e4"], "{certain}");
    assert_eq!((events(&broken), is_complete(&broken)), (vec!["e1", "e2"], false), "{broken}");
    assert_eq!((status(&taken_up), resumed_at(&old)), (503, 1), "{taken_up}");
    assert!(header(&taken_up, "retry-after").is_some(), "{taken_up}");
}

/// Guards against a registration that is overwritten by a host which has just started and has not seen the versions that it names.
#[tokio::test]
async fn a_registration_keeps_the_versions_that_a_new_host_has_not_seen() {
    let server = continuing("i-1").await;
    let store = Store::start().await;
    store.put("servers", "i-1", server_of_version(server.addr, "ready", "v2"));
    let registered = serde_json::json!({ "members": [], "count": 1, "mixed": [{ "service": "app" }] });
    store.put("hosts", "a", registered);
    // Seeds do not read the registration when they start.
    let as_seed = |cfg: RelayConfig| RelayConfig { seeds: vec![cfg.peer_addr], ..cfg };
    let host = RunningHost::start_with("host-1", &[], as_seed).await;
    let other = RunningHost::start("host-2", &[host.peers_at]).await;
    wire::wait_until("the hosts to hear each other", || !host.relay.is_alone() && !other.relay.is_alone())
        .await;
    host.relay.set_configuration(wire::configuration(), "test");
    let client = || StoreClient::new(store.addr());
    let following = tokio::spawn(follow::follow_backends(host.relay.clone(), client()));
    let registering = tokio::spawn(follow::sync_hosts(host.relay.clone(), client()));
    let is_registered = || {
        // A host follows the store from the first change on that it sees once it knows the fleet.
        store.put("servers", "i-1", server_of_version(server.addr, "ready", "v2"));
        store.spec("hosts", "a").is_some_and(|spec| spec["members"][0].is_object())
    };

    wire::wait_until("the registration of the host", is_registered).await;

    following.abort();
    registering.abort();
    let mixed = store.spec("hosts", "a").map(|spec| spec["mixed"][0]["service"].clone());
    assert_eq!(mixed, Some("app".into()));
}

/// Guards against a stream that goes on at a service to which its route no longer leads, at a host that has not heard of the newest
/// configuration.
#[tokio::test]
async fn a_stream_does_not_go_on_by_routes_that_the_store_has_replaced() {
    let server = continuing("i-1").await;
    let store = Store::start().await;
    store.put("servers", "i-1", server_of_version(server.addr, "ready", "v1"));
    let mut moved = soak::store::configuration(2, false);
    moved["routes"].as_array_mut().unwrap().iter_mut().for_each(|route| route["service"] = "moved".into());
    store.put("config", "main", moved);
    let hosts = fleet(1, &[(&server, "v1", "a")]).await;
    let relay = &hosts[0].relay;
    let reading = tokio::spawn(follow::read_versions(relay.clone(), StoreClient::new(store.addr())));

    let answer = call(&hosts[0], &resumption("nobody"), "r2").await;

    reading.abort();
    assert_eq!((status(&answer), resumed_at(&server)), (503, 0), "{answer}");
}

/// Guards against a stream that goes on at the only version that is listed right after an outage of the store, in which entries of
/// servers of another version have lapsed: they are written again within two seconds.
#[tokio::test]
async fn a_stream_does_not_go_on_while_entries_may_be_missing_after_an_outage() {
    let server = continuing("i-1").await;
    let store = Store::start().await;
    store.put("servers", "i-1", server_of_version(server.addr, "ready", "v1"));
    store.set_busy(true);
    let host = RunningHost::start("host-1", &[]).await;
    host.relay.set_configuration(wire::configuration(), "test");
    let client = || StoreClient::new(store.addr());
    let following = tokio::spawn(follow::follow_backends(host.relay.clone(), client()));
    let reading = tokio::spawn(follow::read_versions(host.relay.clone(), client()));
    tokio::time::sleep(OUTAGE).await;
    let back = Instant::now();
    store.set_busy(false);
    wire::wait_until("the server", || host.relay.server_count("app") == 1).await;

    let answer = call(&host, &resumption("nobody"), "r2").await;

    following.abort();
    reading.abort();
    assert!(status(&answer) == 503 || back.elapsed() > RETURN_TIME, "{answer}");
}

/// Number of streams that a host was told of.
fn heard(host: &RunningHost) -> u64 {
    host.relay.metrics().totals(Counter::RelayOrigins).get("heard").copied().unwrap_or(0)
}

/// Guards against a stream that goes on at any version, because nobody knows which one began it.
#[tokio::test]
async fn a_stream_of_unknown_version_is_refused_as_not_run_while_two_versions_serve() {
    let (one, other) = (continuing("i-1").await, continuing("i-2").await);
    let hosts = fleet(2, &[(&one, "v1", "a"), (&other, "v2", "a")]).await;

    let answer = call(&hosts[1], &resumption("nobody"), "r2").await;

    assert_eq!((status(&answer), resumed_at(&one) + resumed_at(&other)), (503, 0), "{answer}");
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
}

/// Number of requests at a server that go on with a stream.
fn resumed_at(server: &Server) -> usize {
    server.requests().iter().filter(|r| header(r, "last-event-id").is_some()).count()
}
