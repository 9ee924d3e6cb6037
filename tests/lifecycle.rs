//! Life cycles of routers and backend servers.

use std::time::Duration;

use cranberrytally::lifecycle::{Backend, DrainConfig, Router};

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

const CFG: DrainConfig = DrainConfig { answer_keep: s(30), propagation_time: s(5), timeout: s(600) };

#[test]
fn a_router_without_a_configuration_does_not_serve() {
    let starting = Router::default();

    let refused = starting.serve(0);

    assert!(refused.is_err_and(|still| still.serve(7).is_ok()));
}

/// A router is told to stop between two requests, while callers still hold its address. It must go on until the last
/// answer that names it has expired, then until its last request is done, and at last give up at the time limit.
#[test]
fn a_leaving_router_stops_after_its_answers_and_its_requests() {
    let cases = [
        (s(0), 0, None),
        (s(34), 0, None),
        (s(35), 0, Some(0)),
        (s(35), 2, None),
        (s(634), 1, None),
        (s(635), 1, Some(1)),
    ];
    for (after, running, want) in cases {
        let leaving = Router::default().serve(1).unwrap().leave(s(100), CFG);

        assert_eq!(leaving.accepts_requests(s(100) + after), after < s(35), "after {after:?}");
        let stopped = leaving.stop(s(100) + after, running);

        assert_eq!(stopped.ok().map(Router::close), want, "after {after:?} with {running} running");
    }
}

/// A backend server leaves, and an answer of the same start arrives late. It must not get work again; a new start may.
#[test]
fn a_late_answer_does_not_bring_a_leaving_backend_server_back() {
    let draining = Backend::default().go_live(7).drain();

    let late = draining.restart(7);

    assert!(late.is_err_and(|still| still.restart(8).is_ok()));
}
