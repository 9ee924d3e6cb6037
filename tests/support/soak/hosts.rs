//! Relay hosts as processes, each with its own loopback address.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::net::TcpStream;

use super::{
    checks::{History, Observation},
    network::{Attached, Network},
    record_fault,
};

/// Port for callers; all hosts use the same ports on different addresses.
const CALLER_PORT: u16 = 8_227;
/// Port of the readiness endpoint.
const READINESS_PORT: u16 = 8_220;
/// Port on which callers look up addresses.
const DIRECTORY_PORT: u16 = 8_224;
/// First port of the range for traffic between hosts.
const PEER_PORT: u16 = 7_340;
/// Port on which a host listens for other hosts that reach it through a network.
const LOCAL_PEER_PORT: u16 = PEER_PORT + 15;
/// Grace period of a graceful stop.
const STOP_GRACE_S: u64 = 8;
/// Retries per request that the fleet may make, those beyond that in a window, and the length of the window in seconds.
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_EXTRA: f64 = 12.0;
pub const RETRY_WINDOW_S: u64 = 10;
/// Limit for applying a configuration change, and for taking a draining server out of use.
pub const CONFIG_APPLY_MS: u64 = 2_000;
/// Timeout for a process to listen.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Unit of processor times in `/proc`, 1/100 s on Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Positions of the times in user and kernel mode in `/proc/PID/stat`, after the name of the program.
const PROCESSOR_TIME_FIELDS: std::ops::Range<usize> = 11..13;
/// Number of hosts in each /24 network of the loopback range.
const HOSTS_PER_NET: usize = 250;

/// A host and its process, unless that was killed.
struct Host {
    ip: IpAddr,
    settings_path: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The hosts of a run; dropping them kills the processes.
pub struct Hosts {
    hosts: Vec<Host>,
    history: Arc<History>,
    failed_stops: Mutex<Vec<String>>,
    keep_logs: AtomicBool,
    /// The network between the hosts, if they do not reach each other directly.
    network: Option<Network>,
}

impl Hosts {
    /// Starts a number of hosts in three data centres; the first three hosts are seeds.
    pub fn start(count: usize, store: SocketAddr, history: Arc<History>) -> Self {
        Self::start_with_stores(&vec![store; count], history)
    }

    /// Starts a number of hosts that reach each other through a network that can be cut.
    pub fn start_with_network(count: usize, store: SocketAddr, history: Arc<History>) -> Self {
        Self::start_all(&vec![store; count], history, true)
    }

    /// Starts a host for each of the stores, which may list different addresses for the same servers.
    pub fn start_with_stores(stores: &[SocketAddr], history: Arc<History>) -> Self {
        Self::start_all(stores, history, false)
    }

    fn start_all(stores: &[SocketAddr], history: Arc<History>, has_network: bool) -> Self {
        let count = stores.len();
        let net = free_net();
        let ip = |n: usize| {
            IpAddr::from(Ipv4Addr::new(127, net, (n / HOSTS_PER_NET) as u8, (n % HOSTS_PER_NET + 1) as u8))
        };
        let seeds: Vec<_> = (0..count.min(3)).map(|n| SocketAddr::new(ip(n), 8_229)).collect();
        let attached = |n| Attached {
            announced: SocketAddr::new(ip(n), PEER_PORT),
            local: SocketAddr::new(ip(n), LOCAL_PEER_PORT),
        };
        let network = has_network.then(|| Network::start((0..count).map(attached).collect()));
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let hosts = (0..count).map(|n| {
            let stem = format!("soak-{}-{net}-{n}", std::process::id());
            let (settings_path, log) = (dir.join(format!("{stem}.json")), dir.join(format!("{stem}.log")));
            fs::write(&settings_path, settings_json(n, ip(n), stores[n], &seeds, has_network)).unwrap();
            Host { ip: ip(n), settings_path, log, child: Mutex::new(None) }
        });
        let hosts = Self {
            hosts: hosts.collect(),
            history,
            failed_stops: Mutex::default(),
            keep_logs: AtomicBool::new(false),
            network,
        };
        hosts.hosts.iter().for_each(Host::start);
        hosts
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Addresses of all hosts for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|h| SocketAddr::new(h.ip, CALLER_PORT)).collect()
    }

    /// Address of a host's directory, which resolves names for callers.
    pub fn directory(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.hosts[n].ip, DIRECTORY_PORT)
    }

    /// Waits until all hosts are ready; returns the time that took.
    pub async fn wait_until_ready(&self, timeout: Duration) -> Duration {
        let from = Instant::now();
        for host in &self.hosts {
            while !host.is_ready().await {
                assert!(
                    from.elapsed() < timeout,
                    "{} is not ready within the timeout; see {}",
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
        record_fault(&self.history, &host.ip.to_string(), from);
    }

    /// Kills all hosts at the same time and starts them again.
    pub async fn kill_all(&self, down: Duration) {
        let from = Instant::now();
        self.hosts.iter().for_each(Host::kill);
        tokio::time::sleep(down).await;
        self.hosts.iter().for_each(Host::start);
        self.hosts.iter().for_each(|h| record_fault(&self.history, &h.ip.to_string(), from));
    }

    /// Kills all hosts but one at the same time and starts them again.
    pub async fn kill_others(&self, n: usize, down: Duration) {
        let from = Instant::now();
        let others = || self.hosts.iter().enumerate().filter(|(other, _)| *other != n).map(|(_, host)| host);
        others().for_each(Host::kill);
        tokio::time::sleep(down).await;
        others().for_each(Host::start);
        others().for_each(|host| record_fault(&self.history, &host.ip.to_string(), from));
    }

    /// Cuts hosts off from all others for some time, while callers, the store and the backend servers reach them.
    pub async fn cut_off(&self, group: &[usize], duration: Duration) {
        let (network, from) = (self.network.as_ref().expect("the hosts have no network"), Instant::now());
        network.cut_off(group);
        tokio::time::sleep(duration).await;
        network.cut_off(&[]);
        group.iter().for_each(|n| record_fault(&self.history, &self.hosts[*n].ip.to_string(), from));
    }

    /// Suspends a host's process for some time.
    pub async fn suspend(&self, n: usize, duration: Duration) {
        let (host, from) = (&self.hosts[n], Instant::now());
        host.signal(Signal::STOP);
        tokio::time::sleep(duration).await;
        host.signal(Signal::CONT);
        record_fault(&self.history, &host.ip.to_string(), from);
    }

    /// Stops a host gracefully and starts it again. This is not recorded as a fault, since its answers must still arrive.
    pub async fn stop(&self, n: usize) {
        let host = &self.hosts[n];
        host.wait_until_listening().await;
        host.signal(Signal::TERM);
        let from = Instant::now();
        let child = host.child.lock().unwrap().take();
        let Some(mut child) = child else { return };
        let status = loop {
            match child.try_wait().unwrap() {
                Some(status) => break status,
                None if from.elapsed() > Duration::from_secs(2 * STOP_GRACE_S) => {
                    let _ = child.kill();
                    break child.wait().unwrap();
                }
                None => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        if !status.success() {
            let failure = format!("{} ended a graceful stop with {status}", host.ip);
            self.failed_stops.lock().unwrap().push(failure);
        }
        host.start();
        self.history.record(Observation::Restarted { host: host.ip.to_string(), at: Instant::now() });
    }

    /// Signals a host to reload its settings.
    pub async fn reload(&self, n: usize) {
        self.hosts[n].wait_until_listening().await;
        self.hosts[n].signal(Signal::HUP);
    }

    /// Hosts that ended unexpectedly, or whose graceful stop failed.
    pub fn unexpected_exits(&self) -> Vec<String> {
        let mut failed_stops = self.failed_stops.lock().unwrap().clone();
        for host in &self.hosts {
            let mut child = host.child.lock().unwrap();
            if let Some(Ok(Some(status))) = child.as_mut().map(Child::try_wait) {
                failed_stops.push(format!(
                    "{} ended unexpectedly with {status}; see {}",
                    host.ip,
                    host.log.display()
                ));
            }
        }
        failed_stops
    }

    /// Keeps the hosts' log files when the run ends.
    pub fn keep_logs(&self) {
        self.keep_logs.store(true, Ordering::Relaxed);
    }

    /// Processor time of all processes.
    pub fn processor_time(&self) -> Duration {
        let ticks = |pid: u32| -> Option<u32> {
            let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
            let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            Some(fields.get(PROCESSOR_TIME_FIELDS)?.iter().filter_map(|f| f.parse::<u32>().ok()).sum())
        };
        self.hosts.iter().filter_map(|h| ticks(h.pid()?)).sum::<u32>() * CLOCK_TICK
    }

    /// Peak memory of each process, in kilobytes.
    pub fn peak_memory_kb(&self) -> Vec<u64> {
        let peak = |pid| {
            let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
            let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
            line.trim().split(' ').next()?.parse().ok()
        };
        self.hosts.iter().filter_map(|h| peak(h.pid()?)).collect()
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &self.hosts {
            host.kill();
            let _ = fs::remove_file(&host.settings_path);
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
            .env("CRANBERRYTALLY_NODE_FILE", &self.settings_path)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        *self.child.lock().unwrap() = Some(child);
    }

    fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
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

    /// Waits until the process listens; before its signal handlers are installed, a signal would kill it.
    async fn wait_until_listening(&self) {
        let until = Instant::now() + START_TIMEOUT;
        while TcpStream::connect((self.ip, READINESS_PORT)).await.is_err() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Whether the host's readiness endpoint reports that it is ready.
    async fn is_ready(&self) -> bool {
        let response = super::caller::get(SocketAddr::new(self.ip, READINESS_PORT), "/readiness");
        response.await.is_some_and(|text| crate::wire::status(&text) == 200)
    }
}

/// Finds a loopback network, by its second octet, that no other run uses.
fn free_net() -> u8 {
    // Runs of this process that start together begin at different networks: none is in use until its hosts listen.
    static RUNS: AtomicU32 = AtomicU32::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let first = (std::process::id().wrapping_add(run) % 100) as u8;
    let mut nets = (0..100).map(|n| 100 + (first + n) % 100);
    let is_free = |net: &u8| {
        let addr = (Ipv4Addr::new(127, *net, 0, 1), PEER_PORT);
        TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
    };
    nets.find(is_free).expect("all loopback networks are in use")
}

/// Content of a host's settings file.
fn settings_json(n: usize, ip: IpAddr, store: SocketAddr, seeds: &[SocketAddr], has_network: bool) -> String {
    let at = |port: u16| SocketAddr::new(ip, port).to_string();
    let zone = ["a", "b", "c"][n % 3];
    let peers = has_network.then(|| at(LOCAL_PEER_PORT));
    json!({ "node": format!("host-{n}"), "zone": zone, "ip": ip.to_string(), "later": {},
        "listen": { "front": at(CALLER_PORT), "ready": at(READINESS_PORT), "control": at(8_229), "directory": at(DIRECTORY_PORT), "peers": peers },
        "internalPortRange": [PEER_PORT, PEER_PORT + 15], "seeds": seeds,
        "bounds": { "graceS": STOP_GRACE_S, "configApplyMs": CONFIG_APPLY_MS, "drainMs": CONFIG_APPLY_MS, "retryBudgetRatio": RETRY_RATIO, "budgetWindowS": RETRY_WINDOW_S, "retryBudgetExtra": RETRY_EXTRA },
        "platformConfig": { "address": store.to_string() } })
    .to_string()
}
