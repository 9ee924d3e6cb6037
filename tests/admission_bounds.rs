//! Regression bounds on the results of the bench `admission`, computed by the same model.

use std::time::Duration;

#[allow(dead_code)]
#[path = "../benches/admission/crash.rs"]
mod crash;
#[allow(dead_code)]
#[path = "../benches/admission/storm.rs"]
mod storm;
#[allow(dead_code)]
#[path = "../benches/admission/surge.rs"]
mod surge;

use crash::{Protection, Scenario};
use storm::Bound;
use surge::{LoadPattern, Order};

const SEEDS: std::ops::Range<u64> = 0..5;
const BURST: u32 = 2048;

/// A large workspace sends ten times its usual load. In a single FIFO queue, travellers of small workspaces would
/// wait behind its surge.
#[test]
fn a_surge_delays_the_workspace_that_surges() {
    for pattern in [LoadPattern::Surge, LoadPattern::UrgentSurge] {
        let ours = surge::run_seeds(Order::Fair(BURST), pattern, SEEDS);
        let fifo = surge::run_seeds(Order::BoundedFifo, pattern, SEEDS);

        assert!(ours.small_high.max_time < Duration::from_millis(1300), "{pattern:?} {ours:?}");
        assert!(ours.small_normal.max_time < Duration::from_millis(3300), "{pattern:?} {ours:?}");
        assert_eq!(ours.small_high.lost + ours.small_normal.lost, 0, "{pattern:?} {ours:?}");
        assert_eq!(ours.others_high.lost + ours.others_normal.lost, 0, "{pattern:?} {ours:?}");
        assert!(fifo.small_high.max_time > ours.small_high.max_time * 3, "{pattern:?} {fifo:?}");
    }
}

/// When all workspaces send too much, translations take precedence over dialogues, also those of other workspaces.
#[test]
fn translations_go_before_dialogues_under_general_overload() {
    let ours = surge::run_seeds(Order::Fair(BURST), LoadPattern::Overload, SEEDS);

    assert!(ours.others_high.max_time < Duration::from_millis(1600), "{ours:?}");
}

/// Refusals are sent immediately on arrival, however long the queue is.
#[test]
fn a_refusal_on_arrival_takes_no_time() {
    let ours = surge::run_seeds(Order::Fair(BURST), LoadPattern::Surge, SEEDS);

    assert!(ours.surging.refused_on_arrival > 1000, "{ours:?}");
    assert_eq!(ours.small_high.refused_on_arrival, 0, "{ours:?}");
}

/// A content crashes every engine that runs it, and its caller resends it, each time to another router. Without
/// quarantine the whole fleet crashes within seconds.
#[test]
fn a_crashing_content_costs_two_engines_at_most() {
    let scenarios = [
        Scenario::new(Protection::Full),
        Scenario { retry: false, resend_delay: Duration::from_millis(12), ..Scenario::new(Protection::Full) },
    ];
    for cfg in scenarios {
        let f = crash::run_seeds(cfg, 0..20);

        assert!(f.crashes <= 2, "{f:?}");
        assert_eq!(f.answered, f.normal_requests, "{f:?}");
        assert_eq!(f.falsely_quarantined, 0, "{f:?}");
    }
    assert!(crash::run_seeds(Scenario::new(Protection::None), SEEDS).crashes > 20);
}

/// 30% of the engines refuse connections and no router knows it yet. Retries must stay within the budget.
#[test]
fn extra_attempts_stay_within_the_budget() {
    for bound in [Bound::Budget, Bound::Cooldown] {
        let f = storm::run(bound, 7);
        let most =
            f.fresh as f64 * storm::RETRY_RATIO + f64::from(storm::RETRY_BURST) * storm::ROUTERS as f64;

        assert!(f.extra() as f64 <= most, "{bound:?} {f:?} {most}");
        assert!(f.max_attempts <= 3, "{bound:?} {f:?}");
        assert!(storm::run(Bound::Unbounded, 7).extra() > 4 * f.extra(), "{bound:?} {f:?}");
    }
}

/// As above, with the cool-down of unreachable engines that routers apply. It keeps the budget from being used up, so
/// that almost no request is refused.
#[test]
fn hardly_a_request_is_lost_while_a_third_of_the_fleet_fails() {
    let f = storm::run(Bound::Cooldown, 7);

    assert!(f.answered as f64 >= 0.99 * f.fresh as f64, "{f:?}");
}
