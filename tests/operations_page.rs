//! docs/OPERATIONS.md names every log line and every value of the relay's counters; docs/METRICS.md every histogram.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use cranberrytally::{
    metrics::{Counter, Gauge, Latency},
    relay::{
        attempts::{Failure, StopReason},
        datagram::DropReason,
        follow::StoreCall,
        outcome::Outcome,
        place::Reason,
        revision::EpochCheck,
        stream::StreamBreak,
        updates::ServerNotice,
    },
};

fn page(name: &str) -> String {
    fs::read_to_string(name).unwrap()
}

fn sources(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    let (dirs, files): (Vec<_>, Vec<_>) = entries.partition(|p| p.is_dir());
    files.into_iter().chain(dirs.iter().flat_map(|d| sources(d))).collect()
}

/// First words in quotes after each level of a line, such as `line(Level::Notable, "start", ..)`.
fn events() -> BTreeSet<String> {
    let mut files = sources(Path::new("src/relay"));
    files.extend(sources(Path::new("src/platform")));
    files.extend(["src/relay.rs", "src/platform.rs"].map(PathBuf::from));
    let mut found = BTreeSet::new();
    for file in files {
        let text = page(file.to_str().unwrap());
        for rest in ["Level::Notable, \"", "Level::Routine, \""].iter().flat_map(|w| text.split(w).skip(1)) {
            found.insert(rest.split('"').next().unwrap().to_owned());
        }
    }
    found
}

/// Backticked words in the first cells of the table below a heading.
fn documented(text: &str, heading: &str) -> BTreeSet<String> {
    let section = text.split(heading).nth(1).unwrap_or_else(|| panic!("no heading {heading}"));
    let section = section.split("\n#").next().unwrap();
    let cells = section.lines().filter(|l| l.starts_with("| `")).filter_map(|l| l.split('|').nth(1));
    cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).map(str::to_owned).collect()
}

fn names<T>(all: &[T], name: impl Fn(&T) -> &'static str) -> BTreeSet<String> {
    all.iter().map(|t| name(t).to_owned()).collect()
}

#[test]
fn every_log_line_is_documented() {
    let mut written = events();
    written.insert("lines_dropped".into());

    assert_eq!(documented(&page("docs/OPERATIONS.md"), "\n## Lines"), written);
}

#[test]
fn every_value_of_the_relays_counters_is_documented() {
    let text = page("docs/OPERATIONS.md");
    let values = [
        (Counter::RelayRequests, names(&Outcome::ALL, |o| o.as_str())),
        (Counter::RelayRetries, names(&Failure::ALL, |f| f.as_str())),
        (Counter::RelayStops, names(&StopReason::ALL, |s| s.as_str())),
        (Counter::RelayPlacements, names(&Reason::ALL, |w| w.as_str())),
        (Counter::RelayStreams, names(&StreamBreak::ALL, |a| a.as_str())),
        (Counter::RelayStoreCalls, names(&StoreCall::ALL, |a| a.as_str())),
        (Counter::RelayDatagrams, names(&DropReason::ALL, |f| f.as_str())),
        (Counter::RelayTold, names(&ServerNotice::ALL, |t| t.as_str())),
        (Counter::RelayEpochs, names(&EpochCheck::COUNTED, |h| h.as_str())),
    ];
    for (counter, expected) in values {
        let heading = format!("\n### `{}_total`", counter.spec().name);

        assert_eq!(documented(&text, &heading), expected, "{heading}");
    }
}

#[test]
fn every_histogram_is_documented() {
    let text = page("docs/METRICS.md");

    for latency in Latency::ALL {
        let spec = latency.spec();
        let row = format!("| `{}` | `{}` | {} |", spec.name, spec.label, spec.description);
        assert!(text.contains(&row), "docs/METRICS.md lacks this row:\n{row}");
    }
}

#[test]
fn every_gauge_is_documented() {
    let text = page("docs/METRICS.md");

    for gauge in Gauge::ALL {
        let spec = gauge.spec();
        let row = format!("| `{}` | `{}` | {} |", spec.name, spec.label, spec.description);
        assert!(text.contains(&row), "docs/METRICS.md lacks this row:\n{row}");
    }
}
