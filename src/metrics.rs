//! Counters by opentelemetry, shown in the Prometheus text format.
//!
//! Every counter stands in one table with its label; docs/METRICS.md shows the same table.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use opentelemetry::{
    KeyValue,
    metrics::{Counter as Instrument, MeterProvider},
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
}

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
    pub const ALL: [Counter; 11] = [
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
        }
    }
}

/// The counters of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    instruments: Vec<Instrument<u64>>,
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
        Ok(Self { registry, provider, instruments })
    }

    /// Adds `n` to a counter under a label's value.
    pub fn add(&self, counter: Counter, value: &'static str, n: u64) {
        self.instruments[counter as usize].add(n, &[KeyValue::new(counter.shown().label, value)]);
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
