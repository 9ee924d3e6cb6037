//! Simulated platform that stores one lease, and processes with slow or lost calls, pauses and clocks of their own.

use std::time::Duration;

use cranberrytally::{
    catalog::AnyObject,
    lease::{Action, Fencing, LeaseConfig, LeaseDriver},
    objects::WriteOutcome,
    util::Instant,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

pub const TTL: Duration = Duration::from_secs(9);

/// Versioned store of the lease object.
#[derive(Default)]
pub struct LeaseStore {
    /// Numbers of reads and of writes so far.
    pub calls: (u64, u64),
    version: u64,
    object: Option<AnyObject>,
}

impl LeaseStore {
    pub fn get(&self) -> Option<AnyObject> {
        self.object.clone()
    }

    pub fn put(&mut self, mut obj: AnyObject) -> WriteOutcome {
        self.calls.1 += 1;
        let current_version = self.object.as_ref().map_or("", |o| o.metadata.resource_version.as_str());
        if current_version != obj.metadata.resource_version {
            return WriteOutcome::Conflict(self.object.clone());
        }
        self.version += 1;
        obj.metadata.resource_version = self.version.to_string();
        self.object = Some(obj.clone());
        WriteOutcome::Done(obj)
    }
}

/// Call in transit, with its time of arrival: to the platform, or back with an answer.
enum Call {
    Sent(Instant, Action),
    ReadAnswer(Instant, Option<Option<AnyObject>>),
    WriteAnswer(Instant, WriteOutcome),
}

/// Process that takes part in the lease, with a clock of its own.
pub struct Process {
    pub driver: LeaseDriver,
    pub paused_until: Instant,
    /// Speed of the process's clock relative to real time.
    pub clock_speed: f64,
    pub offset: Duration,
    call: Option<Call>,
    pub rng: StdRng,
}

impl Process {
    pub fn new(name: &str, seed: u64, now: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let offset = Duration::from_secs(rng.random_range(0..100_000));
        let driver = LeaseDriver::new(LeaseConfig::new("pool-a", name, TTL), now + offset);
        Self { driver, paused_until: Instant::ZERO, clock_speed: 1.0, offset, call: None, rng }
    }

    pub fn clock(&self, now: Instant) -> Instant {
        self.offset + now.mul_f64(self.clock_speed)
    }

    pub fn fencing(&mut self, now: Instant) -> Option<Fencing> {
        let clock = self.clock(now);
        self.driver.check(clock, Duration::ZERO)
    }

    /// Advances the process and its call; `max_latency` is the maximum one-way latency, `loss_rate` the fraction of
    /// lost answers.
    pub fn step(&mut self, now: Instant, store: &mut LeaseStore, max_latency: Duration, loss_rate: f64) {
        match self.call.take() {
            Some(Call::Sent(at, action)) if now >= at => {
                self.deliver(now, action, store, max_latency, loss_rate)
            }
            Some(Call::ReadAnswer(at, answer)) if now >= at && now >= self.paused_until => {
                let clock = self.clock(now);
                self.driver.read(clock, answer, &mut self.rng);
            }
            Some(Call::WriteAnswer(at, write)) if now >= at && now >= self.paused_until => {
                let clock = self.clock(now);
                self.driver.written(clock, write, &mut self.rng);
            }
            call => self.call = call,
        }
        if now < self.paused_until || self.call.is_some() {
            return;
        }
        let clock = self.clock(now);
        if let Some(action) = self.driver.tick(clock, &mut self.rng) {
            let at = now + max_latency.mul_f64(self.rng.random());
            self.call = Some(Call::Sent(at, action));
        }
    }

    fn deliver(
        &mut self,
        now: Instant,
        action: Action,
        store: &mut LeaseStore,
        max_latency: Duration,
        loss_rate: f64,
    ) {
        let answer_at = now + max_latency.mul_f64(self.rng.random());
        let lost = self.rng.random_bool(loss_rate);
        self.call = Some(match action {
            Action::Read => {
                store.calls.0 += 1;
                Call::ReadAnswer(answer_at, (!lost).then(|| store.get()))
            }
            Action::Write(obj) => {
                let write = store.put(obj);
                Call::WriteAnswer(answer_at, if lost { WriteOutcome::Unknown } else { write })
            }
        });
    }
}
