//! What callers may send, and which of it reaches a backend server.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::Duration;

use cranberrytally::{platform::settings::Settings, relay::follow::BackendsUpdate, schema::fleet::Backends};
use relay_support::rev;
use wire::{Host, ScriptStep, Server, header, ok, request, status};

async fn server() -> Server {
    Server::start("i-1", [ScriptStep::Write(ok("fine"))]).await
}

/// Each of these is answered with its own error and reaches no server.
#[tokio::test]
async fn invalid_requests_reach_no_server() {
    let server = server().await;
    let host = Host::with_servers(&[&server]).await;
    let good = request("/unsafe/x", "body");
    let long = format!("X-Long: {}\r\nAttempt-Id", "x".repeat(9_000));
    let cases = [
        ("an unknown path", good.replace("/unsafe/x", "/nowhere/x"), 404),
        ("a prefix without its slash", good.replace("/unsafe/x", "/unsafe"), 404),
        ("an unknown host", good.replace("shop.example", "other.example"), 404),
        ("an unknown key", good.replace("Key: k1", "Key: k2"), 401),
        ("no key", good.replace("Key: k1\r\n", ""), 401),
        ("a body over the limit", request("/unsafe/x", &"x".repeat(1_001)), 413),
        ("a head over the limit", good.replace("Attempt-Id", &long), 431),
        ("no HTTP at all", "hello\r\n\r\n".into(), 400),
        ("a chunk without a length", chunked("zz\r\nbody\r\n0\r\n\r\n"), 400),
        ("chunks over the limit", chunked(&format!("3e9\r\n{}\r\n0\r\n\r\n", "x".repeat(1_001))), 413),
    ];
    for (name, req, expected) in cases {
        let answer = host.call(&req).await;

        assert_eq!(status(&answer), expected, "{name}: {answer}");
        assert_eq!(server.requests().len(), 0, "{name}");
    }
}

fn chunked(body: &str) -> String {
    request("/unsafe/x", "").replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n") + body
}

/// A caller disconnects in the middle of a body. The received part must not run as if it were complete.
#[tokio::test]
async fn a_truncated_body_does_not_run() {
    let server = server().await;
    let host = Host::with_servers(&[&server]).await;
    let mut caller = host.connect().await;
    caller.send(&request("/unsafe/x", "whole body")[..request("/unsafe/x", "whole body").len() - 4]).await;
    drop(caller);

    // Once a later request has been answered, the truncated one would have run.
    host.call(&request("/unsafe/y", "")).await;

    assert!(server.requests().iter().all(|req| !req.contains("/unsafe/x")), "{:?}", server.requests());
}

/// A request hides another one in its body, by means of two conflicting lengths. A server must never see the hidden
/// one as a separate request.
#[tokio::test]
async fn a_smuggled_request_does_not_run() {
    let server = server().await;
    let host = Host::with_servers(&[&server]).await;
    let hidden =
        "POST /unsafe/hidden HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: h1\r\nContent-Length: 0\r\n\r\n";
    let both = request("/unsafe/x", hidden).replace("Key: k1", "Transfer-Encoding: chunked\r\nKey: k1");

    host.call(&both).await;
    host.call(&request("/unsafe/x", hidden)).await;

    let heads: Vec<_> =
        server.requests().iter().filter_map(|r| r.lines().next().map(str::to_owned)).collect();
    assert!(heads.iter().all(|head| !head.contains("hidden")), "{heads:?}");
}

/// A caller sets headers that only the system may set. The server gets the system's values, and never the API key.
#[tokio::test]
async fn callers_cannot_set_internal_headers() {
    let server = server().await;
    let host = Host::with_servers(&[&server]).await;
    let forged = "Tenant: other\r\nExpected-Instance: i-9\r\nKv-Hold: h\r\nPin-Duration: 9\r\nKv-Backup: b\r\n\
                  Kv-From: f\r\nKv-Fetch: f\r\nRequest-Priority: 0\r\nConnection: x-hop\r\nX-Hop: 1\r\n";
    let req =
        request("/unsafe/x", "body").replace("Key: k1\r\n", &format!("Key: k1\r\nX-Own: 2\r\n{forged}"));

    host.call(&req).await;

    let seen = server.requests().remove(0);
    assert_eq!(header(&seen, "tenant").as_deref(), Some("travel"));
    assert_eq!(header(&seen, "expected-instance").as_deref(), Some("i-1"));
    assert_eq!(header(&seen, "attempt-id").as_deref(), Some("r1"));
    assert_eq!(header(&seen, "x-own").as_deref(), Some("2"));
    let left: u64 = header(&seen, "request-deadline").unwrap().parse().unwrap();
    assert!((1..=3_000).contains(&left), "{left}");
    for name in
        ["key", "kv-hold", "pin-duration", "kv-backup", "kv-from", "kv-fetch", "request-priority", "x-hop"]
    {
        assert_eq!(header(&seen, name), None, "{name}");
    }
    assert!(seen.ends_with("body"));
}

/// A host without a configuration knows no key or path, so that it can only report that the request has not run.
/// Shortly after its start other hosts may be serving, and callers are asked to retry at once. Later, while no
/// other host is alive, the whole fleet has lost its configuration during an outage of the store: callers are asked
/// to retry in a second, since their only retry would fail the same way.
#[tokio::test]
async fn a_host_without_configuration_reports_not_run() {
    let host = Host::without_configuration().await;

    let mut told = Vec::new();
    while told.last().map(String::as_str) != Some("1.000") && told.len() < 10_000 {
        let answer = host.call(&request("/unsafe/x", "")).await;
        assert_eq!(status(&answer), 503, "{answer}");
        told.push(header(&answer, "retry-after").unwrap());
    }

    assert_eq!(told.last().map(String::as_str), Some("1.000"));
    assert!(told.iter().all(|t| t == "0.050" || t == "1.000"), "{told:?}");
    assert!(!host.relay.is_ready());
}

/// A leaving host answers the requests that it still accepts, and tells callers to connect elsewhere next time;
/// once its listeners are closed it refuses, as not run, what still arrives on a kept connection.
#[tokio::test]
async fn a_leaving_host_sends_callers_elsewhere() {
    let server = server().await;
    let host = Host::with_servers(&[&server]).await;
    assert!(host.relay.is_ready());

    host.relay.leave();
    let answer = host.call(&request("/unsafe/x", "")).await;
    host.relay.stop_accepting();

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    assert!(!host.relay.is_ready());
    assert!(!host.relay.accepts(Duration::ZERO));
    wire::wait_until("all connections are closed", || host.relay.connections() == 0).await;
}

/// The store lists a server with an invalid address; the others stay in use.
#[tokio::test]
async fn a_server_with_an_invalid_address_is_ignored() {
    let server = server().await;
    let host = Host::with_servers(&[&server]).await;
    let bad = cranberrytally::schema::fleet::Backend {
        id: "bad".into(),
        service: "app".into(),
        addr: "nowhere".into(),
        ..Default::default()
    };
    let mut items = vec![bad];
    items.push(cranberrytally::schema::fleet::Backend {
        id: "i-1".into(),
        service: "app".into(),
        addr: server.addr.to_string(),
        slots: 6,
        ..Default::default()
    });

    host.relay.update_backends(
        BackendsUpdate::List(Backends { revision: 2, items, ..Backends::default() }),
        None,
        "test",
    );

    assert_eq!(status(&host.call(&request("/unsafe/x", "")).await), 200);
}

/// Guards against requests that fail because the slots of odd entries overflow their sum, or take all requests to where no
/// server is.
#[tokio::test]
async fn entries_with_impossibly_many_slots_take_no_requests() {
    let server = server().await;
    let host = Host::with_servers(&[&server]).await;
    let odd = |id: &str| cranberrytally::schema::fleet::Backend {
        id: id.into(),
        service: "app".into(),
        addr: "127.0.0.1:9".into(),
        data_centre: "a".into(),
        slots: u32::MAX,
        ..Default::default()
    };
    let puts = vec![odd("odd-1"), odd("odd-2")];

    host.relay.update_backends(
        BackendsUpdate::Changes { revision: rev(2), puts, removed: Vec::new() },
        None,
        "test",
    );

    for _ in 0..10 {
        assert_eq!(status(&host.call(&request("/unsafe/x", "")).await), 200);
    }
    assert_eq!(host.relay.server_count("app"), 1);
}

/// Another party writes an entry with a start time far in the future. If it were accepted, the server's own entries
/// would be ignored forever; instead, the server is not used until it has written its own entry again.
#[tokio::test]
async fn a_start_time_in_the_far_future_is_rejected() {
    let server = server().await;
    let host = Host::with_servers(&[]).await;
    let entry = |born| cranberrytally::schema::fleet::Backend {
        id: "i-1".into(),
        service: "app".into(),
        addr: server.addr.to_string(),
        slots: 6,
        born,
        ..Default::default()
    };
    let put = |revision, born| {
        let revision = rev(revision);
        let update = BackendsUpdate::Changes { revision, puts: vec![entry(born)], removed: Vec::new() };
        host.relay.update_backends(update, None, "test");
        host.relay.server_count("app")
    };

    let servers = [put(2, 1_000), put(3, u64::MAX), put(4, 1_000)];

    assert_eq!(servers, [1, 0, 1]);
}

/// A service has ten times the requests that it can run, so that new streams are refused. A caller whose stream
/// broke off resumes it: this is never refused, since the work already done for it would be lost.
#[tokio::test]
async fn a_resumed_stream_is_not_refused() {
    let server = Server::start("i-1", [ScriptStep::Hang]).await;
    let host = Host::with_servers(&[&server]).await;
    let again = request("/once/x", "").replace("\r\n\r\n", "\r\nLast-Event-Id: 2\r\n\r\n");
    let mut callers = Vec::new();
    // Ten times the slots.
    for n in 1..=60 {
        let mut caller = host.connect().await;
        caller.send(&again).await;
        callers.push(caller);
        wire::wait_until("it is sent", || server.requests().len() == n).await;
    }

    let refused = host.call(&request("/once/x", "")).await;

    assert_eq!(status(&refused), 503, "{refused}");
    assert!(refused.contains("overloaded"), "{refused}");
    assert_eq!(server.requests().len(), 60);
}

const SETTINGS: &str = r#"{
    "node": "front-a-1", "ip": "10.1.0.4", "zone": "a", "region": "r", "new": {"field": [1]},
    "listen": {"front": "10.1.0.4:80", "ready": "10.1.0.4:81", "control": "10.1.0.4:82", "directory": "10.1.0.4:83"},
    "internalPortRange": [7000, 7015], "seeds": ["10.1.0.4:82", "10.2.0.4:82"],
    "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 56, "capFactor": 2},
    "platformConfig": {"address": "10.9.0.1:90"}
}"#;

#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let settings = Settings::parse(SETTINGS).unwrap();

    let relay = settings.relay();
    assert_eq!(relay.me.name, "front-a-1");
    assert_eq!(relay.peer_addr, "10.1.0.4:7000".parse().unwrap());
    assert_eq!(relay.seeds[1], "10.2.0.4:7000".parse().unwrap());
    assert_eq!(relay.leave.grace, Duration::from_secs(8));
    assert_eq!(relay.budget.extra, 56.0);
}

#[test]
fn missing_settings_are_named_in_the_error() {
    for field in ["node", "zone", "listen", "internalPortRange", "bounds", "platformConfig"] {
        let text = SETTINGS.replace(&format!("\"{field}\""), "\"other\"");

        let e = format!("{:#}", Settings::parse(&text).unwrap_err());

        assert!(e.contains(field), "{field}: {e}");
    }
    for limits in [r#""bodiesMb": 0.5"#, r#""callerConnections": 0"#] {
        let text = SETTINGS.replace(r#""node""#, &format!(r#""limits": {{{limits}}}, "node""#));
        let e = format!("{:#}", Settings::parse(&text).unwrap_err());
        assert!(e.contains(limits.split('"').nth(1).unwrap()), "{limits}: {e}");
    }
    let text = SETTINGS.replace(r#""node""#, r#""limits": {"bodiesMb": 2, "callerConnections": 7}, "node""#);
    let capacity = Settings::parse(&text).unwrap().relay().capacity;
    assert_eq!((capacity.body_bytes, capacity.caller_connections), (2 << 20, 7));
    assert!(Settings::parse("no JSON").is_err());
}

/// Guards against a refusal that is known from the head and waits for the body, is lost since the rest of the body resets the
/// connection, or is preceded by the leave to send the body.
#[tokio::test]
async fn a_refusal_known_from_the_head_does_not_wait_for_the_body() {
    let server = server().await;
    let host = Host::with_servers(&[&server]).await;
    let body = "x".repeat(300_000);
    let no_route = request("/nowhere/x", &body);
    let no_key = request("/unsafe/x", &body).replace("Key: k1\r\n", "");
    let waiting = no_route.replace("Key: k1", "Expect: 100-continue\r\nKey: k1").replace(&body, "");
    let short = request("/nowhere/x", "body");

    for (req, expected) in [(&no_route, 404), (&no_key, 401), (&waiting, 404)] {
        let (first, rest) = req.split_at(req.len().min(1_000));
        let mut caller = host.connect().await;
        caller.send(first).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        caller.send(rest).await;
        let answer = caller.answer().await;

        assert_eq!((status(&answer), header(&answer, "connection").as_deref()), (expected, Some("close")));
    }
    let mut kept = host.connect().await;
    for _ in 0..2 {
        kept.send(&short).await;
        assert_eq!(status(&kept.answer().await), 404);
    }
    let mut unfinished = host.connect().await;
    unfinished.send(&short[..short.len() - 1]).await;
    assert_eq!(status(&unfinished.answer().await), 404);
    assert_eq!(server.requests().len(), 0);
}
