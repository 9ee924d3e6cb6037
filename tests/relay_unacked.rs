//! Paths to backend servers on which written bytes are not acknowledged.

use std::{
    os::fd::AsFd,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cranberrytally::{
    metrics::{Counter, Metrics},
    relay::{
        attempts::Failure,
        cut::CutCause,
        pool,
        server_socket::{ReadState, ServerSocket, SocketLabel, UNREADABLE_TIMEOUT},
        unacked::{LOOK_INTERVAL, MIN_UNANSWERED_PROBES, UNACKED_TIMEOUT, Unacked, Verdict},
    },
};
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tcp_state::{SendState, send_state};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Number of bytes written in all, none of which is acknowledged at first.
const WRITTEN: u64 = 1_000;
/// Number of bytes of which only a part fits into the server's buffer.
const LONG_BODY: usize = 60_000;
/// Number of bytes that do not fit into the buffers of both ends.
const BLOCKING_BODY: usize = 16 << 20;
/// Size of the server's receive buffer, in bytes.
const RECEIVE_BUFFER: usize = 4_096;
/// Time after which a wait on loopback fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which paths are watched, much longer than the timeout.
const WATCHED: Duration = Duration::from_secs(20);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// State of a platform that reports no acknowledgements, with this many packets in flight.
fn in_flight(unacked_packets: u32) -> SendState {
    SendState {
        unacked_packets,
        unanswered_probes: 0,
        unacked_bytes: WRITTEN,
        since_data_sent: Duration::ZERO,
        since_ack_received: Duration::ZERO,
    }
}

/// State with a closed window and this many unanswered probes.
fn closed_window(unanswered_probes: u32) -> SendState {
    SendState { unanswered_probes, ..in_flight(0) }
}

/// Looks at a socket whenever it is time, from the write at time zero on, until the verdict is other than to wait; returns
/// when that was.
fn look_until_decided(state: impl Fn(Duration) -> SendState) -> Option<(Duration, Verdict)> {
    let mut unacked = Unacked::new(Duration::ZERO, 0);
    while unacked.look_at() < WATCHED {
        let now = unacked.look_at();
        match unacked.look(now, &state(now), WRITTEN) {
            Verdict::Wait => assert!(unacked.look_at() > now),
            verdict => return Some((now, verdict)),
        }
    }
    None
}

/// Guards against a server without power that is noticed later than after the timeout.
#[test]
fn bytes_in_flight_that_are_never_acknowledged_end_a_connection_after_the_timeout() {
    let reported = |now| SendState { since_ack_received: now + at(1), since_data_sent: now, ..in_flight(3) };

    let decided = [look_until_decided(|_| in_flight(3)), look_until_decided(reported)];

    let down = (UNACKED_TIMEOUT, Verdict::Down { lasted: UNACKED_TIMEOUT });
    assert_eq!(decided, [Some(down); 2]);
}

/// Guards against a path that counts as up for good since bytes were acknowledged before it went down.
#[test]
fn a_path_that_goes_down_later_is_noticed_within_the_timeout_and_a_look() {
    let down_at = at(2_050);
    let state = |now: Duration| match now < down_at {
        true => SendState { unacked_bytes: WRITTEN - now.as_millis() as u64 / 10, ..in_flight(3) },
        false => SendState { unacked_bytes: WRITTEN - 205, ..in_flight(3) },
    };

    let (noticed, verdict) = look_until_decided(state).unwrap();

    assert!(matches!(verdict, Verdict::Down { .. }), "{verdict:?}");
    assert!(noticed >= down_at && noticed <= down_at + UNACKED_TIMEOUT + LOOK_INTERVAL, "{noticed:?}");
}

/// Guards against a sound server that is cut off since it does not read: its window is closed and its machine answers each
/// probe, but for one that comes too soon after another.
#[test]
fn a_closed_window_ends_no_connection_however_long() {
    let probes = |now: Duration| now.as_millis() as u32 / 100 % MIN_UNANSWERED_PROBES;

    let decided = look_until_decided(|now| closed_window(probes(now)));

    assert_eq!(decided, None);
}

/// Guards against a path that goes down while the window is closed and is never noticed.
#[test]
fn unanswered_probes_of_a_closed_window_end_a_connection() {
    let state = |now| if now < at(1_000) { closed_window(0) } else { closed_window(MIN_UNANSWERED_PROBES) };

    let (noticed, verdict) = look_until_decided(state).unwrap();

    assert!(matches!(verdict, Verdict::Down { .. }), "{verdict:?}");
    assert!(noticed <= at(1_000) + UNACKED_TIMEOUT + LOOK_INTERVAL, "{noticed:?}");
}

/// Guards against a sound server that is cut off since its buffer is full: it answers each packet without acknowledging it.
#[test]
fn packets_that_are_answered_without_being_acknowledged_end_no_connection() {
    let answered = |_| SendState { since_data_sent: at(300), since_ack_received: at(299), ..in_flight(1) };

    assert_eq!(look_until_decided(answered), None);
}

/// Guards against a slow path on which a part of the bytes is acknowledged at each look.
#[test]
fn a_path_on_which_bytes_are_acknowledged_is_up() {
    let state = |now: Duration| SendState {
        unacked_bytes: WRITTEN.saturating_sub(now.as_millis() as u64 / 10),
        ..in_flight(5)
    };

    let (done, verdict) = look_until_decided(state).unwrap();

    assert_eq!((done, verdict), (WATCHED / 2, Verdict::Acknowledged));
}

/// Guards against a host that stands still and takes the time for its servers': its first late look proves nothing.
#[test]
fn the_first_late_look_ends_no_connection() {
    let mut unacked = Unacked::new(Duration::ZERO, 0);
    let mut now = unacked.look_at() + at(5_000);

    let late = unacked.look(now, &in_flight(1), WRITTEN);
    let mut verdict = late;
    while verdict == Verdict::Wait && now < WATCHED {
        now = unacked.look_at();
        verdict = unacked.look(now, &in_flight(1), WRITTEN);
    }

    assert_eq!(late, Verdict::Wait);
    assert!(matches!(verdict, Verdict::Down { .. }), "{verdict:?}");
    assert!(now <= at(5_000) + UNACKED_TIMEOUT + LOOK_INTERVAL * 2, "{now:?}");
}

/// Guards against a server that is given up while it sends.
#[test]
fn bytes_that_arrive_show_that_the_path_is_up() {
    let mut unacked = Unacked::new(Duration::ZERO, 0);

    for ms in (50..5_000).step_by(90) {
        unacked.hear(at(ms));
        while unacked.look_at() < at(ms + 90) {
            let now = unacked.look_at().max(at(ms));
            assert_eq!(unacked.look(now, &in_flight(1), WRITTEN), Verdict::Wait, "{now:?}");
            assert!(unacked.look_at() >= now + LOOK_INTERVAL, "{now:?}");
        }
    }

    assert_eq!(unacked.look(unacked.look_at(), &in_flight(1), WRITTEN), Verdict::Wait);
}

/// Guards against a connection of which it is never known that everything is acknowledged, since bytes keep arriving on it.
#[test]
fn bytes_that_arrive_do_not_put_off_a_look() {
    let mut unacked = Unacked::new(Duration::ZERO, 0);

    (40..LOOK_INTERVAL.as_millis() as u64).step_by(40).for_each(|ms| unacked.hear(at(ms)));

    assert_eq!(unacked.look_at(), LOOK_INTERVAL);
    let state = SendState { unacked_bytes: 0, ..in_flight(0) };
    assert_eq!(unacked.look(LOOK_INTERVAL, &state, WRITTEN), Verdict::Acknowledged);
}

/// Guards against a path that is taken for up for as long as no look was made while bytes arrived.
#[test]
fn a_path_that_goes_down_after_bytes_without_a_look_is_noticed() {
    let mut unacked = Unacked::new(Duration::ZERO, 0);
    let heard_at = at(5_000);
    unacked.hear(heard_at);
    let mut now = heard_at;

    while unacked.look(now, &in_flight(1), WRITTEN) == Verdict::Wait && now < WATCHED {
        now = unacked.look_at();
    }

    assert!(now <= heard_at + UNACKED_TIMEOUT + LOOK_INTERVAL, "{now:?}");
}

/// A connection on loopback, its other end, and what it connects to.
async fn connected() -> (TcpStream, TcpStream, SocketLabel) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    let metrics = Arc::new(Metrics::new().unwrap());
    (stream, server, SocketLabel { metrics, backend: "i-1".into(), peer: None })
}

/// A connection to a server of which the state is read by `read_state`, the server's end, and its counters.
async fn connect(read_state: ReadState) -> (ServerSocket, TcpStream, Arc<Metrics>) {
    let (stream, server, label) = connected().await;
    let metrics = label.metrics.clone();
    (ServerSocket::new(stream, label).with_read_state(read_state), server, metrics)
}

/// Guards against a connection whose path is down and that is kept: reading and writing end with the error by which a timeout is
/// known, and the state of the socket is counted.
#[tokio::test]
async fn a_connection_whose_path_is_down_ends_with_a_timeout() {
    let cases: [(ReadState, _); 2] = [
        (|_| Ok(in_flight(2)), "in_flight"),
        (|_| Ok(closed_window(MIN_UNANSWERED_PROBES)), "closed_window"),
    ];
    for (read_state, cause) in cases {
        let (mut socket, _server, metrics) = connect(read_state).await;
        let started = std::time::Instant::now();
        socket.write_all(b"request").await.unwrap();

        let read = timeout(WAIT_TIMEOUT, socket.read_u8()).await.expect("the path counts as up").unwrap_err();
        let took = started.elapsed();
        let written = socket.write_all(b"more").await.unwrap_err();

        let timed_out = std::io::ErrorKind::TimedOut;
        assert_eq!((read.kind(), written.kind()), (timed_out, timed_out));
        assert!(took >= UNACKED_TIMEOUT - at(1), "{took:?}");
        assert_eq!(metrics.totals(Counter::RelayUnacked), [(cause.to_owned(), 1)].into());
    }
}

/// Guards against an answer that is lost since the path goes down after it has arrived.
#[tokio::test]
async fn what_has_arrived_is_read_before_the_end() {
    let (mut socket, mut server, _) = connect(|_| Ok(in_flight(2))).await;
    socket.write_all(b"request").await.unwrap();
    timeout(WAIT_TIMEOUT, socket.read_u8()).await.expect("the path counts as up").unwrap_err();

    server.write_all(b"answer").await.unwrap();
    let mut got = [0; 6];
    let reading = async {
        while socket.read_exact(&mut got).await.is_err() {
            tokio::time::sleep(at(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, reading).await.expect("the answer is lost");

    assert_eq!(&got, b"answer");
}

/// Guards against calls of the kernel for each connection at rest.
#[tokio::test]
async fn a_socket_is_not_looked_at_once_everything_is_acknowledged() {
    static LOOKS: AtomicU64 = AtomicU64::new(0);
    let (mut socket, _server, _) = connect(|_| {
        LOOKS.fetch_add(1, Ordering::Relaxed);
        Ok(SendState { unacked_bytes: 0, ..in_flight(0) })
    })
    .await;
    socket.write_all(b"request").await.unwrap();

    for _ in 0..5 {
        let _ = timeout(LOOK_INTERVAL * 2, socket.read_u8()).await;
    }

    assert_eq!(LOOKS.load(Ordering::Relaxed), 1);
}

/// Guards against a stream that is woken for looks until its end, since none is made while events arrive.
#[tokio::test]
async fn one_look_is_made_while_events_arrive() {
    static LOOKS: AtomicU64 = AtomicU64::new(0);
    let (mut socket, mut server, _) = connect(|_| {
        LOOKS.fetch_add(1, Ordering::Relaxed);
        Ok(SendState { unacked_bytes: 0, ..in_flight(0) })
    })
    .await;
    socket.write_all(b"request").await.unwrap();

    tokio::spawn(async move {
        server.read_exact(&mut [0; 7]).await.unwrap();
        for _ in 0..12 {
            tokio::time::sleep(at(40)).await;
            server.write_all(b"event").await.unwrap();
        }
    });
    let mut got = Vec::new();
    timeout(WAIT_TIMEOUT, socket.read_to_end(&mut got)).await.expect("the connection stays open").unwrap();

    assert_eq!((got.len(), LOOKS.load(Ordering::Relaxed)), (12 * 5, 1));
}

/// Guards against a server that runs a request which nobody waits for any more, since the rest of it arrives after its connection
/// was closed.
#[tokio::test]
async fn a_request_that_did_not_arrive_whole_is_taken_back() {
    let (mut socket, mut server, _) = connect(send_state).await;
    socket.write_all(&[0; LONG_BODY]).await.unwrap();

    drop(socket);
    let mut got = Vec::new();
    let read = timeout(WAIT_TIMEOUT, server.read_to_end(&mut got)).await.expect("the connection stays open");

    assert_eq!(read.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    assert!(got.len() < LONG_BODY, "all {} bytes arrived", got.len());
}

/// Guards against a server that has answered early and does not get the rest of the body.
#[tokio::test]
async fn a_request_that_was_answered_arrives_whole_though_its_connection_is_closed() {
    let (mut socket, mut server, _) = connect(send_state).await;
    socket.write_all(&[0; LONG_BODY]).await.unwrap();
    server.write_all(b"a").await.unwrap();
    socket.read_u8().await.unwrap();

    drop(socket);
    tokio::time::sleep(UNACKED_TIMEOUT * 2).await;
    let mut got = Vec::new();
    timeout(WAIT_TIMEOUT, server.read_to_end(&mut got)).await.expect("the connection stays open").unwrap();

    assert_eq!(got.len(), LONG_BODY);
}

/// Guards against an answer whose end is lost, since a tunnel's connection is closed as soon as the server has closed its own.
#[tokio::test]
async fn an_answer_arrives_whole_though_its_connection_is_closed() {
    let (stream, mut caller, label) = connected().await;
    let mut socket = ServerSocket::with_answers(stream, label);
    socket.write_all(&[0; LONG_BODY]).await.unwrap();

    drop(socket);
    let mut got = Vec::new();
    timeout(WAIT_TIMEOUT, caller.read_to_end(&mut got)).await.expect("the connection stays open").unwrap();

    assert_eq!(got.len(), LONG_BODY);
}

/// Guards against a path that goes down in the middle of an answer and is taken for a server that has crashed.
#[tokio::test]
async fn a_body_on_a_path_that_goes_down_fails_as_silent() {
    let (socket, mut server, _) = connect(|_| Ok(in_flight(2))).await;
    let (mut tx, conn) = http1::handshake(TokioIo::new(socket)).await.unwrap();
    tokio::spawn(conn);
    server.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart").await.unwrap();

    let res = tx.send_request(Request::new(Empty::<Bytes>::new())).await.unwrap();
    let error =
        timeout(WAIT_TIMEOUT, res.into_body().collect()).await.expect("the path counts as up").unwrap_err();

    let failure = pool::body_failure(&error);
    assert_eq!((failure, CutCause::of(failure)), (Failure::Silent, CutCause::PathDown));
}

/// Guards against a connection that is taken for one with a rest due for good, and whose path may be down for a minute, since the
/// state of its socket cannot be read.
#[tokio::test]
async fn a_socket_whose_state_cannot_be_read_is_left_to_the_kernel() {
    static LOOKS: AtomicU64 = AtomicU64::new(0);
    let (stream, mut server, label) = connected().await;
    let kernel_socket = stream.as_fd().try_clone_to_owned().unwrap();
    let mut socket = ServerSocket::new(stream, label).with_read_state(|_| {
        LOOKS.fetch_add(1, Ordering::Relaxed);
        Err(std::io::ErrorKind::Unsupported.into())
    });
    let rest = socket.rest();

    let blocked = timeout(LOOK_INTERVAL * 4, socket.write_all(&[0; BLOCKING_BODY])).await;
    let is_due = rest.is_due();
    let reading = tokio::spawn(async move { server.read_to_end(&mut Vec::new()).await });
    for _ in 0..3 {
        let _ = timeout(LOOK_INTERVAL * 2, socket.write_all(b"more")).await;
    }

    assert!(blocked.is_err(), "the write is not blocked");
    assert!(!is_due && !rest.is_due());
    assert_eq!(LOOKS.load(Ordering::Relaxed), 1);
    let user_timeout = sockopt::tcp_user_timeout(&kernel_socket).unwrap();
    assert_eq!(u128::from(user_timeout), UNREADABLE_TIMEOUT.as_millis());
    reading.abort();
}
