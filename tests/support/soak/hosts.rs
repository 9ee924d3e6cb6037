//! Relaying hosts as processes, each at a loopback address of its own.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::net::TcpStream;

use super::{
    checks::{History, Seen},
    disturbed,
};

/// Ports of every host; the addresses differ.
const CALLERS: u16 = 8_227;
const READY: u16 = 8_220;
const DIRECTORY: u16 = 8_224;
const PEERS: u16 = 7_340;
/// Time that a stop may take, in seconds.
const GRACE_S: u64 = 8;
/// Time after which a change is in force, in milliseconds.
pub const APPLY_MS: u64 = 2_000;
/// Longest wait for a process to listen.
const BEGINS: Duration = Duration::from_secs(5);
/// Hosts in one of the loopback networks that a run uses.
const HOSTS_A_NET: usize = 250;

struct Host {
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The hosts of a run; dropping them kills the processes.
pub struct Hosts {
    hosts: Vec<Host>,
    history: Arc<History>,
    ended: Mutex<Vec<String>>,
    keep_logs: AtomicBool,
}

impl Hosts {
    /// Starts so many hosts in three data centres, the first three of which are seeds.
    pub fn start(count: usize, store: SocketAddr, history: Arc<History>) -> Self {
        let net = free_net();
        let ip = |n: usize| {
            IpAddr::from(Ipv4Addr::new(127, net, (n / HOSTS_A_NET) as u8, (n % HOSTS_A_NET + 1) as u8))
        };
        let seeds: Vec<_> = (0..count.min(3)).map(|n| SocketAddr::new(ip(n), 8_229)).collect();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let hosts = (0..count).map(|n| {
            let stem = format!("soak-{}-{net}-{n}", std::process::id());
            let (settings, log) = (dir.join(format!("{stem}.json")), dir.join(format!("{stem}.log")));
            fs::write(&settings, settings_of(n, ip(n), store, &seeds)).unwrap();
            Host { ip: ip(n), settings, log, child: Mutex::new(None) }
        });
        let hosts = Self {
            hosts: hosts.collect(),
            history,
            ended: Mutex::default(),
            keep_logs: AtomicBool::new(false),
        };
        hosts.hosts.iter().for_each(Host::start);
        hosts
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Where callers are served.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|h| SocketAddr::new(h.ip, CALLERS)).collect()
    }

    /// Where a host is asked for addresses.
    pub fn directory(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.hosts[n].ip, DIRECTORY)
    }

    /// Waits until all are ready; returns how long that took.
    pub async fn wait_until_ready(&self, patience: Duration) -> Duration {
        let from = Instant::now();
        for host in &self.hosts {
            while !host.is_ready().await {
                assert!(
                    from.elapsed() < patience,
                    "{} does not get ready; see {}",
                    host.ip,
                    host.log.display()
                );
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        from.elapsed()
    }

    /// Kills a host and starts it again.
    pub async fn kill(&self, n: usize, down: Duration) {
        let (host, from) = (&self.hosts[n], Instant::now());
        host.kill();
        tokio::time::sleep(down).await;
        host.start();
        disturbed(&self.history, &host.ip.to_string(), from);
    }

    /// Kills all hosts at the same moment and starts them again.
    pub async fn kill_all(&self, down: Duration) {
        let from = Instant::now();
        self.hosts.iter().for_each(Host::kill);
        tokio::time::sleep(down).await;
        self.hosts.iter().for_each(Host::start);
        self.hosts.iter().for_each(|h| disturbed(&self.history, &h.ip.to_string(), from));
    }

    /// Suspends a host.
    pub async fn freeze(&self, n: usize, time: Duration) {
        let (host, from) = (&self.hosts[n], Instant::now());
        host.signal(Signal::STOP);
        tokio::time::sleep(time).await;
        host.signal(Signal::CONT);
        disturbed(&self.history, &host.ip.to_string(), from);
    }

    /// Tells a host to stop, and starts it again once it has ended. That is no disturbance: its answers must arrive.
    pub async fn stop(&self, n: usize) {
        let host = &self.hosts[n];
        host.has_begun().await;
        host.signal(Signal::TERM);
        let from = Instant::now();
        let child = host.child.lock().unwrap().take();
        let Some(mut child) = child else { return };
        let status = loop {
            match child.try_wait().unwrap() {
                Some(status) => break status,
                None if from.elapsed() > Duration::from_secs(2 * GRACE_S) => {
                    let _ = child.kill();
                    break child.wait().unwrap();
                }
                None => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        if !status.success() {
            let told = format!("{} was told to stop and ended with {status}", host.ip);
            self.ended.lock().unwrap().push(told);
        }
        host.start();
        self.history.record(Seen::Restarted { host: host.ip.to_string(), at: Instant::now() });
    }

    /// Tells a host that its settings have changed.
    pub fn reload(&self, n: usize) {
        self.hosts[n].signal(Signal::HUP);
    }

    /// Hosts that ended though nobody told them, or not as they should.
    pub fn ended_by_themselves(&self) -> Vec<String> {
        let mut ended = self.ended.lock().unwrap().clone();
        for host in &self.hosts {
            let mut child = host.child.lock().unwrap();
            if let Some(Ok(Some(status))) = child.as_mut().map(Child::try_wait) {
                ended.push(format!("{} ended by itself with {status}; see {}", host.ip, host.log.display()));
            }
        }
        ended
    }

    /// Keeps the hosts' logs, since a promise was broken.
    pub fn keep_logs(&self) {
        self.keep_logs.store(true, Ordering::Relaxed);
    }

    /// Peak memory of each process, in kilobytes.
    pub fn peaks_kb(&self) -> Vec<u64> {
        let pid = |h: &Host| h.child.lock().unwrap().as_ref().map(Child::id);
        let peak = |pid| {
            let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
            let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
            line.trim().split(' ').next()?.parse().ok()
        };
        self.hosts.iter().filter_map(|h| peak(pid(h)?)).collect()
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &self.hosts {
            host.kill();
            let _ = fs::remove_file(&host.settings);
            if !std::thread::panicking() && !self.keep_logs.load(Ordering::Relaxed) {
                let _ = fs::remove_file(&host.log);
            }
        }
    }
}

impl Host {
    fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_cranberrytally"))
            .arg("relay")
            .env("CRANBERRYTALLY_NODE_FILE", &self.settings)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        *self.child.lock().unwrap() = Some(child);
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// Waits until the process listens: a signal that comes before any of its code has run ends it, whatever it does.
    async fn has_begun(&self) {
        let until = Instant::now() + BEGINS;
        while TcpStream::connect((self.ip, READY)).await.is_err() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn is_ready(&self) -> bool {
        let asking = super::caller::get(SocketAddr::new(self.ip, READY), "/readiness");
        asking.await.is_some_and(|text| crate::wire::status(&text) == 200)
    }
}

/// A loopback network in which no other run has a host.
fn free_net() -> u8 {
    let first = (std::process::id() % 100) as u8;
    let mut nets = (0..100).map(|n| 100 + (first + n) % 100);
    let is_free = |net: &u8| TcpListener::bind((Ipv4Addr::new(127, *net, 0, 1), PEERS)).is_ok();
    nets.find(is_free).expect("a loopback network is free")
}

fn settings_of(n: usize, ip: IpAddr, store: SocketAddr, seeds: &[SocketAddr]) -> String {
    let at = |port: u16| SocketAddr::new(ip, port).to_string();
    let zone = ["a", "b", "c"][n % 3];
    json!({ "node": format!("host-{n}"), "zone": zone, "ip": ip.to_string(), "later": {},
        "listen": { "front": at(CALLERS), "ready": at(READY), "control": at(8_229), "directory": at(DIRECTORY) },
        "internalPortRange": [PEERS, PEERS + 15], "seeds": seeds,
        "bounds": { "graceS": GRACE_S, "configApplyMs": APPLY_MS, "drainMs": APPLY_MS, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 56 },
        "platformConfig": { "address": store.to_string() } })
    .to_string()
}
