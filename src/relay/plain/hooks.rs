//! Connects the decisions on plain services with the state of this host.

use std::sync::Arc;

use super::{
    Counts, MIN_HOSTS, WINDOW,
    repeats::{Repeat, Tally},
};
use crate::{
    logs::lines::{Level, line},
    metrics::Counter,
    relay::{
        Relay, State, Wire,
        measurements::{Key, Topic, key},
        request::Request,
    },
    util::{Instant, now},
};

/// Minutes in a window; arrivals are told per minute.
const ARRIVALS_PER_MINUTE: u32 = 60 / WINDOW.as_secs() as u32;

/// What was decided for plain services; a label of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainEvent {
    /// A request was refused since all hosts together admit no more.
    LimitRefused,
    /// An error was repeated to find out whether repeats help again.
    RepeatProbed,
    /// An error was delivered at once since repeats don't help.
    RepeatUseless,
}

impl PlainEvent {
    /// Every event.
    pub const ALL: [PlainEvent; 3] =
        [PlainEvent::LimitRefused, PlainEvent::RepeatProbed, PlainEvent::RepeatUseless];

    /// Label in the counter.
    pub fn as_str(self) -> &'static str {
        match self {
            PlainEvent::LimitRefused => "limit_refused",
            PlainEvent::RepeatProbed => "repeat_probed",
            PlainEvent::RepeatUseless => "repeat_useless",
        }
    }
}

/// Key of the repeats on a route, whose results are told like those of services.
fn repeats_key(route: &str) -> Key {
    key(route, "repeats")
}

impl State {
    /// Sets what this host tells others of its plain services, and of repeats after errors there.
    pub(crate) fn publish_plain(&mut self, now: Instant) {
        let is_large = self.peers.host_count() >= MIN_HOSTS as usize;
        for (service, counts) in self.admission.plain_counts(now) {
            let counts = if is_large { counts } else { Counts::default() };
            let key = key(&service, ());
            let arrivals = counts.arrivals.saturating_mul(ARRIVALS_PER_MINUTE);
            self.measurements.set(Topic::Arrivals, key, arrivals);
            self.measurements.set(Topic::Results, key, counts.results);
            self.measurements.set(Topic::LateResults, key, counts.late);
        }
        for (route, tally) in self.repeats.tallies(now) {
            let tally = if is_large { tally } else { Tally::default() };
            self.measurements.set(Topic::Results, repeats_key(&route), tally.made);
            self.measurements.set(Topic::LateResults, repeats_key(&route), tally.failed);
        }
    }

    /// Counts of the other hosts for a service.
    fn plain_counts_of_others(&self, service: &str) -> Counts {
        let of_others = |topic| self.measurements.of_others(topic, key(service, ()));
        let results = of_others(Topic::Results);
        Counts {
            arrivals: of_others(Topic::Arrivals) / ARRIVALS_PER_MINUTE,
            results,
            late: of_others(Topic::LateResults).min(results),
        }
    }

    /// Adjusts the limit of a plain service to what all hosts measure, and logs a change.
    pub(crate) fn adjust_plain(&mut self, now: Instant, service: &Arc<str>) {
        let others = self.plain_counts_of_others(service);
        let hosts = self.measurements.host_count();
        let Some(change) = self.admission.adjust_plain(now, service, others, hosts) else { return };
        line(Level::Notable, "limit", |l| {
            let l = l.text("service", service).decimal("old", change.old.unwrap_or(0.0));
            let l = l.decimal("new", change.new.unwrap_or(0.0));
            let l = l.number("arrivals", change.counts.arrivals).number("results", change.counts.results);
            l.number("late", change.counts.late).number("hosts", change.hosts)
        });
    }
}

impl<W: Wire> Relay<W> {
    /// Number of hosts whose measurements this host knows, including its own.
    pub fn measured_hosts(&self) -> u32 {
        self.state().measurements.host_count()
    }

    /// Whether a request may be repeated after an error of the server itself, by what became of such repeats lately.
    pub(crate) fn may_repeat_error(&self, req: &Request) -> bool {
        let draw = self.draw();
        let mut state = self.state();
        if !state.admission.is_shared(&req.service) {
            return true;
        }
        let route = &req.route.route.name;
        let of_others = |topic| state.measurements.of_others(topic, repeats_key(route));
        let others = Tally { made: of_others(Topic::Results), failed: of_others(Topic::LateResults) };
        let decision = state.repeats.decide(now(), route, others, draw);
        drop(state);
        match decision {
            Repeat::Useful => return true,
            Repeat::Probe => self.count_plain(PlainEvent::RepeatProbed),
            Repeat::Useless => self.count_plain(PlainEvent::RepeatUseless),
        }
        decision == Repeat::Probe
    }

    /// Records whether a repeat after an error had an answer other than an error.
    pub(crate) fn record_repeat(&self, req: &Request, helped: bool) {
        self.state().repeats.record(now(), &req.route.route.name, helped);
    }

    /// Records how long a request waited for a response with an error.
    pub(crate) fn record_error(&self, req: &Request, sent: Instant) {
        let now = now();
        self.state().admission.record_error(now, &req.service, req.objective(), now - sent);
    }

    pub(crate) fn count_plain(&self, event: PlainEvent) {
        self.metrics.add(Counter::RelayPlain, event.as_str(), 1);
    }
}
