//! Metrics with OpenTelemetry, exported in the Prometheus text format.
//!
//! The names, labels and descriptions of all counters are in one table, which docs/METRICS.md repeats.

use std::{collections::BTreeMap, time::Duration};

use anyhow::{Context, Result};
use opentelemetry::{
    KeyValue, Value,
    metrics::{Counter as CounterInstrument, Gauge as GaugeInstrument, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// A counter of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests by outcome.
    Requests,
    /// Refusals and failures by error code.
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
    /// Requests of callers on the platform by outcome.
    RelayRequests,
    /// Refusals and failures on the platform by error code.
    RelayRefusals,
    /// Failed attempts at backend servers that were retried, by failure.
    RelayRetries,
    /// Failed attempts at backend servers that were not retried, by reason.
    RelayStops,
    /// Placements by reason for the choice of the server.
    RelayPlacements,
    /// Interrupted streams by what followed.
    RelayStreams,
    /// Calls to the store by kind of call.
    RelayStoreCalls,
    /// Datagrams from other hosts that were dropped, by reason.
    RelayDatagrams,
    /// Responses of the store with an epoch other than the known one, by the conclusion drawn.
    RelayEpochs,
    /// Notices of backend servers about themselves in answers, by kind.
    RelayTold,
    /// Connections to backend servers through other hosts, and for them, by outcome.
    RelayTunnels,
    /// Streams that did not go on after a break, by reason.
    RelayStreamsStopped,
    /// What hosts tell and ask each other about streams, by kind.
    RelayOrigins,
    /// What became known of crashes of backend servers, by kind.
    RelayCrashes,
    /// Causes of crashes by what became of them.
    RelayQuarantine,
    /// Reports of servers close to the load bound, by what was done with them.
    RelayHotServers,
    /// Decisions for plain services.
    RelayPlain,
    /// Requests to services short of capacity by whether their workspace asks for more than its share.
    RelayShares,
    /// Callers that were refused and told to return, and requests that returned, by what became of them.
    RelayReturns,
    /// Pauses between events of streams that were longer than allowed, by cause.
    RelayPauses,
    /// Streams that this host closed before their end, by what it knew of the server.
    RelayStreamsCut,
    /// Silences of backend servers while a request waited, by how they ended.
    RelaySilences,
    /// Connections to backend servers that ended since bytes were not acknowledged, by what was known of them.
    RelayUnacked,
    /// Rounds of the background tasks of the relay, by task.
    RelayRounds,
    /// Connections that were closed since their port had as many as allowed, by what they did.
    RelayConnections,
}

/// A gauge of the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Gauge {
    /// Time since the data followed at the store was last confirmed to be up to date.
    RelayUnconfirmed,
    /// Versions of each service's software that may have begun streams which can still be taken up.
    RelayVersions,
    /// Causes of crashes whose requests are refused.
    RelayQuarantined,
    /// What callers and servers make the host hold, by kind.
    RelayHeld,
}

impl Gauge {
    /// Every gauge.
    pub const ALL: [Gauge; 4] =
        [Gauge::RelayUnconfirmed, Gauge::RelayVersions, Gauge::RelayQuarantined, Gauge::RelayHeld];

    /// Returns the name, label and description; this is the table of gauges.
    pub fn spec(self) -> MetricSpec {
        match self {
            Gauge::RelayUnconfirmed => MetricSpec {
                name: "relay_unconfirmed_seconds",
                label: "kind",
                description: "time since what is known was confirmed to be the newest",
            },
            Gauge::RelayVersions => MetricSpec {
                name: "relay_service_versions",
                label: "service",
                description: "versions of the servers' software that may have begun streams",
            },
            Gauge::RelayQuarantined => MetricSpec {
                name: "relay_quarantined_causes",
                label: "state",
                description: "contents and prompt parts whose requests are refused since they crash servers",
            },
            Gauge::RelayHeld => MetricSpec {
                name: "relay_held",
                label: "kind",
                description: "connections, and bytes of bodies and answers, that the host holds",
            },
        }
    }
}

/// A latency histogram of the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Latency {
    /// From the arrival of a request to its first event.
    FirstEvent,
    /// From the arrival of a request to the end of its answer.
    WholeAnswer,
    /// From the start of an attempt to the head of the backend server's answer.
    Attempt,
}

impl Latency {
    /// Every histogram.
    pub const ALL: [Latency; 3] = [Latency::FirstEvent, Latency::WholeAnswer, Latency::Attempt];

    /// Returns the name, label and description; this is the table of histograms. The label value combines the kind of
    /// route with the outcome.
    pub fn spec(self) -> MetricSpec {
        let row = |name, description| MetricSpec { name, label: "kind", description };
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

/// Upper bounds of the histogram buckets in seconds. They are dense around the usual latency objectives and
/// extend to the longest deadlines.
const BUCKET_BOUNDS_S: [f64; 12] = [0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0];

/// Description of a metric.
#[derive(Clone, Copy, Debug)]
pub struct MetricSpec {
    /// Name, without the `_total` that the exporter adds.
    pub name: &'static str,
    /// Name of its label.
    pub label: &'static str,
    /// Help text.
    pub description: &'static str,
}

impl Counter {
    /// Every counter.
    pub const ALL: [Counter; 36] = [
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
        Counter::RelayTunnels,
        Counter::RelayStreamsStopped,
        Counter::RelayOrigins,
        Counter::RelayCrashes,
        Counter::RelayQuarantine,
        Counter::RelayHotServers,
        Counter::RelayPlain,
        Counter::RelayShares,
        Counter::RelayReturns,
        Counter::RelayPauses,
        Counter::RelayStreamsCut,
        Counter::RelaySilences,
        Counter::RelayUnacked,
        Counter::RelayRounds,
        Counter::RelayConnections,
    ];

    /// Returns the name, label and description; this is the table of counters.
    pub fn spec(self) -> MetricSpec {
        let row = |name, label, description| MetricSpec { name, label, description };
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
            Counter::RelayDatagrams => row(
                "relay_datagrams_dropped",
                "reason",
                "datagrams and lists of servers of hosts dropped, by reason",
            ),
            Counter::RelayEpochs => {
                row("relay_store_epochs", "heard", "epochs of the store but the one known, by meaning")
            }
            Counter::RelayTold => {
                row("relay_told", "what", "what backend servers said of themselves in answers")
            }
            Counter::RelayTunnels => {
                row("relay_tunnels", "outcome", "connections to backend servers through another host")
            }
            Counter::RelayStreamsStopped => {
                row("relay_streams_stopped", "reason", "broken streams that could not go on, by reason")
            }
            Counter::RelayOrigins => {
                row("relay_stream_origins", "what", "streams told of and asked about between hosts")
            }
            Counter::RelayCrashes => row(
                "relay_crashes",
                "what",
                "crashes of backend servers, and requests told of that were there",
            ),
            Counter::RelayQuarantine => {
                row("relay_quarantine", "change", "causes of crashes by what became of them")
            }
            Counter::RelayHotServers => {
                row("relay_hot_servers", "what", "reports of servers close to the load bound")
            }
            Counter::RelayPlain => {
                row("relay_plain", "what", "decisions for services whose servers report no load")
            }
            Counter::RelayShares => row(
                "relay_shares",
                "workspace",
                "requests to services short of capacity, by workspace's demand",
            ),
            Counter::RelayReturns => {
                row("relay_returns", "event", "refused callers told to return, and requests that returned")
            }
            Counter::RelayPauses => {
                row("relay_pauses", "cause", "pauses of streams longer than their routes allow, by cause")
            }
            Counter::RelayStreamsCut => {
                row("relay_streams_cut", "cause", "streams closed before their end, by state of the server")
            }
            Counter::RelaySilences => {
                row("relay_silences", "end", "silences of servers while requests waited, by their end")
            }
            Counter::RelayUnacked => {
                row("relay_unacked", "cause", "connections ended with unacknowledged bytes, by their state")
            }
            Counter::RelayRounds => row("relay_rounds", "task", "rounds of the background tasks"),
            Counter::RelayConnections => row(
                "relay_connections_closed",
                "connection",
                "connections closed at the bound on connections, by what they did",
            ),
        }
    }
}

/// The metrics of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    counters: Vec<CounterInstrument<u64>>,
    latencies: Vec<Histogram<f64>>,
    gauges: Vec<GaugeInstrument<f64>>,
}

impl Metrics {
    /// Creates all metrics.
    ///
    /// # Errors
    /// If the exporter can't be built.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .context("could not build the exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cranberrytally");
        let counter =
            |c: &Counter| meter.u64_counter(c.spec().name).with_description(c.spec().description).build();
        let counters = Counter::ALL.iter().map(counter).collect();
        let histogram = |l: &Latency| {
            let MetricSpec { name, description, .. } = l.spec();
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_boundaries(BUCKET_BOUNDS_S.to_vec())
                .build()
        };
        let latencies = Latency::ALL.iter().map(histogram).collect();
        let gauge = |g: &Gauge| meter.f64_gauge(g.spec().name).with_description(g.spec().description).build();
        let gauges = Gauge::ALL.iter().map(gauge).collect();
        Ok(Self { registry, provider, counters, latencies, gauges })
    }

    /// Adds `n` to a counter for the label value `value`.
    pub fn add(&self, counter: Counter, value: &'static str, n: u64) {
        self.counters[counter as usize].add(n, &[KeyValue::new(counter.spec().label, value)]);
    }

    /// Records a latency for the label value `value`.
    pub fn record(&self, latency: Latency, value: &'static str, took: Duration) {
        let label = KeyValue::new(latency.spec().label, value);
        self.latencies[latency as usize].record(took.as_secs_f64(), &[label]);
    }

    /// Sets a gauge for the label value `value`.
    pub fn set(&self, gauge: Gauge, value: impl Into<Value>, to: f64) {
        self.gauges[gauge as usize].record(to, &[KeyValue::new(gauge.spec().label, value)]);
    }

    /// Counts a request by outcome.
    pub fn request(&self, outcome: &'static str) {
        self.add(Counter::Requests, outcome, 1);
    }

    /// Counts a refusal by reason.
    pub fn refuse(&self, reason: &'static str) {
        self.add(Counter::Refusals, reason, 1);
    }

    /// Counts a retry by reason.
    pub fn retry(&self, reason: &'static str) {
        self.add(Counter::Retries, reason, 1);
    }

    /// Returns the totals of a counter by label value.
    pub fn totals(&self, counter: Counter) -> BTreeMap<String, u64> {
        let spec = counter.spec();
        let name_with_suffix = format!("{}_total", spec.name);
        let mut totals = BTreeMap::new();
        for family in self.registry.gather().iter().filter(|f| f.name() == name_with_suffix) {
            for metric in family.get_metric() {
                let value = metric.get_label().iter().find(|l| l.name() == spec.label);
                let value = value.map(|l| l.value().to_owned()).unwrap_or_default();
                totals.insert(value, metric.get_counter().get_value() as u64);
            }
        }
        totals
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// If the encoding fails.
    pub fn text(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather()).context("could not encode the metrics")
    }

    /// Shuts down the metrics provider.
    pub fn close(self) {
        let _ = self.provider.shutdown();
    }
}
