//! Measured service: how much work a lane starts a second while requests wait, and how long a run takes.

use std::time::Duration;

use super::Work;
use crate::util::Instant;

const WINDOW: Duration = Duration::from_millis(250);
/// A window without any start is closed only after this time. Starts come in bursts, and a few empty windows in a
/// row would pass for a lane that never moves and refuse even requests with a minute to spare.
const STALL: Duration = Duration::from_secs(2);
const WEIGHT: f64 = 0.3;
/// A rate that was measured for some time is trusted for this many times as long.
const TRUST: u32 = 20;

/// Moving averages of one lane.
#[derive(Debug, Default)]
pub(super) struct Rate {
    opened: Option<Instant>,
    since: Option<Instant>,
    work: u64,
    per_second: Option<f64>,
    seconds_per_work: Option<f64>,
}

impl Rate {
    /// Requests wait from now on.
    pub(super) fn open(&mut self, now: Instant) {
        if self.since.is_none() {
            (self.since, self.work) = (Some(now), 0);
            self.opened = Some(now);
        }
    }

    /// Nobody waits any more: a window in which the lane was not always full says nothing of its speed.
    pub(super) fn shut(&mut self) {
        (self.since, self.opened) = (None, None);
    }

    /// Notes work that left the queue for an engine.
    pub(super) fn start(&mut self, now: Instant, work: Work) {
        self.work += u64::from(work);
        self.tick(now);
    }

    /// Closes a window that has lasted long enough, so that a stalled lane is seen as slow.
    pub(super) fn tick(&mut self, now: Instant) {
        let Some(since) = self.since else { return };
        let elapsed = now.saturating_sub(since);
        if elapsed < WINDOW || (self.work == 0 && elapsed < STALL) {
            return;
        }
        let sample = self.work as f64 / elapsed.as_secs_f64();
        // A lane that has never started anything has no rate yet, not one of zero.
        if self.work > 0 || self.per_second.is_some() {
            self.per_second = Some(mix(self.per_second, sample));
        }
        (self.since, self.work) = (Some(now), 0);
    }

    /// Notes a finished run.
    pub(super) fn record_run(&mut self, ran: Duration, work: Work) {
        let sample = ran.as_secs_f64() / f64::from(work.max(1));
        self.seconds_per_work = Some(mix(self.seconds_per_work, sample));
    }

    /// Time to start `work`; `None` until it has been measured.
    ///
    /// A quarter of a second in which no engine had room, as when engines change owner, shows a rate near zero. By
    /// that rate alone a request with a minute left would be refused; so the time is bounded by how long the lane
    /// has been measured without a break.
    pub(super) fn wait(&self, now: Instant, work: u64) -> Option<Duration> {
        let rate = self.per_second?.max(1.0);
        let measured = now.saturating_sub(self.opened.unwrap_or(now));
        Some(Duration::from_secs_f64(work as f64 / rate).min(measured * TRUST))
    }

    /// Time that a run of `work` takes; zero until it has been measured.
    pub(super) fn run(&self, work: Work) -> Duration {
        Duration::from_secs_f64(self.seconds_per_work.unwrap_or(0.0) * f64::from(work))
    }
}

fn mix(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |old| old + WEIGHT * (sample - old))
}
