//! Backend servers that crash when they begin an answer to a request with a certain prompt part, and come back as new
//! starts, before hosts that exchange heartbeats.

#![allow(dead_code)]

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cranberrytally::{
    relay::follow::BackendsUpdate,
    schema::fleet::{Backends, Configuration},
};
use tokio::net::TcpStream;

use crate::{
    relay_support::RunningHost,
    wire::{self, Caller, ScriptStep, Server, chunk, event, header, stream_head},
};

/// Prompt part that a route's requests begin with.
pub const FIRST_PART: &str = "f1";

/// Pause between two requests of a series.
const PACE: Duration = Duration::from_millis(150);

/// Servers, each replaced by a new start under a new identifier when it crashes.
pub struct Servers {
    running: Mutex<Vec<Server>>,
    started: AtomicUsize,
    /// Requests with a bad part that reached a server.
    bad_arrivals: Arc<AtomicUsize>,
    bad_parts: Vec<&'static str>,
}

impl Servers {
    /// Starts servers that crash by these parts.
    pub async fn start(count: usize, bad_parts: &[&'static str]) -> Self {
        let servers = Self {
            running: Mutex::default(),
            started: AtomicUsize::new(0),
            bad_arrivals: Arc::default(),
            bad_parts: bad_parts.to_vec(),
        };
        for _ in 0..count {
            let server = servers.start_one().await;
            servers.running.lock().unwrap().push(server);
        }
        servers
    }

    async fn start_one(&self) -> Server {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let (bad_parts, arrivals) = (self.bad_parts.clone(), self.bad_arrivals.clone());
        Server::reacting(&format!("i-{number}"), move |req, _| {
            let parts = header(req, "prefix-hash").unwrap_or_default();
            let has = |part: &str| parts.split(',').any(|entry| entry.split(':').next() == Some(part));
            if bad_parts.iter().any(|part| has(part)) {
                arrivals.fetch_add(1, Ordering::Relaxed);
                return ScriptStep::Crash;
            }
            ScriptStep::Write(stream_head() + &chunk(&(event(1) + &event(2))) + &chunk(""))
        })
        .await
    }

    /// Requests with a bad part that reached a server.
    pub fn bad_arrivals(&self) -> usize {
        self.bad_arrivals.load(Ordering::Relaxed)
    }

    /// Replaces the servers that have crashed and tells the hosts.
    pub async fn replace_crashed(&self, hosts: &[RunningHost]) {
        let running = self.running.lock().unwrap().clone();
        let mut alive = Vec::new();
        for server in running {
            match TcpStream::connect(server.addr).await {
                Ok(_) => alive.push(server),
                Err(_) => alive.push(self.start_one().await),
            }
        }
        *self.running.lock().unwrap() = alive;
        self.list_at(hosts);
    }

    /// Gives the hosts the list of servers.
    pub fn list_at(&self, hosts: &[RunningHost]) {
        let running = self.running.lock().unwrap();
        let item = |s: &Server| wire::backend(&s.id, s.addr);
        let revision = 1 + self.started.load(Ordering::Relaxed) as u64;
        let list = Backends { revision, items: running.iter().map(item).collect(), ..Backends::default() };
        for host in hosts {
            host.relay.update_backends(BackendsUpdate::List(list.clone()), None, "test");
        }
    }
}

/// Hosts that know each other, with a configuration whose routes are given prompts.
pub async fn hosts(count: usize, servers: &Servers) -> Vec<RunningHost> {
    let mut hosts: Vec<RunningHost> = Vec::new();
    for number in 0..count {
        let seeds: Vec<_> = hosts.iter().map(|host| host.peers_at).collect();
        hosts.push(RunningHost::start(&format!("h{number}"), &seeds).await);
    }
    for host in &hosts {
        host.relay.set_configuration(configuration(), "test");
    }
    servers.list_at(&hosts);
    wire::wait_until("the hosts to hear each other", || hosts.iter().all(|host| !host.relay.is_alone()))
        .await;
    hosts
}

fn configuration() -> Configuration {
    let mut cfg = wire::configuration();
    cfg.routes.iter_mut().for_each(|route| route.prompts = true);
    cfg.services.iter_mut().for_each(|service| service.caches_prompts = true);
    cfg
}

/// Raw request of a stream with these prompt parts, the last of which is its own.
pub fn prompt(id: &str, parts: &[&str]) -> String {
    let parts: Vec<_> = parts.iter().map(|part| format!("{part}:100")).collect();
    let body = format!("prompt of {id}");
    wire::request("/stream/x", &body).replace(
        "Attempt-Id: r1",
        &format!("Attempt-Id: {id}\r\nModel: m\r\nPrefix-Hash: {}", parts.join(",")),
    )
}

/// Sends a request to a host and returns the whole answer.
pub async fn call(host: &RunningHost, request: &str) -> String {
    let mut caller = Caller::connect(host.callers_at).await;
    caller.send(request).await;
    caller.answer().await
}

/// Sends requests with the shared parts that `parts` gives for each, one after the other and to one host after the other, no
/// two alike. Crashed servers are replaced after each. Returns the answers.
pub async fn send_series(
    hosts: &[RunningHost],
    servers: &Servers,
    name: &str,
    count: usize,
    parts: impl Fn(usize) -> Vec<&'static str>,
) -> Vec<String> {
    let mut answers = Vec::new();
    for number in 0..count {
        let own = format!("{:x}", 0xa000 + number);
        let mut parts = parts(number);
        parts.push(&own);
        let request = prompt(&format!("{name}{number}"), &parts);
        answers.push(call(&hosts[number % hosts.len()], &request).await);
        tokio::time::sleep(PACE).await;
        servers.replace_crashed(hosts).await;
    }
    answers
}
