//! Tests that docs/OPERATORS.md and docs/METRICS.md document every label value of every counter, and that the examples in
//! docs/OPERATORS.md are valid.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use cranberrytally::{
    catalog::{AnyObject, Catalog},
    config::Settings,
    error::ErrorKind,
    metrics::Counter,
    objects::CONFIGURATION_KINDS,
    retry::RetryReason,
    standin::platform::PlatformStandin,
};

/// Label values by metric name.
type Values = BTreeMap<String, BTreeSet<String>>;

/// Source files with the counter whose label values their literals are.
const COUNTER_SOURCES: [(&str, Counter); 8] = [
    ("src/gateway/relay/events.rs", Counter::Streams),
    ("src/stream.rs", Counter::Streams),
    ("src/gateway/claim.rs", Counter::Claims),
    ("src/gateway/place.rs", Counter::Placements),
    ("src/order/run.rs", Counter::Orders),
    ("src/objects/calls.rs", Counter::PlatformCalls),
    ("src/gossip.rs", Counter::ControlBytes),
    ("src/member/packet.rs", Counter::DatagramsDropped),
];

fn page(name: &str) -> String {
    fs::read_to_string(name).unwrap()
}

/// Name of a counter's metric.
fn metric_name(counter: Counter) -> String {
    format!("{}_total", counter.spec().name)
}

/// Single-word literals that a match arm returns or that are arguments of a call.
fn label_literals(source: &str) -> BTreeSet<String> {
    let is_word = |w: &str| !w.is_empty() && w.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let parts: Vec<_> = source.split('"').collect();
    let prefixes = ["=> ", "count(", ", "];
    let is_label = |before: &str| prefixes.iter().any(|prefix| before.ends_with(prefix));
    let is_match = |i: &usize| is_label(parts[i - 1]) && is_word(parts[*i]);
    (1..parts.len()).step_by(2).filter(is_match).map(|i| parts[i].to_owned()).collect()
}

/// Literals that follow `call` anywhere in `src`.
fn literals_after(call: &str) -> BTreeSet<String> {
    let literals = |text: String| {
        let parts = text.split(call).skip(1).filter_map(|rest| rest.split('"').next().map(str::to_owned));
        parts.collect::<Vec<_>>()
    };
    sources(Path::new("src")).into_iter().flat_map(|file| literals(page(file.to_str().unwrap()))).collect()
}

/// All files below a folder.
fn sources(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    let (dirs, files): (Vec<_>, Vec<_>) = entries.partition(|p| p.is_dir());
    files.into_iter().chain(dirs.iter().flat_map(|d| sources(d))).collect()
}

/// Label values that the code counts.
fn counted_values() -> Values {
    let mut values = Values::new();
    let mut add =
        |counter, found: BTreeSet<String>| values.entry(metric_name(counter)).or_default().extend(found);
    add(Counter::Refusals, ErrorKind::ALL.iter().map(|k| k.answer().code.to_owned()).collect());
    add(Counter::Retries, RetryReason::ALL.iter().map(|r| r.as_str().to_owned()).collect());
    add(Counter::Retries, literals_after(".retry(\""));
    add(Counter::Requests, literals_after(".request(\""));
    for (file, counter) in COUNTER_SOURCES {
        add(counter, label_literals(&page(file)));
    }
    values
}

/// Label values documented in docs/OPERATORS.md: the first column of the table below each counter's `### ` heading.
fn values_in_tables(text: &str) -> Values {
    let sections = text.split("\n### `").skip(1);
    let section = |s: &str| {
        let (name, rest) = s.split_once('`').unwrap();
        let rest = rest.split("\n## ").next().unwrap();
        let cells = rest.lines().filter_map(|l| l.strip_prefix("| `")?.split('`').next());
        (name.to_owned(), cells.map(str::to_owned).collect())
    };
    sections.map(section).collect()
}

/// Label values documented in docs/METRICS.md, one list item for each counter.
fn values_in_list(text: &str) -> Values {
    let line = |l: &str| {
        let (name, values) = l.strip_prefix("- `")?.split_once("`: ")?;
        let values = values.split('`').skip(1).step_by(2).map(str::to_owned);
        Some((name.to_owned(), values.collect()))
    };
    text.lines().filter_map(line).collect()
}

#[test]
fn every_counted_value_is_documented() {
    let operators = values_in_tables(&page("docs/OPERATORS.md"));

    for (counter, values) in counted_values() {
        assert_eq!(operators.get(&counter), Some(&values), "{counter} in docs/OPERATORS.md");
    }
}

/// Guards against refusal reasons of retries that are not error codes or that lack a code of the retry policy. The code has
/// no list of the other errors that can occur between two attempts.
#[test]
fn refused_retries_are_documented_by_error_code() {
    let codes: BTreeSet<_> = ErrorKind::ALL.iter().map(|k| k.answer().code.to_owned()).collect();
    let policy =
        [ErrorKind::AttemptLimit, ErrorKind::RetryBudget, ErrorKind::DeadlinePassed, ErrorKind::EngineFailed];

    let values = &values_in_tables(&page("docs/OPERATORS.md"))["retries_refused_total"];

    assert!(values.is_subset(&codes), "{values:?}");
    assert!(policy.iter().all(|k| values.contains(k.answer().code)), "{values:?}");
}

#[test]
fn both_pages_document_the_same_values() {
    let operators = values_in_tables(&page("docs/OPERATORS.md"));
    let metrics = values_in_list(&page("docs/METRICS.md"));

    assert_eq!(metrics, operators);
}

#[test]
fn every_file_that_counts_literals_is_checked() {
    let checked: BTreeSet<_> = COUNTER_SOURCES.iter().map(|(file, _)| Path::new(file).to_owned()).collect();
    let metrics_source = Path::new("src/metrics.rs");
    for file in sources(Path::new("src")).into_iter().filter(|f| f != metrics_source) {
        let text = page(file.to_str().unwrap());
        let counts = text.contains(".add(Counter::") || text.contains(".add(\n");
        let only_error_codes =
            text.matches(".add(Counter::RetriesRefused").count() == text.matches(".add(Counter::").count();
        // The relay counts values of enums only, which tests/operations_page.rs compares with docs/OPERATIONS.md.
        let calls: Vec<_> =
            text.split(".add(Counter::").skip(1).filter_map(|call| call.split(';').next()).collect();
        let only_enums = file.starts_with("src/relay") && calls.iter().all(|call| !call.contains('"'));
        assert!(
            !counts || only_error_codes || only_enums || checked.contains(&file),
            "{} counts literals that no test compares with the documentation",
            file.display()
        );
    }
}

/// YAML code blocks of a page.
fn yaml_blocks(text: &str) -> Vec<String> {
    let parts = text.split("\n```").collect::<Vec<_>>();
    parts.iter().filter_map(|p| p.strip_prefix("yaml\n").map(str::to_owned)).collect()
}

#[test]
fn the_example_settings_are_valid() {
    let text = page("docs/OPERATORS.md");
    let settings: Vec<_> = yaml_blocks(&text).into_iter().filter(|f| f.contains("peer_listen:")).collect();

    assert_eq!(settings.len(), 1);
    Settings::parse(&settings[0]).unwrap();
}

/// Guards against examples that an operator copies from the page but that can't be applied, lack a kind of object, or leave
/// the workspace's chats or the service without engines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_example_objects_can_be_applied() {
    let text = page("docs/OPERATORS.md");
    let objects: Vec<_> = yaml_blocks(&text).into_iter().filter(|f| f.starts_with("kind:")).collect();
    let platform = std::sync::Arc::new(PlatformStandin::default());
    let listener = cranberrytally::standin::outside::loopback_listener().unwrap();
    let server = cranberrytally::http::Server::start(listener, 1, Default::default(), platform).unwrap();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("page-{}.yaml", std::process::id()));
    fs::write(&file, objects.join("\n---\n")).unwrap();
    let platform_arg = format!("--platform={}", server.addr());
    let run = |args: Vec<String>| {
        let work = move || Command::new(env!("CARGO_BIN_EXE_cranberrytally")).args(args).output().unwrap();
        tokio::task::spawn_blocking(work)
    };

    let applied = run(vec!["apply".into(), "-f".into(), file.to_str().unwrap().into(), platform_arg.clone()])
        .await
        .unwrap();
    let mut stored: Vec<AnyObject> = Vec::new();
    for kind in CONFIGURATION_KINDS {
        let out = run(vec!["get".into(), kind.into(), "-o".into(), "json".into(), platform_arg.clone()])
            .await
            .unwrap();
        let found: Vec<AnyObject> = serde_json::from_slice(&out.stdout).unwrap();
        assert!(!found.is_empty(), "the page has no example of {kind}");
        stored.extend(found);
    }
    let (catalog, problems) = Catalog::compile(1, &stored);

    assert_eq!(applied.status.code(), Some(0), "{}", String::from_utf8_lossy(&applied.stderr));
    assert!(problems.is_empty(), "{problems:?}");
    assert_eq!(catalog.pool("phrasebook", "phrase").map(|p| p.engines.len()).ok(), Some(1));
    assert_eq!(catalog.service("lessons").map(|s| s.engines.len()), Some(1));
    server.close();
}
