//! Placement in the simulation: prompts with shared parts, servers whose pace changes, and what hosts know of both.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use cranberrytally::{
    relay::{
        backends::{BackendKey, Backends, Tag},
        holders::Holders,
        pace::{Paces, SLOW_PERCENT},
        place::{Candidate, Placer},
        prefill::{Delays, Prefill, Prompt},
        request::{Part, prompt_tokens},
    },
    schema::fleet::{Backend, Backends as List},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{SERVICE, ms};

/// Parameters of placement.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Whether servers report their pace.
    pub reports_pace: bool,
    /// Fraction of the time in which a server is two to five times slower.
    pub slow_fraction: f64,
    /// Longest allowed pause between events.
    pub allowed_pause_ms: u32,
}

/// Shared and own tokens of the prompts, and the number of different ones of each kind.
const PROMPTS: [(u32, u32); 3] = [(10_512, 1_300), (699, 130), (2_041, 360)];
const TOPICS: u64 = 24;
/// Prompt tokens that a server of usual pace prefills in a millisecond, and its speed for other requests meanwhile.
pub const TOKENS_PER_MS: f64 = 57.0;
pub const SPEED_DURING_PREFILL: f64 = 0.094;
/// Work between two events of a stream, in milliseconds.
pub const EVENT_WORK_MS: f64 = 30.0;
/// Number of shared parts that a server keeps.
const CACHED_PARTS: usize = 24;
const DATA_CENTRES: usize = 3;

/// State of placement in a running simulation.
pub struct Placements {
    config: Placement,
    servers: Vec<(BackendKey, Tag)>,
    hosts: Vec<(Paces, Prefill)>,
    holders: Holders,
    /// Shared parts that each server has, the most recent first.
    caches: Vec<VecDeque<u64>>,
    /// Pace of each server in percent, and when the period of it ends.
    paces: Vec<(f64, u64)>,
    /// Reports on their way to the hosts of a data centre: arrival, data centre, server, pace and time of the report.
    told: Vec<(u64, usize, usize, u32, u64)>,
    /// Draws the paces, so that they do not depend on decisions.
    rng: SmallRng,
}

/// A prompt at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placed {
    pub server: usize,
    /// Uncached tokens by what its host knows, and those that remain to be prefilled.
    pub known_uncached: u32,
    pub to_prefill: f64,
}

impl Placements {
    pub fn new(config: Placement, hosts: usize, servers: usize, seed: u64) -> Self {
        let mut backends = Backends::default();
        let item = |i: usize| Backend {
            id: format!("s{i}"),
            service: SERVICE.into(),
            addr: format!("10.0.0.1:{}", i + 1),
            ..Backend::default()
        };
        let items = (0..servers).map(item).collect();
        backends.apply_list(ms(0), &List { revision: 1, items, ..List::default() }, None);
        Self {
            config,
            servers: backends.iter().map(|(key, b)| (key, b.tag)).collect(),
            hosts: vec![(Paces::default(), Prefill::default()); hosts],
            holders: Holders::default(),
            caches: vec![VecDeque::new(); servers],
            paces: vec![(100.0, 0); servers],
            told: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Pace of a server relative to usual.
    pub fn slowness(&self, server: usize) -> f64 {
        self.paces[server].0 / 100.0
    }

    pub fn tick(&mut self, now: u64) {
        let rng = &mut self.rng;
        for (percent, until) in self.paces.iter_mut().filter(|(_, until)| *until <= now) {
            let is_slow = *percent <= 100.0 && rng.random_bool(self.config.slow_fraction);
            *percent = if is_slow { rng.random_range(200.0..500.0) } else { 100.0 };
            *until = now + rng.random_range(300..1_500);
        }
        let (due, rest) = self.told.iter().partition(|(at, ..)| *at <= now);
        self.told = rest;
        let due: Vec<(u64, usize, usize, u32, u64)> = due;
        for (_, data_centre, server, percent, at) in due {
            for (paces, _) in self.hosts.iter_mut().skip(data_centre).step_by(DATA_CENTRES) {
                paces.record_report(ms(now), &service(), self.servers[server].1, percent, ms(at));
            }
        }
    }

    /// Chooses a server for a request of a host that knows these loads.
    pub fn place(
        &mut self,
        now: u64,
        host: usize,
        loads: &[usize],
        slots: u32,
        rng: &mut SmallRng,
    ) -> Placed {
        let (kind, topic) = (rng.random_range(0..PROMPTS.len()), rng.random_range(0..TOPICS));
        let id = kind as u64 * TOPICS + topic;
        let parts = [Part { id, tokens: PROMPTS[kind].0 }, Part { id: u64::MAX, tokens: PROMPTS[kind].1 }];
        let candidate = |((key, tag), load): (&(BackendKey, Tag), &usize)| Candidate {
            key: *key,
            tag: *tag,
            local: true,
            load: *load as f64,
            slots,
            unhealthy: false,
            delays: Delays::default(),
        };
        let mut candidates: Vec<_> = self.servers.iter().zip(loads).map(candidate).collect();
        let (paces, prefill) = &mut self.hosts[host];
        let allowed_pause_ms = Some(self.config.allowed_pause_ms);
        let prompt = Prompt { service: SERVICE, parts: &parts, allowed_pause_ms };
        prefill.set_delays(ms(now), paces, &self.holders, prompt, &mut candidates);
        let choice = Placer::default().choose(&candidates, &parts, &self.holders, |_| true, rng).unwrap();
        let server = self.servers.iter().position(|(key, _)| *key == choice.key).unwrap();
        let known_uncached = prompt_tokens(&parts) - choice.cached_tokens;
        prefill.begin(choice.key, known_uncached);
        self.holders.insert(ms(now), id, choice.key);
        let cache = &mut self.caches[server];
        let cached = cache.iter().position(|part| *part == id).and_then(|at| cache.remove(at)).is_some();
        cache.push_front(id);
        cache.truncate(CACHED_PARTS);
        let to_prefill = f64::from(if cached { parts[1].tokens } else { prompt_tokens(&parts) });
        Placed { server, known_uncached, to_prefill }
    }

    /// Reports the pace of a server to a host, which tells others if it is slow.
    pub fn report(&mut self, now: u64, host: usize, server: usize, rng: &mut SmallRng) {
        if !self.config.reports_pace {
            return;
        }
        let percent = self.paces[server].0 as u32;
        self.hosts[host].0.record_report(ms(now), &service(), self.servers[server].1, percent, ms(now));
        if percent < SLOW_PERCENT {
            return;
        }
        for data_centre in 0..DATA_CENTRES {
            let is_own = data_centre == host % DATA_CENTRES;
            let delay = if is_own { rng.random_range(20..620) } else { rng.random_range(300..1_600) };
            self.told.push((now + delay, data_centre, server, percent, now));
        }
    }

    /// The first event of a prompt has arrived.
    pub fn begin_stream(&mut self, now: u64, host: usize, placed: Placed, waited: Duration) {
        let (key, tag) = self.servers[placed.server];
        let (paces, prefill) = &mut self.hosts[host];
        prefill.end(ms(now), key, placed.known_uncached);
        paces.record_first_event(ms(now), SERVICE, tag, placed.known_uncached, waited);
    }
}

fn service() -> Arc<str> {
    SERVICE.into()
}
