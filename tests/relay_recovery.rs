//! A plain service all of whose servers are lost for a moment, under load.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cranberrytally::{
    relay::{RelayConfig, budget::BudgetConfig, follow::BackendsUpdate},
    schema::fleet::Backends,
};
use relay_support::RunningHost;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::sleep,
};
use wire::{Caller, answer, header, not_run, read_request, status};

const HOSTS: usize = 6;
const SERVERS: usize = 3;
const CALLERS: usize = 60;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(75);
/// Time until the rate of answers is steady.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time without servers, and the time after it for which the lost ones are still listed.
const LOSS: Duration = Duration::from_millis(1_500);
const ENTRY_LIFETIME: Duration = Duration::from_millis(1_200);
/// Time from the return of the servers in which they are to be used as before, and the share of the rate that counts as that.
const RECOVERY: Duration = Duration::from_secs(3);
const MIN_RECOVERED: f64 = 0.9;
/// Time between the beginnings of two seconds that are compared.
const STEP: Duration = Duration::from_millis(100);

struct PlainServer {
    id: String,
    addr: SocketAddr,
    /// Dropped with the server, which ends its connections.
    _tasks: JoinSet<()>,
}

impl PlainServer {
    async fn start(id: &str, at: SocketAddr) -> Self {
        let own: Arc<str> = id.into();
        let listener = TcpListener::bind(at).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let (slots, places) = (Arc::new(Semaphore::new(SLOTS)), Arc::new(Semaphore::new(SLOTS + QUEUE)));
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(own.clone(), stream, slots.clone(), places.clone()));
            }
        });
        Self { id: id.into(), addr, _tasks: tasks }
    }
}

async fn start_servers(start: usize, addrs: &[SocketAddr]) -> Vec<PlainServer> {
    let mut servers = Vec::new();
    for (number, at) in addrs.iter().enumerate() {
        servers.push(PlainServer::start(&format!("i-{start}-{number}"), *at).await);
    }
    servers
}

fn listed(servers: &[PlainServer]) -> Vec<(String, SocketAddr)> {
    servers.iter().map(|server| (server.id.clone(), server.addr)).collect()
}

async fn serve(own: Arc<str>, mut stream: TcpStream, slots: Arc<Semaphore>, places: Arc<Semaphore>) {
    while let Some(req) = read_request(&mut stream).await {
        let id = header(&req, "attempt-id").unwrap_or_default();
        let is_other = header(&req, "expected-instance").is_some_and(|expected| *expected != *own);
        let text = match places.try_acquire() {
            _ if is_other => not_run().replace("503 Service Unavailable", "421 Misdirected Request"),
            Ok(_place) => {
                let _slot = slots.acquire().await.unwrap();
                sleep(WORK).await;
                answer("200 OK", "done")
            }
            Err(_) => not_run(),
        };
        if stream.write_all(text.replace("{id}", &id).as_bytes()).await.is_err() {
            return;
        }
    }
}

fn list_at(hosts: &[RunningHost], revision: u64, servers: &[(String, SocketAddr)]) {
    let item = |(id, addr): &(String, SocketAddr)| wire::backend(id, *addr);
    let list = Backends { revision, items: servers.iter().map(item).collect(), ..Backends::default() };
    for host in hosts {
        host.relay.update_backends(BackendsUpdate::List(list.clone()), None, "test");
    }
}

/// When each answer with status 200 arrived.
type Answers = Arc<Mutex<Vec<Instant>>>;

/// A caller that sends one request after the other, each to another host, and comes back when it is told to.
async fn call_repeatedly(number: usize, hosts: Vec<SocketAddr>, answers: Answers) {
    for call in 0.. {
        let (id, path) = (number * 100_000 + call, if call % 3 == 0 { "/safe/x" } else { "/unsafe/x" });
        let request = wire::request(path, &format!("body {id}"));
        let mut caller = Caller::connect(hosts[id % hosts.len()]).await;
        caller.send(&request.replace("Attempt-Id: r1", &format!("Attempt-Id: a{id}"))).await;
        let text = caller.answer().await;
        if status(&text) == 200 {
            answers.lock().unwrap().push(Instant::now());
        }
        if let Some(after) = header(&text, "retry-after") {
            sleep(Duration::from_secs_f64(after.parse().unwrap())).await;
        }
    }
}

/// Number of answers in the second that begins at `from`.
fn answers_within_a_second(answers: &Answers, from: Instant) -> usize {
    let second = from..from + Duration::from_secs(1);
    answers.lock().unwrap().iter().filter(|at| second.contains(at)).count()
}

async fn start_hosts() -> Vec<RunningHost> {
    let mut hosts: Vec<RunningHost> = Vec::new();
    for number in 0..HOSTS {
        let seeds: Vec<_> = hosts.iter().map(|host| host.peers_at).collect();
        let settings = |cfg| RelayConfig {
            budget: BudgetConfig::default(),
            limits_plain_together: false,
            places_by_pace: false,
            ..cfg
        };
        hosts.push(RunningHost::start_with(&format!("h{number}"), &seeds, settings).await);
    }
    for host in &hosts {
        host.relay.set_configuration(wire::configuration(), "test");
    }
    hosts
}

/// Guards against servers that are all back after a crash and left idle.
#[tokio::test]
async fn servers_that_are_all_back_are_used_as_before_within_three_seconds() {
    let hosts = start_hosts().await;
    let mut servers = start_servers(1, &["127.0.0.1:0".parse().unwrap(); SERVERS]).await;
    let addrs: Vec<_> = servers.iter().map(|server| server.addr).collect();
    let before = listed(&servers);
    list_at(&hosts, 1, &before);
    wire::wait_until("the hosts to hear each other", || hosts.iter().all(|host| !host.relay.is_alone()))
        .await;
    let (answers, mut callers) = (Answers::default(), JoinSet::new());
    let callers_at: Vec<_> = hosts.iter().map(|host| host.callers_at).collect();
    for number in 0..CALLERS {
        callers.spawn(call_repeatedly(number, callers_at.clone(), answers.clone()));
    }

    sleep(WARM_UP).await;
    let measured_from = Instant::now();
    sleep(Duration::from_secs(1)).await;
    servers.clear();
    sleep(LOSS).await;
    servers = start_servers(2, &addrs).await;
    let returned = Instant::now();
    list_at(&hosts, 2, &[before, listed(&servers)].concat());
    sleep(ENTRY_LIFETIME).await;
    list_at(&hosts, 3, &listed(&servers));
    sleep(RECOVERY - ENTRY_LIFETIME).await;

    let usual = answers_within_a_second(&answers, measured_from);
    let best = (0..=20).map(|step| answers_within_a_second(&answers, returned + STEP * step)).max().unwrap();
    assert!(best as f64 >= MIN_RECOVERED * usual as f64, "{best} answers a second, {usual} before");
}
