//! Contract tests of the engine API: the client against a simulated engine, with fault cases from tables.

use std::{fs, net::TcpListener, path::Path, sync::Arc, time::Duration};

use bytes::Bytes;
use cranberrytally::{
    client::{Client, Failure},
    engine::{ChatCall, ChatId, EngineClient, OrderOutcome, answer::AnswerStream},
    http::{Limits, Server},
    schema::engine::Order,
    standin::{
        engine::{EngineStandin, Faults},
        gate::{FaultProxy, Mode},
    },
    stream::{EventAction, StreamTracker},
};
use serde::{Deserialize, de::DeserializeOwned};

const TOKENS_PER_ANSWER: usize = 6;
const EVENTS_PER_ANSWER: u32 = 7;
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
const REQUEST: &str = "request-1";

type TestResult = datatest_stable::Result<()>;

struct Fixture {
    engine: Arc<EngineStandin>,
    server: Server,
    gate: FaultProxy,
    client: EngineClient,
}

impl Fixture {
    async fn start(faults: Faults) -> Self {
        let engine = Arc::new(EngineStandin::new(TOKENS_PER_ANSWER, Duration::from_millis(1), 4));
        engine.set_faults(faults);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Server::start(listener, 1, Limits::default(), engine.clone()).unwrap();
        let gate = FaultProxy::start(server.addr(), Some(engine.subscribe_crashes())).await.unwrap();
        let client = EngineClient::new(Client::default(), gate.addr());
        Self { engine, server, gate, client }
    }

    async fn chat(&self) -> Result<http::Response<hyper::body::Incoming>, &'static str> {
        let call = ChatCall {
            request: REQUEST,
            chat: "chat-1",
            workspace: "phrasebook",
            priority: 1,
            body: Bytes::from_static(br#"{"messages":[{"role":"user","content":"hello"}]}"#),
        };
        match tokio::time::timeout(STALL_TIMEOUT, self.client.chat(&call)).await {
            Err(_) => Err("stalled"),
            Ok(Err(Failure::Connect)) => Err("connect"),
            Ok(Err(Failure::Broken)) => Err("broken"),
            Ok(Ok(res)) => Ok(res),
        }
    }

    fn close(self) {
        self.gate.close();
        self.server.close();
    }
}

fn id(chat: &str) -> ChatId<'_> {
    ChatId { workspace: "phrasebook", chat }
}

fn kv(chat: &str) -> Bytes {
    Bytes::from(format!("kv of {chat} in phrasebook"))
}

/// Result of reading one connection.
#[derive(Debug, Default, PartialEq)]
struct ReadResult {
    passed: u32,
    dropped: Vec<&'static str>,
    end: &'static str,
}

async fn read(res: http::Response<hyper::body::Incoming>, tracker: &mut StreamTracker) -> ReadResult {
    let mut answer = AnswerStream::new(res.into_body(), STALL_TIMEOUT);
    let mut result = ReadResult::default();
    loop {
        let event = match answer.next().await {
            Ok(event) => event,
            Err(error) => {
                result.end = error.as_str();
                return result;
            }
        };
        match tracker.on_event(event.id.as_deref(), event.data.as_deref().unwrap_or("")) {
            EventAction::Pass => result.passed += 1,
            EventAction::Drop(dropped) => result.dropped.push(dropped.as_str()),
            EventAction::Refetch => {
                result.end = "refetch";
                return result;
            }
            EventAction::Complete => {
                result.passed += 1;
                result.end = "complete";
                return result;
            }
        }
    }
}

fn table<T: DeserializeOwned>(path: &Path) -> Vec<T> {
    serde_saphyr::from_str(&fs::read_to_string(path).unwrap()).unwrap()
}

fn block_on(work: impl Future<Output = ()>) -> TestResult {
    tokio::runtime::Runtime::new()?.block_on(work);
    Ok(())
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AnswerCase {
    name: String,
    #[serde(default)]
    faults: Faults,
    #[serde(default = "open")]
    mode: Mode,
    head: serde_json::Value,
    #[serde(default)]
    passed: u32,
    #[serde(default)]
    dropped: Vec<String>,
    #[serde(default)]
    end: String,
    #[serde(default = "one")]
    runs: u32,
}

fn open() -> Mode {
    Mode::Open
}

fn one() -> u32 {
    1
}

fn answers(path: &Path) -> TestResult {
    block_on(async {
        for case in table::<AnswerCase>(path) {
            let fixture = Fixture::start(case.faults).await;
            fixture.gate.set_mode(case.mode).await.unwrap();

            let res = fixture.chat().await;

            let runs = fixture.engine.runs().get(REQUEST).copied().unwrap_or(0);
            assert_eq!(runs, case.runs, "{}: runs", case.name);
            let head = match &res {
                Ok(res) => serde_json::json!(res.status().as_u16()),
                Err(failure) => serde_json::json!(failure),
            };
            assert_eq!(head, case.head, "{}: head", case.name);
            if let Ok(res) = res
                && res.status() == 200
            {
                let result = read(res, &mut StreamTracker::new(REQUEST, 0)).await;
                assert_eq!(result.passed, case.passed, "{}: passed", case.name);
                assert_eq!(result.dropped, case.dropped, "{}: dropped", case.name);
                assert_eq!(result.end, case.end, "{}: end", case.name);
            }
            fixture.close();
        }
    })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ResumeCase {
    name: String,
    faults: Faults,
    connections: u32,
}

fn resumes(path: &Path) -> TestResult {
    block_on(async {
        for case in table::<ResumeCase>(path) {
            let fixture = Fixture::start(case.faults).await;
            let mut tracker = StreamTracker::new(REQUEST, 0);
            let mut passed = read(fixture.chat().await.unwrap(), &mut tracker).await.passed;
            let mut connections = 1;

            while !tracker.is_complete() && connections < 9 {
                let res = fixture.client.resume(REQUEST, tracker.next()).await.unwrap();
                passed += read(res, &mut tracker).await.passed;
                connections += 1;
            }

            assert!(tracker.is_complete(), "{}: complete", case.name);
            assert_eq!(passed, EVENTS_PER_ANSWER, "{}: passed", case.name);
            assert_eq!(connections, case.connections, "{}: connections", case.name);
            assert_eq!(fixture.engine.runs()[REQUEST], 1, "{}: runs", case.name);
            fixture.close();
        }
    })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderCase {
    name: String,
    checks_fencing: bool,
    given: Vec<u64>,
    taken: Vec<u64>,
}

fn orders(path: &Path) -> TestResult {
    block_on(async {
        for case in table::<OrderCase>(path) {
            let faults = Faults { checks_fencing: case.checks_fencing, ..Faults::default() };
            let fixture = Fixture::start(faults).await;

            for fencing in &case.given {
                let order = Order { models: vec!["phrase-2".into()], ..Order::default() };
                let outcome = fixture.client.order(&order, *fencing, STALL_TIMEOUT).await.unwrap();
                let newest = fixture.engine.orders().last().map(|o| o.0);
                assert!(outcome == OrderOutcome::Stale || newest == Some(*fencing), "{}", case.name);
            }

            let taken: Vec<_> = fixture.engine.orders().into_iter().map(|o| o.0).collect();
            assert_eq!(taken, case.taken, "{}", case.name);
            assert_eq!(fixture.client.load().await.unwrap().models, ["phrase-2"], "{}", case.name);
            fixture.close();
        }
    })
}

/// A caller disconnects during an answer. Without a cancel the engine would keep generating tokens that nobody reads.
fn cancels(_: &Path) -> TestResult {
    block_on(async {
        let fixture =
            Fixture::start(Faults { stall_after: Some(1), connections: 1, ..Faults::default() }).await;
        let res = fixture.chat().await.unwrap();

        fixture.client.cancel(REQUEST).await.unwrap();

        assert_eq!(fixture.engine.cancels(), 1);
        assert_eq!(fixture.client.resume(REQUEST, 0).await.unwrap().status(), 404);
        fixture.client.cancel(REQUEST).await.unwrap();
        assert_eq!(fixture.engine.cancels(), 1, "a cancel of an unknown request does nothing");
        drop(res);
        fixture.close();
    })
}

/// Cache events arrive with a gap, which the reader must be able to detect. Then the engine crashes: its start changes,
/// its cache is empty and positions restart.
fn events_and_kv(_: &Path) -> TestResult {
    block_on(async {
        let fixture = Fixture::start(Faults { event_gap: 2, ..Faults::default() }).await;
        for chat in ["a", "b", "c"] {
            fixture.client.import_kv(id(chat), kv(chat)).await.unwrap();
        }

        let events = fixture.client.events(0).await.unwrap();

        let seqs: Vec<_> = events.events.iter().map(|e| e.seq).collect();
        assert_eq!((seqs, events.last), (vec![1, 3], 3));
        assert_eq!(fixture.client.events(1).await.unwrap().events.len(), 1);
        assert_eq!(fixture.client.export_kv(id("b")).await.unwrap(), Some(kv("b")));
        assert_eq!(fixture.client.export_kv(id("z")).await.unwrap(), None);
        assert!(fixture.client.import_kv(id("z"), Bytes::from_static(b"torn")).await.is_err());
        fixture.engine.crash();
        let after = loop {
            // The client may reuse a pooled connection that the crash closes.
            if let Ok(after) = fixture.client.events(0).await {
                break after;
            }
        };
        assert_ne!(after.start, events.start);
        assert_eq!(after.last, 0);
        fixture.close();
    })
}

/// Callers choose the names of chats. A name with a slash, a question mark or dots must address its own cached context
/// and no other endpoint of the engine; in a URL, chat `a?b` would reach the context of `a`.
fn any_chat_name_names_its_own_context(_: &Path) -> TestResult {
    block_on(async {
        let fixture = Fixture::start(Faults::default()).await;
        for chat in ["a", "a/b", "a?b", "..", "../load", "a b", "%61", "#"] {
            assert_eq!(fixture.client.export_kv(id(chat)).await.ok(), Some(None), "{chat} before");

            fixture.client.import_kv(id(chat), kv(chat)).await.unwrap();

            let exported = fixture.client.export_kv(id(chat)).await.unwrap();
            assert_eq!(exported.as_deref(), Some(&*kv(chat)), "{chat}");
            let other = ChatId { workspace: "excursions", chat };
            assert_eq!(fixture.client.export_kv(other).await.unwrap(), None, "{chat} of another workspace");
        }
        fixture.close();
    })
}

/// Two workspaces use the same chat name on one engine. Neither may get an answer from the other's cached context.
fn workspaces_share_no_context(_: &Path) -> TestResult {
    block_on(async {
        let fixture = Fixture::start(Faults::default()).await;
        let body = Bytes::from(r#"{"messages":[{"content":"a"},{"content":"b"}]}"#);
        let turns = [("phrasebook", 0), ("excursions", 0), ("phrasebook", 1), ("excursions", 2)];
        for (i, (workspace, hits)) in turns.into_iter().enumerate() {
            let request = format!("request-{i}");
            let call =
                ChatCall { request: &request, chat: "chat-1", workspace, priority: 0, body: body.clone() };

            drop(fixture.client.chat(&call).await);

            assert_eq!(fixture.engine.request_counts(), (i as u64 + 1, i as u64 + 1, hits), "turn {i}");
        }
        fixture.close();
    })
}

datatest_stable::harness! {
    { test = any_chat_name_names_its_own_context, root = "tests/engine", pattern = r"^answers\.yaml$" },
    { test = workspaces_share_no_context, root = "tests/engine", pattern = r"^answers\.yaml$" },
    { test = answers, root = "tests/engine", pattern = r"^answers\.yaml$" },
    { test = resumes, root = "tests/engine", pattern = r"^resumes\.yaml$" },
    { test = orders, root = "tests/engine", pattern = r"^orders\.yaml$" },
    { test = cancels, root = "tests/engine", pattern = r"^answers\.yaml$" },
    { test = events_and_kv, root = "tests/engine", pattern = r"^answers\.yaml$" },
}
