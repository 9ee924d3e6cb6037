//! Invalid HTTP input: gets a clear error, is not executed and does not affect other requests.

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

const MAX_BODY_BYTES: usize = 64;
const BODY_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout that no test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

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

/// Echoes the body as a stream. Only the body `whole` is finished; any other is dropped without an end.
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
    start_with(BODY_TIMEOUT)
}

fn start_with(timeout: Duration) -> Fixture {
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let _guard = rt.enter();
    let echo = Arc::new(Echo::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = Limits::default()
        .with_max_body_bytes(MAX_BODY_BYTES)
        .with_max_bodies_bytes(2 * MAX_BODY_BYTES)
        .with_body_timeout(timeout)
        .with_head_timeout(timeout);
    let server = Server::start(listener, 1, limits, echo.clone()).unwrap();
    drop(_guard);
    Fixture { echo, server, _rt: rt }
}

fn send_raw(addr: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(bytes).unwrap();
    if half_close {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn invalid_bodies_get_an_error_and_are_not_executed() {
    let long = "x".repeat(MAX_BODY_BYTES + 1);
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
        let response = send_raw(fixture.server.addr(), bytes.as_bytes(), false);

        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{name}: {response:?}");
        assert!(response.contains("\"code\""), "{name}: {response:?}");
    }
    assert_eq!(fixture.echo.runs.load(Ordering::SeqCst), 0);
    fixture.server.close();
}

/// A caller's connection breaks while it sends a body. The received half of the request must not be executed.
#[test]
fn a_truncated_body_is_not_executed() {
    let fixture = start();

    for head in ["content-length: 9\r\n\r\nhalf", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"] {
        let bytes = format!("POST / HTTP/1.1\r\nhost: a\r\n{head}");
        send_raw(fixture.server.addr(), bytes.as_bytes(), true);
    }

    assert_eq!(fixture.echo.runs.load(Ordering::SeqCst), 0);
    fixture.server.close();
}

#[test]
fn invalid_http_is_not_executed() {
    let cases: [&[u8]; 4] = [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"POST / HTTP/1.1\r\nbad header\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -4\r\n\r\nabcd",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcd",
    ];
    let fixture = start();
    for bytes in cases {
        let response = send_raw(fixture.server.addr(), bytes, true);

        assert!(!response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
    assert_eq!(fixture.echo.runs.load(Ordering::SeqCst), 0);
    fixture.server.close();
}

/// A client sends a second request before the response to the first. Each response must belong to its own request, in
/// order.
#[test]
fn pipelined_requests_get_their_own_answers() {
    let fixture = start();
    let one = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none";
    let two = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 3\r\n\r\ntwo";

    let response = send_raw(fixture.server.addr(), format!("{one}{two}").as_bytes(), false);

    let (first, second) = (response.find("one").unwrap(), response.find("two").unwrap());
    assert!(first < second, "{response:?}");
    assert_eq!(response.matches("HTTP/1.1 200").count(), 2);
    fixture.server.close();
}

/// A router is stopped a second time while it streams a response, so the task that sends the body is dropped. The
/// chunked body must not end normally, or the caller takes half of it for the complete body.
#[test]
fn a_streamed_response_is_complete_only_if_finished() {
    let fixture = start();
    for (body, ended) in [("whole", true), ("part", false)] {
        let head = format!("POST /stream HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n", body.len());
        let bytes = format!("{head}connection: close\r\n\r\n{body}");
        let response = send_raw(fixture.server.addr(), bytes.as_bytes(), false);

        assert!(response.contains(body), "{body}: {response:?}");
        assert_eq!(response.ends_with("\r\n0\r\n\r\n"), ended, "{body}: {response:?}");
    }
    fixture.server.close();
}

/// Guards against bodies that take up the memory together: many of the largest size that stop short of their end.
#[test]
fn many_bodies_share_the_memory_for_them() {
    let fixture = start_with(LONG_TIMEOUT);
    let addr = fixture.server.addr();
    let head = |bytes: usize| {
        format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n")
    };
    let (tx, answers) = std::sync::mpsc::channel();
    let held: Vec<_> = (0..4).map(|_| TcpStream::connect(addr).unwrap()).collect();
    for stream in &held {
        let (mut stream, tx) = (stream.try_clone().unwrap(), tx.clone());
        stream.write_all(head(MAX_BODY_BYTES).as_bytes()).unwrap();
        std::thread::spawn(move || {
            let mut response = Vec::new();
            let _ = stream.read_to_end(&mut response);
            let _ = tx.send(String::from_utf8_lossy(&response).into_owned());
        });
    }

    let refused: Vec<_> = answers.iter().take(3).collect();
    let short = send_raw(addr, (head(4) + "body").as_bytes(), false);
    held.iter().for_each(|stream| stream.shutdown(Shutdown::Both).unwrap_or_default());
    let longest = head(MAX_BODY_BYTES) + &"x".repeat(MAX_BODY_BYTES);
    while !send_raw(addr, longest.as_bytes(), false).starts_with("HTTP/1.1 200") {}

    assert!(refused.iter().all(|a| a.starts_with("HTTP/1.1 503") && a.contains("no_room")), "{refused:?}");
    assert!(short.starts_with("HTTP/1.1 200"), "{short}");
    fixture.server.close();
}
