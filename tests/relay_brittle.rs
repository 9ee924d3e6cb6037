//! Brittle servers, which fall over when they have to turn away more than a few requests in a second.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{sync::Arc, time::Duration};

use cranberrytally::{metrics::Counter, relay::brittle::Brittle};
use wire::{Host, ScriptStep, Server, ok, request, status};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn service() -> Arc<str> {
    "app".into()
}

/// Refusal of a server that bears this many in a second.
fn refusal(tolerated: &str) -> String {
    wire::not_run().replace("Not-Executed", &format!("Server-Brittle: {tolerated}\r\nNot-Executed"))
}

/// Guards against hosts that together make a brittle server turn away more than it bears, and against one that leaves it
/// alone for good.
#[test]
fn a_host_uses_its_share_of_what_a_server_bears() {
    for (tolerated, hosts) in [(1, 8), (5, 8), (20, 8), (1_000, 8), (20, 330), (200, 985)] {
        let mut brittle = Brittle::default();
        brittle.record(ms(0), &service(), tolerated);

        let pause = brittle.pause(ms(1), "app", hosts).unwrap();

        let refusals_per_second = hosts as f64 / pause.as_secs_f64();
        let longest = pause == Duration::from_secs(10);
        assert!(refusals_per_second <= f64::from(tolerated) || longest, "{tolerated} {hosts}: {pause:?}");
        assert!(pause <= Duration::from_secs(10));
    }
}

/// Guards against a service that stays brittle after its servers no longer say so, or stops being so with one answer that
/// does not.
#[test]
fn a_service_is_brittle_while_its_servers_say_so() {
    let mut brittle = Brittle::default();
    let begun = brittle.record(ms(0), &service(), 5);
    let again = brittle.record(ms(2_000), &service(), 3);

    let soon = (brittle.is_brittle(ms(4_000), "app"), brittle.expire(ms(4_000)).len());
    let later = (brittle.is_brittle(ms(6_000), "app"), brittle.expire(ms(6_000)).len());

    assert_eq!(begun.and_then(|change| change.tolerated), Some(5));
    assert_eq!((again, soon, later), (None, (true, 0), (false, 1)));
}

/// Guards against a value that makes a host refuse everything, or divides by zero.
#[test]
fn odd_values_are_borne() {
    let mut brittle = Brittle::default();
    let huge = brittle.record(ms(0), &service(), u32::MAX);
    let none = brittle.record(ms(0), &service(), 0);

    assert_eq!(huge, None);
    assert!(none.is_some());
    assert_eq!(brittle.pause(ms(1), "app", 8), Some(Duration::from_secs(10)));
}

/// Guards against attempts, repeats of callers and of this host, that a brittle server has to turn away one after the other.
#[tokio::test]
async fn a_brittle_server_that_refuses_is_left_alone() {
    let server = Server::start("i-1", [ScriptStep::Write(refusal("1"))]).await;
    let host = Host::with_servers(&[&server]).await;

    let mut statuses = Vec::new();
    for _ in 0..10 {
        statuses.push(status(&host.call(&request("/unsafe/x", "")).await));
    }

    assert_eq!(statuses, [503; 10]);
    assert_eq!(server.requests().len(), 1);
    assert_eq!(host.relay.metrics().totals(Counter::RelayTold).get("brittle"), Some(&1));
}

/// Guards against values that are no number, which count as none.
#[tokio::test]
async fn a_value_that_is_no_number_is_ignored() {
    for value in ["x", "-1", "", "99999999999"] {
        let server = Server::start("i-1", [ScriptStep::Write(refusal(value))]).await;
        let host = Host::with_servers(&[&server]).await;

        host.call(&request("/unsafe/x", "")).await;

        assert_eq!(host.relay.metrics().totals(Counter::RelayTold).get("brittle"), None, "{value:?}");
        assert!(server.requests().len() > 1, "{value:?}: attempts are repeated as always");
    }
}

/// Guards against requests that wait at a brittle server without a free place, where it may have to turn them away.
#[tokio::test]
async fn a_brittle_server_without_a_free_place_gets_nothing() {
    let brittle = ok("first").replace("Response-Seal", "Server-Brittle: 5\r\nResponse-Seal");
    let server = Server::start("i-1", [ScriptStep::Write(brittle), ScriptStep::Hang]).await;
    let host = Host::with_servers(&[&server]).await;
    host.call(&request("/unsafe/x", "")).await;
    let mut waiting = Vec::new();
    for _ in 0..6 {
        let mut caller = host.connect().await;
        caller.send(&request("/unsafe/x", "")).await;
        waiting.push(caller);
    }
    wire::wait_until("all places to be taken", || server.requests().len() == 7).await;

    let answer = host.call(&request("/unsafe/x", "")).await;

    assert_eq!((status(&answer), server.requests().len()), (503, 7), "{answer}");
    assert!(answer.contains("overloaded"), "{answer}");
}
