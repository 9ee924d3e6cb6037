//! Regression bounds on the routing policy, at a size that a debug build simulates in seconds.
//!
//! The results are deterministic for a seed. `cargo bench --bench routing` prints those for production sizes.

#[allow(dead_code, reason = "the bench uses the rest")]
#[path = "../benches/routing/model.rs"]
mod model;

use model::{Outcome, Policy, Setup, run};

fn setup() -> Setup {
    Setup {
        name: "small",
        routers: 6,
        data_centres: 1,
        engines: 40,
        chats: 24_000,
        workspaces: 40,
        warm: 250.0,
        seconds: 500.0,
        flapping: 0.05,
        ..Setup::today()
    }
}

fn surge() -> Outcome {
    run(&setup().without_changes().with_surge(), Policy::Owners)
}

#[test]
fn a_returning_chat_finds_its_cache_through_churn() {
    let best = run(&setup(), Policy::AllKnowing);
    let ours = run(&setup(), Policy::Owners);

    let ratio = ours.reuse / best.reuse;
    assert!(ratio >= 0.94, "{ratio:.4} of the reuse of an all-knowing placement: {ours:?}");
    assert!(ours.refused < 0.002, "{ours:?}");
    // The streams of a crashed router end at once, and its engines change owner: 2 * 1.25 - 1.
    assert!(ours.worst_in_use <= 1.5, "{ours:?}");
}

#[test]
fn no_engine_stands_above_the_bound_in_a_surge() {
    let ours = surge();

    assert_eq!(ours.over, 0, "{ours:?}");
    assert!(ours.worst <= 1.25, "{ours:?}");
    assert!(ours.reuse >= 0.95, "{ours:?}");
}

#[test]
fn most_requests_need_no_message_and_no_ranking() {
    let ours = surge();

    assert!(ours.messages <= 1.0, "{ours:?}");
    assert!(ours.asks <= 1.25, "{ours:?}");
    assert!(ours.scored <= 0.4 * setup().engines as f64, "{ours:?}");
}

/// Callers that ignore the router named in an answer connect to any router. This may cost more messages, but neither
/// cache reuse nor the load bound.
#[test]
fn callers_that_ignore_the_named_router_cost_only_messages() {
    let named = surge();
    let any = run(&setup().without_changes().with_surge().with_named(0.0), Policy::Owners);

    assert!(any.reuse >= named.reuse - 0.02, "{any:?}");
    assert!(any.worst <= 1.3, "{any:?}");
    assert!(any.messages <= 3.0, "{any:?}");
}
