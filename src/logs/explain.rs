//! Timeline of one request, assembled from the log lines of several hosts.
//!
//! It contains the request's own log lines and the state changes on the same hosts that may have affected the request:
//! those of the backend servers involved, of peers, the store and the configuration, from a few seconds before the
//! request until its end.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// State changes are included from this long before a request's first line.
const CONTEXT_WINDOW_MS: u64 = 10_000;

/// Events that report a change of a host's state.
const STATE_EVENTS: [&str; 26] = [
    "start",
    "stop",
    "leaving",
    "reload",
    "configuration",
    "backend",
    "versions",
    "avoided",
    "taken_back",
    "peer",
    "store_lost",
    "store_back",
    "history_gone",
    "older_ignored",
    "store_epoch",
    "unconfirmed",
    "confirmed",
    "confirm_failed",
    "watch_deaf",
    "told_leaving",
    "told_pause",
    "brittle",
    "crash",
    "quarantine",
    "fetch_failed",
    "lines_dropped",
];

#[derive(Clone, Debug)]
struct Entry {
    t: u64,
    host: String,
    event: String,
    fields: Map<String, Value>,
}

impl Entry {
    /// Parses a log line. Text before the JSON object, such as a timestamp added by a log collector, is ignored.
    fn parse(line: &str) -> Option<Self> {
        let mut fields: Map<String, Value> = serde_json::from_str(line[line.find('{')?..].trim_end()).ok()?;
        let t = fields.remove("t")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        let host = fields.remove("host").and_then(|h| h.as_str().map(str::to_owned)).unwrap_or_default();
        Some(Self { t, host, event, fields })
    }

    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    fn is_about(&self, id: &str) -> bool {
        self.text("request") == id
    }

    /// Whether the entry is a state change on one of `hosts` that may have affected a request sent to `backends`.
    fn is_context(&self, hosts: &BTreeSet<&str>, backends: &BTreeSet<&str>) -> bool {
        let about_backend = matches!(
            self.event.as_str(),
            "backend" | "avoided" | "taken_back" | "told_leaving" | "told_pause" | "crash"
        );
        let is_relevant = !about_backend || backends.contains(self.text("backend"));
        STATE_EVENTS.contains(&self.event.as_str()) && hosts.contains(&*self.host) && is_relevant
    }

    fn format(&self, start: u64) -> String {
        let at = self.t as i128 - start as i128;
        let fields = self.fields.iter().filter(|(key, _)| *key != "request");
        let fields: Vec<_> = fields.map(|(key, value)| format!("{key}={}", format_value(value))).collect();
        format!("{at:>8} ms  {:<16} {:<16} {}", self.host, self.event, fields.join(" "))
    }
}

fn format_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Returns the timeline of the request `id`; `None` if no line contains it.
pub fn explain(id: &str, lines: impl IntoIterator<Item = String>) -> Option<String> {
    let mut entries: Vec<_> = lines.into_iter().filter_map(|l| Entry::parse(&l)).collect();
    entries.sort_by_key(|e| e.t);
    let request_lines: Vec<_> = entries.iter().filter(|e| e.is_about(id)).collect();
    let (first, last) = (request_lines.first()?, request_lines.last()?);
    let hosts: BTreeSet<_> = request_lines.iter().map(|e| &*e.host).collect();
    let backends: BTreeSet<_> = request_lines
        .iter()
        .flat_map(|e| [e.text("backend"), e.text("fetches")])
        .filter(|b| !b.is_empty())
        .collect();
    let span = first.t.saturating_sub(CONTEXT_WINDOW_MS)..=last.t;
    let shown = entries.iter().filter(|e| span.contains(&e.t));
    let shown = shown.filter(|e| e.is_about(id) || e.is_context(&hosts, &backends));
    let mut timeline = format!("request {id}, times from its first line\n");
    for entry in shown {
        let mark = if entry.is_about(id) { '>' } else { ' ' };
        timeline += &format!("{mark} {}\n", entry.format(first.t));
    }
    timeline += &format!("end: {}\n", describe_end(&request_lines, &entries));
    Some(timeline)
}

/// Returns one sentence that says how and why the request ended.
fn describe_end(request_lines: &[&Entry], all: &[Entry]) -> String {
    let failed = request_lines.iter().rev().find(|e| e.event == "attempt_failed");
    let because = failed.map_or_else(String::new, |e| {
        format!(
            "; its last failed attempt: {} at {}, then {}",
            e.text("failure"),
            e.text("backend"),
            e.text("next")
        )
    });
    let last = request_lines.iter().rev().find(|e| {
        ["answered", "given_up", "refused", "quarantined", "stream_cut", "caller_left"]
            .contains(&e.event.as_str())
    });
    match last.map(|e| (e.event.as_str(), *e)) {
        Some(("answered", e)) => format!("a server's answer went out ({})", format_result(e)) + &because,
        Some(("given_up", e)) => format!("given up as {}, {}{because}", e.text("kind"), e.text("ran")),
        Some(("quarantined", e)) => {
            format!("refused, since requests with {} {} crash servers", e.text("part"), e.text("cause"))
        }
        Some(("refused", e)) => format!("refused as {} before any attempt", e.text("kind")),
        Some(("stream_cut", e)) => format!("its stream was cut: {}{because}", e.text("failure")),
        Some((_, e)) => format!("its caller left first, {}{because}", describe_wait(request_lines, e.t)),
        None => format!("no line tells, {}{because}", describe_host_restart(request_lines, all)),
    }
}

/// Describes what the request was waiting for at the time `t`.
fn describe_wait(request_lines: &[&Entry], t: u64) -> String {
    let Some(sent) = request_lines.iter().rev().find(|e| e.event == "sent") else {
        return "before it was sent to a server".into();
    };
    let (server, waited) = (sent.text("backend"), t.saturating_sub(sent.t));
    match request_lines.iter().rev().find(|e| e.event == "first_event" && e.t >= sent.t) {
        Some(event) => format!("{} ms after the first event of {server}", t.saturating_sub(event.t)),
        None => format!("when {server} had not answered for {waited} ms"),
    }
}

/// Describes whether the request's host restarted after its last line, in which case the request ended with the
/// process.
fn describe_host_restart(request_lines: &[&Entry], all: &[Entry]) -> String {
    let Some(last) = request_lines.last() else { return "and no host is known".into() };
    let next = all.iter().find(|e| e.event == "start" && e.host == last.host && e.t > last.t);
    match next {
        Some(start) => {
            format!("and {} was started again {} ms after its last line", last.host, start.t - last.t)
        }
        None => format!("and {} has no later start: it may be gone, or the lines end there", last.host),
    }
}

fn format_result(e: &Entry) -> String {
    match e.fields.get("status") {
        Some(status) => format!("status {status}"),
        None => format!("{} events", e.fields.get("events").map_or("0".into(), format_value)),
    }
}
