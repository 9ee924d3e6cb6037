//! Backend servers that read a request late or only in part, over sockets with small buffers.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cranberrytally::{
    metrics::Counter,
    relay::follow::BackendsUpdate,
    schema::fleet::{Backend, Backends, Configuration},
};
use futures_util::future::join_all;
use relay_support::RunningHost;
use rustix::net::sockopt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};
use wire::{
    Caller, Host, chunk, configuration, event, events, header, is_complete, ok, request, status, stream_head,
    wait_until,
};

/// Length of a body of which only a part fits into the servers' buffers.
const BODY_BYTES: usize = 90_000;
/// Length of a body of which a part waits at the host though it would fit into most servers' buffers.
const MID_BODY_BYTES: usize = 12_000;
/// Length of the longest body, which does not fit into the host's send buffer either.
const MAX_BODY_BYTES: usize = 6 << 20;
/// Size of the servers' receive buffers, in bytes.
const RECEIVE_BUFFER: usize = 4_096;
/// Number of events of a stream, with a pause after each.
const EVENTS: u32 = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a server that has answered does not read.
const READ_PAUSE: Duration = Duration::from_millis(1_200);

/// What a server does with a request before it reads the body.
#[derive(Clone, Copy, Debug)]
enum Late {
    /// Sends the whole answer, a stream over more than a second, and reads on then.
    AnswersFirst,
    /// Sends the whole answer and reads on after a pause.
    AnswersAndPauses(Duration),
    /// Stands still for this long, reads the body and answers.
    StandsStill(Duration),
    /// Sends an answer with a body of this many bytes, and closes the connection.
    AnswersAndCloses(usize),
}

/// Backend server that reads bodies late.
#[derive(Clone, Debug)]
struct LateServer {
    id: String,
    addr: SocketAddr,
    /// Complete requests, as connection number, head and body.
    requests: Arc<Mutex<Vec<(usize, String, String)>>>,
    connections: Arc<Mutex<usize>>,
}

impl LateServer {
    async fn start(id: &str, late: Late) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER).unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Self { id: id.into(), addr, requests: Arc::default(), connections: Arc::default() };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = {
                    let mut connections = accepting.connections.lock().unwrap();
                    *connections += 1;
                    *connections
                };
                tokio::spawn(accepting.clone().serve(stream, late, number));
            }
        });
        server
    }

    async fn serve(self, mut stream: TcpStream, late: Late, number: usize) {
        let mut unread = Vec::new();
        loop {
            let Some(head) = read_head(&mut stream, &mut unread).await else { return };
            let answer = answer_to(&head);
            match late {
                Late::AnswersFirst => {
                    for part in answer {
                        if stream.write_all(part.as_bytes()).await.is_err() {
                            return;
                        }
                        tokio::time::sleep(EVENT_PAUSE).await;
                    }
                }
                Late::AnswersAndPauses(pause) => {
                    let _ = stream.write_all(answer.concat().as_bytes()).await;
                    tokio::time::sleep(pause).await;
                }
                Late::StandsStill(pause) => tokio::time::sleep(pause).await,
                Late::AnswersAndCloses(bytes) => {
                    let answer = wire::answer("429 Too Many Requests", &"n".repeat(bytes));
                    let _ = stream.write_all(with_id(answer, &head).as_bytes()).await;
                    return;
                }
            }
            let length: usize = header(&head, "content-length").unwrap().parse().unwrap();
            while unread.len() < length {
                if !matches!(stream.read_buf(&mut unread).await, Ok(n) if n > 0) {
                    return;
                }
            }
            let body = String::from_utf8(unread.drain(..length).collect()).unwrap();
            let answer = answer_to(&head);
            self.requests.lock().unwrap().push((number, head, body));
            if matches!(late, Late::StandsStill(_))
                && stream.write_all(answer.concat().as_bytes()).await.is_err()
            {
                return;
            }
        }
    }

    /// Bodies that were read to their end.
    fn bodies(&self) -> Vec<String> {
        self.requests.lock().unwrap().iter().map(|(_, _, body)| body.clone()).collect()
    }

    fn connections(&self) -> usize {
        *self.connections.lock().unwrap()
    }

    fn listed(&self, addr: SocketAddr) -> Backend {
        Backend {
            id: self.id.clone(),
            service: "app".into(),
            addr: addr.to_string(),
            data_centre: "a".into(),
            slots: 6,
            ..Backend::default()
        }
    }
}

/// Reads up to the end of a head; what follows is left in `unread`.
async fn read_head(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = unread.windows(4).position(|w| w == b"\r\n\r\n") {
            return Some(String::from_utf8(unread.drain(..end + 4).collect()).unwrap());
        }
        // A part at a time, so that the body stays in the socket.
        let mut part = [0; 512];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => unread.extend_from_slice(&part[..n]),
        }
    }
}

/// The answer to a request, in parts: a stream of events, or one text.
fn answer_to(head: &str) -> Vec<String> {
    let is_stream = head.contains(" /stream/") || head.contains(" /once/");
    if !is_stream {
        return vec![with_id(ok("answered"), head)];
    }
    let first = with_id(stream_head(), head);
    let rest = (1..=EVENTS).map(|n| chunk(&event(n)));
    [first].into_iter().chain(rest).chain(["0\r\n\r\n".into()]).collect()
}

fn with_id(answer: String, head: &str) -> String {
    answer.replace("{id}", &header(head, "attempt-id").unwrap_or_default())
}

/// The fixture's configuration with room for long bodies.
fn long_bodies() -> Configuration {
    let mut cfg = configuration();
    cfg.limits.as_mut().unwrap().body_bytes = MAX_BODY_BYTES as u32;
    cfg
}

fn listed_at(servers: &[(&LateServer, SocketAddr)]) -> BackendsUpdate {
    let items = servers.iter().map(|(server, addr)| server.listed(*addr)).collect();
    BackendsUpdate::List(Backends { revision: 1, items, ..Backends::default() })
}

/// Starts a host that reaches this server.
async fn host_with(server: &LateServer) -> Host {
    let host = Host::without_configuration().await;
    host.relay.set_configuration(long_bodies(), "test");
    host.relay.update_backends(listed_at(&[(server, server.addr)]), None, "test");
    host
}

/// A port at which nothing listens. It stays bound while the socket is kept, so that nothing else can get it, not even the near end of a
/// connection to it.
fn closed_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// Starts a host that reaches two servers only through another one while the ports are kept.
async fn cut_off_host(servers: [&LateServer; 2]) -> (RunningHost, RunningHost, [TcpSocket; 2]) {
    let helper = RunningHost::start("helper", &[]).await;
    let host = RunningHost::start("host", &[helper.peers_at]).await;
    let ports = [closed_port(), closed_port()];
    let gates = ports.each_ref().map(|port| port.local_addr().unwrap());
    helper.relay.update_backends(listed_at(&servers.map(|s| (s, s.addr))), None, "test");
    host.relay.update_backends(listed_at(&[(servers[0], gates[0]), (servers[1], gates[1])]), None, "test");
    for relay in [&helper.relay, &host.relay] {
        relay.set_configuration(long_bodies(), "test");
    }
    wait_until("the hosts to know each other", || host.relay.addresses(2).len() == 2).await;
    (host, helper, ports)
}

async fn call(at: SocketAddr, path: &str, body: &str) -> String {
    let mut caller = Caller::connect(at).await;
    caller.send(&request(path, body)).await;
    caller.answer().await
}

/// A body of this length whose parts differ.
fn body(length: usize) -> String {
    let mut body: String = (0..length.div_ceil(8)).map(|n| format!("{n:07} ")).collect();
    body.truncate(length);
    body
}

fn long_body() -> String {
    body(BODY_BYTES)
}

fn is_whole_stream(got: &str) -> bool {
    status(got) == 200 && is_complete(got) && events(got).len() == EVENTS as usize
}

/// Guards against a stream that ends because its server answers before it has read a long body, as servers may.
#[tokio::test]
async fn a_stream_is_whole_though_its_server_reads_the_body_after_the_answer() {
    for path in ["/stream/x", "/once/x"] {
        let server = LateServer::start("i-1", Late::AnswersFirst).await;
        let host = host_with(&server).await;

        let got = call(host.addr, path, &long_body()).await;

        assert!(is_whole_stream(&got), "{path}: {got}");
        assert_eq!(server.connections(), 1, "{path}");
        wait_until("the body to be read", || server.bodies() == [long_body()]).await;
    }
}

/// Guards against requests that fail because their server stands still before it has read a long body.
#[tokio::test]
async fn a_server_that_stands_still_before_it_reads_a_long_body_answers_it() {
    let paths = ["/unsafe/x", "/safe/x", "/stream/x", "/once/x"];
    let cases = [900, 1_600, 2_600].into_iter().flat_map(|ms| paths.map(|path| (ms, path)));
    join_all(cases.map(async |(ms, path)| {
        let server = LateServer::start("i-1", Late::StandsStill(Duration::from_millis(ms))).await;
        let host = host_with(&server).await;

        let got = call(host.addr, path, &long_body()).await;

        let is_whole = is_whole_stream(&got) || got.ends_with("answered");
        assert!(status(&got) == 200 && is_whole, "{path} after {ms} ms: {got}");
        assert_eq!(server.bodies(), [long_body()], "{path} after {ms} ms");
        let ended = host.relay.metrics().totals(Counter::RelayUnacked);
        assert!(ended.is_empty(), "{path} after {ms} ms: {ended:?}");
    }))
    .await;
}

/// Guards against requests that fail because their server reads a long body late, when another host copies the bytes.
#[tokio::test]
async fn a_server_that_reads_late_answers_through_another_host() {
    for late in [Late::AnswersFirst, Late::StandsStill(Duration::from_millis(1_200))] {
        let first = LateServer::start("i-1", late).await;
        let second = LateServer::start("i-2", late).await;
        let (host, helper, _ports) = cut_off_host([&first, &second]).await;

        for path in ["/unsafe/x", "/once/x"] {
            let got = call(host.callers_at, path, &long_body()).await;

            let is_whole = is_whole_stream(&got) || got.ends_with("answered");
            assert!(status(&got) == 200 && is_whole, "{late:?} {path}: {got}");
        }
        let served = helper.relay.metrics().totals(Counter::RelayTunnels);
        assert!(served.get("served").is_some_and(|n| *n >= 2), "{late:?}: {served:?}");
        let bodies = || [first.bodies(), second.bodies()].concat();
        wait_until("both bodies to be read", || bodies() == [long_body(), long_body()]).await;
    }
}

/// Guards against an answer that is lost because the server closes its connection while the body is written.
#[tokio::test]
async fn an_answer_before_the_body_was_read_is_passed_on_though_the_server_closes() {
    for bytes in [2, 3_000] {
        let server = LateServer::start("i-1", Late::AnswersAndCloses(bytes)).await;
        let host = host_with(&server).await;

        let got = call(host.addr, "/unsafe/x", &long_body()).await;

        assert_eq!((status(&got), is_complete(&got)), (429, true), "{bytes}: {got}");
        assert!(got.ends_with(&"n".repeat(bytes)), "{bytes}: {got}");
    }
}

/// Guards against a request whose bytes come where the rest of an earlier request's body is due, or wait behind it, and against a
/// server that does not get that rest.
#[tokio::test]
async fn a_connection_carries_no_request_while_the_body_of_the_last_one_is_due() {
    for length in [MID_BODY_BYTES, BODY_BYTES, MAX_BODY_BYTES] {
        let server = LateServer::start("i-1", Late::AnswersAndPauses(READ_PAUSE)).await;
        let host = RunningHost::start("host", &[]).await;
        host.relay.set_configuration(long_bodies(), "test");
        host.relay.update_backends(listed_at(&[(&server, server.addr)]), None, "test");

        let first = call(host.callers_at, "/unsafe/x", &body(length)).await;
        let second = call(host.callers_at, "/unsafe/x", "short").await;

        for got in [first, second] {
            assert!(status(&got) == 200 && got.ends_with("answered"), "{length}: {got}");
        }
        wait_until("both bodies to be read", || server.bodies().len() == 2).await;
        let mut requests = server.requests.lock().unwrap().clone();
        requests.sort();
        let [(1, _, long), (2, _, short)] = &requests[..] else { panic!("{length}: on one connection") };
        assert!((long, short.as_str()) == (&body(length), "short"), "{length}");
    }
}

/// Guards against a server that does not get the rest of a body which another host copies, since the connection is closed once the
/// answer is complete.
#[tokio::test]
async fn a_server_gets_the_rest_of_a_body_through_another_host() {
    let late = Late::AnswersAndPauses(READ_PAUSE);
    let (first, second) = (LateServer::start("i-1", late).await, LateServer::start("i-2", late).await);
    let (host, _helper, _ports) = cut_off_host([&first, &second]).await;
    let long = body(MAX_BODY_BYTES);

    let got = call(host.callers_at, "/unsafe/x", &long).await;

    assert!(status(&got) == 200 && got.ends_with("answered"), "{got}");
    let bodies = || [first.bodies(), second.bodies()].concat();
    wait_until("the body to be read", || !bodies().is_empty()).await;
    assert!(bodies() == [long]);
}

/// What a server got on a connection whose caller leaves while a long request is in transit, and whether the connection was reset.
/// It reads nothing for 2 s, before which it answers a short request if `pause` is set: the long one follows on the same
/// connection after the pause.
async fn read_after_the_caller_left(pause: Option<Duration>) -> (usize, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER).unwrap();
    let addr = listener.local_addr().unwrap();
    let reading = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        if pause.is_some() {
            let mut unread = Vec::new();
            let head = read_head(&mut stream, &mut unread).await.unwrap();
            let length: usize = header(&head, "content-length").unwrap().parse().unwrap();
            while unread.len() < length {
                stream.read_buf(&mut unread).await.unwrap();
            }
            stream.write_all(answer_to(&head).concat().as_bytes()).await.unwrap();
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut got = Vec::new();
        let end = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut got)).await;
        let is_reset = matches!(end, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionReset);
        (got.len(), is_reset)
    });
    let server = LateServer { id: "i-1".into(), addr, requests: Arc::default(), connections: Arc::default() };
    let host = host_with(&server).await;
    let mut caller = Caller::connect(host.addr).await;
    if let Some(pause) = pause {
        caller.send(&request("/unsafe/x", "short")).await;
        let got = caller.answer().await;
        assert_eq!(status(&got), 200, "{got}");
        tokio::time::sleep(pause).await;
    }

    caller.send(&request("/unsafe/y", &long_body())).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(caller);

    reading.await.unwrap()
}

/// Guards against a server that runs a request whose caller has left, since the answer to the request before it on the same
/// connection counts as an answer to it.
#[tokio::test]
async fn a_request_on_a_kept_connection_is_taken_back_when_its_caller_leaves() {
    let pauses = [None, Some(0), Some(50), Some(150), Some(300)];
    join_all(pauses.map(async |pause| {
        let (got, is_reset) = read_after_the_caller_left(pause.map(Duration::from_millis)).await;

        assert!(
            is_reset && got < BODY_BYTES,
            "after a pause of {pause:?} ms: {got} bytes, reset: {is_reset}"
        );
    }))
    .await;
}
