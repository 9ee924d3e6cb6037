//! What callers and backend servers observe when a backend server fails, over sockets and the platform's wire
//! format.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::Instant;

use cranberrytally::metrics::Counter;
use tokio::net::TcpSocket;
use wire::{
    Host, ScriptStep, Server, answer, chunk, event, events, is_complete, not_run, ok, request, status,
    stream_head,
};

/// A fault of the server that is asked first.
struct Case {
    name: &'static str,
    act: ScriptStep,
    /// Whether a non-idempotent request is sent to the second server.
    unsafe_is_retried: bool,
    /// Status of a non-idempotent request.
    unsafe_status: u16,
}

fn cases() -> Vec<Case> {
    let case =
        |name, act, unsafe_is_retried, unsafe_status| Case { name, act, unsafe_is_retried, unsafe_status };
    let foreign = ok("other").replace("{id}", "r0");
    let unsigned = ok("unsigned").replace("Response-Seal: s1\r\n", "");
    let switched = answer("101 Switching Protocols", "");
    let encoded = ok("encoded").replace("Content-Length: 7", "Transfer-Encoding: gzip");
    let moved = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-x\r\nContent-Length: 0\r\n\r\n";
    vec![
        case("says that it did not run the request", ScriptStep::Write(not_run()), true, 200),
        case("is another server", ScriptStep::Write(moved.into()), true, 200),
        case("resets before an answer", ScriptStep::WriteAndReset(String::new()), false, 502),
        case("closes before an answer", ScriptStep::WriteAndClose(String::new()), false, 502),
        case("cuts the body", ScriptStep::WriteAndClose(ok("whole").replace("whole", "wh")), false, 502),
        case("answers another request", ScriptStep::Write(foreign), false, 502),
        case("answers without its signature", ScriptStep::Write(unsigned), false, 502),
        case("switches protocols though nobody asked for it", ScriptStep::Write(switched), false, 502),
        case("encodes its answer for the connection", ScriptStep::WriteAndClose(encoded), false, 502),
        case(
            "writes bytes that are no answer",
            ScriptStep::WriteAndClose("garbage\r\n\r\n".into()),
            false,
            502,
        ),
    ]
}

/// A server fails one request in each known way. An idempotent request is answered by the next server. A
/// non-idempotent one runs on a second server only if the first proved that it did not run it; otherwise it ends
/// with a status that makes no such claim.
#[tokio::test]
async fn a_request_is_retried_elsewhere_only_if_that_is_safe() {
    for case in cases() {
        for (path, is_retried, expected) in
            [("/safe/x", true, 200), ("/unsafe/x", case.unsafe_is_retried, case.unsafe_status)]
        {
            let first = Server::start("i-1", [case.act.clone()]).await;
            let second = Server::start("i-2", [ScriptStep::Write(ok("fine"))]).await;
            let host = Host::with_servers(&[&first, &second]).await;

            let answer = host.call(&request(path, "body")).await;

            let name = format!("{path}: a server that {}", case.name);
            assert_eq!(status(&answer), expected, "{name}: {answer}");
            assert_eq!(first.requests().len(), 1, "{name}");
            assert_eq!(second.requests().len(), usize::from(is_retried), "{name}");
        }
    }
}

/// An error of the server itself is its answer. The caller gets it with its signature: at once for a non-idempotent
/// request, and after another server has failed as well for an idempotent one.
#[tokio::test]
async fn an_error_of_the_server_is_passed_on_unchanged() {
    for (path, attempts) in [("/unsafe/x", 1), ("/safe/x", 2)] {
        let first =
            Server::start("i-1", [ScriptStep::Write(answer("500 Internal Server Error", "no"))]).await;
        let second =
            Server::start("i-2", [ScriptStep::Write(answer("500 Internal Server Error", "no"))]).await;
        let host = Host::with_servers(&[&first, &second]).await;

        let answer = host.call(&request(path, "")).await;

        assert_eq!(status(&answer), 500);
        assert_eq!(wire::header(&answer, "response-seal").as_deref(), Some("s1"));
        assert_eq!(first.requests().len() + second.requests().len(), attempts, "{path}");
    }
}

/// No server can be reached: nothing has run, so that the caller gets a status that says so and when to retry.
#[tokio::test]
async fn an_unreachable_server_is_reported_as_not_run() {
    // The port stays bound without accepting connections, so that no other test can get it.
    let bound = TcpSocket::new_v4().unwrap();
    bound.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut gone = Server::start("i-1", [ScriptStep::Hang]).await;
    gone.addr = bound.local_addr().unwrap();
    let host = Host::with_servers(&[&gone]).await;

    let answer = host.call(&request("/unsafe/x", "")).await;

    drop(bound);
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(wire::header(&answer, "retry-after").is_some());
}

/// A server writes a second answer after a complete one. Those bytes belong to no request and must not reach the
/// next one, which is therefore sent on another connection.
#[tokio::test]
async fn extra_bytes_after_an_answer_are_discarded() {
    let extra = ok("first") + &ok("extra");
    let server = Server::start("i-1", [ScriptStep::Write(extra), ScriptStep::Write(ok("second"))]).await;
    let host = Host::with_servers(&[&server]).await;

    let first = host.call(&request("/unsafe/x", "")).await;
    let second = host.call(&request("/unsafe/x", "").replace("r1", "r2")).await;

    assert!(first.ends_with("first"), "{first}");
    assert!(second.ends_with("second"), "{second}");
}

/// A server closes a connection that was kept idle. The next request detects that before it is written and is sent
/// on a new connection, even if it is not idempotent.
#[tokio::test]
async fn a_closed_idle_connection_fails_no_request() {
    let server = Server::start("i-1", [ScriptStep::WriteAndClose(ok("a")), ScriptStep::Write(ok("b"))]).await;
    let host = Host::with_servers(&[&server]).await;
    host.call(&request("/unsafe/x", "")).await;
    wire::wait_until("the close", || host.relay.idle_connections() == 0).await;

    let answer = host.call(&request("/unsafe/x", "")).await;

    assert!(answer.ends_with('b'), "{answer}");
}

/// A server breaks off a stream in the middle of its third event. The stream continues from another server after
/// the second event, within the same answer, and the caller gets each event once.
#[tokio::test]
async fn a_resumable_stream_continues_after_its_last_complete_event() {
    let begun = stream_head() + &chunk(&event(1)) + &chunk(&event(2)) + &chunk("id: 3\nda");
    let rest = stream_head() + &chunk(&event(3)) + &chunk(&event(4)) + "0\r\n\r\n";
    let first = Server::start("i-1", [ScriptStep::WriteAndReset(begun)]).await;
    let second = Server::start("i-2", [ScriptStep::Write(rest)]).await;
    let host = Host::with_servers(&[&first, &second]).await;

    let answer = host.call(&request("/stream/x", "")).await;

    assert_eq!(events(&answer), ["e1", "e2", "e3", "e4"]);
    assert!(is_complete(&answer), "{answer}");
    assert_eq!(wire::header(&second.requests()[0], "last-event-id").as_deref(), Some("2"));
}

/// The server that takes over a stream resumes it at a different event than requested. The caller must not miss
/// events or get some twice, so that the stream is visibly truncated.
#[tokio::test]
async fn a_stream_resumed_at_the_wrong_event_is_truncated() {
    for number in [2, 4] {
        let begun = stream_head() + &chunk(&event(1)) + &chunk(&event(2));
        let rest = stream_head() + &chunk(&event(number)) + "0\r\n\r\n";
        let first = Server::start("i-1", [ScriptStep::WriteAndReset(begun)]).await;
        let second = Server::start("i-2", [ScriptStep::Write(rest)]).await;
        let host = Host::with_servers(&[&first, &second]).await;

        let answer = host.call(&request("/stream/x", "")).await;

        assert_eq!(events(&answer), ["e1", "e2"], "{number}");
        assert!(!is_complete(&answer), "{number}");
    }
}

/// A stream that is not resumable breaks off. As it may have run, it is not sent again, and the caller gets
/// complete events and then a broken connection, never a regular end.
#[tokio::test]
async fn a_stream_that_is_not_resumable_is_visibly_truncated() {
    let begun = stream_head() + &chunk(&event(1)) + &chunk("id: 2\n");
    let first = Server::start("i-1", [ScriptStep::WriteAndClose(begun)]).await;
    let second = Server::start("i-2", [ScriptStep::Write(ok("fine"))]).await;
    let host = Host::with_servers(&[&first, &second]).await;

    let answer = host.call(&request("/once/x", "")).await;

    assert_eq!(events(&answer), ["e1"]);
    assert!(!is_complete(&answer), "{answer}");
    assert_eq!(second.requests().len(), 0);
}

/// A caller disconnects while its answer is pending. The server's connection is closed, so that it stops working on
/// the request.
#[tokio::test]
async fn the_server_connection_closes_when_the_caller_disconnects() {
    let server = Server::start("i-1", [ScriptStep::Hang]).await;
    let host = Host::with_servers(&[&server]).await;
    let mut caller = host.connect().await;
    caller.send(&request("/once/x", "")).await;
    wire::wait_until("the request", || server.requests().len() == 1).await;

    drop(caller);

    wire::wait_until("the close of the server's connection", || server.closed_connections() == 1).await;
}

/// A content crashes every server that starts to run it, and its caller keeps sending it. It is refused, as not
/// run, once it has crashed three servers; other requests of the same caller are still answered.
#[tokio::test]
async fn a_content_that_crashes_servers_is_quarantined() {
    let mut servers = Vec::new();
    for i in 0..5 {
        servers.push(Server::start(&format!("i-{i}"), [ScriptStep::Crash]).await);
    }
    let host = Host::with_servers(&servers.iter().collect::<Vec<_>>()).await;

    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(status(&host.call(&request("/unsafe/x", "crash")).await));
    }
    let runs: usize = servers.iter().map(|s| s.requests().len()).sum();
    let healthy = Server::start("i-9", [ScriptStep::Write(ok("fine"))]).await;
    host.add_server(&healthy);
    let other = host.call(&request("/unsafe/x", "harmless")).await;

    assert_eq!(statuses, [502, 502, 502, 503]);
    assert_eq!(runs, 3);
    assert_eq!(host.relay.metrics().totals(Counter::RelayRefusals).get("quarantined"), Some(&1));
    assert_eq!(status(&other), 200);
}

/// All servers are full and refuse. Callers used their only retry after 200 ms and met the same, all of them
/// together; they are now asked to retry later, but not after more than a third of their time.
#[tokio::test]
async fn a_caller_that_found_all_servers_full_is_asked_to_retry_late() {
    let server = Server::start("i-1", [ScriptStep::Write(not_run())]).await;
    let host = Host::with_servers(&[&server]).await;
    let begun = Instant::now();

    let answer = host.call(&request("/unsafe/x", "")).await;

    // The fixture's caller allows 3 s, part of which the refused attempts have taken; the header is rounded to a
    // millisecond.
    let left = 3.0 - begun.elapsed().as_secs_f64();
    let after: f64 = wire::header(&answer, "retry-after").unwrap().parse().unwrap();
    assert_eq!(status(&answer), 503, "{answer}");
    assert!((left / 6.0 - 0.000_5..=3.0 / 3.0).contains(&after), "{after} s with {left} s of 3 s left");
}

/// Head of an answer with neither a length nor chunks, which ends with its connection.
fn unframed_head(content_type: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nResponse-Seal: s1\r\nContent-Type: {content_type}\r\n\r\n"
    )
}

/// Guards against a stream without length or chunks that is taken for broken off when its connection ends, and against another
/// request on that connection.
#[tokio::test]
async fn a_stream_without_framing_ends_with_its_connection() {
    let stream = unframed_head("text/event-stream") + &event(1) + &event(2);
    let server = Server::start("i-1", [ScriptStep::WriteAndClose(stream)]).await;
    let host = Host::with_servers(&[&server]).await;

    let answers = [host.call(&request("/stream/x", "")).await, host.call(&request("/stream/x", "")).await];

    for answer in &answers {
        assert!(is_complete(answer), "{answer}");
        assert_eq!(events(answer), ["e1", "e2"]);
    }
    assert_eq!((server.requests().len(), host.relay.idle_connections()), (2, 0));
}

/// Guards against a stream that ends inside an event, or is reset, and is taken for complete.
#[tokio::test]
async fn a_stream_without_framing_that_breaks_off_goes_on_elsewhere() {
    let begun = unframed_head("text/event-stream") + &event(1);
    let inside = ScriptStep::WriteAndClose(begun.clone() + "id: 2\ndata: e");
    for broken in [inside, ScriptStep::WriteAndReset(begun)] {
        let first = Server::start("i-1", [broken.clone()]).await;
        let rest = stream_head() + &chunk(&event(2)) + &chunk("");
        let second = Server::start("i-2", [ScriptStep::Write(rest)]).await;
        let host = Host::with_servers(&[&first, &second]).await;

        let answer = host.call(&request("/stream/x", "")).await;

        assert!(is_complete(&answer), "{broken:?}: {answer}");
        assert_eq!(events(&answer), ["e1", "e2"], "{broken:?}");
    }
}

/// Guards against a plain answer without a length that is cut short by a reset and passed on as whole.
#[tokio::test]
async fn a_plain_answer_without_length_is_whole_unless_it_is_reset() {
    let whole = Server::start("i-1", [ScriptStep::WriteAndClose(unframed_head("text/plain") + "fine")]).await;
    let cut = Server::start("i-1", [ScriptStep::WriteAndReset(unframed_head("text/plain") + "fi")]).await;

    let fine = Host::with_servers(&[&whole]).await.call(&request("/unsafe/x", "")).await;
    let broken = Host::with_servers(&[&cut]).await.call(&request("/unsafe/x", "")).await;

    assert_eq!((status(&fine), fine.ends_with("fine")), (200, true), "{fine}");
    assert_eq!(status(&broken), 502, "{broken}");
}

/// Guards against a success that loses its server's signature, because the server lists it among the headers of the connection.
#[tokio::test]
async fn a_signature_is_passed_on_though_it_is_listed_as_one_of_the_connection() {
    let listed = ok("fine").replacen("\r\n", "\r\nConnection: Response-Seal, X-Hop\r\nX-Hop: 1\r\n", 1);
    let server = Server::start("i-1", [ScriptStep::Write(listed)]).await;
    let host = Host::with_servers(&[&server]).await;

    let answer = host.call(&request("/unsafe/x", "")).await;

    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(wire::header(&answer, "response-seal").as_deref(), Some("s1"), "{answer}");
    assert_eq!(wire::header(&answer, "x-hop"), None, "{answer}");
}
