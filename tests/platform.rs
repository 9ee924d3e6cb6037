//! Rate limits, backoff and lost responses of the platform's client, without a network.

use std::time::Duration;

use cranberrytally::{
    catalog::{AnyObject, Object},
    objects::{
        PendingWrite, Step, WriteOutcome,
        backoff::Backoff,
        bucket::TokenBucket,
        calls::{Class, Limiter, Rates},
    },
    schema::object::Meta,
};
use rand::{SeedableRng, rngs::StdRng};

const SECOND: Duration = Duration::from_secs(1);

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

/// Number of tokens granted within `span` milliseconds with one request per millisecond.
fn tokens_granted(bucket: &mut TokenBucket, from: u64, span: u64) -> usize {
    (from..from + span).filter(|ms| bucket.take(at_ms(*ms)).is_ok()).count()
}

#[test]
fn a_bucket_grants_its_burst_and_then_its_rate() {
    let table = [(10.0, 5.0, 1000, 14), (10.0, 5.0, 5000, 54), (0.5, 1.0, 4000, 2), (100.0, 40.0, 1000, 139)];

    for (rate, burst, span, want) in table {
        let got = tokens_granted(&mut TokenBucket::new(rate, burst), 0, span);
        assert!(got.abs_diff(want) <= 1, "{rate}/s, burst {burst}, {span} ms: got {got}, expected {want}");
    }
}

#[test]
fn a_bucket_returns_the_time_to_wait() {
    let mut bucket = TokenBucket::new(2.0, 1.0);
    bucket.take(at_ms(0)).unwrap();

    let wait = bucket.take(at_ms(0)).unwrap_err();

    assert_eq!(wait, SECOND / 2);
    assert!(bucket.take(at_ms(0) + wait).is_ok());
}

/// The platform requests a pause. Calls before its end would be refused again and count against the rate limit.
#[test]
fn a_paused_bucket_grants_nothing() {
    let mut bucket = TokenBucket::new(100.0, 100.0);
    bucket.pause(at_ms(0), SECOND * 3);

    assert_eq!(tokens_granted(&mut bucket, 0, 2999), 0);
    assert!(bucket.take(at_ms(3000)).is_ok());
}

/// A clock that is set back must neither fill the bucket nor block it permanently.
#[test]
fn a_bucket_tolerates_a_clock_that_is_set_back() {
    let mut bucket = TokenBucket::new(1.0, 1.0);
    bucket.take(at_ms(60_000)).unwrap();

    assert!(bucket.take(at_ms(0)).is_err());
    assert!(bucket.take(at_ms(1000)).is_ok());
}

/// All routers together stay within the platform's limits: a few hundred writes and 2,000 reads per second.
#[test]
fn the_shares_of_a_fleet_stay_within_the_platforms_limits() {
    for members in [1, 3, 8, 22, 100, 330, 1000] {
        let calls_per_second = |class| {
            let mut limiter = Limiter::new(Rates::per_router(members));
            let granted = (0..10_000).filter(|ms| limiter.take(at_ms(*ms), class).is_ok()).count();
            granted as f64 / 10.0 * members as f64
        };

        assert!(
            calls_per_second(Class::Read) <= 1_500.0,
            "{members}: {} reads",
            calls_per_second(Class::Read)
        );
        assert!(
            calls_per_second(Class::Write) <= 200.0,
            "{members}: {} writes",
            calls_per_second(Class::Write)
        );
        assert!(
            calls_per_second(Class::Watch) <= 200.0,
            "{members}: {} watches",
            calls_per_second(Class::Watch)
        );
    }
}

#[test]
fn backoff_grows_to_its_limit_and_differs_between_routers() {
    let waits = |seed| -> Vec<_> {
        let (mut rng, mut backoff) = (StdRng::seed_from_u64(seed), Backoff::new(SECOND, SECOND * 10));
        (0..8).map(|_| backoff.next_delay(&mut rng)).collect()
    };

    let (one, other) = (waits(1), waits(2));

    assert_eq!(one, waits(1), "the same seed gives the same waits");
    assert_ne!(one, other);
    for (i, wait) in one.iter().enumerate() {
        let limit = (SECOND * (1 << i)).min(SECOND * 10);
        assert!(*wait >= limit / 4 && *wait <= limit, "{i}: {wait:?}");
    }
}

fn object(nonce: &str, version: &str) -> AnyObject {
    let metadata = Meta {
        name: "a".into(),
        writer_nonce: nonce.into(),
        resource_version: version.into(),
        ..Meta::default()
    };
    Object { kind: "Workspace".into(), metadata, spec: serde_json::json!({}) }
}

/// Two writers of the same object, with lost responses. Each row has the responses in order and the expected outcome.
#[test]
fn lost_responses_of_a_write_are_resolved_by_its_nonce() {
    let (own_write, other_write) = (object("mine", "2"), object("theirs", "2"));
    let conflict = |obj: &AnyObject| WriteOutcome::Conflict(Some(obj.clone()));
    let table = [
        (vec![WriteOutcome::Done(own_write.clone())], Step::Done(own_write.clone())),
        (vec![conflict(&other_write)], Step::Conflict(Some(other_write.clone()))),
        (vec![WriteOutcome::Unknown, conflict(&own_write)], Step::Done(own_write.clone())),
        (vec![WriteOutcome::Unknown, conflict(&other_write)], Step::Conflict(Some(other_write.clone()))),
        (
            vec![WriteOutcome::Unknown, WriteOutcome::Unknown, WriteOutcome::Done(own_write.clone())],
            Step::Done(own_write.clone()),
        ),
        (vec![WriteOutcome::Unknown, WriteOutcome::Conflict(None)], Step::Conflict(None)),
        (vec![WriteOutcome::Unknown, WriteOutcome::Unknown, WriteOutcome::Unknown], Step::Unknown),
        // If no response was lost before, an object with this writer's nonce can't be the result of this write.
        (vec![conflict(&own_write)], Step::Conflict(Some(own_write.clone()))),
    ];

    for (answers, want) in table {
        let mut writing = PendingWrite::new(object("", "1"), "mine", 3);
        let mut step = writing.next_attempt();
        for answer in answers.clone() {
            assert!(matches!(step, Step::Send(_)), "{answers:?}");
            step = writing.handle_outcome(answer);
        }
        assert_eq!(step, want, "{answers:?}");
    }
}
