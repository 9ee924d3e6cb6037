//! Leases: at most one process considers itself the holder, and the fencing token increases with each change of holder.

use std::time::Duration;

use cranberrytally::{
    lease::{Acquired, Acquiring, Candidate, Held, LeaseConfig, Observed, Renewed},
    objects::WriteOutcome,
    util::Instant,
};
use rand::Rng;

#[path = "support/leases.rs"]
mod leases;

use leases::{LeaseStore, Process, TTL};

const STEP: Duration = Duration::from_millis(100);

fn at(seconds: f64) -> Instant {
    Duration::from_secs_f64(1000.0 + seconds)
}

fn config(holder: &str) -> LeaseConfig {
    LeaseConfig::new("pool-a", holder, TTL)
}

fn acquiring(shelf: &LeaseStore, holder: &str, now: Instant) -> Acquiring {
    match Candidate::new(config(holder)).observe(now, shelf.get().as_ref(), "first") {
        Observed::Free(acquiring) => acquiring,
        Observed::HeldByOther(_) => panic!("another process holds the lease"),
    }
}

fn held(shelf: &mut LeaseStore, holder: &str, now: Instant) -> Held {
    let mut acquiring = acquiring(shelf, holder, now);
    let write = shelf.put(acquiring.attempt(now));
    match acquiring.answered(now, write) {
        Acquired::Held(held) => held,
        other => panic!("{other:?}"),
    }
}

/// Acquires the lease as early as a candidate that reads it every period can.
fn take_over(shelf: &mut LeaseStore, holder: &str, from: f64) -> (Held, f64) {
    let mut candidate = Candidate::new(config(holder));
    for i in 0..10 {
        let after = from + f64::from(i) * 3.0;
        match candidate.observe(at(after), shelf.get().as_ref(), "second") {
            Observed::HeldByOther(c) => candidate = c,
            Observed::Free(mut acquiring) => {
                let write = shelf.put(acquiring.attempt(at(after)));
                match acquiring.answered(at(after), write) {
                    Acquired::Held(held) => return (held, after),
                    other => panic!("{other:?}"),
                }
            }
        }
    }
    panic!("the lease never became free");
}

/// The response to an acquiring write is lost after the write took effect. If the process took its own write for that
/// of another process, nobody would hold the lease until it expired.
#[test]
fn a_lost_response_to_an_acquiring_write() {
    let mut shelf = LeaseStore::default();
    let mut acquiring = acquiring(&shelf, "a", at(0.0));
    let _lost = shelf.put(acquiring.attempt(at(0.0)));

    let Acquired::Retry(mut acquiring) = acquiring.answered(at(1.0), WriteOutcome::Unknown) else { panic!() };
    let write = shelf.put(acquiring.attempt(at(1.0)));
    let Acquired::Held(mut held) = acquiring.answered(at(2.0), write) else { panic!() };

    assert_eq!(held.check(at(2.0), Duration::ZERO), Some(1));
    assert_eq!(held.check(at(9.5), Duration::ZERO), None, "the TTL must be measured from the first send");
}

/// The holder's host is suspended for longer than the TTL, and the process resumes in the state of a holder. Its clock
/// kept running, so its first check must fail; the new holder must have a higher fencing token.
#[test]
fn a_pause_longer_than_the_ttl() {
    let mut shelf = LeaseStore::default();
    let mut old = held(&mut shelf, "a", at(0.0));

    let (mut new, acquired_s) = take_over(&mut shelf, "b", 0.0);

    assert!(acquired_s > 9.0);
    assert_eq!(old.check(at(acquired_s), Duration::ZERO), None);
    let (first, second) = (1, new.check(at(acquired_s), Duration::ZERO));
    assert!(second > Some(first), "{second:?}");
    let renewal = old.renewal(at(acquired_s), "third").expect("a renewal is due");
    assert!(matches!(old.renewed(at(acquired_s), shelf.put(renewal)), Renewed::Lost(_)));
}

/// The clock of a candidate's host jumps ahead by an hour, as after the migration of a virtual machine. The candidate
/// must not take the lease from a live holder.
#[test]
fn a_candidates_clock_jumps_ahead() {
    let mut shelf = LeaseStore::default();
    let _held = held(&mut shelf, "a", at(0.0));

    let mut candidate = Candidate::new(config("b"));
    for time in [0.0, 1.0, 3600.0] {
        match candidate.observe(at(time), shelf.get().as_ref(), "second") {
            Observed::HeldByOther(c) => candidate = c,
            Observed::Free(_) => panic!("acquired after {time} s on a clock that jumped"),
        }
    }
}

/// The clock of the holder's host goes backwards. Without a check, the holder would consider the lease valid for longer
/// than candidates wait.
#[test]
fn a_holders_clock_goes_backwards() {
    let mut shelf = LeaseStore::default();
    let mut held = held(&mut shelf, "a", at(0.0));
    assert_eq!(held.check(at(5.0), Duration::ZERO), Some(1));

    assert_eq!(held.check(at(-50.0), Duration::ZERO), None);
    assert_eq!(held.check(at(-49.0), Duration::ZERO), None);

    let renewal = held.renewal(at(-48.0), "second").expect("a renewal is due");
    let Renewed::Held(mut held) = held.renewed(at(-47.0), shelf.put(renewal)) else { panic!() };
    assert_eq!(held.check(at(-46.0), Duration::ZERO), Some(1));
}

/// The platform takes longer to respond than the TTL. The write took effect, but the lease must not be used until the
/// next renewal.
#[test]
fn a_response_slower_than_the_ttl() {
    let mut shelf = LeaseStore::default();
    let mut acquiring = acquiring(&shelf, "a", at(0.0));
    let write = shelf.put(acquiring.attempt(at(0.0)));

    let Acquired::Held(mut held) = acquiring.answered(at(10.0), write) else { panic!() };

    assert_eq!(held.check(at(10.0), Duration::ZERO), None);
    let renewal = held.renewal(at(10.0), "second").expect("a renewal is due");
    let Renewed::Held(mut held) = held.renewed(at(11.0), shelf.put(renewal)) else { panic!() };
    assert_eq!(held.check(at(11.0), Duration::ZERO), Some(1));
}

/// A holder that stops releases its lease, so that the next one does not have to wait until it expires.
#[test]
fn a_released_lease_is_free_at_once() {
    let mut shelf = LeaseStore::default();
    let old = held(&mut shelf, "a", at(0.0));
    shelf.put(old.release("second"));

    let (mut new, acquired_s) = take_over(&mut shelf, "b", 1.0);

    assert!(acquired_s <= 1.0);
    assert!(new.check(at(acquired_s), Duration::ZERO) > Some(1));
}

/// Three routers compete for one lease for ten minutes. Calls take up to 4 s, a tenth of the responses is lost,
/// processes pause for up to 30 s and their clocks differ in speed by up to 4%. With two holders at once, two routers
/// would send orders.
#[test]
fn at_most_one_holder_in_any_order_of_events() {
    let (mut changes, mut held_steps) = (0, 0);
    for seed in 0..100 {
        let mut shelf = LeaseStore::default();
        let start = at(0.0);
        // Fast calls minimize the gap between one holder and the next.
        let max_latency = Duration::from_millis(if seed % 2 == 0 { 200 } else { 4000 });
        let mut all: Vec<_> =
            (0..3).map(|i| Process::new(&format!("router-{i}"), seed * 10 + i, start)).collect();
        for p in &mut all {
            p.clock_speed = p.rng.random_range(0.98..1.02);
        }
        let (mut last, mut highest) = (None, 0);
        for step in 0..6000 {
            let now = start + STEP * step;
            for p in &mut all {
                if p.rng.random_bool(0.002) {
                    p.paused_until = now + Duration::from_secs(p.rng.random_range(1..30));
                }
                p.step(now, &mut shelf, max_latency, 0.1);
            }
            let holders: Vec<_> =
                all.iter_mut().enumerate().filter_map(|(i, p)| Some((i, p.fencing(now)?))).collect();
            assert!(holders.len() <= 1, "seed {seed}, step {step}: {holders:?}");
            let Some(&(who, fencing)) = holders.first() else { continue };
            held_steps += 1;
            if last != Some(who) {
                assert!(fencing > highest, "seed {seed}, step {step}: {fencing} after {highest}");
                changes += 1;
            }
            assert!(fencing >= highest, "seed {seed}, step {step}");
            (last, highest) = (Some(who), fencing);
        }
    }
    assert!(changes > 300, "only {changes} changes of holder");
    assert!(held_steps > 300_000, "held in only {held_steps} of 600,000 steps");
}
