//! Bounds on the cost of claims in the cases that `cargo bench --bench claims` prints. All figures are in virtual time.

#[path = "../benches/claims/cases.rs"]
#[allow(dead_code)]
mod cases;
#[path = "../benches/claims/world.rs"]
#[allow(dead_code)]
mod world;

use world::ClaimStorage;

const INTERVAL_MS: u64 = 100;
const SHARDS: ClaimStorage = ClaimStorage::Shards(16);

#[test]
fn writes_grow_with_shards_and_not_with_requests_or_routers() {
    let few = cases::cost(SHARDS, 8, 1000, 5, INTERVAL_MS);
    let many = cases::cost(SHARDS, 330, 1000, 5, INTERVAL_MS);
    let object_a_key = cases::cost(ClaimStorage::ObjectPerKey, 8, 1000, 5, INTERVAL_MS);

    assert!(few.writes_s <= 170.0, "{few:?}");
    assert!((many.writes_s / few.writes_s - 1.0).abs() < 0.05, "{few:?} {many:?}");
    assert!(object_a_key.writes_s > 10.0 * few.writes_s, "{object_a_key:?}");
}

#[test]
fn a_claim_is_granted_quickly() {
    let slow = cases::cost(SHARDS, 8, 10, 20, INTERVAL_MS);
    let fast = cases::cost(SHARDS, 8, 1000, 5, INTERVAL_MS);

    assert!(slow.p50_ms <= 10 && slow.p99_ms <= 110, "{slow:?}");
    assert!(fast.p50_ms <= 65 && fast.p99_ms <= 115, "{fast:?}");
    assert!(fast.largest_bytes < 1 << 20, "{fast:?}");
}

#[test]
fn an_outage_blocks_no_ticket_key_and_loses_no_record() {
    let ticket = cases::outage(true, 8, 10);
    let own = cases::outage(false, 8, 10);

    assert_eq!((ticket.answered, ticket.violations), (ticket.first_attempts, 0), "{ticket:?}");
    assert_eq!(ticket.recorded, 3600, "{ticket:?}");
    assert_eq!((own.answered, own.violations), (0, 0), "{own:?}");
    assert!(own.not_run >= u64::from(own.first_attempts), "{own:?}");
    assert!(ticket.granted_p99_ms <= 210 && own.refused_p99_ms <= 210, "{ticket:?} {own:?}");
    assert!(ticket.largest_bytes < 1 << 20 && own.largest_bytes < 1 << 20);
}
