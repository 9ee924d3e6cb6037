//! Rate limits, back-off and lost answers of the platform's client, without a network.

use std::time::Duration;

use cranberrytally::{
    catalog::{AnyObject, Object},
    objects::{
        Step, Write, Writing,
        backoff::Backoff,
        bucket::Bucket,
        calls::{Class, Limiter, Rates},
    },
    schema::object::Meta,
};
use rand::{SeedableRng, rngs::StdRng};

const SECOND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

/// Tokens that can be had within `span` when asking each millisecond.
fn taken(bucket: &mut Bucket, from: u64, span: u64) -> usize {
    (from..from + span).filter(|ms| bucket.take(at(*ms)).is_ok()).count()
}

#[test]
fn a_bucket_gives_its_burst_and_then_its_rate() {
    let table = [(10.0, 5.0, 1000, 14), (10.0, 5.0, 5000, 54), (0.5, 1.0, 4000, 2), (100.0, 40.0, 1000, 139)];

    for (rate, burst, span, want) in table {
        let got = taken(&mut Bucket::new(rate, burst), 0, span);
        assert!(got.abs_diff(want) <= 1, "{rate}/s, burst {burst}, {span} ms: {got}, not {want}");
    }
}

#[test]
fn a_bucket_tells_how_long_to_wait() {
    let mut bucket = Bucket::new(2.0, 1.0);
    bucket.take(at(0)).unwrap();

    let wait = bucket.take(at(0)).unwrap_err();

    assert_eq!(wait, SECOND / 2);
    assert!(bucket.take(at(0) + wait).is_ok());
}

/// The platform says when to come back. Calls before that would be refused again and count against its rate.
#[test]
fn a_paused_bucket_gives_nothing() {
    let mut bucket = Bucket::new(100.0, 100.0);
    bucket.pause(at(0), SECOND * 3);

    assert_eq!(taken(&mut bucket, 0, 2999), 0);
    assert!(bucket.take(at(3000)).is_ok());
}

/// A clock that goes back must not fill the bucket, and must not stop it for ever.
#[test]
fn a_bucket_survives_a_clock_that_goes_back() {
    let mut bucket = Bucket::new(1.0, 1.0);
    bucket.take(at(60_000)).unwrap();

    assert!(bucket.take(at(0)).is_err());
    assert!(bucket.take(at(1000)).is_ok());
}

/// All routers at their limits stay within what the platform takes: some hundred writes and 2,000 reads a second.
#[test]
fn the_shares_of_a_fleet_stay_within_the_platforms_rates() {
    for members in [1, 3, 8, 22, 100, 330, 1000] {
        let spent = |class| {
            let mut limiter = Limiter::new(Rates::share(members));
            let granted = (0..10_000).filter(|ms| limiter.take(at(*ms), class).is_ok()).count();
            granted as f64 / 10.0 * members as f64
        };

        assert!(spent(Class::Read) <= 1_500.0, "{members}: {} reads", spent(Class::Read));
        assert!(spent(Class::Write) <= 200.0, "{members}: {} writes", spent(Class::Write));
        assert!(spent(Class::Watch) <= 200.0, "{members}: {} watches", spent(Class::Watch));
    }
}

#[test]
fn back_off_grows_to_its_limit_and_differs_between_routers() {
    let waits = |seed| -> Vec<_> {
        let (mut rng, mut backoff) = (StdRng::seed_from_u64(seed), Backoff::new(SECOND, SECOND * 10));
        (0..8).map(|_| backoff.wait(&mut rng)).collect()
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

/// Two writers, the same object, and answers that get lost. Each row: answers in their order, and the outcome.
#[test]
fn a_write_ends_as_what_it_was() {
    let (mine, theirs) = (object("mine", "2"), object("theirs", "2"));
    let conflict = |obj: &AnyObject| Write::Conflict(Some(obj.clone()));
    let table = [
        (vec![Write::Done(mine.clone())], Step::Done(mine.clone())),
        (vec![conflict(&theirs)], Step::Conflict(Some(theirs.clone()))),
        (vec![Write::Unknown, conflict(&mine)], Step::Done(mine.clone())),
        (vec![Write::Unknown, conflict(&theirs)], Step::Conflict(Some(theirs.clone()))),
        (vec![Write::Unknown, Write::Unknown, Write::Done(mine.clone())], Step::Done(mine.clone())),
        (vec![Write::Unknown, Write::Conflict(None)], Step::Conflict(None)),
        (vec![Write::Unknown, Write::Unknown, Write::Unknown], Step::Unknown),
        // A nonce of this writer before any answer was lost can't be its own write.
        (vec![conflict(&mine)], Step::Conflict(Some(mine.clone()))),
    ];

    for (answers, want) in table {
        let mut writing = Writing::new(object("", "1"), "mine", 3);
        let mut step = writing.start();
        for answer in answers.clone() {
            assert!(matches!(step, Step::Send(_)), "{answers:?}");
            step = writing.answered(answer);
        }
        assert_eq!(step, want, "{answers:?}");
    }
}
