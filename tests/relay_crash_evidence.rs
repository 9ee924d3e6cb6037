//! Requests that crash servers and end for another reason before their host has noticed.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use cranberrytally::{relay::follow::BackendsUpdate, schema::fleet::Backends};
use relay_support::RunningHost;
use wire::{Caller, status};

/// Time from the arrival of a request until its server crashes.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Time from the arrival of a request until its caller leaves or its deadline passes.
const END_DELAY: Duration = Duration::from_millis(60);
/// How long the host stands still, from the arrival of a request at its server on.
const STANDSTILL: Duration = Duration::from_millis(150);
/// Crashes from which a content is refused.
const MIN_CRASHES: usize = 3;

/// Server on a thread of its own that ends with its first request.
struct CrashingServer {
    addr: SocketAddr,
    arrived: Receiver<()>,
}

impl CrashingServer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (arrivals, arrived) = channel();
        thread::spawn(move || crash_with_first_request(listener, &arrivals));
        Self { addr, arrived }
    }
}

fn crash_with_first_request(listener: TcpListener, arrivals: &Sender<()>) {
    for stream in listener.incoming() {
        let mut stream = stream.unwrap();
        // A connection without a request looks whether the server lives.
        if stream.read(&mut [0; 4_096]).unwrap_or(0) == 0 {
            continue;
        }
        arrivals.send(()).unwrap();
        thread::sleep(CRASH_DELAY);
        drop(listener);
        return;
    }
}

/// A caller on a thread of its own, which leaves after `stays`.
fn call_for(at: SocketAddr, request: String, stays: Duration) {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        thread::sleep(stays);
    });
}

fn list(servers: &[CrashingServer]) -> Backends {
    let item =
        |(number, server): (usize, &CrashingServer)| wire::backend(&format!("i-{number}"), server.addr);
    Backends { revision: 1, items: servers.iter().enumerate().map(item).collect(), ..Backends::default() }
}

/// Sends the same request until as many servers have crashed as are needed, each time with the host standing still while the
/// server crashes and the request ends; returns the status of one more.
async fn status_after_crashes(request: &str, stays: Duration) -> u16 {
    let servers: Vec<_> = (0..=MIN_CRASHES).map(|_| CrashingServer::start()).collect();
    let host = RunningHost::start("h0", &[]).await;
    host.relay.set_configuration(wire::configuration(), "test");
    host.relay.update_backends(BackendsUpdate::List(list(&servers)), None, "test");
    for _ in 0..MIN_CRASHES {
        call_for(host.callers_at, request.to_owned(), stays);
        wire::wait_until("the request to arrive", || servers.iter().any(|s| s.arrived.try_recv().is_ok()))
            .await;
        thread::sleep(STANDSTILL);
        tokio::time::sleep(STANDSTILL).await;
    }
    let mut caller = Caller::connect(host.callers_at).await;
    caller.send(request).await;
    status(&caller.answer().await)
}

/// Guards against a content that goes on crashing servers since its callers leave before the host has read of the crash.
#[tokio::test]
async fn a_crash_counts_whose_caller_has_left_meanwhile() {
    let request = wire::request("/unsafe/x", "content");

    assert_eq!(status_after_crashes(&request, END_DELAY).await, 503);
}

/// Guards against a content that goes on crashing servers since its deadline passes before the host has read of the crash.
#[tokio::test]
async fn a_crash_counts_whose_deadline_has_passed_meanwhile() {
    let deadline = format!("Request-Deadline: {}", END_DELAY.as_millis());
    let request = wire::request("/unsafe/x", "content").replace("Request-Deadline: 3000", &deadline);

    assert_eq!(status_after_crashes(&request, STANDSTILL * 2).await, 503);
}
