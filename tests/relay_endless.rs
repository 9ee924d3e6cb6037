//! Backend servers that send bytes without end, over sockets and the platform's wire format.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::{Duration, Instant};

use cranberrytally::{
    metrics::Counter,
    relay::{
        head_limit::{HeadCounter, HeadLimited, HeadTooLong, MAX_HEAD_BYTES},
        stream::{READ_BURST, READS_PER_SECOND},
    },
};
use relay_support::RunningHost;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};
use wire::{
    Host, ScriptStep, Server, chunk, event, events, is_complete, not_run, ok, request, status, stream_head,
};

/// Server that sends these bytes again and again after the first ones.
async fn endless(first: impl Into<String>, unit: &'static str) -> Server {
    Server::start("i-1", [ScriptStep::WriteWithoutEnd(first.into(), unit)]).await
}

/// Guards against informational answers without end, which hyper skips until the deadline, and header lines without end.
#[tokio::test]
async fn what_precedes_an_answer_is_bounded() {
    let cases = [("", "HTTP/1.1 103 Early Hints\r\n\r\n"), ("HTTP/1.1 200 OK\r\n", "A: b\r\n"), ("", "x")];
    for (first, unit) in cases {
        let (server, other) = (endless(first, unit).await, Server::start("i-2", answering()).await);
        let host = Host::with_servers(&[&server, &other]).await;

        let refused = host.call(&request("/unsafe/x", "body")).await;
        let repeated = host.call(&request("/safe/x", "body")).await;

        assert_eq!((status(&refused), status(&repeated)), (502, 200), "{unit}: {refused}{repeated}");
        wire::wait_until("the connection to be closed", || server.closed_connections() > 0).await;
    }
}

fn answering() -> [ScriptStep; 1] {
    [ScriptStep::Write(ok("fine"))]
}

/// Guards against a limit that ends an answer whose head is short and whose body is long.
#[tokio::test]
async fn a_body_does_not_count_as_the_head() {
    let body = "x".repeat(4 * MAX_HEAD_BYTES);
    let server = Server::start("i-1", [ScriptStep::Write(ok(&body))]).await;
    let host = Host::with_servers(&[&server]).await;

    for _ in 0..3 {
        let answer = host.call(&request("/unsafe/x", "")).await;

        assert_eq!(status(&answer), 200);
        assert!(answer.ends_with(&body));
    }
    assert_eq!(host.relay.metrics().totals(Counter::RelayRetries), Default::default());
}

/// Guards against a limit that is exceeded by more than one read, or that counts what is read after the head.
#[tokio::test]
async fn reads_fail_once_the_limit_is_reached() {
    const READ_BYTES: usize = 1_000;
    let counter = HeadCounter::default();
    let mut conn =
        HeadLimited::new(tokio::io::join(tokio::io::repeat(b'x'), tokio::io::sink()), counter.clone());
    let mut buf = [0; READ_BYTES];

    let mut read = Vec::new();
    for _ in 0..2 {
        counter.begin();
        let mut bytes = 0;
        let e = loop {
            match conn.read(&mut buf).await {
                Ok(n) => bytes += n,
                Err(e) => break e,
            }
        };
        assert!(e.get_ref().unwrap().is::<HeadTooLong>());
        read.push(bytes);
    }
    counter.end();
    let after_head = conn.read(&mut buf).await.unwrap();

    assert!(read.iter().all(|n| (MAX_HEAD_BYTES..MAX_HEAD_BYTES + READ_BYTES).contains(n)), "{read:?}");
    assert_eq!(after_head, READ_BYTES);
}

/// Head of an answer with a chunked body.
fn chunked_head() -> String {
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n".into()
}

/// Head of an answer that is as long as this.
fn head_of(content_length: &str) -> String {
    chunked_head().replace("Transfer-Encoding: chunked", &format!("Content-Length: {content_length}"))
}

/// Answers that are longer than a host buffers, or whose chunks break the rules of HTTP without end.
fn endless_bodies() -> Vec<(String, &'static str)> {
    let failing = |head: String| head.replace("200 OK", "500 Internal Server Error");
    vec![
        (chunked_head(), "4\r\nabcd\r\n"),
        (failing(chunked_head()), "4\r\nabcd\r\n"),
        (head_of("1000000000000"), "abcd"),
        (failing(head_of("1000000000000")), "abcd"),
        // Without a length, the body ends with the connection.
        (head_of("1").replace("Content-Length: 1\r\n", ""), "abcd"),
        (chunked_head() + "4;", "extension=1;"),
        (chunked_head() + "0", "0"),
        (chunked_head() + "0\r\n", "Trailer: 1\r\n"),
    ]
}

/// Guards against a body without end that is taken for a crash of its server, for which the request and those that share
/// parts with it are refused.
#[tokio::test]
async fn a_body_without_end_is_no_crash() {
    for (first, unit) in endless_bodies() {
        let step = ScriptStep::WriteWithoutEnd(first.clone(), unit);
        let servers =
            [Server::start("i-1", [step.clone()]).await, Server::start("i-2", [step.clone()]).await];
        let host = Host::with_servers(&[&servers[0], &servers[1]]).await;

        let mut answers = Vec::new();
        for _ in 0..5 {
            answers.push(host.call(&request("/unsafe/x", "body")).await);
        }

        let sum = |count: fn(&Server) -> usize| servers.iter().map(count).sum::<usize>();
        assert!(answers.iter().all(|a| status(a) == 502), "{first}{unit}: {answers:?}");
        assert_eq!(sum(|s| s.requests().len()), answers.len(), "{first}{unit}");
        // Another connection would be opened to find out whether the server has crashed.
        assert_eq!(sum(Server::connections), answers.len(), "{first}{unit}");
    }
}

/// Guards against a server that goes on to get most requests while it answers all of them without end.
#[tokio::test]
async fn a_server_that_sends_without_end_gets_few_requests() {
    const REQUESTS: usize = 20;
    let mut cases = endless_bodies();
    cases.push((String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"));
    for (first, unit) in cases {
        let (server, other) = (endless(first.clone(), unit).await, Server::start("i-2", answering()).await);
        let host = Host::with_servers(&[&server, &other]).await;

        let mut served = 0;
        for _ in 0..REQUESTS {
            served += usize::from(status(&host.call(&request("/safe/x", "body")).await) == 200);
        }

        assert_eq!(served, REQUESTS, "{first}{unit}");
        assert!(server.requests().len() <= REQUESTS / 4, "{first}{unit}: {}", server.requests().len());
    }
}

/// Guards against answers that exceed the memory of a host together: there is room for short ones beside long ones, of which
/// those that take too much are given up.
#[tokio::test]
async fn answers_share_the_buffer_memory_of_a_host() {
    const BUFFER_BYTES: usize = 512 << 10;
    const FLOODS: usize = 4;
    let react = |req: &str, _| {
        if req.starts_with("POST /unsafe/short ") {
            ScriptStep::Write(ok(&"x".repeat(16 << 10)))
        } else if req.starts_with("POST /unsafe/long ") {
            ScriptStep::Write(ok(&"x".repeat(BUFFER_BYTES)))
        } else {
            ScriptStep::WriteWithoutEnd(
                chunked_head(),
                "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n",
            )
        }
    };
    let server = Server::reacting("i-1", react).await;
    let host = Host::with_buffer_bytes(BUFFER_BYTES).await;
    host.relay.set_configuration(wire::configuration(), "test");
    host.set_servers(&[&server]);

    let floods = (0..FLOODS).map(|_| async { status(&host.call(&request("/unsafe/endless", "")).await) });
    let floods = futures_util::future::join_all(floods);
    let short = request("/unsafe/short", "");
    let (floods, short) = tokio::join!(floods, host.call(&short));
    let long = host.call(&request("/unsafe/long", "")).await;

    assert_eq!((floods, status(&short), status(&long)), (vec![502; FLOODS], 200, 502));
    wire::wait_until("the memory to be given back", || host.relay.buffered_bytes() == 0).await;
}

/// Guards against a stream with an event without end: it ends without that event, or goes on at another server if its route
/// allows that.
#[tokio::test]
async fn an_event_without_end_is_not_passed_on() {
    let first = stream_head() + &chunk(&event(1));
    let rest = stream_head() + &chunk(&event(2)) + "0\r\n\r\n";
    for (path, whole) in [("/once/x", false), ("/stream/x", true)] {
        let server = endless(first.clone(), "4\r\nabcd\r\n").await;
        let other = Server::start("i-2", [ScriptStep::Write(rest.clone())]).await;
        let host = Host::with_servers(&[&server, &other]).await;

        let answer = host.call(&request(path, "body")).await;

        let expected = if whole { vec!["e1", "e2"] } else { vec!["e1"] };
        assert_eq!((events(&answer), is_complete(&answer)), (expected, whole), "{path}");
        wire::wait_until("the connection to be closed", || server.closed_connections() > 0).await;
    }
}

/// Guards against the body of a refusal without end, which is read so that its connection can be used again.
#[tokio::test]
async fn a_refusal_without_end_costs_its_connection_only() {
    let refusal = not_run().replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let (server, other) = (endless(refusal, "4\r\nabcd\r\n").await, Server::start("i-2", answering()).await);
    let host = Host::with_servers(&[&server, &other]).await;

    let answer = host.call(&request("/unsafe/x", "body")).await;

    assert_eq!(status(&answer), 200, "{answer}");
    wire::wait_until("the connection to be closed", || server.closed_connections() > 0).await;
    assert_eq!(host.relay.buffered_bytes(), 0);
}

/// Guards against bytes after a complete answer that are read without end, or taken for the answer to the next request.
#[tokio::test]
async fn bytes_after_an_answer_end_its_connection() {
    for unit in ["HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "abcd"] {
        let server = endless(ok("fine"), unit).await;
        let host = Host::with_servers(&[&server]).await;

        for sent in 1..4 {
            let answer = host.call(&request("/unsafe/x", "body")).await;

            assert_eq!(status(&answer), 200, "{answer}");
            assert!(answer.ends_with("fine"));
            wire::wait_until("the connection to be closed", || server.closed_connections() == sent).await;
        }
    }
}

/// Guards against a host that is sent requests of megabytes by others, many at a time.
#[tokio::test]
async fn a_long_request_of_another_host_is_not_read() {
    const REQUEST_BYTES: u32 = 64 << 10;
    let host = RunningHost::start("host-1", &[]).await;
    let mut stream = TcpStream::connect(host.peers_at).await.unwrap();

    stream.write_all(&REQUEST_BYTES.to_le_bytes()).await.unwrap();
    // The other side may have closed the connection.
    let _ = stream.write_all(&[0; REQUEST_BYTES as usize]).await;

    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert_eq!(answer, Vec::<u8>::new());
}

/// Guards against a stream of tiny complete events without end that takes up the processor until its deadline.
#[tokio::test]
async fn events_without_end_are_read_at_a_bounded_rate() {
    const CHUNK: &str = "c\r\nid: 1\ndata\n\n\r\n";
    let server = endless(stream_head(), CHUNK).await;
    let host = Host::with_servers(&[&server]).await;
    let request = request("/once/x", "").replace("Request-Deadline: 3000", "Request-Deadline: 500");
    let started = Instant::now();

    let mut stream = TcpStream::connect(host.addr).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let reading = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut answer));
    assert!(reading.await.is_ok(), "the stream goes on after its deadline");

    let events = answer.windows(4).filter(|w| w == b"data").count();
    let max_events = READ_BURST + READS_PER_SECOND * started.elapsed().as_secs_f64();
    assert!(events > 0);
    assert!(events as f64 <= max_events + 1.0, "{events} events, at most {max_events}");
}

/// Guards against answers of a sound server that are given up because callers read others slowly.
#[tokio::test]
async fn callers_that_read_slowly_cost_others_no_answers() {
    const CALLERS: usize = 12;
    const LONG_BYTES: usize = 1 << 20;
    let server = Server::reacting("i-1", |_, _| ScriptStep::Write(ok(&"x".repeat(LONG_BYTES)))).await;
    let host = Host::with_buffer_bytes(8 * LONG_BYTES).await;
    host.relay.set_configuration(wire::configuration(), "test");
    host.set_servers(&[&server]);
    let slow_call = async || {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        let mut caller = socket.connect(host.addr).await.unwrap();
        caller.write_all(request("/unsafe/x", "").as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        status(&wire::read_answer(&mut caller).await)
    };

    let statuses = futures_util::future::join_all((0..CALLERS).map(|_| slow_call())).await;

    assert_eq!(statuses, [200; CALLERS]);
}
