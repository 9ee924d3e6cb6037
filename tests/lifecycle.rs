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

/// A router is stopped between two requests, while callers still have its address. It must keep running until the last
/// entry answer that names it has expired and its last request has completed, but not beyond the deadline.
#[test]
fn a_leaving_router_waits_for_its_entry_answers_and_requests() {
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

/// A late response of the same process must not make a draining backend server live again; a new start must.
#[test]
fn a_late_response_does_not_make_a_draining_backend_server_live() {
    let draining = Backend::default().go_live(7).drain();

    let late = draining.restart(7);

    assert!(late.is_err_and(|still| still.restart(8).is_ok()));
}
