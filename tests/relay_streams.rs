//! Streams while servers of several software versions serve: a stream goes on only at the version that began it.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use cranberrytally::{
    relay::follow::BackendsUpdate,
    schema::fleet::{Backend, Backends},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use relay_support::RunningHost;
use wire::{ScriptStep, Server, chunk, event, events, header, is_complete, request, status, stream_head};

/// A server with the version of its software and its data centre. Servers in the hosts' own, `a`, are preferred.
type Listed<'a> = (&'a Server, &'a str, &'a str);

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

fn set_servers(host: &RunningHost, revision: u64, servers: &[Listed<'_>]) {
    let item = |(server, version, data_centre): &Listed<'_>| Backend {
        id: server.id.clone(),
        service: "app".into(),
        addr: server.addr.to_string(),
        data_centre: (*data_centre).into(),
        slots: 6,
        version: (*version).into(),
        ..Backend::default()
    };
    let list = Backends { revision, items: servers.iter().map(item).collect(), ..Backends::default() };
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
