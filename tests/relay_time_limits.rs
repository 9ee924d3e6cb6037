//! Time limits that callers' connections meet: a caller that keeps to the limits of the configuration is never given up.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrytally::{
    bodies::{Bodies, BodyRoom},
    error::ErrorKind,
    metrics::Counter,
    relay::inbound::{
        body::{self, BodyLimits},
        head_timer::HeadWait,
    },
    schema::fleet::{CallerLimits, Configuration},
};
use futures_util::{StreamExt, stream};
use http_body::{Body, Frame};
use http_body_util::StreamBody;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};
use wire::{
    Caller, Host, ScriptStep, Server, chunk, configuration, event_with_data, events, header, is_complete, ok,
    request, status, stream_head,
};

/// Longer than any wait of these tests.
const LONG_MS: u32 = 60_000;

async fn server() -> Server {
    Server::start("i-1", [ScriptStep::Write(ok("fine"))]).await
}

/// The fixture's configuration with other limits.
fn limited(version: u64, change: impl FnOnce(&mut CallerLimits)) -> Configuration {
    let mut cfg = Configuration { version, ..configuration() };
    change(cfg.limits.as_mut().unwrap());
    cfg
}

async fn host_with(cfg: Configuration, server: &Server) -> Host {
    let host = Host::without_configuration().await;
    host.relay.set_configuration(cfg, "test");
    host.set_servers(&[server]);
    host
}

/// Sends a request in two parts, the first of which ends within the head.
async fn send_in_parts(caller: &mut Caller, req: &str, pause: Duration) {
    let (start, rest) = req.split_at(req.find("Key:").unwrap());
    caller.send(start).await;
    tokio::time::sleep(pause).await;
    caller.send(rest).await;
}

/// Guards against a caller that is cut off within a head because the time in which its connection was idle counts as time
/// of the head.
#[tokio::test]
async fn time_in_which_a_connection_is_idle_does_not_count_for_the_next_head() {
    let server = server().await;
    let limits = |l: &mut CallerLimits| (l.idle_ms, l.head_ms) = (2_000, LONG_MS);
    let host = host_with(limited(1, limits), &server).await;
    let mut caller = host.connect().await;
    caller.send(&request("/unsafe/x", "")).await;
    caller.answer().await;

    tokio::time::sleep(Duration::from_millis(1_000)).await;
    send_in_parts(&mut caller, &request("/unsafe/y", ""), Duration::from_millis(1_500)).await;
    let got = caller.answer().await;

    assert_eq!(status(&got), 200, "{got:?}");
}

/// Guards against a connection that is closed after the idle limit of an earlier configuration, while its caller uses it by
/// the limit of the newest one.
#[tokio::test]
async fn a_longer_idle_limit_applies_to_open_connections() {
    let server = server().await;
    let host = host_with(limited(1, |l| l.idle_ms = 1_000), &server).await;
    let mut caller = host.connect().await;
    caller.send(&request("/unsafe/x", "")).await;
    caller.answer().await;

    host.relay.set_configuration(limited(2, |l| l.idle_ms = LONG_MS), "test");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    caller.send(&request("/unsafe/y", "")).await;
    let got = caller.answer().await;

    assert_eq!(status(&got), 200, "{got:?}");
}

/// Guards against a connection that is closed after the shorter idle limit of a configuration which its caller may not have
/// seen yet.
#[tokio::test]
async fn a_shorter_idle_limit_does_not_close_open_connections_early() {
    let server = server().await;
    let host = host_with(limited(1, |l| l.idle_ms = LONG_MS), &server).await;
    let mut caller = host.connect().await;
    caller.send(&request("/unsafe/x", "")).await;
    caller.answer().await;

    host.relay.set_configuration(limited(2, |l| l.idle_ms = 100), "test");
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        caller.send(&request("/unsafe/y", "")).await;
        let got = caller.answer().await;

        assert_eq!(status(&got), 200, "{got:?}");
    }
}

/// Guards against a caller whose head takes too long and that is not told that its request has not run.
#[tokio::test]
async fn a_head_that_takes_too_long_is_refused_as_not_run() {
    let server = server().await;
    let host = host_with(limited(1, |l| l.head_ms = 300), &server).await;
    let mut caller = host.connect().await;
    for sent_before in 0..2 {
        let req = request("/unsafe/x", "");
        caller.send(req.split_at(req.find("Key:").unwrap()).0).await;

        let got = caller.answer().await;

        assert_eq!(status(&got), 408, "{got:?}");
        assert_eq!(header(&got, "connection").as_deref(), Some("close"), "{got:?}");
        assert!(is_complete(&got), "{got:?}");
        assert_eq!(caller.answer().await, "", "the connection stays open");
        assert_eq!(server.requests().len(), sent_before);
        caller = host.connect().await;
        caller.send(&req).await;
        assert_eq!(status(&caller.answer().await), 200);
    }
}

/// Guards against a refusal that a caller loses because it goes on sending: a connection that is closed with unread bytes is
/// reset, and what was written on it is lost.
#[tokio::test]
async fn a_caller_that_goes_on_sending_a_late_head_reads_the_refusal() {
    let server = server().await;
    let host = host_with(limited(1, |l| l.head_ms = 100), &server).await;
    let mut caller = host.connect().await;

    caller.send("POST /unsafe/x HTTP/1.1\r\n").await;
    wire::wait_until("the head to take too long", || {
        host.relay.metrics().totals(Counter::RelayRefusals).contains_key("head_timeout")
    })
    .await;
    for _ in 0..3 {
        caller.send("X-Late: 1\r\n").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let got = caller.answer().await;

    assert_eq!(status(&got), 408, "{got:?}");
}

/// Guards against a request that is refused on an open connection by the size limits of an earlier configuration.
#[tokio::test]
async fn larger_size_limits_apply_to_open_connections() {
    let long_head = request("/unsafe/x", "")
        .replace("Attempt-Id", &format!("X-Long: {}\r\nAttempt-Id", "x".repeat(9_000)));
    let cases = [("head", long_head, 431), ("body", request("/unsafe/x", &"x".repeat(1_500)), 413)];
    for (name, req, refused) in cases {
        let server = server().await;
        let host = host_with(limited(1, |_| ()), &server).await;
        let mut caller = host.connect().await;
        caller.send(&request("/unsafe/x", "")).await;
        caller.answer().await;

        let larger = |l: &mut CallerLimits| (l.head_bytes, l.body_bytes) = (16_384, 2_000);
        host.relay.set_configuration(limited(2, larger), "test");
        caller.send(&req).await;
        let on_open = caller.answer().await;
        host.relay.set_configuration(limited(3, |_| ()), "test");
        let after_smaller = host.call(&req).await;

        assert_eq!((status(&on_open), status(&after_smaller)), (200, refused), "{name}: {on_open:?}");
    }
}

/// Room for a body while there is no other.
fn room() -> BodyRoom {
    Bodies::new(1 << 20).room(Duration::ZERO)
}

/// A body of parts that arrive in these intervals.
fn slow_body(intervals: &[Duration]) -> impl Body<Data = Bytes, Error = std::io::Error> + use<> {
    let parts = stream::iter(intervals.to_vec()).then(|interval| async move {
        tokio::time::sleep(interval).await;
        Ok(Frame::data(Bytes::from_static(b"x")))
    });
    StreamBody::new(parts)
}

/// Guards against a request that is given up while its body arrives slowly but steadily, though its deadline has not passed,
/// and against one that is held until a late deadline though its caller is gone.
#[tokio::test]
async fn a_body_is_read_until_its_deadline_while_it_makes_progress() {
    let limits = BodyLimits { max_bytes: 100, time: Duration::from_secs(60), stall: Duration::from_secs(1) };
    let steady = [Duration::from_millis(100); 20];

    let whole = body::read(slow_body(&steady), None, limits, room()).await;
    let stalled = body::read(slow_body(&[Duration::from_secs(60)]), None, limits, room()).await;
    let late = BodyLimits { time: Duration::from_millis(500), ..limits };
    let late = body::read(slow_body(&steady), None, late, room()).await;

    assert_eq!(whole.map(|whole| whole.len()), Ok(20));
    assert_eq!((stalled, late), (Err(ErrorKind::BodyTimeout), Err(ErrorKind::BodyTimeout)));
}

/// Guards against a caller that is kept waiting beyond its deadline because a part of its body is missing.
#[tokio::test]
async fn a_body_that_is_missing_at_the_deadline_is_refused_as_not_run() {
    let server = server().await;
    let host = host_with(configuration(), &server).await;
    let req = request("/unsafe/x", "body").replace("Request-Deadline: 3000", "Request-Deadline: 500");
    let began = Instant::now();

    let got = host.call(&req[..req.len() - 1]).await;

    assert_eq!(status(&got), 408, "{got:?}");
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(500) && took < Duration::from_secs(5), "{took:?}");
    assert!(server.requests().is_empty());
}

/// Connects as a caller whose system takes only a few bytes that the caller has not read.
async fn connect_with_small_window(host: &Host) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(host.addr).await.unwrap()
}

/// Guards against a refusal that a caller loses because it goes on sending its body, by a reset as with late heads.
#[tokio::test]
async fn a_caller_that_goes_on_sending_a_late_body_reads_the_refusal() {
    let server = server().await;
    let host = host_with(configuration(), &server).await;
    let req = request("/unsafe/x", "body").replace("Request-Deadline: 3000", "Request-Deadline: 200");
    let mut caller = host.connect().await;

    caller.send(&req[..req.len() - 4]).await;
    let refused = || host.relay.metrics().totals(Counter::RelayRefusals).contains_key("body_timeout");
    wire::wait_until("the body to take too long", refused).await;
    for part in ["b", "o", "d"] {
        tokio::time::sleep(Duration::from_millis(20)).await;
        caller.send(part).await;
    }
    let got = caller.answer().await;

    assert_eq!(status(&got), 408, "{got:?}");
    assert!(is_complete(&got), "{got:?}");
}

/// Guards against a host that ends while an answer is still on its way to a caller that reads slowly.
#[tokio::test]
async fn a_host_that_shuts_down_waits_for_callers_that_read_slowly() {
    let body = "x".repeat(3 << 20);
    let server = Server::start("i-1", [ScriptStep::Write(ok(&body))]).await;
    let host = host_with(configuration(), &server).await;
    let mut caller = connect_with_small_window(&host).await;
    caller.write_all(request("/unsafe/x", "").as_bytes()).await.unwrap();
    let answered = || host.relay.metrics().totals(Counter::RelayRequests).contains_key("answered");
    wire::wait_until("the answer to be complete", answered).await;

    host.relay.leave();
    let relay = host.relay.clone();
    let closing = tokio::spawn(async move { relay.close_connections().await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let waits = !closing.is_finished();
    let got = wire::read_answer(&mut caller).await;

    assert!(waits, "the host has ended before the answer was read");
    assert!(got.ends_with(&body), "{} bytes", got.len());
    assert!(closing.await.unwrap());
}

/// Guards against a stream whose server is taken for silent while its events wait for a caller that reads slowly.
#[tokio::test]
async fn a_caller_that_reads_slowly_gets_its_whole_stream_from_one_server() {
    // More than the systems of both sides buffer.
    let data = "x".repeat(256 << 10);
    let mut parts = vec![stream_head()];
    parts.extend((1..=30).map(|n| chunk(&event_with_data(n, &data))));
    parts.push("0\r\n\r\n".into());
    let first = Server::start("i-1", [ScriptStep::Write(parts.concat())]).await;
    let second = Server::start("i-2", [ScriptStep::Hang]).await;
    let mut cfg = configuration();
    cfg.routes.iter_mut().for_each(|route| route.timeout_ms = LONG_MS);
    let host = host_with(cfg, &first).await;
    host.set_servers_at(2, &[&first, &second]);
    let mut caller = connect_with_small_window(&host).await;
    let req = request("/stream/x", "").replace("3000", &LONG_MS.to_string());
    let req = req.replace("Key:", "Connection: close\r\nKey:");

    caller.write_all(req.as_bytes()).await.unwrap();
    // Longer than a server may be silent between two events.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let waits = host.relay.metrics().totals(Counter::RelayRequests).is_empty();
    let mut got = String::new();
    caller.read_to_string(&mut got).await.unwrap();

    assert!(waits, "nothing waited for the caller");
    assert_eq!(events(&got).len(), 30);
    assert!(is_complete(&got));
    assert_eq!((first.requests().len(), second.requests().len()), (1, 0));
    assert!(host.relay.metrics().totals(Counter::RelaySilences).is_empty());
}

/// Guards against a host that stands still, and then counts a limit before it reads what has arrived meanwhile.
#[tokio::test]
async fn a_host_that_stood_still_reads_before_it_counts_a_limit() {
    let server = server().await;
    let host = host_with(limited(1, |l| (l.head_ms, l.idle_ms) = (500, 500)), &server).await;
    let req = request("/unsafe/x", "body");
    for sent_before in [0, req.find("Key:").unwrap()] {
        let mut caller = host.connect().await;
        caller.send(&req[..sent_before]).await;
        tokio::time::sleep(Duration::from_millis(50)).await;

        caller.send(&req[sent_before..]).await;
        // The host's tasks share this thread.
        std::thread::sleep(Duration::from_millis(1_500));
        let got = caller.answer().await;

        assert_eq!(status(&got), 200, "{sent_before}: {got:?}");
    }
}

/// Guards against a host that ends while a request is still arriving, whose caller would not learn that it has not run.
#[tokio::test]
async fn a_request_that_arrives_while_a_host_shuts_down_is_refused_as_not_run() {
    let req = request("/unsafe/x", "body");
    for sent_before in [req.find("Key:").unwrap(), req.len() - 2] {
        let server = server().await;
        let host = host_with(configuration(), &server).await;
        let mut caller = host.connect().await;
        caller.send(&req[..sent_before]).await;
        tokio::time::sleep(Duration::from_millis(100)).await;

        host.relay.leave();
        let relay = host.relay.clone();
        let closing = tokio::spawn(async move { relay.close_connections().await });
        tokio::time::sleep(Duration::from_secs(1)).await;
        let waits = !closing.is_finished();
        caller.send(&req[sent_before..]).await;
        let got = caller.answer().await;

        assert_eq!((waits, status(&got)), (true, 503), "{sent_before}: {got:?}");
        assert!(closing.await.unwrap());
        assert!(server.requests().is_empty());
    }
}

/// Guards against connections that stay open for ever once their caller is gone without a word.
#[tokio::test]
async fn an_idle_connection_is_closed_after_the_limit() {
    let server = server().await;
    let host = host_with(limited(1, |l| l.idle_ms = 200), &server).await;
    let mut caller = host.connect().await;
    caller.send(&request("/unsafe/x", "")).await;
    caller.answer().await;

    assert_eq!(caller.answer().await, "");
}

/// Guards against a limit that ends a wait too early after a change: the idle limit counts until a byte arrives, the limit of
/// the head from then on, each the longest since the connection was opened.
#[test]
fn a_wait_for_a_head_ends_by_the_longest_limit_of_what_is_awaited() {
    let at = Duration::from_millis;
    let limits = |idle_ms, head_ms| CallerLimits { idle_ms, head_ms, ..CallerLimits::default() };
    let mut wait = HeadWait::new(at(0), limits(1_000, 300));
    assert_eq!(wait.deadline(), at(1_000));

    wait.extend(limits(2_000, 100));
    assert_eq!(wait.deadline(), at(2_000));

    wait.extend(limits(500, 200));
    assert_eq!(wait.deadline(), at(2_000));

    wait.hear(at(1_900), 1);
    wait.hear(at(2_100), 1);
    assert_eq!(wait.deadline(), at(2_200));

    wait.begin(at(3_000));
    assert_eq!(wait.deadline(), at(5_000));
}

/// Guards against a request that is read and dropped though it crosses the close of an idle connection, so that its caller
/// cannot know that it did not run.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
    let server = server().await;
    let host = host_with(limited(1, |l| l.idle_ms = LONG_MS), &server).await;
    let mut caller = TcpStream::connect(host.addr).await.unwrap();
    caller.write_all(request("/unsafe/x", "").as_bytes()).await.unwrap();
    wire::read_answer(&mut caller).await;
    host.relay.leave();
    host.relay.close_connections().await;

    let sending = async {
        while caller.write_all(request("/unsafe/y", "").as_bytes()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let reset = tokio::time::timeout(Duration::from_millis(500), sending).await;

    assert!(reset.is_ok(), "the host reads what comes after its close");
}
