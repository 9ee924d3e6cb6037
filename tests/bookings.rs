//! Calls that may not be repeated, over real sockets: three routers, a platform and a backend server that keeps a
//! record of its runs.

#[path = "fixture/routers.rs"]
mod fixture;

use std::sync::Arc;

use bytes::Bytes;
use cranberrytally::{
    client::{Client, Failure},
    http::{Limits, Server},
    serve::Running,
    standin::{
        gate::{Gate, Mode},
        platform::{Faults as PlatformFaults, PlatformStandin},
        service::{Faults, ServiceStandin},
    },
};
use fixture::{loopback, object};
use http::Request;
use http_body_util::{BodyExt, Full};

const ROUTERS: usize = 3;

struct Fleet {
    platform: Arc<PlatformStandin>,
    service: Arc<ServiceStandin>,
    gate: Gate,
    routers: Vec<Running>,
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
        let backend = Server::start(loopback(), 1, Limits::default(), service.clone()).unwrap();
        let gate = Gate::start(backend.addr(), None).await.unwrap();
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
        let addrs = routers.iter().map(Running::addr).collect();
        let servers = vec![backend, store];
        Self { platform, service, gate, routers, addrs, servers, client: Client::default() }
    }

    async fn hold(&self, router: usize, key: &str, content: &'static str) -> Reply {
        self.call(router, "bookings", key, content, false).await
    }

    async fn call(
        &self,
        router: usize,
        service: &str,
        key: &str,
        content: &'static str,
        first: bool,
    ) -> Reply {
        self.try_call(router, service, key, content, first).await.expect("a connection")
    }

    /// `None` when no connection could be made.
    async fn try_call(
        &self,
        router: usize,
        service: &str,
        key: &str,
        content: &'static str,
        first: bool,
    ) -> Option<Reply> {
        let url = format!("http://{}/services/{service}/hold", self.addrs[router]);
        let mut req = Request::post(url).header("x-workspace", "excursions");
        if !key.is_empty() {
            req = req.header("idempotency-key", key);
        }
        if first {
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

    /// Asks again while the claim is pending.
    async fn settled(&self, router: usize, key: &str, content: &'static str) -> Reply {
        for _ in 0..1000 {
            let reply = self.hold(router, key, content).await;
            if reply.code != "key_pending" {
                return reply;
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        panic!("{key} stays pending");
    }

    /// Sends a booking until it is answered or known to have been made, as a patient client does; returns the last
    /// outcome that it was told.
    async fn book(&self, n: usize, key: String) -> (String, String) {
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
        self.routers.into_iter().for_each(Running::close);
        self.gate.close();
        self.servers.into_iter().for_each(Server::close);
    }
}

/// A guest's tablet sends a booking, loses the answer and sends it again through another router, then once more
/// with another tour under the same key. The guest must read the first booking's answer, and the other tour must
/// not be booked.
#[tokio::test]
async fn a_repeat_reads_the_recorded_answer() {
    let fleet = Fleet::start().await;

    let first = fleet.hold(0, "k1", "tour 7").await;
    let repeat = fleet.settled(1, "k1", "tour 7").await;
    let other = fleet.hold(2, "k1", "tour 8").await;

    assert_eq!((first.status, first.outcome.as_str()), (200, "ran"));
    assert_eq!(repeat, first);
    assert_eq!((other.status, other.code.as_str(), other.outcome.as_str()), (409, "key_conflict", "not-run"));
    assert_eq!(fleet.runs("k1"), 1);
    fleet.close();
}

/// A nervous client sends the same booking to every router at once, and again. Without a claim before the first
/// byte each router would book it: the family is charged three times.
#[tokio::test]
async fn a_booking_sent_to_every_router_runs_once() {
    let fleet = Arc::new(Fleet::start().await);
    fleet.service.set_faults(Faults { late_ms: 30, ..Faults::default() });

    for key in ["a", "b", "c", "d", "e"] {
        let sent = (0..2 * ROUTERS).map(|i| {
            let fleet = fleet.clone();
            tokio::spawn(async move { fleet.hold(i % ROUTERS, key, "tour").await })
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

/// The booking application books, then its connection breaks before the answer. Nobody knows whether it ran: the
/// guest must not be told that it didn't, and no later attempt may run it again.
#[tokio::test]
async fn a_lost_answer_of_the_backend_server_stays_unknown() {
    let fleet = Fleet::start().await;
    fleet.service.set_faults(Faults { cut_answers: 1, ..Faults::default() });

    let first = fleet.hold(0, "k2", "tour").await;
    let repeat = fleet.settled(1, "k2", "tour").await;

    assert!(first.text == "cut" || first.outcome == "unknown", "{first:?}");
    assert_eq!((repeat.code.as_str(), repeat.outcome.as_str()), ("key_unknown", "unknown"));
    assert_eq!(fleet.runs("k2"), 1);
    fleet.close();
}

/// The booking application refuses connections for a while. The first attempt is told "not run", as the caller
/// says that it is the first; the claim is given back, so that the next attempt runs.
#[tokio::test]
async fn a_claim_that_did_not_run_is_given_back() {
    let fleet = Fleet::start().await;
    fleet.gate.set(Mode::Refuse).await.unwrap();

    let refused = fleet.call(0, "bookings", "k3", "tour", true).await;
    fleet.gate.set(Mode::Open).await.unwrap();
    let again = fleet.settled(1, "k3", "tour").await;

    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{refused:?}");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(fleet.runs("k3"), 1);
    fleet.close();
}

/// A service whose policy demands a key refuses a call without one; a service that doesn't runs it once.
#[tokio::test]
async fn a_key_is_demanded_where_the_policy_says_so() {
    let fleet = Fleet::start().await;

    let refused = fleet.call(0, "payments", "", "pay", false).await;
    let ran = fleet.call(0, "bookings", "", "tour", false).await;

    assert_eq!((refused.code.as_str(), refused.outcome.as_str()), ("key_required", "not-run"));
    assert_eq!(ran.status, 200);
    assert_eq!(fleet.runs(""), 1);
    fleet.close();
}

/// The platform goes out in the afternoon. A booking with a key of a router's ticket goes on, since only that
/// router may run it; one with a key of the caller's own can't be claimed and is refused. "Not run" is said only
/// to a caller who states that there was no earlier attempt. When the platform is back, the record of the ticket's
/// booking is found by way of another router, and its key runs no second time.
#[tokio::test]
async fn an_outage_stops_only_what_cannot_be_proven() {
    let fleet = Fleet::start().await;
    let ticketed = fleet.ticket_key(0, "booking-9").await;
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    let by_ticket = fleet.hold(0, &ticketed, "tour").await;
    let elsewhere = fleet.settled(1, &ticketed, "tour").await;
    let first = fleet.call(0, "bookings", "own", "tour", true).await;
    let repeat = fleet.hold(0, "own", "tour").await;
    fleet.platform.set_faults(PlatformFaults::default());
    let later = fleet.settled(2, &ticketed, "tour").await;

    assert_eq!(by_ticket.status, 200, "{by_ticket:?}");
    assert_eq!(elsewhere, by_ticket);
    assert_eq!((first.code.as_str(), first.outcome.as_str()), ("claim_unavailable", "not-run"));
    assert_eq!(repeat.outcome, "unknown", "{repeat:?}");
    assert_eq!(later, by_ticket);
    assert_eq!((fleet.runs(&ticketed), fleet.runs("own")), (1, 0));
    fleet.close();
}

/// The platform takes the claim, but its answer is lost. Taken for a failure, the booking would be refused though
/// its claim stands; taken for a success without looking, a claim could be granted that is not there.
#[tokio::test]
async fn a_lost_answer_of_the_platform_is_looked_up() {
    let fleet = Fleet::start().await;
    fleet.platform.set_faults(PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });

    let reply = fleet.hold(0, "k4", "tour").await;
    let repeat = fleet.settled(1, "k4", "tour").await;

    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(repeat, reply);
    assert_eq!(fleet.runs("k4"), 1);
    fleet.close();
}

/// The answer is too large to be kept with the claim. A repeat must not read an empty answer as the booking's.
#[tokio::test]
async fn an_answer_too_large_to_keep_is_told_as_ran() {
    let fleet = Fleet::start().await;
    fleet.service.set_faults(Faults { padding: 4096, ..Faults::default() });

    let first = fleet.hold(0, "k5", "tour").await;
    let repeat = fleet.settled(1, "k5", "tour").await;

    assert_eq!(first.status, 200);
    assert_eq!((repeat.code.as_str(), repeat.outcome.as_str()), ("key_answered", "ran"));
    assert_eq!(fleet.runs("k5"), 1);
    fleet.close();
}

/// A bad afternoon: the platform goes down and comes back several times and loses answers, the booking application
/// breaks some connections after booking, and one router is gone halfway. Every booking is sent until it is settled.
/// By the application's own record none may run twice, and none that ran may have been told "not run" at the end.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_afternoon_doubles_no_booking() {
    let mut fleet = Fleet::start().await;
    let mut gone = fleet.routers.pop();
    let fleet = Arc::new(fleet);
    fleet.service.set_faults(Faults { late_ms: 5, cut_answers: 5, ..Faults::default() });
    let mut tasks = Vec::new();
    for n in 0..60 {
        let (fleet, ticket) = (fleet.clone(), n % 2 == 0);
        let key = if ticket { fleet.ticket_key(n % 2, &n.to_string()).await } else { format!("own-{n}") };
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(20 * n as u64)).await;
            fleet.book(n, key).await
        }));
    }

    for round in 0..4 {
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
        fleet.platform.set_faults(PlatformFaults { lose_answers: 3, ..PlatformFaults::default() });
        if round == 1
            && let Some(router) = gone.take()
        {
            router.close();
        }
    }
    let mut told = Vec::new();
    for task in tasks {
        told.push(task.await.unwrap());
    }

    let ran = told.iter().filter(|(_, outcome)| outcome == "ran").count();
    for (key, outcome) in &told {
        let runs = fleet.runs(key);
        assert!(runs <= 1, "{key} ran {runs} times");
        assert!(outcome != "not-run" || runs == 0, "{key} was told not-run and ran");
        assert!(outcome != "ran" || runs == 1, "{key} was told ran and did not run");
    }
    assert!(ran >= 40, "{ran} of 60 were settled as made: {told:?}");
}
