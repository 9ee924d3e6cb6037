//! What backend servers say of themselves in their answers: that they leave, and that they want nothing for a while.

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
use wire::{Act, Host, Server, answer, chunk, event, not_run, ok, request, status, stream_head};

/// An answer with one more header.
fn with(text: &str, name: &str, value: &str) -> Act {
    Act::Write(text.replacen("\r\n", &format!("\r\n{name}: {value}\r\n"), 1))
}

/// A whole stream of twelve events.
fn stream() -> String {
    let events: String = (1..=12).map(|n| chunk(&event(n))).collect();
    format!("{}{events}0\r\n\r\n", stream_head())
}

/// Requests that reach the first of two servers once it has answered one with each of these.
async fn later_requests(path: &str, first_answer: Act) -> usize {
    let first = Server::start("i-1", [first_answer, Act::Write(ok("fine"))]).await;
    let second =
        Server::start("i-2", [Act::Write(if path == "/stream/x" { stream() } else { ok("fine") })]).await;
    let host = Host::with(&[&first, &second]).await;
    host.call(&request(path, "")).await;
    assert_eq!(first.seen().len(), 1, "the first request reaches the first server");

    for _ in 0..3 {
        host.call(&request("/unsafe/x", "")).await;
    }
    first.seen().len() - 1
}

/// Work for a server whose answers say that it leaves, while the store can't be asked.
#[tokio::test]
async fn a_server_that_says_in_an_answer_that_it_leaves_gets_no_new_work() {
    let answers = [
        ("/safe/x", ok("fine")),
        ("/unsafe/x", answer("500 Internal Server Error", "no")),
        ("/safe/x", answer("500 Internal Server Error", "no")),
        ("/unsafe/x", not_run()),
        ("/stream/x", stream()),
    ];
    for (path, text) in answers {
        let later = later_requests(path, with(&text, "Server-Leaving", "1")).await;

        assert_eq!(later, 0, "{path}: {text}");
    }
}

/// A server left alone for a header that says nothing.
#[tokio::test]
async fn another_value_does_not_say_that_a_server_leaves() {
    for value in ["0", "", "true", "11", "1, 1"] {
        let later = later_requests("/unsafe/x", with(&ok("fine"), "Server-Leaving", value)).await;

        assert_eq!(later, 3, "{value:?}");
    }
}

/// Requests at a server that has turned one away and asked for nothing more for half a minute.
#[tokio::test]
async fn a_server_that_asks_for_a_pause_gets_nothing_from_this_host() {
    for (path, text) in [("/unsafe/x", not_run()), ("/safe/x", not_run())] {
        let later = later_requests(path, with(&text, "Retry-After", "30")).await;

        assert_eq!(later, 0, "{path}");
    }
}

/// All servers of a service ask for a pause: callers are held, or their requests sent on.
#[tokio::test]
async fn callers_are_refused_at_once_while_all_servers_ask_for_a_pause() {
    let only = Server::start("i-1", [with(&not_run(), "Retry-After", "30"), Act::Write(ok("fine"))]).await;
    let host = Host::with(&[&only]).await;

    let answers = [host.call(&request("/unsafe/x", "")).await, host.call(&request("/safe/x", "")).await];

    for answer in answers {
        assert_eq!(status(&answer), 503, "{answer}");
        let after: f64 = wire::header(&answer, "retry-after").unwrap().parse().unwrap();
        assert!(after > 20.0 && after <= 30.0, "{after}");
    }
    assert_eq!(only.seen().len(), 1);
}

/// A pause cut short by a later, shorter one, by a whole answer or by an hour being over; or one that never ends.
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

/// A server left alone for an hour of nonsense.
#[tokio::test]
async fn a_pause_that_is_none_changes_nothing() {
    for value in ["0", "", "soon", "-5", "NaN", "inf", "Fri, 01 Jan 2027 00:00:00 GMT"] {
        let later = later_requests("/unsafe/x", with(&not_run(), "Retry-After", value)).await;

        assert_eq!(later, 3, "{value:?}");
    }
}

/// A pause taken from an answer that turned nothing away.
#[tokio::test]
async fn only_a_refusal_asks_for_a_pause() {
    for text in [ok("fine"), answer("500 Internal Server Error", "no")] {
        let later = later_requests("/unsafe/x", with(&text, "Retry-After", "30")).await;

        assert_eq!(later, 3, "{text}");
    }
}

/// A server that had said it leaves, back at work since the store still lists it as ready; or one that has started again left out.
#[tokio::test]
async fn only_a_later_start_ends_a_servers_word_that_it_leaves() {
    let first = Server::start("i-1", [with(&ok("fine"), "Server-Leaving", "1")]).await;
    let second = Server::start("i-2", [Act::Write(ok("fine"))]).await;
    let host = Host::with(&[&first, &second]).await;
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
