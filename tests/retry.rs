//! Retry policy: which failures are retried, how often, and the error that the caller gets.

use std::time::Duration;

use cranberrytally::{
    catalog::Id,
    error::{ErrorKind, Ran},
    retry::{Attempts, Cooldowns, RetryBudget, RetryPolicy, RetryReason, jitter},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DEADLINE: Duration = Duration::from_secs(10);

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn begin(made: u32, idempotent: bool) -> Attempts {
    Attempts::begin(&RetryPolicy::default(), &mut RetryBudget::default(), made, idempotent, DEADLINE).unwrap()
}

fn fail(
    a: &mut Attempts,
    budget: &mut RetryBudget,
    reason: RetryReason,
) -> Result<Duration, (ErrorKind, ErrorKind)> {
    a.record_start();
    a.record_failure(&RetryPolicy::default(), budget, Duration::ZERO, reason, &mut rng())
        .map_err(|d| (d.reason, d.answer))
}

#[test]
fn only_what_did_not_run_or_is_idempotent_is_tried_again() {
    let table = [
        (RetryReason::ConnectFailed, false, true),
        (RetryReason::EngineRefused, false, true),
        (RetryReason::EngineFailed, false, false),
        (RetryReason::ConnectFailed, true, true),
        (RetryReason::EngineRefused, true, true),
        (RetryReason::EngineFailed, true, true),
    ];
    for (reason, idempotent, again) in table {
        let decided = fail(&mut begin(0, idempotent), &mut RetryBudget::default(), reason);

        assert_eq!(decided.is_ok(), again, "{reason:?}, idempotent: {idempotent}");
    }
}

/// A booking fails after it may have reached the backend server, and no further attempt is possible. If the caller
/// were told "not run", they would book a second time.
#[test]
fn not_run_is_never_answered_after_an_attempt_that_may_have_run() {
    let mut a = begin(0, true);
    let mut budget = RetryBudget::new(0.1, 1);
    assert!(fail(&mut a, &mut budget, RetryReason::EngineFailed).is_ok());

    let (reason, answer) = fail(&mut a, &mut budget, RetryReason::ConnectFailed).unwrap_err();

    assert_eq!(reason, ErrorKind::RetryBudget);
    assert_ne!(answer.answer().ran, Ran::No);
}

/// An attempt of a non-idempotent request may have run, and the next one fails to connect. That the second attempt
/// did not run must not allow a third.
#[test]
fn a_later_proof_does_not_cover_an_earlier_attempt() {
    let mut a = begin(0, false);
    assert!(fail(&mut a, &mut RetryBudget::default(), RetryReason::EngineFailed).is_err());

    assert!(fail(&mut a, &mut RetryBudget::default(), RetryReason::ConnectFailed).is_err());
}

/// A caller retries a failing request at one router after another. Counted per router it would get three attempts at
/// each; the count that the caller sends along limits it to three in total.
#[test]
fn attempts_count_over_all_hops() {
    let mut a = begin(0, true);
    let mut budget = RetryBudget::default();
    assert!(fail(&mut a, &mut budget, RetryReason::ConnectFailed).is_ok());
    assert!(fail(&mut a, &mut budget, RetryReason::ConnectFailed).is_ok());
    assert_eq!(a.made(), 2);

    let mut elsewhere = begin(a.made(), true);
    let (reason, _) =
        fail(&mut elsewhere, &mut RetryBudget::default(), RetryReason::ConnectFailed).unwrap_err();
    let again = Attempts::begin(
        &RetryPolicy::default(),
        &mut RetryBudget::default(),
        elsewhere.made(),
        true,
        DEADLINE,
    );

    assert_eq!(reason, ErrorKind::AttemptLimit);
    assert_eq!(again.err(), Some(ErrorKind::AttemptLimit));
}

#[test]
fn the_budget_is_a_share_of_fresh_requests() {
    let mut budget = RetryBudget::new(0.1, 10);
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 10, "the burst");
    for _ in 0..50 {
        budget.earn();
    }

    assert_eq!((0..100).filter(|_| budget.spend()).count(), 5);
}

#[test]
fn a_callers_own_retry_takes_from_the_budget() {
    let mut budget = RetryBudget::new(0.1, 1);
    let policy = RetryPolicy::default();
    assert!(Attempts::begin(&policy, &mut budget, 1, true, DEADLINE).is_ok());

    let refused = Attempts::begin(&policy, &mut budget, 1, true, DEADLINE);

    assert_eq!(refused.err(), Some(ErrorKind::RetryBudget));
}

#[test]
fn a_retry_that_would_start_after_the_deadline_is_not_made() {
    let mut a = begin(0, true);
    a.record_start();

    let denied = a.record_failure(
        &RetryPolicy::default(),
        &mut RetryBudget::default(),
        DEADLINE,
        RetryReason::ConnectFailed,
        &mut rng(),
    );

    assert_eq!(denied.unwrap_err().reason, ErrorKind::DeadlinePassed);
}

#[test]
fn jitter_stays_within_its_bounds_and_differs() {
    let most = Duration::from_millis(100);
    let mut rng = rng();

    let pauses: Vec<_> = (0..100).map(|_| jitter(most, &mut rng)).collect();

    assert!(pauses.iter().all(|p| *p >= most / 2 && *p <= most));
    assert!(pauses.windows(2).any(|w| w[0] != w[1]));
}

/// Ten concurrent requests fail to reach an engine. They count as one failure with a cool-down of one second. Each
/// further failure doubles the cool-down, and an answer ends it.
#[test]
fn an_unreachable_engine_is_in_cooldown() {
    let (mut cooldowns, engine) = (Cooldowns::default(), Id::of("engine-0"));
    let second = Duration::from_secs(1);
    for _ in 0..10 {
        cooldowns.record_failure(Duration::ZERO, engine);
    }
    assert_eq!(cooldowns.active(second / 2), [engine]);
    assert!(cooldowns.active(second).is_empty());

    cooldowns.record_failure(second, engine);

    assert_eq!(cooldowns.active(second * 5 / 2), [engine]);
    cooldowns.record_success(engine);
    assert!(cooldowns.active(second).is_empty());
}
