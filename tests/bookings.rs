//! Non-idempotent calls over real sockets: three routers, a platform and a backend server that records its runs.

#[path = "fixture/routers.rs"]
mod fixture;

use std::sync::Arc;

use bytes::Bytes;
use cranberrytally::{
    client::{Client, Failure},
    http::{Limits, Server},
    serve::RunningRouter,
    standin::{
        gate::{FaultProxy, Mode},
        platform::{Faults as PlatformFaults, PlatformStandin},
        service::{Faults, ServiceStandin},
    },
};
use fixture::{loopback_listener, object};
use http::Request;
use http_body_util::{BodyExt, Full};

const ROUTERS: usize = 3;

struct Fleet {
    platform: Arc<PlatformStandin>,
    service: Arc<ServiceStandin>,
    gate: FaultProxy,
    routers: Vec<RunningRouter>,
    addrs: Vec<std::net::SocketAddr>,
    servers: Vec<Server>,
    client: Client,
}

#[derive(Debug, PartialEq)]
struct Reply {
    status: u16,
    outcome: String,
    code: String,
    text: String,
}

impl Fleet {
    async fn start() -> Self {
        let service = Arc::new(ServiceStandin::default());
        let backend = Server::start(loopback_listener(), 1, Limits::default(), service.clone()).unwrap();
        let gate = FaultProxy::start(backend.addr(), None).await.unwrap();
        let select = serde_json::json!({ "matchLabels": { "role": "app" } });
        let calls =
            |key| serde_json::json!({ "engines": select, "nonIdempotent": ["/hold"], "requireKey": key });
        let (platform, store) = fixture::platform([
            object("Workspace", "excursions", "", serde_json::json!({})),
            fixture::backend("booking-1", "app", gate.addr()),
            object("Service", "bookings", "", calls(false)),
            object("Service", "payments", "", calls(true)),
        ]);
        let routers = fixture::routers(ROUTERS, &store, 4).await;
        let addrs = routers.iter().map(RunningRouter::addr).collect();
        let servers = vec![backend, store];
        Self { platform, service, gate, routers, addrs, servers, client: Client::default() }
    }

    async fn book_once(&self, router: usize, key: &str, content: &'static str) -> Reply {
        self.call(router, "bookings", key, content, false).await
    }

    async fn call(
        &self,
        router: usize,
        service: &str,
        key: &str,
        content: &'static str,
        first_attempt: bool,
    ) -> Reply {
        self.try_call(router, service, key, content, first_attempt).await.expect("a connection")
    }

    /// Sends one call; `None` if no connection could be made.
    async fn try_call(
        &self,
        router: usize,
        service: &str,
        key: &str,
        content: &'static str,
        first_attempt: bool,
    ) -> Option<Reply> {
        let url = format!("http://{}/services/{service}/hold", self.addrs[router]);
        let mut req = Request::post(url).header("x-workspace", "excursions");
        if !key.is_empty() {
            req = req.header("idempotency-key", key);
        }
        if first_attempt {
            req = req.header("x-first-attempt", "true");
        }
        let res = match self.client.send(req.body(Full::from(content)).unwrap()).await {
            Ok(res) => res,
            Err(Failure::Connect) => return None,
            Err(Failure::Broken) => {
                let (outcome, code) = ("unknown".to_owned(), String::new());
                return Some(Reply { status: 0, outcome, code, text: "cut".to_owned() });
            }
        };
        let status = res.status().as_u16();
        let outcome = res.headers().get("x-outcome").map_or("", |v| v.to_str().unwrap()).to_owned();
        let text = match res.into_body().collect().await {
            Ok(body) => String::from_utf8(body.to_bytes().to_vec()).unwrap(),
            Err(_) => "cut".to_owned(),
        };
        let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        let code = body["error"]["code"].as_str().unwrap_or("").to_owned();
        Some(Reply { status, outcome, code, text })
    }

    /// Repeats the call while its claim is pending.
    async fn until_settled(&self, router: usize, key: &str, content: &'static str) -> Reply {
        for _ in 0..1000 {
            let reply = self.book_once(router, key, content).await;
            if reply.code != "key_pending" {
                return reply;
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        panic!("{key} stays pending");
    }

    /// Retries a booking like a client until it is answered or its result is recorded as unknown; returns the key and the
    /// last outcome reported.
    async fn book_with_retries(&self, n: usize, key: String) -> (String, String) {
        let (mut first, mut last) = (true, String::new());
        for attempt in 0..40 {
            let router = (n + attempt) % ROUTERS;
            match self.try_call(router, "bookings", &key, "tour", first).await {
                Some(reply) => {
                    first &= reply.outcome == "not-run";
                    last = if reply.text == "cut" { "unknown".to_owned() } else { reply.outcome };
                    if last == "ran" || reply.code == "key_unknown" {
                        break;
                    }
                }
                None => last = if first { "not-run".to_owned() } else { "unknown".to_owned() },
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        (key, last)
    }

    async fn ticket_key(&self, router: usize, rest: &str) -> String {
        let url = format!("http://{}/v1/key-ticket", self.routers[router].addr());
        let res = self.client.send(Request::get(url).body(Full::<Bytes>::default()).unwrap()).await.unwrap();
        let body = res.into_body().collect().await.unwrap().to_bytes();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        format!("{}.{rest}", body["ticket"].as_str().unwrap())
    }

    fn runs(&self, key: &str) -> u32 {
        self.service.runs().get(key).copied().unwrap_or(0)
    }

    fn close(self) {
        self.routers.into_iter().for_each(RunningRouter::close);
        self.gate.close();
        self.servers.into_iter().for_each(Server::close);
    }
}

/// A client retries a booking through another router, and then uses the same key for a different booking. The retry must
/// get the first response, and the different booking must be refused.
#[tokio::test]
async fn a_repeat_reads_the_recorded_answer() {
    let fleet = Fleet::start().await;

    let first = fleet.book_once(0, "k1", "tour 7").await;
    let repeat = fleet.until_settled(1, "k1", "tour 7").await;
    let other = fleet.book_once(2, "k1", "tour 8").await;

    assert_eq!((first.status, first.outcome.as_str()), (200, "ran"));
    assert_eq!(repeat, first);
    assert_eq!((other.status, other.code.as_str(), other.outcome.as_str()), (409, "key_conflict", "not-run"));
    assert_eq!(fleet.runs("k1"), 1);
    fleet.close();
}

/// A client sends the same booking to every router at the same time, twice. Without a claim before the first byte each
/// router would run it.
#[tokio::test]
async fn a_booking_sent_to_every_router_runs_once() {
    let fleet = Arc::new(Fleet::start().await);
    fleet.service.set_faults(Faults { late_ms: 30, ..Faults::default() });

    for key in ["a", "b", "c", "d", "e"] {
        let sent = (0..2 * ROUTERS).map(|i| {
            let fleet = fleet.clone();
            tokio::spawn(async move { fleet.book_once(i % ROUTERS, key, "tour").await })
        });
        let sent: Vec<_> = sent.collect();
        let mut replies = Vec::new();
        for task in sent {
            replies.push(task.await.unwrap());
        }

        assert_eq!(fleet.runs(key), 1, "{key}");
        assert!(replies.iter().any(|r| r.status == 200), "{key}: {replies:?}");
        assert!(replies.iter().all(|r| r.outcome != "not-run"), "{key}: {replies:?}");
    }
    Arc::into_inner(fleet).unwrap().close();
}

/// The backend server runs the booking, and its connection breaks before the response. Whether it ran is unknown: no
/// caller may get "not run", and no later attempt may run it again.
#[tokio::test]
async fn a_lost_response_of_the_backend_server_stays_unknown() {
    let fleet = Fleet::start().await;
    fleet.service.set_faults(Faults { cut_answers: 1, ..Faults::default() });

    let first = fleet.book_once(0, "k2", "tour").await;
    let repeat = fleet.until_settled(1, "k2", "tour").await;

    assert!(first.text == "cut" || first.outcome == "unknown", "{first:?}");
    assert_eq!((repeat.code.as_str(), repeat.outcome.as_str()), ("key_unknown", "unknown"));
    assert_eq!(fleet.runs("k2"), 1);
    fleet.close();
}

/// The backend server refuses connections for a while. The first attempt gets "not run", because the caller states that
/// it is the first. The claim is released, so that the next attempt runs.
#[tokio::test]
async fn a_claim_that_did_not_run_is_released() {
    let fleet = Fleet::start().await;
    fleet.gate.set_mode(Mode::Refuse).await.unwrap();

    let refused = fleet.call(0, "bookings", "k3", "tour", true).await;
    fleet.gate.set_mode(Mode::Open).await.unwrap();
    let again = fleet.until_settled(1, "k3", "tour").await;

    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{refused:?}");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(fleet.runs("k3"), 1);
    fleet.close();
}

/// A service that requires a key refuses a call without one; a service that does not require it runs the call once.
#[tokio::test]
async fn a_key_is_required_if_the_policy_says_so() {
    let fleet = Fleet::start().await;

    let refused = fleet.call(0, "payments", "", "pay", false).await;
    let ran = fleet.call(0, "bookings", "", "tour", false).await;

    assert_eq!((refused.code.as_str(), refused.outcome.as_str()), ("key_required", "not-run"));
    assert_eq!(ran.status, 200);
    assert_eq!(fleet.runs(""), 1);
    fleet.close();
}

/// During a platform outage a booking with a ticket key still runs, because only one router may run it. One with a key
/// of the caller's own can't be claimed and is refused; it gets "not run" only if the caller states that there was no
/// earlier attempt. After the outage another router finds the record of the ticket key, which does not run again.
#[tokio::test]
async fn an_outage_refuses_only_keys_without_a_ticket() {
    let fleet = Fleet::start().await;
    let ticketed = fleet.ticket_key(0, "booking-9").await;
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    let by_ticket = fleet.book_once(0, &ticketed, "tour").await;
    let elsewhere = fleet.until_settled(1, &ticketed, "tour").await;
    let first = fleet.call(0, "bookings", "own", "tour", true).await;
    let repeat = fleet.book_once(0, "own", "tour").await;
    fleet.platform.set_faults(PlatformFaults::default());
    let later = fleet.until_settled(2, &ticketed, "tour").await;

    assert_eq!(by_ticket.status, 200, "{by_ticket:?}");
    assert_eq!(elsewhere, by_ticket);
    assert_eq!((first.code.as_str(), first.outcome.as_str()), ("claim_unavailable", "not-run"));
    assert_eq!(repeat.outcome, "unknown", "{repeat:?}");
    assert_eq!(later, by_ticket);
    assert_eq!((fleet.runs(&ticketed), fleet.runs("own")), (1, 0));
    fleet.close();
}

/// The platform stores the claim, but its response is lost. Treated as a failure, the booking would be refused although
/// its claim is stored; treated as a success without a read, a claim could be granted that is not stored.
#[tokio::test]
async fn a_lost_response_of_the_platform_is_resolved_by_a_read() {
    let fleet = Fleet::start().await;
    fleet.platform.set_faults(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });

    let reply = fleet.book_once(0, "k4", "tour").await;
    let repeat = fleet.until_settled(1, "k4", "tour").await;

    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(repeat, reply);
    assert_eq!(fleet.runs("k4"), 1);
    fleet.close();
}

/// The response is too large to be stored with the claim. A repeat must not get an empty response instead.
#[tokio::test]
async fn an_oversized_response_is_reported_as_ran() {
    let fleet = Fleet::start().await;
    fleet.service.set_faults(Faults { padding: 4096, ..Faults::default() });

    let first = fleet.book_once(0, "k5", "tour").await;
    let repeat = fleet.until_settled(1, "k5", "tour").await;

    assert_eq!(first.status, 200);
    assert_eq!((repeat.code.as_str(), repeat.outcome.as_str()), ("key_answered", "ran"));
    assert_eq!(fleet.runs("k5"), 1);
    fleet.close();
}

/// The platform has several outages and loses responses, the backend server breaks some connections after it ran the
/// request, and one router stops halfway. Each booking is retried until it is settled. According to the backend server
/// none may run twice, and none that ran may end with "not run".
#[tokio::test(flavor = "multi_thread")]
async fn repeated_failures_duplicate_no_booking() {
    let mut fleet = Fleet::start().await;
    let mut stopping = fleet.routers.pop();
    let fleet = Arc::new(fleet);
    fleet.service.set_faults(Faults { late_ms: 5, cut_answers: 5, ..Faults::default() });
    let mut tasks = Vec::new();
    for n in 0..60 {
        let (fleet, ticket) = (fleet.clone(), n % 2 == 0);
        let key = if ticket { fleet.ticket_key(n % 2, &n.to_string()).await } else { format!("own-{n}") };
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(20 * n as u64)).await;
            fleet.book_with_retries(n, key).await
        }));
    }

    for round in 0..4 {
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
        fleet.platform.set_faults(PlatformFaults { lose_answers: 3, ..PlatformFaults::default() });
        if round == 1
            && let Some(router) = stopping.take()
        {
            router.close();
        }
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.unwrap());
    }

    let ran = outcomes.iter().filter(|(_, outcome)| outcome == "ran").count();
    for (key, outcome) in &outcomes {
        let runs = fleet.runs(key);
        assert!(runs <= 1, "{key} ran {runs} times");
        assert!(outcome != "not-run" || runs == 0, "{key} got not-run but ran");
        assert!(outcome != "ran" || runs == 1, "{key} got ran but did not run");
    }
    assert!(ran >= 40, "{ran} of 60 were reported as ran: {outcomes:?}");
}

/// A router is shut down as planned while a client still uses keys under its ticket, one for a booking made before and
/// one for a new booking. If the router did not hand its keys over, both would stay unknown.
#[tokio::test]
async fn a_planned_shutdown_hands_over_the_keys_of_its_tickets() {
    let mut fleet = Fleet::start().await;
    let (old, new) = (fleet.ticket_key(2, "old").await, fleet.ticket_key(2, "new").await);
    let before = fleet.book_once(2, &old, "tour").await;

    fleet.routers.pop().unwrap().stop().await;
    let repeat = fleet.until_settled(0, &old, "tour").await;
    let fresh = fleet.until_settled(1, &new, "tour").await;

    assert_eq!(repeat, before);
    assert_eq!(fresh.status, 200, "{fresh:?}");
    assert_eq!((fleet.runs(&old), fleet.runs(&new)), (1, 1));
    fleet.close();
}
