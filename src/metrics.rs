//! Counters by opentelemetry, shown in the Prometheus text format.
//!
//! Every counter stands in one table with its label; docs/METRICS.md shows the same table.

use std::{collections::BTreeMap, time::Duration};

use anyhow::{Context, Result};
use opentelemetry::{
    KeyValue,
    metrics::{Counter as Instrument, Gauge as Level, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// A counter of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests by what became of them.
    Requests,
    /// Refusals and failures by the code of their kind.
    Refusals,
    /// Retries by reason.
    Retries,
    /// Retries that were not made, by reason.
    RetriesRefused,
    /// Placements by how the engine was chosen.
    Placements,
    /// Events of answer streams.
    Streams,
    /// Claims on idempotency keys by result.
    Claims,
    /// Calls to the platform by class.
    PlatformCalls,
    /// Datagrams between routers that were dropped, by reason.
    DatagramsDropped,
    /// Bytes of control traffic by direction.
    ControlBytes,
    /// Orders to engines by result.
    Orders,
    /// Requests of callers on the platform by what became of them.
    RelayRequests,
    /// Refusals and failures on the platform by the code of their kind.
    RelayRefusals,
    /// Failed attempts at backend servers that were followed by another one, by failure.
    RelayRetries,
    /// Failed attempts that were not, by reason.
    RelayStops,
    /// Placements by why the server was chosen.
    RelayPlacements,
    /// Breaks of streams by what followed.
    RelayStreams,
    /// Calls to the store by what they ask for.
    RelayStoreCalls,
    /// Datagrams from other hosts that were dropped, by reason.
    RelayDatagrams,
    /// Epochs of the store that are not the one known, by what they mean.
    RelayEpochs,
    /// What backend servers said of themselves in answers.
    RelayTold,
}

/// A value of the relay that goes up and down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Gauge {
    /// Time since all changes of what is followed at the store were known.
    RelayUnconfirmed,
}

impl Gauge {
    /// Every gauge.
    pub const ALL: [Gauge; 1] = [Gauge::RelayUnconfirmed];

    /// The table of gauges.
    pub fn shown(self) -> Shown {
        match self {
            Gauge::RelayUnconfirmed => Shown {
                name: "relay_unconfirmed_seconds",
                label: "kind",
                about: "time since what is known was confirmed to be the newest",
            },
        }
    }
}

/// A latency histogram of the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Latency {
    /// From a request's arrival to its first event.
    FirstEvent,
    /// From a request's arrival to the end of its answer.
    WholeAnswer,
    /// From the start of an attempt to the head of the backend server's answer.
    Attempt,
}

impl Latency {
    /// Every histogram.
    pub const ALL: [Latency; 3] = [Latency::FirstEvent, Latency::WholeAnswer, Latency::Attempt];

    /// The table of histograms; the label is the route's kind with the outcome.
    pub fn shown(self) -> Shown {
        let row = |name, about| Shown { name, label: "kind", about };
        match self {
            Latency::FirstEvent => row("relay_first_event_seconds", "arrival to first event, by kind"),
            Latency::WholeAnswer => {
                row("relay_answer_seconds", "arrival to end of answer, by kind and outcome")
            }
            Latency::Attempt => {
                row("relay_attempt_seconds", "start of attempt to head of answer, by outcome")
            }
        }
    }
}

/// Upper bounds of the histograms' buckets, in seconds: around the objectives of 0.15 to 0.6 s and up to the longest
/// deadlines.
const BOUNDS: [f64; 12] = [0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0];

/// How a counter is shown.
#[derive(Clone, Copy, Debug)]
pub struct Shown {
    /// Name, without the `_total` that the exporter adds.
    pub name: &'static str,
    /// Name of its label.
    pub label: &'static str,
    /// What it counts.
    pub about: &'static str,
}

impl Counter {
    /// Every counter.
    pub const ALL: [Counter; 21] = [
        Counter::Requests,
        Counter::Refusals,
        Counter::Retries,
        Counter::RetriesRefused,
        Counter::Placements,
        Counter::Streams,
        Counter::Claims,
        Counter::PlatformCalls,
        Counter::DatagramsDropped,
        Counter::ControlBytes,
        Counter::Orders,
        Counter::RelayRequests,
        Counter::RelayRefusals,
        Counter::RelayRetries,
        Counter::RelayStops,
        Counter::RelayPlacements,
        Counter::RelayStreams,
        Counter::RelayStoreCalls,
        Counter::RelayDatagrams,
        Counter::RelayEpochs,
        Counter::RelayTold,
    ];

    /// The table of counters.
    pub fn shown(self) -> Shown {
        let row = |name, label, about| Shown { name, label, about };
        match self {
            Counter::Requests => row("requests", "outcome", "requests by what became of them"),
            Counter::Refusals => row("refusals", "reason", "refusals and failures by error code"),
            Counter::Retries => row("retries", "reason", "retries by reason"),
            Counter::RetriesRefused => row("retries_refused", "reason", "retries not made, by reason"),
            Counter::Placements => row("placements", "how", "placements by how the engine was chosen"),
            Counter::Streams => row("streams", "event", "events of answer streams"),
            Counter::Claims => row("claims", "result", "claims on idempotency keys by result"),
            Counter::PlatformCalls => row("platform_calls", "class", "calls to the platform by class"),
            Counter::DatagramsDropped => {
                row("datagrams_dropped", "reason", "datagrams between routers dropped, by reason")
            }
            Counter::ControlBytes => row("control_bytes", "direction", "bytes of control traffic"),
            Counter::Orders => row("orders", "result", "orders to engines by result"),
            Counter::RelayRequests => {
                row("relay_requests", "outcome", "requests on the platform by what became of them")
            }
            Counter::RelayRefusals => {
                row("relay_refusals", "reason", "refusals and failures on the platform by error code")
            }
            Counter::RelayRetries => {
                row("relay_retries", "reason", "attempts followed by another, by failure")
            }
            Counter::RelayStops => {
                row("relay_stops", "reason", "attempts not followed by another, by reason")
            }
            Counter::RelayPlacements => {
                row("relay_placements", "how", "placements by why the server was chosen")
            }
            Counter::RelayStreams => row("relay_streams", "event", "breaks of streams by what followed"),
            Counter::RelayStoreCalls => {
                row("relay_store_calls", "call", "calls to the store by what they ask for")
            }
            Counter::RelayDatagrams => {
                row("relay_datagrams_dropped", "reason", "datagrams of hosts dropped, by reason")
            }
            Counter::RelayEpochs => {
                row("relay_store_epochs", "heard", "epochs of the store but the one known, by meaning")
            }
            Counter::RelayTold => {
                row("relay_told", "what", "what backend servers said of themselves in answers")
            }
        }
    }
}

/// The counters of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    instruments: Vec<Instrument<u64>>,
    latencies: Vec<Histogram<f64>>,
    levels: Vec<Level<f64>>,
}

impl Metrics {
    /// Creates the counters.
    ///
    /// # Errors
    /// When the exporter can't be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .context("could not build the exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cranberrytally");
        let build = |c: &Counter| meter.u64_counter(c.shown().name).with_description(c.shown().about).build();
        let instruments = Counter::ALL.iter().map(build).collect();
        let histogram = |l: &Latency| {
            let Shown { name, about, .. } = l.shown();
            meter.f64_histogram(name).with_description(about).with_boundaries(BOUNDS.to_vec()).build()
        };
        let latencies = Latency::ALL.iter().map(histogram).collect();
        let level = |g: &Gauge| meter.f64_gauge(g.shown().name).with_description(g.shown().about).build();
        let levels = Gauge::ALL.iter().map(level).collect();
        Ok(Self { registry, provider, instruments, latencies, levels })
    }

    /// Adds `n` to a counter under a label's value.
    pub fn add(&self, counter: Counter, value: &'static str, n: u64) {
        self.instruments[counter as usize].add(n, &[KeyValue::new(counter.shown().label, value)]);
    }

    /// Records a latency under a label's value.
    pub fn record(&self, latency: Latency, value: &'static str, took: Duration) {
        let label = KeyValue::new(latency.shown().label, value);
        self.latencies[latency as usize].record(took.as_secs_f64(), &[label]);
    }

    /// Sets a gauge under a label's value.
    pub fn set(&self, gauge: Gauge, value: &'static str, to: f64) {
        self.levels[gauge as usize].record(to, &[KeyValue::new(gauge.shown().label, value)]);
    }

    /// Counts a request by what became of it.
    pub fn request(&self, outcome: &'static str) {
        self.add(Counter::Requests, outcome, 1);
    }

    /// Counts a refusal by its reason.
    pub fn refuse(&self, reason: &'static str) {
        self.add(Counter::Refusals, reason, 1);
    }

    /// Counts a retry by its reason.
    pub fn retry(&self, reason: &'static str) {
        self.add(Counter::Retries, reason, 1);
    }

    /// Totals of a counter by label value.
    pub fn totals(&self, counter: Counter) -> BTreeMap<String, u64> {
        let shown = counter.shown();
        let wanted = format!("{}_total", shown.name);
        let mut totals = BTreeMap::new();
        for family in self.registry.gather().iter().filter(|f| f.name() == wanted) {
            for metric in family.get_metric() {
                let value = metric.get_label().iter().find(|l| l.name() == shown.label);
                let value = value.map(|l| l.value().to_owned()).unwrap_or_default();
                totals.insert(value, metric.get_counter().get_value() as u64);
            }
        }
        totals
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    /// When the encoder fails.
    pub fn text(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather()).context("could not encode the metrics")
    }

    /// Stops the meters.
    pub fn close(self) {
        let _ = self.provider.shutdown();
    }
}
