//! The story of one request, put together from the log lines of several hosts.
//!
//! Shown are the request's own lines in order, and before each the changes of belief that its host made about the
//! backend servers named there, its peers, the store and the configuration in the seconds before.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Changes of belief this long before a request's first line still count as its context, in milliseconds.
const CONTEXT_MS: u64 = 10_000;

/// Events that tell what a host believes from then on.
const BELIEFS: [&str; 22] = [
    "start",
    "stop",
    "leaving",
    "reload",
    "configuration",
    "backend",
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
    /// Parses a line; what stands before the object, such as a time that a collector added, is passed over.
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

    fn is_of(&self, id: &str) -> bool {
        self.text("request") == id
    }

    /// Whether the entry tells what `host` believed of something that matters to a request.
    fn is_context(&self, hosts: &BTreeSet<&str>, backends: &BTreeSet<&str>) -> bool {
        let about_backend = matches!(
            self.event.as_str(),
            "backend" | "avoided" | "taken_back" | "told_leaving" | "told_pause"
        );
        let matters = !about_backend || backends.contains(self.text("backend"));
        BELIEFS.contains(&self.event.as_str()) && hosts.contains(&*self.host) && matters
    }

    fn show(&self, start: u64) -> String {
        let at = self.t as i128 - start as i128;
        let fields = self.fields.iter().filter(|(key, _)| *key != "request");
        let fields: Vec<_> = fields.map(|(key, value)| format!("{key}={}", plain(value))).collect();
        format!("{at:>8} ms  {:<16} {:<16} {}", self.host, self.event, fields.join(" "))
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// The story of the request `id`; `None` where no line names it.
pub fn explain(id: &str, lines: impl IntoIterator<Item = String>) -> Option<String> {
    let mut entries: Vec<_> = lines.into_iter().filter_map(|l| Entry::parse(&l)).collect();
    entries.sort_by_key(|e| e.t);
    let own: Vec<_> = entries.iter().filter(|e| e.is_of(id)).collect();
    let (first, last) = (own.first()?, own.last()?);
    let hosts: BTreeSet<_> = own.iter().map(|e| &*e.host).collect();
    let backends: BTreeSet<_> =
        own.iter().flat_map(|e| [e.text("backend"), e.text("fetches")]).filter(|b| !b.is_empty()).collect();
    let span = first.t.saturating_sub(CONTEXT_MS)..=last.t;
    let shown = entries.iter().filter(|e| span.contains(&e.t));
    let shown = shown.filter(|e| e.is_of(id) || e.is_context(&hosts, &backends));
    let mut story = format!("request {id}, times from its first line\n");
    for entry in shown {
        let mark = if entry.is_of(id) { '>' } else { ' ' };
        story += &format!("{mark} {}\n", entry.show(first.t));
    }
    story += &format!("end: {}\n", cause(&own, &entries));
    Some(story)
}

/// One sentence on how the request ended and what decided that.
fn cause(own: &[&Entry], all: &[Entry]) -> String {
    let failed = own.iter().rev().find(|e| e.event == "attempt_failed");
    let because = failed.map_or_else(String::new, |e| {
        format!(
            "; its last failed attempt: {} at {}, then {}",
            e.text("failure"),
            e.text("backend"),
            e.text("next")
        )
    });
    let last = own.iter().rev().find(|e| {
        ["answered", "given_up", "refused", "stream_cut", "caller_left"].contains(&e.event.as_str())
    });
    match last.map(|e| (e.event.as_str(), *e)) {
        Some(("answered", e)) => format!("a server's answer went out ({})", shown_status(e)) + &because,
        Some(("given_up", e)) => format!("given up as {}, {}{because}", e.text("kind"), e.text("ran")),
        Some(("refused", e)) => format!("refused as {} before any attempt", e.text("kind")),
        Some(("stream_cut", e)) => format!("its stream was cut: {}{because}", e.text("failure")),
        Some((_, e)) => format!("its caller left first, {}{because}", waiting_for(own, e.t)),
        None => format!("no line tells, {}{because}", last_of_host(own, all)),
    }
}

/// What the request was waiting for at a time.
fn waiting_for(own: &[&Entry], t: u64) -> String {
    let Some(sent) = own.iter().rev().find(|e| e.event == "sent") else {
        return "before it was sent to a server".into();
    };
    let (server, waited) = (sent.text("backend"), t.saturating_sub(sent.t));
    match own.iter().rev().find(|e| e.event == "first_event" && e.t >= sent.t) {
        Some(event) => format!("{} ms after the first event of {server}", t.saturating_sub(event.t)),
        None => format!("when {server} had not answered for {waited} ms"),
    }
}

/// Whether the request's host started again after its last line, so that the request ended with the process.
fn last_of_host(own: &[&Entry], all: &[Entry]) -> String {
    let Some(last) = own.last() else { return "and no host is known".into() };
    let next = all.iter().find(|e| e.event == "start" && e.host == last.host && e.t > last.t);
    match next {
        Some(start) => {
            format!("and {} was started again {} ms after its last line", last.host, start.t - last.t)
        }
        None => format!("and {} has no later start: it may be gone, or the lines end there", last.host),
    }
}

fn shown_status(e: &Entry) -> String {
    match e.fields.get("status") {
        Some(status) => format!("status {status}"),
        None => format!("{} events", e.fields.get("events").map_or("0".into(), plain)),
    }
}
