//! Cases whose figures the bench prints and the regression tests limit.

use std::time::Duration;

use cranberrytally::claim::shard_claims::ShardClaimsConfig;

use super::world::{ClaimStorage, Faults, Ms, Weakening, World};

/// Cost of claims for saves at a given rate.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    pub p50_ms: Ms,
    pub p99_ms: Ms,
    pub writes_s: f64,
    pub reads_s: f64,
    pub frames_s: f64,
    pub largest_bytes: usize,
    pub answered: f64,
}

/// Measures `rate` saves per second for `seconds`, spread over `routers`.
pub fn cost(storage: ClaimStorage, routers: usize, rate: u64, seconds: u64, interval: Ms) -> Cost {
    let cfg =
        ShardClaimsConfig { write_interval: Duration::from_millis(interval), ..ShardClaimsConfig::default() };
    let mut world = World::new(7, routers, storage, Faults::none(), Weakening::None).with_config(cfg);
    let calls = rate * seconds;
    for i in 0..calls {
        let router = (i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % routers;
        world.call(i * 1000 / rate, router, false, 1, false);
    }
    world.run(seconds * 1000);
    let per_second = |n: u64| n as f64 / seconds as f64;
    Cost {
        p50_ms: percentile(&world.stats.granted_ms, 50),
        p99_ms: percentile(&world.stats.granted_ms, 99),
        writes_s: per_second(world.stats.writes),
        reads_s: per_second(world.stats.reads),
        frames_s: per_second(world.stats.frames),
        largest_bytes: world.stats.largest_bytes,
        answered: world.stats.answered as f64 / calls as f64,
    }
}

/// The waiting time that `percent` of all waits do not exceed.
fn percentile(waits: &[Ms], percent: usize) -> Ms {
    let mut waits = waits.to_vec();
    waits.sort_unstable();
    waits.get((waits.len().max(1) - 1) * percent / 100).copied().unwrap_or(0)
}

/// Outcomes of first attempts during an outage of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    pub first_attempts: u32,
    pub answered: u32,
    pub not_run: u64,
    pub unknown: u64,
    pub violations: u32,
    pub largest_bytes: usize,
    pub writes_after_s: f64,
    pub recorded: usize,
    pub granted_p99_ms: Ms,
    pub refused_p99_ms: Ms,
}

/// Time before the outage.
const BEFORE_MS: Ms = 30_000;
/// Duration of the outage.
const OUTAGE_MS: Ms = 300_000;
/// Time after the outage during which callers send requests.
const AFTER_MS: Ms = 30_000;

/// Runs `rate` saves per second before, during and after an outage of five minutes; counts those that start during it.
pub fn outage(ticket: bool, routers: usize, rate: u64) -> Outage {
    let mut world = World::new(11, routers, ClaimStorage::Shards(16), Faults::none(), Weakening::None);
    world.outage(BEFORE_MS, BEFORE_MS + OUTAGE_MS);
    let mut first_attempt_ids = Vec::new();
    let calls = (BEFORE_MS + OUTAGE_MS + AFTER_MS) / 1000 * rate;
    for i in 0..calls {
        let at = i * 1000 / rate;
        let id = world.call(at, i as usize % routers, ticket, 1, false);
        // Requests of the last two seconds are not counted, since their claims are still waiting when the outage ends.
        if (BEFORE_MS..BEFORE_MS + OUTAGE_MS - 2_000).contains(&at) {
            first_attempt_ids.push(id);
        }
    }
    world.run(BEFORE_MS + OUTAGE_MS);
    let writes = world.stats.writes;
    world.run(BEFORE_MS + OUTAGE_MS + AFTER_MS + 10_000);
    let first_answered = &world.stats.first_answered;
    Outage {
        first_attempts: first_attempt_ids.len() as u32,
        answered: first_attempt_ids.iter().filter(|id| first_answered.get(id) == Some(&true)).count() as u32,
        not_run: world.stats.not_run,
        unknown: world.stats.unknown,
        violations: world.violations().total(),
        largest_bytes: world.stats.largest_bytes,
        recorded: world.recorded(),
        granted_p99_ms: percentile(&world.stats.granted_ms, 99),
        refused_p99_ms: percentile(&world.stats.refused_ms, 99),
        writes_after_s: (world.stats.writes - writes) as f64 / ((AFTER_MS + 10_000) / 1000) as f64,
    }
}
