//! The platform's names stand in its adapter only.

use std::{fs, path::Path};

/// Names of headers and fields that belong to the platform's interfaces.
const NAMES: [&str; 20] = [
    "attempt-id",
    "expected-instance",
    "not-executed",
    "response-seal",
    "server-load",
    "prefix-hash",
    "kv-fetch",
    "request-deadline",
    "pathPrefix",
    "trafficSplit",
    "sessionAffinity",
    "streamResume",
    "maxAttempts",
    "authExempt",
    "targetLatencyMs",
    "coldRemainingMs",
    "platformConfig",
    "internalPortRange",
    "store-era",
    "server-leaving",
];

fn check(dir: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(dir).unwrap().map(|e| e.unwrap().path()) {
        if entry.ends_with("src/platform") || entry.ends_with("src/platform.rs") {
            continue;
        }
        if entry.is_dir() {
            check(&entry, found);
            continue;
        }
        let text = fs::read_to_string(&entry).unwrap();
        let lower = text.to_lowercase();
        let named = NAMES.iter().filter(|n| lower.contains(&n.to_lowercase()));
        found.extend(named.map(|n| format!("{}: {n}", entry.display())));
    }
}

#[test]
fn no_name_of_the_platform_stands_outside_its_adapter() {
    let mut found = Vec::new();

    check(Path::new("src"), &mut found);

    assert_eq!(found, Vec::<String>::new());
}

#[test]
fn the_adapter_is_small() {
    let lines = |path: &str| fs::read_to_string(path).unwrap().lines().count();
    let files =
        ["src/platform.rs", "src/platform/names.rs", "src/platform/settings.rs", "src/platform/store.rs"];
    let adapter: usize =
        files.iter().chain(&["src/platform/wire.rs", "src/platform/store/forms.rs"]).map(|f| lines(f)).sum();

    assert!(adapter < 1_200, "{adapter} lines");
}
