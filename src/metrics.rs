//! Counters by opentelemetry, shown in the Prometheus text format.

use std::{collections::BTreeMap, sync::Mutex};

use anyhow::{Context, Result};
use opentelemetry::{KeyValue, metrics::Counter, metrics::MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// The counters of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    totals: Mutex<BTreeMap<(&'static str, &'static str), u64>>,
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
            .build()
            .context("could not build the exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cranberrytally");
        Ok(Self {
            requests: meter.u64_counter("requests").build(),
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            registry,
            provider,
            totals: Mutex::default(),
        })
    }

    /// Counts a request by what became of it.
    pub fn request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.count("requests", outcome);
    }

    /// Counts a refusal by its reason.
    pub fn refuse(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
        self.count("refusals", reason);
    }

    /// Counts a retry by its reason.
    pub fn retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
        self.count("retries", reason);
    }

    /// Totals by counter and label, for `demo` and `status`.
    pub fn totals(&self) -> BTreeMap<(&'static str, &'static str), u64> {
        self.totals.lock().unwrap_or_else(|e| e.into_inner()).clone()
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

    fn count(&self, counter: &'static str, label: &'static str) {
        *self.totals.lock().unwrap_or_else(|e| e.into_inner()).entry((counter, label)).or_default() += 1;
    }
}
