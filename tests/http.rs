//! Bad input over HTTP: a clear error, nothing run, nothing leaked to another caller.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cranberrytally::http::{Handler, Limits, Reply, Server, body_channel};
use http::Request;

const BODY_LIMIT: usize = 64;
const BODY_TIME: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Echo {
    runs: AtomicU32,
}

impl Handler for Echo {
    async fn handle(&self, req: Request<Bytes>, _: SocketAddr) -> Reply {
        self.runs.fetch_add(1, Ordering::SeqCst);
        if req.uri().path() == "/stream" {
            return stream(req.into_body());
        }
        Reply::full(200, req.into_body())
    }
}

/// Sends the body on and lets go of it; the body `whole` is ended as it should be.
fn stream(body: Bytes) -> Reply {
    let (tx, rx) = body_channel(1);
    tokio::spawn(async move {
        let whole = body == "whole";
        let _ = tx.send(body).await;
        if whole {
            tx.finish().await;
        }
    });
    Reply::stream(200, rx)
}

struct Fixture {
    echo: Arc<Echo>,
    server: Server,
    _rt: tokio::runtime::Runtime,
}

fn start() -> Fixture {
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let _guard = rt.enter();
    let echo = Arc::new(Echo::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = Limits::default()
        .with_max_body_bytes(BODY_LIMIT)
        .with_body_timeout(BODY_TIME)
        .with_head_timeout(BODY_TIME);
    let server = Server::start(listener, 1, limits, echo.clone()).unwrap();
    drop(_guard);
    Fixture { echo, server, _rt: rt }
}

fn talk(addr: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(bytes).unwrap();
    if half_close {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn bad_requests_get_a_clear_error_and_run_nothing() {
    let long = "x".repeat(BODY_LIMIT + 1);
    let cases = [
        (
            "body over the limit",
            format!(
                "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{long}",
                long.len()
            ),
            "413",
        ),
        (
            "chunks",
            format!(
                "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{long}\r\n0\r\n\r\n",
                long.len()
            ),
            "411",
        ),
        (
            "slow body",
            "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 5\r\n\r\nab".to_owned(),
            "408",
        ),
    ];
    let fixture = start();
    for (name, bytes, status) in cases {
        let answer = talk(fixture.server.addr(), bytes.as_bytes(), false);

        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{name}: {answer:?}");
        assert!(answer.contains("\"code\""), "{name}: {answer:?}");
    }
    assert_eq!(fixture.echo.runs.load(Ordering::SeqCst), 0);
    fixture.server.close();
}

/// A caller's roaming link breaks while it still sends its body. The connection closes early and the
/// half of a request that arrived must not run: a save cut in the middle is no save.
#[test]
fn a_body_that_ends_early_does_not_run() {
    let fixture = start();

    for head in ["content-length: 9\r\n\r\nhalf", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"] {
        let bytes = format!("POST / HTTP/1.1\r\nhost: a\r\n{head}");
        talk(fixture.server.addr(), bytes.as_bytes(), true);
    }

    assert_eq!(fixture.echo.runs.load(Ordering::SeqCst), 0);
    fixture.server.close();
}

#[test]
fn what_is_no_http_runs_nothing() {
    let cases: [&[u8]; 4] = [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"POST / HTTP/1.1\r\nbad header\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -4\r\n\r\nabcd",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcd",
    ];
    let fixture = start();
    for bytes in cases {
        let answer = talk(fixture.server.addr(), bytes, true);

        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
    assert_eq!(fixture.echo.runs.load(Ordering::SeqCst), 0);
    fixture.server.close();
}

/// Two callers share a connection through a careless client: the second request is sent before the first is
/// answered. Each answer must hold the body of its own request, in order.
#[test]
fn pipelined_requests_get_their_own_answers() {
    let fixture = start();
    let one = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none";
    let two = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 3\r\n\r\ntwo";

    let answer = talk(fixture.server.addr(), format!("{one}{two}").as_bytes(), false);

    let (first, second) = (answer.find("one").unwrap(), answer.find("two").unwrap());
    assert!(first < second, "{answer:?}");
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 2);
    fixture.server.close();
}

/// A guest loads their bookings while the router is stopped a second time. The task that relays the list is dropped
/// half-way, and its end must not be the proper end of a chunked body, or half a list looks like the whole one.
#[test]
fn a_streamed_answer_is_whole_only_when_it_was_finished() {
    let fixture = start();
    for (body, ended) in [("whole", true), ("part", false)] {
        let head = format!("POST /stream HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n", body.len());
        let bytes = format!("{head}connection: close\r\n\r\n{body}");
        let answer = talk(fixture.server.addr(), bytes.as_bytes(), false);

        assert!(answer.contains(body), "{body}: {answer:?}");
        assert_eq!(answer.ends_with("\r\n0\r\n\r\n"), ended, "{body}: {answer:?}");
    }
    fixture.server.close();
}
