//! A platform that keeps one lease, and processes whose calls to it are slow, lost or paused.

use std::time::Duration;

use cranberrytally::{
    catalog::AnyObject,
    lease::{Action, Fencing, LeaseConfig, LeaseDriver},
    objects::Write,
    util::Instant,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

pub const TTL: Duration = Duration::from_secs(9);

/// The lease's object.
#[derive(Default)]
pub struct LeaseStore {
    /// Reads and writes so far.
    pub calls: (u64, u64),
    version: u64,
    object: Option<AnyObject>,
}

impl LeaseStore {
    pub fn get(&self) -> Option<AnyObject> {
        self.object.clone()
    }

    pub fn put(&mut self, mut obj: AnyObject) -> Write {
        self.calls.1 += 1;
        let have = self.object.as_ref().map_or("", |o| o.metadata.resource_version.as_str());
        if have != obj.metadata.resource_version {
            return Write::Conflict(self.object.clone());
        }
        self.version += 1;
        obj.metadata.resource_version = self.version.to_string();
        self.object = Some(obj.clone());
        Write::Done(obj)
    }
}

/// A call on its way to the platform or back.
enum Call {
    Out(Instant, Action),
    Read(Instant, Option<Option<AnyObject>>),
    Written(Instant, Write),
}

/// One process with its own clock.
pub struct Process {
    pub driver: LeaseDriver,
    pub paused_until: Instant,
    /// Speed of its clock.
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

    /// Advances the process and its call; `slow` is the longest one-way time, `loss` the share of answers lost.
    pub fn step(&mut self, now: Instant, shelf: &mut LeaseStore, slow: Duration, loss: f64) {
        match self.call.take() {
            Some(Call::Out(at, action)) if now >= at => self.arrive(now, action, shelf, slow, loss),
            Some(Call::Read(at, answer)) if now >= at && now >= self.paused_until => {
                let clock = self.clock(now);
                self.driver.read(clock, answer, &mut self.rng);
            }
            Some(Call::Written(at, write)) if now >= at && now >= self.paused_until => {
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
            let at = now + slow.mul_f64(self.rng.random());
            self.call = Some(Call::Out(at, action));
        }
    }

    fn arrive(&mut self, now: Instant, action: Action, shelf: &mut LeaseStore, slow: Duration, loss: f64) {
        let back = now + slow.mul_f64(self.rng.random());
        let lost = self.rng.random_bool(loss);
        self.call = Some(match action {
            Action::Read => {
                shelf.calls.0 += 1;
                Call::Read(back, (!lost).then(|| shelf.get()))
            }
            Action::Write(obj) => {
                let write = shelf.put(obj);
                Call::Written(back, if lost { Write::Unknown } else { write })
            }
        });
    }
}
