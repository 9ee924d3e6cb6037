//! Measured service rate of a queue: work started per second while requests wait, and run time per work.

use std::time::Duration;

use super::Work;
use crate::util::Instant;

/// Minimum length of a measurement window.
const RATE_WINDOW: Duration = Duration::from_millis(250);
/// Minimum length of a window without any start. Starts come in bursts; a few empty short windows in a row would
/// make the queue look stalled, and even requests with a minute left would be refused.
const EMPTY_RATE_WINDOW: Duration = Duration::from_secs(2);
/// Weight of the newest sample in the exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.3;
/// Maximum estimated wait, as a multiple of the time for which the rate has been measured.
const MAX_WAIT_PER_MEASURED: u32 = 20;

/// Moving averages of one queue.
#[derive(Debug, Default)]
pub(super) struct ServiceRate {
    /// Start of uninterrupted measuring.
    measured_since: Option<Instant>,
    window_start: Option<Instant>,
    window_work: u64,
    work_per_s: Option<f64>,
    run_s_per_work: Option<f64>,
}

impl ServiceRate {
    /// Starts measuring when the first request waits.
    pub(super) fn start_measuring(&mut self, now: Instant) {
        if self.window_start.is_none() {
            (self.window_start, self.window_work) = (Some(now), 0);
            self.measured_since = Some(now);
        }
    }

    /// Stops measuring when no request waits: starts in an empty queue don't show how fast it can be served.
    pub(super) fn stop_measuring(&mut self) {
        (self.window_start, self.measured_since) = (None, None);
    }

    /// Records work that left the queue for an engine.
    pub(super) fn record_start(&mut self, now: Instant, work: Work) {
        self.window_work += u64::from(work);
        self.update(now);
    }

    /// Closes the window if it is due; called without starts too, so that the rate of a stalled queue falls.
    pub(super) fn update(&mut self, now: Instant) {
        let Some(window_start) = self.window_start else { return };
        let elapsed = now.saturating_sub(window_start);
        if elapsed < RATE_WINDOW || (self.window_work == 0 && elapsed < EMPTY_RATE_WINDOW) {
            return;
        }
        let sample = self.window_work as f64 / elapsed.as_secs_f64();
        // A queue that has not started any work has an unknown rate, not a rate of zero.
        if self.window_work > 0 || self.work_per_s.is_some() {
            self.work_per_s = Some(ewma(self.work_per_s, sample));
        }
        (self.window_start, self.window_work) = (Some(now), 0);
    }

    /// Records a finished run.
    pub(super) fn record_run(&mut self, ran: Duration, work: Work) {
        let sample = ran.as_secs_f64() / f64::from(work.max(1));
        self.run_s_per_work = Some(ewma(self.run_s_per_work, sample));
    }

    /// Estimated time to start this much work; `None` while the rate is unknown.
    ///
    /// When no engine has room for a quarter of a second, as while engines change owner, the measured rate is near
    /// zero, and by it alone a request with a minute left would be refused. The estimate is therefore bounded by a
    /// multiple of the time for which the queue has been measured without interruption.
    pub(super) fn time_to_start(&self, now: Instant, work: u64) -> Option<Duration> {
        let rate = self.work_per_s?.max(1.0);
        let measured = now.saturating_sub(self.measured_since.unwrap_or(now));
        Some(Duration::from_secs_f64(work as f64 / rate).min(measured * MAX_WAIT_PER_MEASURED))
    }

    /// Estimated run time of a request of this work; zero until measured.
    pub(super) fn run_time(&self, work: Work) -> Duration {
        Duration::from_secs_f64(self.run_s_per_work.unwrap_or(0.0) * f64::from(work))
    }
}

/// Exponentially weighted moving average of `old` and the new sample.
fn ewma(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |old| old + EWMA_WEIGHT * (sample - old))
}
