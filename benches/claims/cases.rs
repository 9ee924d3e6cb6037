//! The cases that the bench prints and that the regression tests bound.

use std::time::Duration;

use cranberrytally::claim::shard_claims::ShardClaimsConfig;

use super::world::{ClaimStorage, Faults, Ms, Weakening, World};

/// Cost of saves at a rate.
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

/// Saves at `rate` a second for `seconds`, spread over `routers`.
pub fn cost(way: ClaimStorage, routers: usize, rate: u64, seconds: u64, interval: Ms) -> Cost {
    let cfg =
        ShardClaimsConfig { write_interval: Duration::from_millis(interval), ..ShardClaimsConfig::default() };
    let mut world = World::new(7, routers, way, Faults::none(), Weakening::None).with_config(cfg);
    let calls = rate * seconds;
    for i in 0..calls {
        let router = (i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % routers;
        world.call(i * 1000 / rate, router, false, 1, false);
    }
    world.run(seconds * 1000);
    let per_second = |n: u64| n as f64 / seconds as f64;
    Cost {
        p50_ms: part(&world.stats.granted_ms, 50),
        p99_ms: part(&world.stats.granted_ms, 99),
        writes_s: per_second(world.stats.writes),
        reads_s: per_second(world.stats.reads),
        frames_s: per_second(world.stats.frames),
        largest_bytes: world.stats.largest_bytes,
        answered: world.stats.answered as f64 / calls as f64,
    }
}

/// The wait that `percent` of all do not exceed.
fn part(waits: &[Ms], percent: usize) -> Ms {
    let mut waits = waits.to_vec();
    waits.sort_unstable();
    waits.get((waits.len().max(1) - 1) * percent / 100).copied().unwrap_or(0)
}

/// First attempts through an outage.
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

const BEFORE: Ms = 30_000;
const OUT: Ms = 300_000;
const AFTER: Ms = 30_000;

/// Saves at `rate` a second before, in and after an outage of five minutes; counts those that start in it.
pub fn outage(ticket: bool, routers: usize, rate: u64) -> Outage {
    let mut world = World::new(11, routers, ClaimStorage::Shards(16), Faults::none(), Weakening::None);
    world.outage(BEFORE, BEFORE + OUT);
    let mut during = Vec::new();
    let calls = (BEFORE + OUT + AFTER) / 1000 * rate;
    for i in 0..calls {
        let at = i * 1000 / rate;
        let id = world.call(at, i as usize % routers, ticket, 1, false);
        // The last moments count for after the outage: their claims are still waiting when it ends.
        if (BEFORE..BEFORE + OUT - 2_000).contains(&at) {
            during.push(id);
        }
    }
    world.run(BEFORE + OUT);
    let writes = world.stats.writes;
    world.run(BEFORE + OUT + AFTER + 10_000);
    let told = &world.stats.first_told;
    Outage {
        first_attempts: during.len() as u32,
        answered: during.iter().filter(|id| told.get(id) == Some(&true)).count() as u32,
        not_run: world.stats.not_run,
        unknown: world.stats.unknown,
        violations: world.violations().total(),
        largest_bytes: world.stats.largest_bytes,
        recorded: world.recorded(),
        granted_p99_ms: part(&world.stats.granted_ms, 99),
        refused_p99_ms: part(&world.stats.refused_ms, 99),
        writes_after_s: (world.stats.writes - writes) as f64 / ((AFTER + 10_000) / 1000) as f64,
    }
}
