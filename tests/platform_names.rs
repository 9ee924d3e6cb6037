//! Names of the platform's interfaces occur only in its adapter.

use std::{fs, path::Path};

/// Names of headers and fields of the platform's interfaces.
const NAMES: [&str; 21] = [
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
    "server-brittle",
];

fn check(dir: &Path, violations: &mut Vec<String>) {
    for entry in fs::read_dir(dir).unwrap().map(|e| e.unwrap().path()) {
        if entry.ends_with("src/platform") || entry.ends_with("src/platform.rs") {
            continue;
        }
        if entry.is_dir() {
            check(&entry, violations);
            continue;
        }
        let text = fs::read_to_string(&entry).unwrap();
        let lower = text.to_lowercase();
        let listed = NAMES.iter().filter(|n| lower.contains(&n.to_lowercase()));
        violations.extend(listed.map(|n| format!("{}: {n}", entry.display())));
    }
}

#[test]
fn names_of_the_platform_occur_only_in_its_adapter() {
    let mut violations = Vec::new();

    check(Path::new("src"), &mut violations);

    assert_eq!(violations, Vec::<String>::new());
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
