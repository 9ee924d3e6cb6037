//! What a router adds to a request, beside a direct connection to the same stand-in, and memory per open stream.
//!
//! The router is a process of its own, so that its processor time and memory are its own.

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cranberrytally::{
    client::Client,
    http::{Limits, Server},
    standin::{
        engine::EngineStandin,
        outside::{MODEL, StandinConfig, Standins, WORKSPACES, loopback_listener, object},
    },
};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};

#[path = "../tests/support/process.rs"]
mod process;

use process::Router;

const CONNECTIONS: usize = 32;
const REQUESTS: usize = 20_000;
const TOKENS: usize = 16;
/// Both this process and the router hold two sockets a stream; the limit of open files here is 20,000.
const STREAMS: usize = 9_000;
const TICKS_PER_S: f64 = 100.0;

fn request(addr: SocketAddr, chat: usize) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": MODEL, "stream": true, "messages": [{ "role": "user", "content": format!("turn {chat}") }]
    });
    Request::post(format!("http://{addr}/v1/chat/completions"))
        .header("content-type", "application/json")
        .header("x-workspace", WORKSPACES[0])
        .header("x-chat", format!("chat-{chat}"))
        .header("x-request-id", format!("direct-{chat}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap()
}

struct Run {
    total: Duration,
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

/// Closed loop of `CONNECTIONS` callers; times in microseconds.
async fn run(addr: SocketAddr, offset: usize) -> Run {
    let client = Client::default();
    let started = Instant::now();
    let tasks: Vec<_> = (0..CONNECTIONS)
        .map(|c| {
            let client = client.clone();
            tokio::spawn(async move {
                let mut times = Vec::new();
                for i in 0..REQUESTS / CONNECTIONS {
                    let start = Instant::now();
                    let res = client.send(request(addr, offset + c * REQUESTS + i)).await.unwrap();
                    assert_eq!(res.status(), 200);
                    let mut body = res.into_body();
                    body.frame().await.unwrap().unwrap();
                    let first = start.elapsed();
                    while let Some(frame) = body.frame().await {
                        frame.unwrap();
                    }
                    times.push((first, start.elapsed()));
                }
                times
            })
        })
        .collect();
    let mut first = Histogram::new(3).unwrap();
    let mut whole = Histogram::new(3).unwrap();
    for task in tasks {
        for (f, w) in task.await.unwrap() {
            first.record(f.as_micros() as u64).unwrap();
            whole.record(w.as_micros() as u64).unwrap();
        }
    }
    Run { total: started.elapsed(), first, whole }
}

fn cpu_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    ticks as f64 / TICKS_PER_S
}

fn rss(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
}

async fn ready(addr: SocketAddr) {
    let client = Client::default();
    let url = format!("http://{addr}/readyz");
    while !matches!(
        client.json(http::Method::GET, &url, None, Duration::from_secs(1)).await,
        Ok((200, _)) | Err(_)
    ) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn show(name: &str, r: &Run) {
    let ms = |us: u64| us as f64 / 1000.0;
    println!(
        "| {name} | {:.0} | {:.2} | {:.2} | {:.2} | {:.2} |",
        REQUESTS as f64 / r.total.as_secs_f64(),
        ms(r.first.value_at_quantile(0.5)),
        ms(r.first.value_at_quantile(0.95)),
        ms(r.whole.value_at_quantile(0.5)),
        ms(r.whole.value_at_quantile(0.95)),
    );
}

async fn overhead() {
    let plan = StandinConfig::default().with_engines(0).with_tokens(TOKENS, Duration::ZERO);
    let outside = Standins::start(plan).await.unwrap();
    let engine = Arc::new(EngineStandin::new(TOKENS, Duration::ZERO, 64));
    let server = Server::start(loopback_listener().unwrap(), 2, Limits::default(), engine).unwrap();
    register(&outside, server.addr());
    let router = Router::start("overhead", outside.platform_addr(), &[]);
    ready(router.addr).await;
    run(server.addr(), 0).await;
    let direct = run(server.addr(), 1 << 32).await;
    let before = cpu_s(router.pid());
    let through = run(router.addr, 2 << 32).await;
    let used = cpu_s(router.pid()) - before;

    println!(
        "{REQUESTS} requests of {TOKENS} tokens without pause, {CONNECTIONS} connections; times in ms\n"
    );
    println!("| path | requests/s | first p50 | first p95 | whole p50 | whole p95 |");
    println!("| --- | --- | --- | --- | --- | --- |");
    show("direct", &direct);
    show("through a router", &through);
    let ratio = through.whole.value_at_quantile(0.5) as f64 / direct.whole.value_at_quantile(0.5) as f64;
    println!("\nratio of the whole answer's median: {ratio:.2}");
    println!("router: {:.0} requests a second a core", REQUESTS as f64 / used);
    println!("router: {:.1} us of processor a token", used * 1e6 / (REQUESTS * TOKENS) as f64);
    server.close();
    outside.close();
}

fn register(outside: &Standins, addr: SocketAddr) {
    let spec = serde_json::json!({ "address": addr.to_string(), "dataCentre": "poa-a", "capacity": 100_000 });
    outside.put(object("Engine", "engine-0", &[("role", "model")], spec)).unwrap();
}

async fn memory() {
    let plan = StandinConfig::default().with_engines(0).with_tokens(2, Duration::ZERO);
    let outside = Standins::start(plan).await.unwrap();
    let engine = Arc::new(EngineStandin::new(1_000, Duration::from_secs(30), 64));
    let server = Server::start(loopback_listener().unwrap(), 2, Limits::default(), engine).unwrap();
    register(&outside, server.addr());
    let router = Router::start("memory", outside.platform_addr(), &[]);
    ready(router.addr).await;
    let before = rss(router.pid());
    let client = Client::default();
    let mut open = Vec::new();
    for batch in 0..STREAMS / 100 {
        let sends = (0..100).map(|i| client.send(request(router.addr, batch * 100 + i)));
        for res in futures_util::future::join_all(sends).await {
            let res = res.unwrap();
            if res.status() != 200 {
                let body = res.into_body().collect().await.unwrap().to_bytes();
                panic!("stream {}: {}", open.len(), String::from_utf8_lossy(&body));
            }
            open.push(res);
        }
    }
    let used = rss(router.pid()) - before;
    println!(
        "\n{} open streams: {:.1} KiB of memory each",
        open.len(),
        used as f64 / 1024.0 / open.len() as f64
    );
    server.close();
    outside.close();
}

fn main() {
    let rt = tokio::runtime::Runtime::new().unwrap();
    rt.block_on(async {
        overhead().await;
        memory().await;
    });
}
