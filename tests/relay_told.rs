//! Tests the notices that backend servers send in their responses: that they are leaving, and that they want a pause.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::Duration;

use cranberrytally::{
    metrics::Counter,
    relay::{backends::BackendKey, follow::BackendsUpdate, health::Health},
    schema::fleet::Backend,
};
use relay_support::rev;
use wire::{Host, ScriptStep, Server, answer, chunk, event, not_run, ok, request, status, stream_head};

/// A response with one more header.
fn with_header(text: &str, name: &str, value: &str) -> ScriptStep {
    ScriptStep::Write(text.replacen("\r\n", &format!("\r\n{name}: {value}\r\n"), 1))
}

/// A complete stream of twelve events.
fn stream() -> String {
    let events: String = (1..=12).map(|n| chunk(&event(n))).collect();
    format!("{}{events}0\r\n\r\n", stream_head())
}

/// Number of requests that reach the first of two servers after it has answered one with `first_response`.
async fn later_requests(path: &str, first_response: ScriptStep) -> usize {
    let first = Server::start("i-1", [first_response, ScriptStep::Write(ok("fine"))]).await;
    let second =
        Server::start("i-2", [ScriptStep::Write(if path == "/stream/x" { stream() } else { ok("fine") })])
            .await;
    let host = Host::with_servers(&[&first, &second]).await;
    host.call(&request(path, "")).await;
    assert_eq!(first.requests().len(), 1, "the first request reaches the first server");

    for _ in 0..3 {
        host.call(&request("/unsafe/x", "")).await;
    }
    first.requests().len() - 1
}

/// Guards against work for a server whose responses say that it is leaving while the store is unavailable.
#[tokio::test]
async fn a_server_that_announces_its_leaving_gets_no_new_work() {
    let answers = [
        ("/safe/x", ok("fine")),
        ("/unsafe/x", answer("500 Internal Server Error", "no")),
        ("/safe/x", answer("500 Internal Server Error", "no")),
        ("/unsafe/x", not_run()),
        ("/stream/x", stream()),
    ];
    for (path, text) in answers {
        let later = later_requests(path, with_header(&text, "Server-Leaving", "1")).await;

        assert_eq!(later, 0, "{path}: {text}");
    }
}

/// Guards against avoiding a server because of a meaningless header value.
#[tokio::test]
async fn other_header_values_do_not_announce_leaving() {
    for value in ["0", "", "true", "11", "1, 1"] {
        let later = later_requests("/unsafe/x", with_header(&ok("fine"), "Server-Leaving", value)).await;

        assert_eq!(later, 3, "{value:?}");
    }
}

/// Guards against requests to a server that refused one and asked for no more for half a minute.
#[tokio::test]
async fn a_server_that_asks_for_a_pause_gets_no_requests() {
    for (path, text) in [("/unsafe/x", not_run()), ("/safe/x", not_run())] {
        let later = later_requests(path, with_header(&text, "Retry-After", "30")).await;

        assert_eq!(later, 0, "{path}");
    }
}

/// All servers of a service ask for a pause. Guards against callers that are kept waiting, and against requests that
/// are sent anyway.
#[tokio::test]
async fn callers_are_refused_at_once_while_all_servers_ask_for_a_pause() {
    let server =
        Server::start("i-1", [with_header(&not_run(), "Retry-After", "30"), ScriptStep::Write(ok("fine"))])
            .await;
    let host = Host::with_servers(&[&server]).await;

    let answers = [host.call(&request("/unsafe/x", "")).await, host.call(&request("/safe/x", "")).await];

    for answer in answers {
        assert_eq!(status(&answer), 503, "{answer}");
        let after: f64 = wire::header(&answer, "retry-after").unwrap().parse().unwrap();
        assert!(after > 20.0 && after <= 30.0, "{after}");
    }
    assert_eq!(server.requests().len(), 1);
}

/// Guards against a pause that is cut short by a later, shorter one or by a successful answer, and against one that
/// lasts longer than an hour.
#[test]
fn a_pause_lasts_as_long_as_it_was_asked_for() {
    let mut arena = slotmap::SlotMap::with_key();
    let [key, other, far]: [BackendKey; 3] = std::array::from_fn(|_| arena.insert(()));
    let (s, mut health) = (Duration::from_secs, Health::default());

    health.record_requested_pause(s(10), key, s(5));
    health.record_requested_pause(s(11), key, s(1));
    health.record_success(s(11), key);
    health.record_requested_pause(s(10), far, Duration::MAX);

    assert_eq!(health.requested_pause_end(s(14), key), Some(s(15)));
    assert_eq!(
        (health.requested_pause_end(s(15), key), health.requested_pause_end(s(11), other)),
        (None, None)
    );
    assert_eq!(health.requested_pause_end(s(12), far), Some(s(3_610)));
    health.forget(far);
    assert_eq!(health.requested_pause_end(s(12), far), None);
}

/// Guards against avoiding a server because of an invalid header value.
#[tokio::test]
async fn an_invalid_pause_is_ignored() {
    for value in ["0", "", "soon", "-5", "NaN", "inf", "Fri, 01 Jan 2027 00:00:00 GMT"] {
        let later = later_requests("/unsafe/x", with_header(&not_run(), "Retry-After", value)).await;

        assert_eq!(later, 3, "{value:?}");
    }
}

/// Guards against a pause taken from a response that is not a refusal.
#[tokio::test]
async fn only_a_refusal_asks_for_a_pause() {
    for text in [ok("fine"), answer("500 Internal Server Error", "no")] {
        let later = later_requests("/unsafe/x", with_header(&text, "Retry-After", "30")).await;

        assert_eq!(later, 3, "{text}");
    }
}

/// Guards against work for a server that announced its leaving but is still listed as ready in the store, and against
/// leaving out one that has restarted.
#[tokio::test]
async fn only_a_later_start_ends_the_leaving_of_a_server() {
    let first = Server::start("i-1", [with_header(&ok("fine"), "Server-Leaving", "1")]).await;
    let second = Server::start("i-2", [ScriptStep::Write(ok("fine"))]).await;
    let host = Host::with_servers(&[&first, &second]).await;
    let entry = |born| Backend {
        id: "i-1".into(),
        service: "app".into(),
        addr: first.addr.to_string(),
        data_centre: "a".into(),
        slots: 6,
        born,
        ..Backend::default()
    };
    let put = |number, born| {
        let update =
            BackendsUpdate::Changes { revision: rev(number), puts: vec![entry(born)], removed: Vec::new() };
        host.relay.update_backends(update, None, "test");
        host.relay.server_count("app")
    };
    host.call(&request("/unsafe/x", "")).await;

    let same_start = put(2, 0);
    let later_start = put(3, 1_700_000_000_000);

    assert_eq!((same_start, later_start), (1, 2));
    assert_eq!(host.relay.metrics().totals(Counter::RelayTold)["leaving"], 1);
}
