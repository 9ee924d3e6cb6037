//! Reads the state of sockets on loopback.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream, UdpSocket},
    os::fd::AsFd,
    time::{Duration, Instant},
};

use rustix::net::sockopt;
use tcp_state::{SendState, send_state};

/// Timeout of each wait on loopback; reached only when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until the state of a socket meets the condition, and returns it.
fn wait_for(stream: &TcpStream, condition: impl Fn(&SendState) -> bool) -> SendState {
    let started = Instant::now();
    loop {
        let state = send_state(stream.as_fd()).unwrap();
        if condition(&state) {
            return state;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{state:?}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn bytes_that_were_received_are_acknowledged() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();

    stream.write_all(b"request").unwrap();
    peer.read_exact(&mut [0; 7]).unwrap();
    let state = wait_for(&stream, |state| state.unacked_bytes == 0);

    assert_eq!((state.unacked_packets, state.unanswered_probes), (0, 0));
}

#[test]
fn bytes_behind_a_closed_window_are_counted_and_not_in_flight() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    sockopt::set_socket_recv_buffer_size(&listener, 4_096).unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_nonblocking(true).unwrap();
    let (_peer, _) = listener.accept().unwrap();

    let written = stream.write(&[0; 60_000]).unwrap() as u64;
    let state = wait_for(&stream, |state| state.unacked_packets == 0);

    assert!(state.unacked_bytes > 0 && state.unacked_bytes < written, "{written} written, {state:?}");
}

#[test]
fn a_socket_of_another_protocol_has_no_state() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();

    assert!(send_state(socket.as_fd()).is_err());
}
