//! Answers of backend servers that reach a host through another one, which may end before the server does.

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
    relay::{backends::tag, follow::BackendsUpdate},
    schema::fleet::{Backends, Connected, Fetch, Fetched},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinSet,
    time::timeout,
};

use relay_support::RunningHost;
use wire::{
    ScriptStep, Server, chunk, event, events, is_complete, ok, read_answer, request, status, stream_head,
    wait_until,
};

/// Identifiers of the servers; a host is cut off once it has failed to connect to two.
const SERVERS: [&str; 2] = ["i-1", "i-2"];

/// Two events of a stream that has no length and ends with its connection.
fn unframed_events() -> String {
    let head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s1\r\nContent-Type: text/event-stream\r\n";
    format!("{head}\r\n{}{}", event(1), event(2))
}

/// A host that reaches no server, another one that reaches both, and the path between them.
struct CutOff {
    host: RunningHost,
    helper: RunningHost,
    _unreachable: TcpSocket,
    /// Passes on the connections from the host to the other one. Aborting it closes them, as the end of the other host does.
    path: JoinSet<()>,
}

impl CutOff {
    /// Starts two hosts, of which the second one connects to `server` under all identifiers.
    async fn start(server: &Server) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (host, helper, _unreachable) = hosts(listener.local_addr().unwrap(), server.addr).await;
        let (mut path, to) = (JoinSet::new(), helper.peers_at);
        path.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((mut from, _)) = listener.accept().await {
                connections.spawn(async move {
                    let mut to = TcpStream::connect(to).await.unwrap();
                    let _ = copy_bidirectional(&mut from, &mut to).await;
                });
            }
        });
        Self { host, helper, _unreachable, path }
    }
}

/// Starts a host that reaches no server, and another one that reaches both and is asked at `helper_at` to connect to them. The first one
/// reaches none while the socket is kept.
async fn hosts(helper_at: SocketAddr, servers_at: SocketAddr) -> (RunningHost, RunningHost, TcpSocket) {
    let helper = RunningHost::start_with("helper", &[], |mut cfg| {
        cfg.me.peers = helper_at.to_string();
        cfg
    })
    .await;
    let host = RunningHost::start("host", &[helper.peers_at]).await;
    for running in [&host, &helper] {
        running.relay.set_configuration(wire::configuration(), "test");
    }
    // The port stays bound, so that nothing else can get it, not even the near end of a connection to it.
    let unreachable = TcpSocket::new_v4().unwrap();
    unreachable.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    set_servers(&host, unreachable.local_addr().unwrap());
    set_servers(&helper, servers_at);
    let hear_each_other = || [&host, &helper].iter().all(|h| h.relay.addresses(2).len() == 2);
    wait_until("the hosts to hear each other", hear_each_other).await;
    (host, helper, unreachable)
}

fn set_servers(host: &RunningHost, addr: SocketAddr) {
    let items = SERVERS.map(|id| wire::backend(id, addr)).to_vec();
    let list = Backends { revision: 1, items, ..Backends::default() };
    host.relay.update_backends(BackendsUpdate::List(list), None, "test");
}

/// Answers as a host that has connected to a server, in frames or as a host of the version before, which has none: writes the bytes
/// that are set last after each request, and closes or resets the connection.
async fn serve_as_helper(listener: TcpListener, framed: bool, next: Arc<Mutex<(Vec<u8>, bool)>>) {
    while let Ok((asking, _)) = listener.accept().await {
        // A host that waits too long for the connection closes it.
        let _ = help(asking, framed, &next).await;
    }
}

async fn help(mut asking: TcpStream, framed: bool, next: &Mutex<(Vec<u8>, bool)>) -> std::io::Result<()> {
    let length = asking.read_u32_le().await?;
    asking.read_exact(&mut vec![0; length as usize]).await?;
    let answer = Fetched { connected: Connected::Established.into(), framed, ..Fetched::default() };
    let answer = postcard::to_allocvec(&answer).unwrap();
    // Without frames it lacks the last field.
    let answer = &answer[..answer.len() - usize::from(!framed)];
    asking.write_all(&(answer.len() as u32).to_le_bytes()).await?;
    asking.write_all(answer).await?;
    let Some(_) = wire::read_request(&mut asking).await else { return Ok(()) };
    let (written, is_reset) = next.lock().unwrap().clone();
    asking.write_all(&written).await?;
    if is_reset { asking.set_zero_linger() } else { Ok(()) }
}

/// Requests a stream that may not be resumed.
async fn begin_stream(host: &RunningHost) -> TcpStream {
    let mut caller = TcpStream::connect(host.callers_at).await.unwrap();
    caller.write_all(request("/once/x", "").as_bytes()).await.unwrap();
    caller
}

/// Reads on until the answer so far meets a condition, or the connection ends.
async fn read_until(caller: &mut TcpStream, mut answer: String, is_met: impl Fn(&str) -> bool) -> String {
    while !is_met(&answer) {
        let mut buf = Vec::new();
        if caller.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            break;
        }
        answer += &String::from_utf8(buf).unwrap();
    }
    answer
}

fn ended(host: &RunningHost) -> u64 {
    host.relay.metrics().totals(Counter::RelayTunnels).get("ended").copied().unwrap_or(0)
}

/// Guards against a stream that ends as complete before its last event, because the host that passes on its bytes was killed.
#[tokio::test]
async fn a_stream_without_a_length_is_not_complete_when_the_other_host_ends() {
    let server = Server::start("any", [ScriptStep::Write(unframed_events())]).await;
    let mut fleet = CutOff::start(&server).await;
    let mut caller = begin_stream(&fleet.host).await;
    let begun = read_until(&mut caller, String::new(), |answer| answer.contains("data: e2")).await;

    fleet.path.shutdown().await;
    let answer = read_until(&mut caller, begun, is_complete).await;

    assert_eq!((events(&answer), is_complete(&answer)), (vec!["e1", "e2"], false), "{answer}");
    assert_eq!(ended(&fleet.host), 1);
}

/// Guards against a stream without a length that is cut off for its caller though its server has ended it.
#[tokio::test]
async fn a_stream_without_a_length_is_complete_when_its_server_ends_it() {
    let server = Server::start("any", [ScriptStep::WriteAndClose(unframed_events())]).await;
    let fleet = CutOff::start(&server).await;

    let answer = read_answer(&mut begin_stream(&fleet.host).await).await;

    assert_eq!((events(&answer), is_complete(&answer)), (vec!["e1", "e2"], true), "{answer}");
    assert_eq!((ended(&fleet.host), ended(&fleet.helper)), (0, 0));
}

/// Guards against a stream that ends as complete because the connection to a host of the version before ended, which does not
/// tell its own end from the server's.
#[tokio::test]
async fn a_stream_without_a_length_is_not_complete_through_a_host_of_the_version_before() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let (host, _helper, _unreachable) = hosts(at, at).await;
    let written = unframed_events().replace("{id}", "r1").into_bytes();
    tokio::spawn(serve_as_helper(listener, false, Arc::new(Mutex::new((written, false)))));

    let answer = read_answer(&mut begin_stream(&host).await).await;

    assert_eq!((events(&answer), is_complete(&answer)), (vec!["e1", "e2"], false), "{answer}");
}

/// Guards against a host of the version before that takes frames for the bytes of a server.
#[tokio::test]
async fn a_host_of_the_version_before_gets_no_frames() {
    let server = Server::start("any", [ScriptStep::WriteAndClose(unframed_events())]).await;
    let fleet = CutOff::start(&server).await;
    let fetch = postcard::to_allocvec(&Fetch { connect_to: tag("i-1", 0), ..Fetch::default() }).unwrap();
    let mut asking = TcpStream::connect(fleet.helper.peers_at).await.unwrap();
    // It lacks the last field.
    let fetch = &fetch[..fetch.len() - 1];
    asking.write_all(&(fetch.len() as u32).to_le_bytes()).await.unwrap();
    asking.write_all(fetch).await.unwrap();
    let length = asking.read_u32_le().await.unwrap();
    asking.read_exact(&mut vec![0; length as usize]).await.unwrap();

    asking.write_all(request("/once/x", "").as_bytes()).await.unwrap();
    let mut answer = String::new();
    asking.read_to_string(&mut answer).await.unwrap();

    assert_eq!(answer, unframed_events().replace("{id}", "r1"));
}

/// Answers by path, as head and body, and whether they end with their connection.
fn answers() -> [(&'static str, String, String, bool); 3] {
    let split = |text: String| {
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        (format!("{head}\r\n\r\n"), body.to_owned())
    };
    let (stated, stated_body) = split(ok("a body"));
    let chunks = chunk(&event(1)) + &chunk(&event(2)) + "0\r\n\r\n";
    let (unframed, unframed_body) = split(unframed_events().replace("text/event-stream", "text/plain"));
    [
        ("/unsafe/x", stated, stated_body, false),
        ("/once/x", stream_head(), chunks, false),
        ("/unsafe/x", unframed, unframed_body, true),
    ]
}

/// Status of a request that was not sent.
const NOT_REACHED: u16 = 503;
/// Timeout for a request to reach a server; reached only when a test fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Frame that says that the server has ended its side.
const FRAME_END: [u8; 2] = [0, 0];

/// The bytes of a server as another host passes them on, with each line in a frame of its own and the server's end if `framed`.
fn passed_on(text: &str, framed: bool) -> Vec<u8> {
    let text = text.replace("{id}", &id_of(0));
    if !framed {
        return text.into_bytes();
    }
    let frame = |line: &str| [&(line.len() as u16).to_le_bytes(), line.as_bytes()].concat();
    text.split_inclusive('\n').flat_map(frame).chain(FRAME_END).collect()
}

/// Sends a request whose content and identifier no other one has, until it reaches the server: a machine that is busy may connect too
/// late. Returns the status and whether the answer is whole.
async fn call(host: &RunningHost, path: &str, number: usize) -> (u16, bool) {
    let message = request(path, &number.to_string()).replace("r1", &id_of(number));
    let calling = async {
        loop {
            let mut caller = TcpStream::connect(host.callers_at).await.unwrap();
            caller.write_all(message.as_bytes()).await.unwrap();
            let answer = read_answer(&mut caller).await;
            if status(&answer) != NOT_REACHED {
                return (status(&answer), is_complete(&answer));
            }
        }
    };
    timeout(CALL_TIMEOUT, calling).await.expect("the server was not reached")
}

fn id_of(number: usize) -> String {
    format!("r{number:08}")
}

/// Guards against an answer that its server ends early, in its head or its body, and that is whole for a caller whose host reaches the
/// server through another one.
#[tokio::test]
async fn an_answer_that_ends_at_any_byte_beyond_another_host_is_not_whole() {
    let next = Arc::new(Mutex::new(ScriptStep::Hang));
    let step = next.clone();
    let server = Server::reacting("any", move |_, _| step.lock().unwrap().clone()).await;
    let fleet = CutOff::start(&server).await;
    let mut number = 0;
    for (path, head, body, is_unframed) in answers() {
        let length = (head.clone() + &body).replace("{id}", &id_of(0)).len();
        for (at, is_reset) in (0..length).flat_map(|at| [(at, false), (at, true)]) {
            number += 1;
            let begun = (head.clone() + &body).replace("{id}", &id_of(number))[..at].to_owned();
            *next.lock().unwrap() = match is_reset {
                true => ScriptStep::WriteAndReset(begun),
                false => ScriptStep::WriteAndClose(begun),
            };

            let (status, is_whole) = call(&fleet.host, path, number).await;

            let may_be_whole = is_unframed && !is_reset && at + body.len() >= length;
            let is_success = is_whole && status == 200;
            assert_eq!(is_success, may_be_whole, "{path} at {at} of {length}, reset: {is_reset}: {status}");
        }
    }
    assert_eq!(server.requests().len(), number);
}

/// Guards against an answer that is whole for a caller though the other host, with frames or of the version before, ended at any byte
/// of what it passed on.
#[tokio::test]
async fn an_answer_that_ends_at_any_byte_with_the_other_host_is_not_whole() {
    let mut number = 0;
    for framed in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (host, _helper, _unreachable) = hosts(at, at).await;
        let next = Arc::default();
        tokio::spawn(serve_as_helper(listener, framed, Arc::clone(&next)));
        for (path, head, body, is_unframed) in answers() {
            let whole = head + &body;
            let length = passed_on(&whole, framed).len();
            for (at, is_reset) in (0..length).flat_map(|at| [(at, false), (at, true)]) {
                number += 1;
                let written = passed_on(&whole.replace("{id}", &id_of(number)), framed)[..at].to_vec();
                *next.lock().unwrap() = (written, is_reset);

                let (status, is_whole) = call(&host, path, number).await;

                // An answer with a length or chunks needs no word of the other host on its end.
                let may_be_whole = framed && !is_unframed && at + FRAME_END.len() >= length;
                let is_success = is_whole && status == 200;
                let case = format!("{path} at {at} of {length}, framed: {framed}, reset: {is_reset}");
                assert!([200, 502].contains(&status), "{case}: {status}");
                // A reset may take back what was written before it.
                assert!(is_success == may_be_whole || is_reset && !is_success, "{case}: {status}");
            }
        }
    }
}
