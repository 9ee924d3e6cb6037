//! Tests that docs/OPERATIONS.md documents every log event and every label value of the relay's counters, and docs/METRICS.md
//! every histogram and gauge.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use cranberrytally::{
    metrics::{Counter, Gauge, Latency},
    relay::{
        attempts::{Failure, StopReason},
        crash_reports::CrashNews,
        crashes::quarantine::Event,
        cut::CutCause,
        datagram::DropReason,
        exchange::OriginTraffic,
        follow::StoreCall,
        hold::SilenceEnd,
        hot_servers::ReportUse,
        origins::Discontinued,
        outcome::Outcome,
        pace_reports::PauseCause,
        place::Reason,
        plain::hooks::PlainEvent,
        returns,
        revision::EpochCheck,
        rounds::Task,
        server_socket::UnackedCause,
        shares::ShareCounts,
        stream::StreamBreak,
        tunnel::TunnelOutcome,
        updates::ServerNotice,
    },
};

fn page(name: &str) -> String {
    fs::read_to_string(name).unwrap()
}

/// All files below a folder.
fn sources(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    let (dirs, files): (Vec<_>, Vec<_>) = entries.partition(|p| p.is_dir());
    files.into_iter().chain(dirs.iter().flat_map(|d| sources(d))).collect()
}

/// Names of the log events in the source: the literal after each level, as in `line(Level::Notable, "start", ..)`.
fn log_events() -> BTreeSet<String> {
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

/// Names in backticks in the first column of the table below a heading.
fn documented_names(text: &str, heading: &str) -> BTreeSet<String> {
    let section = text.split(heading).nth(1).unwrap_or_else(|| panic!("no heading {heading}"));
    let section = section.split("\n#").next().unwrap();
    let cells = section.lines().filter(|l| l.starts_with("| `")).filter_map(|l| l.split('|').nth(1));
    cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).map(str::to_owned).collect()
}

/// Label values of all variants of a type.
fn label_values<T>(all: &[T], name: impl Fn(&T) -> &'static str) -> BTreeSet<String> {
    all.iter().map(|t| name(t).to_owned()).collect()
}

#[test]
fn every_log_event_is_documented() {
    let mut logged = log_events();
    logged.insert("lines_dropped".into());

    assert_eq!(documented_names(&page("docs/OPERATIONS.md"), "\n## Lines"), logged);
}

#[test]
fn every_value_of_the_relays_counters_is_documented() {
    let text = page("docs/OPERATIONS.md");
    let values = [
        (Counter::RelayRequests, label_values(&Outcome::ALL, |o| o.as_str())),
        (Counter::RelayRetries, label_values(&Failure::ALL, |f| f.as_str())),
        (Counter::RelayStops, label_values(&StopReason::ALL, |s| s.as_str())),
        (Counter::RelayPlacements, label_values(&Reason::ALL, |w| w.as_str())),
        (Counter::RelayStreams, label_values(&StreamBreak::ALL, |a| a.as_str())),
        (Counter::RelayStoreCalls, label_values(&StoreCall::ALL, |a| a.as_str())),
        (Counter::RelayDatagrams, label_values(&DropReason::ALL, |f| f.as_str())),
        (Counter::RelayTold, label_values(&ServerNotice::ALL, |t| t.as_str())),
        (Counter::RelayStreamsCut, label_values(&CutCause::ALL, |c| c.as_str())),
        (Counter::RelaySilences, label_values(&SilenceEnd::ALL, |e| e.as_str())),
        (Counter::RelayRounds, label_values(&Task::ALL, |t| t.as_str())),
        (Counter::RelayUnacked, label_values(&UnackedCause::ALL, |c| c.as_str())),
        (Counter::RelayStreamsStopped, label_values(&Discontinued::ALL, |d| d.as_str())),
        (Counter::RelayOrigins, label_values(&OriginTraffic::ALL, |t| t.as_str())),
        (Counter::RelayCrashes, label_values(&CrashNews::ALL, |n| n.as_str())),
        (Counter::RelayPauses, label_values(&PauseCause::ALL, |c| c.as_str())),
        (Counter::RelayQuarantine, label_values(&Event::ALL, |e| e.as_str())),
        (Counter::RelayHotServers, label_values(&ReportUse::ALL, |u| u.as_str())),
        (Counter::RelayPlain, label_values(&PlainEvent::ALL, |e| e.as_str())),
        (Counter::RelayReturns, label_values(&returns::Event::ALL, |e| e.as_str())),
        (Counter::RelayTunnels, label_values(&TunnelOutcome::ALL, |t| t.as_str())),
        (Counter::RelayShares, label_values(&ShareCounts::LABELS, |label| label)),
        (Counter::RelayEpochs, label_values(&EpochCheck::COUNTED, |h| h.as_str())),
    ];
    for (counter, expected) in values {
        let heading = format!("\n### `{}_total`", counter.spec().name);

        assert_eq!(documented_names(&text, &heading), expected, "{heading}");
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
