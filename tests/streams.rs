//! Event streams through routers: a caller gets its complete answer or a connection error, never a truncated answer
//! that looks complete.

#[path = "fixture/routers.rs"]
mod fixture;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cranberrytally::{
    client::Client,
    http::{Limits, Server},
    metrics::Counter,
    serve::RunningRouter,
    standin::{
        engine::{EngineStandin, Faults},
        gate::FaultProxy,
    },
};
use fixture::{loopback_listener, object};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

const TOKENS: usize = 20;

struct Fleet {
    engine: Arc<EngineStandin>,
    gate: FaultProxy,
    routers: Vec<RunningRouter>,
    servers: Vec<Server>,
    client: Client,
}

/// Answer as read by a caller.
#[derive(Debug, Default)]
struct Read {
    text: String,
    broken: bool,
}

impl Read {
    fn tokens(&self) -> Vec<usize> {
        let of = |part: &str| part.split(" \"").next()?.parse().ok();
        self.text.split("\"content\":\"chat-1:").skip(1).filter_map(of).collect()
    }

    fn is_complete(&self) -> bool {
        !self.broken && self.tokens() == (0..TOKENS).collect::<Vec<_>>() && self.done() == 1
    }

    fn done(&self) -> usize {
        self.text.matches("data: [DONE]").count()
    }

    fn last_id(&self) -> String {
        let mut ids = self.text.lines().rev().filter_map(|l| l.strip_prefix("id: "));
        ids.next().unwrap_or_default().to_owned()
    }
}

impl Fleet {
    async fn start(faults: Faults) -> Self {
        Self::start_with(EngineStandin::new(TOKENS, Duration::from_millis(1), 8), faults).await
    }

    async fn start_with(engine: EngineStandin, faults: Faults) -> Self {
        let engine = Arc::new(engine);
        engine.set_faults(faults);
        let server = Server::start(loopback_listener(), 1, Limits::default(), engine.clone()).unwrap();
        let gate = FaultProxy::start(server.addr(), Some(engine.subscribe_crashes())).await.unwrap();
        let select = serde_json::json!({ "matchLabels": { "role": "model" } });
        let (_, store) = fixture::platform([
            object("Workspace", "phrasebook", "", serde_json::json!({})),
            fixture::backend("engine-1", "model", gate.addr()),
            object("EnginePool", "models", "", serde_json::json!({ "engines": select })),
            object("RoutingPolicy", "all", "", serde_json::json!({ "pool": "models" })),
        ]);
        let routers = fixture::routers(2, &store, 4).await;
        Self { engine, gate, routers, servers: vec![server, store], client: Client::default() }
    }

    async fn chat(&self) -> Response<Incoming> {
        self.chat_as("chat-1").await
    }

    async fn chat_as(&self, chat: &str) -> Response<Incoming> {
        self.chat_after(chat, 0).await
    }

    /// Sends a chat that the caller has already attempted `made` times.
    async fn chat_after(&self, chat: &str, made: u32) -> Response<Incoming> {
        let url = format!("http://{}/v1/chat/completions", self.routers[0].addr());
        let req = Request::post(url)
            .header("x-workspace", "phrasebook")
            .header("x-chat", chat)
            .header("x-attempt", made)
            .body(Full::from(r#"{"model":"m","stream":true,"messages":[{"content":"hello"}]}"#))
            .unwrap();
        self.client.send(req).await.unwrap()
    }

    async fn resume(&self, token: &str, last: &str, workspace: &str) -> Response<Incoming> {
        let url = format!("http://{}/v1/resume", self.routers[1].addr());
        let mut req = Request::get(url).header("x-workspace", workspace).header("x-resume-token", token);
        if !last.is_empty() {
            req = req.header("last-event-id", last);
        }
        self.client.send(req.body(Full::<Bytes>::default()).unwrap()).await.unwrap()
    }

    fn count(&self, event: &str) -> u64 {
        let total = |r: &RunningRouter| r.metrics().totals(Counter::Streams).get(event).copied().unwrap_or(0);
        self.routers.iter().map(total).sum()
    }

    fn close(self) {
        self.routers.into_iter().for_each(RunningRouter::close);
        self.gate.close();
        self.servers.into_iter().for_each(Server::close);
    }
}

fn token(res: &Response<Incoming>) -> String {
    res.headers()["x-resume-token"].to_str().unwrap().to_owned()
}

async fn read(mut res: Response<Incoming>, events: usize) -> (Read, Response<Incoming>) {
    let mut read = Read::default();
    while read.text.matches("\nid: ").count() < events {
        match res.body_mut().frame().await {
            None => break,
            Some(Err(_)) => {
                read.broken = true;
                break;
            }
            Some(Ok(frame)) => read.text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap()),
        }
    }
    (read, res)
}

async fn read_all(res: Response<Incoming>) -> Read {
    read(res, usize::MAX).await.0
}

/// The connection to the engine breaks three times during an answer. The router resumes at the offset reached, and
/// the caller reads each token once.
#[tokio::test]
async fn a_broken_connection_is_resumed() {
    let fleet = Fleet::start(Faults { cut_after: Some(4), connections: 3, ..Faults::default() }).await;

    let answer = read_all(fleet.chat().await).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(fleet.count("resumed"), 3);
    assert_eq!(fleet.engine.runs().len(), 1);
    fleet.close();
}

/// The engine ends its response cleanly, but before the final marker. If the router forwarded the end, the truncated
/// answer would look complete.
#[tokio::test]
async fn an_early_end_is_not_complete() {
    let fleet = Fleet::start(Faults { end_after: Some(7), connections: 1, ..Faults::default() }).await;

    let answer = read_all(fleet.chat().await).await;

    assert!(answer.is_complete(), "{answer:?}");
    fleet.close();
}

/// The engine sends events of another request and duplicates, and loses an event. The caller must read nothing of the
/// other answer and each token once.
#[tokio::test]
async fn foreign_and_duplicate_events_are_dropped() {
    let faults = Faults { cross: true, repeat: true, skip: true, connections: 1, ..Faults::default() };
    let fleet = Fleet::start(faults).await;

    let answer = read_all(fleet.chat().await).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert!(!answer.text.contains("another"));
    assert!(fleet.count("crossed") > 0 && fleet.count("repeated") > 0 && fleet.count("refetch") > 0);
    fleet.close();
}

/// The engine crashes during an answer, and the stream is lost. The caller must see a broken connection, neither a
/// clean end nor the final marker.
#[tokio::test]
async fn a_lost_stream_ends_with_an_error() {
    let fleet = Fleet::start(Faults { stall_after: Some(5), connections: 1, ..Faults::default() }).await;
    let (begun, res) = read(fleet.chat().await, 5).await;

    fleet.engine.crash();
    let rest = read_all(res).await;

    assert_eq!(begun.tokens().len(), 5);
    assert!(rest.broken, "{rest:?}");
    assert_eq!((rest.done(), fleet.count("cut")), (0, 1));
    fleet.close();
}

/// A caller disconnects during an answer. The router must cancel the request at the engine, which would otherwise
/// generate tokens for nobody while others wait.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_the_request() {
    let fleet = Fleet::start(Faults { stall_after: Some(5), connections: 1, ..Faults::default() }).await;
    let (_, res) = read(fleet.chat().await, 5).await;

    drop(res);

    let cancelled = async {
        while fleet.engine.cancels() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), cancelled).await.expect("the engine gets the cancellation");
    assert_eq!(fleet.engine.running(), 0);
    fleet.close();
}

/// A router fails during an answer. The caller resumes at another router with the resume token from the headers and
/// its last event identifier, without duplicate or missing tokens.
#[tokio::test]
async fn a_caller_resumes_at_another_router() {
    let fleet = Fleet::start(Faults { stall_after: Some(6), connections: 1, ..Faults::default() }).await;
    let res = fleet.chat().await;
    let token = token(&res);
    let (begun, held) = read(res, 6).await;

    let rest = read_all(fleet.resume(&token, &begun.last_id(), "phrasebook").await).await;

    let whole = Read { text: format!("{}{}", begun.text, rest.text), broken: begun.broken || rest.broken };
    assert!(whole.is_complete(), "{whole:?}");
    assert_eq!(fleet.engine.runs().len(), 1);
    drop(held);
    fleet.close();
}

/// A resume token must not give access to other callers' answers. An altered token, another workspace and an event of
/// another stream are rejected.
#[tokio::test]
async fn a_token_opens_only_its_own_stream() {
    let fleet = Fleet::start(Faults::default()).await;
    let res = fleet.chat().await;
    let token = token(&res);
    read_all(res).await;
    let other = if token.starts_with('A') { 'B' } else { 'A' };
    let changed = format!("{other}{}", &token[1..]);
    let cases = [
        (changed.as_str(), "", "phrasebook"),
        (&token, "", "another"),
        (&token, "another-request/3", "phrasebook"),
        ("", "", "phrasebook"),
    ];

    for (token, last, workspace) in cases {
        let status = fleet.resume(token, last, workspace).await.status().as_u16();

        assert_eq!(status, 400, "{token:?} {last:?} {workspace:?}");
    }
    assert!(read_all(fleet.resume(&token, "", "phrasebook").await).await.is_complete());
    fleet.close();
}

/// A caller reports an answer by its `x-request-id`. The engine must log its run under an identifier derived from
/// it, so that an operator can find the run.
#[tokio::test]
async fn the_engine_knows_an_attempt_by_the_request_identifier() {
    for (made, attempt) in [(0, 1), (1, 2)] {
        let fleet = Fleet::start(Faults { cut_after: Some(4), connections: 1, ..Faults::default() }).await;

        let res = fleet.chat_after("chat-1", made).await;

        let id = res.headers()["x-request-id"].to_str().unwrap().to_owned();
        assert!(read_all(res).await.is_complete());
        let runs: Vec<_> = fleet.engine.runs().into_keys().collect();
        assert_eq!(runs, [format!("{id}-{attempt}")]);
        fleet.close();
    }
}

/// A caller stops reading while the engine generates a very long answer. The router must apply backpressure instead
/// of buffering: once the sockets between them are full, the engine stops sending.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_does_not_read_causes_backpressure() {
    const EVENTS: usize = 150_000;
    let chat = "c".repeat(250);
    let fleet = Fleet::start_with(EngineStandin::new(EVENTS, Duration::ZERO, 8), Faults::default()).await;

    let res = fleet.chat_as(&chat).await;

    let held = async {
        let mut before = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let sent = fleet.engine.events_sent();
            if sent > 0 && sent == before {
                return sent;
            }
            before = sent;
        }
    };
    let sent = tokio::time::timeout(Duration::from_secs(60), held).await.expect("the engine stops sending");
    assert!(sent < EVENTS as u64 * 9 / 10, "{sent} of {EVENTS} events were taken");
    drop(res);
    fleet.close();
}
