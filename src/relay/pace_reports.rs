//! Feeds [`super::pace`] and [`super::prefill`] with what servers and other hosts report and with the times to first
//! events, and reports pauses between events that are longer than routes allow.

use std::{sync::Arc, time::Duration};

use super::{
    PaceReport, Relay, ResponseHead, State, Wire,
    attempts::Failure,
    backends::{BackendKey, Tag},
    measurements::Report,
    pace::{Pace, SLOW_PERCENT},
    place::Choice,
    request::Request,
};
use crate::{
    logs::lines::{Level, line},
    metrics::Counter,
    schema::fleet,
    util::{Instant, now},
};

/// Why a stream paused, as far as this host knows; a label in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseCause {
    /// It was resumed on another server.
    Resumed,
    /// Its server is slow by its pace.
    SlowServer,
    /// Its server was prefilling a prompt of this host.
    Prefill,
    /// None of these.
    Unknown,
}

impl PauseCause {
    /// All values.
    pub const ALL: [PauseCause; 4] =
        [PauseCause::Resumed, PauseCause::SlowServer, PauseCause::Prefill, PauseCause::Unknown];

    /// Label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            PauseCause::Resumed => "resumed",
            PauseCause::SlowServer => "slow_server",
            PauseCause::Prefill => "prefill",
            PauseCause::Unknown => "unknown",
        }
    }

    /// The cause of a pause of a stream whose server has this pace and has prefilled this many tokens for this host
    /// meanwhile.
    pub fn of(is_resumed: bool, pace: Pace, prefilled_tokens: u64) -> Self {
        match () {
            () if is_resumed => PauseCause::Resumed,
            () if pace.is_slow() => PauseCause::SlowServer,
            () if prefilled_tokens > 0 => PauseCause::Prefill,
            () => PauseCause::Unknown,
        }
    }
}

/// A prompt that is being prefilled at a server, counted there until dropped.
pub(crate) struct Prefilling<W: Wire> {
    relay: Arc<Relay<W>>,
    pub(crate) key: BackendKey,
    pub(crate) uncached: u32,
}

impl<W: Wire> Prefilling<W> {
    /// Counts the prompt of a request for a stream, which is about to be sent.
    pub(crate) fn start(relay: &Arc<Relay<W>>, req: &Request, choice: &Choice) -> Option<Self> {
        if !req.route.stream {
            return None;
        }
        let uncached = req.prompt_tokens().saturating_sub(choice.cached_tokens);
        relay.state().prefill.begin(choice.key, uncached);
        Some(Self { relay: relay.clone(), key: choice.key, uncached })
    }
}

impl<W: Wire> Drop for Prefilling<W> {
    fn drop(&mut self) {
        self.relay.state().prefill.end(now(), self.key, self.uncached);
    }
}

impl<W: Wire> Relay<W> {
    /// Records the load and the pace that a server reports with a response.
    pub(crate) fn record_pace(&self, req: &Request, key: BackendKey, head: &ResponseHead) {
        let Some(load) = head.load else { return };
        // These responses are of another server or another request.
        if matches!(head.failure, Some(Failure::Moved | Failure::Garbled)) {
            return;
        }
        let now = now();
        let mut state = self.state();
        let Some((tag, id)) = state.backends.get(key).map(|b| (b.tag, b.id.clone())) else { return };
        let pace_percent = match head.pace {
            PaceReport::Percent(percent) => Some(percent),
            PaceReport::None => None,
            PaceReport::Invalid => {
                if state.paces.may_log_invalid(now) {
                    line(Level::Notable, "invalid_pace", |l| l.text("backend", &id));
                }
                None
            }
        };
        if let Some(percent) = pace_percent {
            state.paces.record_report(now, &req.service, tag, percent, now);
        }
        let told_on = self.cfg.places_by_pace && pace_percent.is_some_and(|percent| percent >= SLOW_PERCENT);
        let load = load.running.saturating_add(load.waiting);
        let report = Report { load, pace_percent, at: now, told_on, sent_since: 0 };
        self.record_server_report(&mut state, now, tag, report);
    }

    /// Records that the first event of a request arrived this long after it was sent. Other hosts are told of a server
    /// that proves slow.
    pub(crate) fn record_first_event(&self, req: &Request, key: BackendKey, uncached: u32, waited: Duration) {
        let now = now();
        let mut state = self.state();
        let Some(tag) = state.backends.get(key).map(|b| b.tag) else { return };
        if !state.paces.are_reported(now, &req.service) {
            return;
        }
        state.paces.record_first_event(now, &req.service, tag, uncached, waited);
        if self.cfg.places_by_pace {
            state.tell_if_slow(now, tag);
        }
    }

    /// Counts and logs a pause between events if it was longer than the route allows. Only the time in which this host
    /// waited for the server is counted, not that in which the caller took no events.
    pub(crate) fn record_pause(
        &self,
        req: &Request,
        key: BackendKey,
        waiting_since: Instant,
        is_resumed: bool,
    ) {
        let now = now();
        let (pause, allowed_ms) = (now.saturating_sub(waiting_since), req.route.route.max_pause_ms);
        if allowed_ms == 0 || pause <= Duration::from_millis(allowed_ms.into()) {
            return;
        }
        let state = self.state();
        let backend = state.backends.get(key);
        let pace = backend.map_or(Pace::USUAL, |b| state.paces.pace(now, b.tag));
        let id = backend.map(|b| b.id.clone());
        let tokens = state.prefill.recent_tokens(now, key);
        drop(state);
        let cause = PauseCause::of(is_resumed, pace, tokens);
        self.metrics.add(Counter::RelayPauses, cause.as_str(), 1);
        self.log_request(Level::Notable, "pause", req, |l| {
            let l = l.text("backend", id.as_deref().unwrap_or("gone")).text("cause", cause.as_str());
            let l = l.ms("pause_ms", pause).number("allowed_ms", allowed_ms).number("prefill_tokens", tokens);
            match pace.age {
                Some(age) => l.number("pace", pace.percent as u64).ms("pace_age_ms", age),
                None => l,
            }
        });
    }
}

impl State {
    /// Takes in the paces that another host tells of.
    pub(super) fn learn_paces(&mut self, now: Instant, message: &fleet::Measurements) {
        for report in &message.reports {
            let Some(key) = self.backends.by_tag(report.backend) else { continue };
            let Some(service) = self.backends.get(key).map(|b| b.service.clone()) else { continue };
            let Some(at) = now.checked_sub(Duration::from_millis(report.age_ms.into())) else { continue };
            self.paces.record_report(now, &service, report.backend, report.pace_percent, at);
        }
    }

    /// Has other hosts told of a server that has proved slow, even if it says otherwise.
    fn tell_if_slow(&mut self, now: Instant, tag: Tag) {
        let Some(pace) = self.paces.observed_pace(now, tag).filter(Pace::is_slow) else { return };
        let known = self.measurements.report(now, tag);
        let (load, sent_since) = known.map_or((0, 0), |known| (known.load, known.sent_since));
        let pace_percent = Some(pace.percent as u32);
        let report = Report { load, pace_percent, at: now, told_on: true, sent_since };
        self.measurements.record_report(tag, report);
    }
}
