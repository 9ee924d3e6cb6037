//! `demo`: a small fleet with stand-ins in one process, a set of returning chats, and a table of what came of them.

use std::{collections::BTreeMap, net::TcpListener, process::ExitCode, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use bytes::Bytes;
use gumdrop::Options;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};

use super::Run;
use crate::{
    catalog::{AnyObject, Object},
    client::Client,
    config::Settings,
    http::{Limits, Server},
    metrics::Counter,
    schema::object::Meta,
    serve::Running,
    standin::{engine::EngineStandin, platform::PlatformStandin, service::ServiceStandin},
};

const ROUTERS: usize = 3;
const ENGINES: usize = 6;
const SERVERS: usize = 2;
const CHATS: usize = 40;
const TURNS: usize = 3;
const TOKENS: usize = 12;
const TOKEN_TIME: Duration = Duration::from_millis(3);
const CACHE: usize = 64;

#[derive(Debug, Options)]
pub(crate) struct Demo {
    #[options(help = "print this help")]
    help: bool,
}

impl Run for Demo {
    fn run(&self) -> Result<ExitCode> {
        let rt = tokio::runtime::Runtime::new().context("could not start the runtime")?;
        rt.block_on(demo())
    }
}

struct Fleet {
    engines: Vec<Arc<EngineStandin>>,
    services: Vec<Arc<ServiceStandin>>,
    routers: Vec<Running>,
    servers: Vec<Server>,
}

impl Fleet {
    async fn start() -> Result<Self> {
        let platform = Arc::new(PlatformStandin::default());
        let mut servers = Vec::new();
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        for i in 0..ENGINES {
            let engine = Arc::new(EngineStandin::new(TOKENS, TOKEN_TIME, CACHE));
            let server = Server::start(loopback()?, 1, Limits::default(), engine.clone())?;
            put(&platform, backend(&format!("engine-{i}"), "model", &server))?;
            servers.push(server);
            engines.push(engine);
        }
        for i in 0..SERVERS {
            let service = Arc::new(ServiceStandin::default());
            let server = Server::start(loopback()?, 1, Limits::default(), service.clone())?;
            put(&platform, backend(&format!("app-{i}"), "app", &server))?;
            servers.push(server);
            services.push(service);
        }
        for obj in policy() {
            put(&platform, obj)?;
        }
        let server = Server::start(loopback()?, 1, Limits::default(), platform)?;
        let mut routers = Vec::new();
        for i in 0..ROUTERS {
            let listener = loopback()?;
            let text = format!(
                "name: router-{i}\nlisten: {0}\npeer_listen: {0}\ndata_centre: poa-a\nregion: poa\nplatform: {1}\nshared_key: demo\n",
                listener.local_addr()?,
                server.addr()
            );
            routers.push(Running::start_on(&Settings::parse(&text)?, listener)?);
        }
        servers.push(server);
        Ok(Self { engines, services, routers, servers })
    }

    async fn ready(&self) -> Result<()> {
        for r in &self.routers {
            for _ in 0..100 {
                if r.gateway().catalog().version > 0 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            anyhow::ensure!(r.gateway().catalog().version > 0, "a router got no configuration");
        }
        Ok(())
    }

    fn close(self) {
        self.routers.into_iter().for_each(Running::close);
        self.servers.into_iter().for_each(Server::close);
    }
}

async fn demo() -> Result<ExitCode> {
    println!("starting {ROUTERS} routers, {ENGINES} engines, {SERVERS} backend servers of a plain service");
    let fleet = Fleet::start().await?;
    fleet.ready().await?;
    let mut tasks = Vec::new();
    for chat in 0..CHATS {
        let routers: Vec<_> = fleet.routers.iter().map(Running::addr).collect();
        tasks.push(tokio::spawn(converse(chat, routers)));
    }
    let (mut answered, mut broken) = (0, 0);
    for task in tasks {
        let (ok, bad) = task.await?;
        answered += ok;
        broken += bad;
    }
    report(&fleet, answered, broken);
    let doubled = fleet.services.iter().flat_map(|s| s.runs()).filter(|(_, n)| *n > 1).count();
    fleet.close();
    Ok(if broken == 0 && doubled == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn converse(chat: usize, routers: Vec<std::net::SocketAddr>) -> (u32, u32) {
    let client = Client::default();
    let (mut ok, mut bad) = (0, 0);
    let mut hint = String::new();
    for turn in 0..TURNS {
        let router = routers[(chat + turn) % routers.len()];
        match say(&client, router, chat, turn, &mut hint).await {
            Ok(text) if whole(&text, chat) => ok += 1,
            _ => bad += 1,
        }
        let url = format!("http://{router}/services/lessons/progress");
        let key = format!("save-{chat}-{turn}");
        match save(&client, &url, &key).await {
            Ok(()) => ok += 1,
            Err(_) => bad += 1,
        }
    }
    (ok, bad)
}

async fn say(
    client: &Client,
    router: std::net::SocketAddr,
    chat: usize,
    turn: usize,
    hint: &mut String,
) -> Result<String> {
    let messages: Vec<_> =
        (0..=turn).map(|t| serde_json::json!({ "role": "user", "content": format!("turn {t}") })).collect();
    let body = serde_json::json!({ "model": "phrase", "stream": true, "messages": messages });
    let req = Request::post(format!("http://{router}/v1/chat/completions"))
        .header("content-type", "application/json")
        .header("x-workspace", "phrasebook")
        .header("x-chat", format!("chat-{chat}"))
        .header("x-placement-hint", hint.as_str())
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    let res = client.send(req).await.map_err(|e| anyhow::anyhow!("could not reach the router: {e:?}"))?;
    anyhow::ensure!(res.status() == 200, "refused with {}", res.status());
    if let Some(value) = res.headers().get("x-placement-hint") {
        *hint = value.to_str()?.to_owned();
    }
    let bytes = res.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8(bytes.to_vec())?)
}

fn whole(text: &str, chat: usize) -> bool {
    let tokens = (0..TOKENS).all(|i| text.contains(&format!("\"chat-{chat}:{i} \"")));
    let done = text.strip_suffix("\n\n").and_then(|t| t.rsplit("\n\n").next());
    let complete = done.is_some_and(|event| event.starts_with("data: [DONE]\n"));
    tokens && complete && text.matches("\"content\"").count() == TOKENS
}

async fn save(client: &Client, url: &str, key: &str) -> Result<()> {
    let req = Request::builder()
        .method(Method::POST)
        .uri(url)
        .header("x-workspace", "phrasebook")
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from_static(b"{}")))?;
    let res = client.send(req).await.map_err(|e| anyhow::anyhow!("could not reach the router: {e:?}"))?;
    anyhow::ensure!(res.status() == 200, "refused with {}", res.status());
    Ok(())
}

fn report(fleet: &Fleet, answered: u32, broken: u32) {
    let counts: Vec<_> = fleet.engines.iter().map(|e| e.counts()).collect();
    let total: u64 = counts.iter().map(|c| c.0).sum();
    let returns: u64 = counts.iter().map(|c| c.1).sum();
    let hits: u64 = counts.iter().map(|c| c.2).sum();
    let busiest = counts.iter().map(|c| c.0).max().unwrap_or(0);
    let mean = total as f64 / counts.len() as f64;
    println!("answered                 {answered}");
    println!("broken or refused        {broken}");
    println!("cache reuse              {:.3}", hits as f64 / returns.max(1) as f64);
    println!("busiest engine over mean {:.2}", busiest as f64 / mean);
    for counter in [Counter::Requests, Counter::Refusals, Counter::Retries, Counter::RetriesRefused] {
        for (value, n) in sum(fleet, counter) {
            println!("{:24} {n}", format!("{} {value}", counter.shown().name));
        }
    }
}

fn sum(fleet: &Fleet, counter: Counter) -> BTreeMap<String, u64> {
    let mut totals = BTreeMap::new();
    for (value, n) in fleet.routers.iter().flat_map(|r| r.metrics().totals(counter)) {
        *totals.entry(value).or_default() += n;
    }
    totals
}

fn loopback() -> Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").context("could not listen on loopback")
}

fn put(platform: &PlatformStandin, obj: AnyObject) -> Result<()> {
    platform.put(obj).map(drop).map_err(|_| anyhow::anyhow!("could not write an object"))
}

fn object(kind: &str, name: &str, labels: &[(&str, &str)], spec: serde_json::Value) -> AnyObject {
    let labels = labels.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
    Object { kind: kind.into(), metadata: Meta { name: name.into(), labels, ..Meta::default() }, spec }
}

fn backend(name: &str, role: &str, server: &Server) -> AnyObject {
    let spec =
        serde_json::json!({ "address": server.addr().to_string(), "dataCentre": "poa-a", "capacity": 8 });
    object("Engine", name, &[("role", role)], spec)
}

fn policy() -> Vec<AnyObject> {
    let select = |role: &str| serde_json::json!({ "matchLabels": { "role": role } });
    vec![
        object("Workspace", "phrasebook", &[("tier", "large")], serde_json::json!({})),
        object(
            "EnginePool",
            "models",
            &[],
            serde_json::json!({ "engines": select("model"), "loadBoundMilli": 1250 }),
        ),
        object("RoutingPolicy", "all", &[], serde_json::json!({ "pool": "models" })),
        object(
            "Service",
            "lessons",
            &[],
            serde_json::json!({ "engines": select("app"), "nonIdempotent": ["/progress"] }),
        ),
    ]
}
