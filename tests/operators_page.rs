//! docs/OPERATORS.md and docs/METRICS.md name every value of every counter, and the examples can be applied.

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

type Values = BTreeMap<String, BTreeSet<String>>;

/// Files whose literals are values of the one counter that they count.
const COUNTING: [(&str, Counter); 8] = [
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

fn total(counter: Counter) -> String {
    format!("{}_total", counter.spec().name)
}

/// Literals of one word that a match arm gives or a call passes on.
fn labels(source: &str) -> BTreeSet<String> {
    let is_word = |w: &str| !w.is_empty() && w.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let parts: Vec<_> = source.split('"').collect();
    let ends = ["=> ", "count(", ", "];
    let passed = |before: &str| ends.iter().any(|end| before.ends_with(end));
    let at = |i: &usize| passed(parts[i - 1]) && is_word(parts[*i]);
    (1..parts.len()).step_by(2).filter(at).map(|i| parts[i].to_owned()).collect()
}

/// Literals that are passed to `call` anywhere in `src`.
fn passed_to(call: &str) -> BTreeSet<String> {
    let words = |text: String| {
        let parts = text.split(call).skip(1).filter_map(|rest| rest.split('"').next().map(str::to_owned));
        parts.collect::<Vec<_>>()
    };
    sources(Path::new("src")).into_iter().flat_map(|file| words(page(file.to_str().unwrap()))).collect()
}

fn sources(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    let (dirs, files): (Vec<_>, Vec<_>) = entries.partition(|p| p.is_dir());
    files.into_iter().chain(dirs.iter().flat_map(|d| sources(d))).collect()
}

/// What the code counts, by counter.
fn counted() -> Values {
    let mut values = Values::new();
    let mut add = |counter, found: BTreeSet<String>| values.entry(total(counter)).or_default().extend(found);
    add(Counter::Refusals, ErrorKind::ALL.iter().map(|k| k.answer().code.to_owned()).collect());
    add(Counter::Retries, RetryReason::ALL.iter().map(|r| r.as_str().to_owned()).collect());
    add(Counter::Retries, passed_to(".retry(\""));
    add(Counter::Requests, passed_to(".request(\""));
    for (file, counter) in COUNTING {
        add(counter, labels(&page(file)));
    }
    values
}

/// First cells of the tables below a heading `### ` with the counter's name.
fn documented(text: &str) -> Values {
    let sections = text.split("\n### `").skip(1);
    let section = |s: &str| {
        let (name, rest) = s.split_once('`').unwrap();
        let rest = rest.split("\n## ").next().unwrap();
        let cells = rest.lines().filter_map(|l| l.strip_prefix("| `")?.split('`').next());
        (name.to_owned(), cells.map(str::to_owned).collect())
    };
    sections.map(section).collect()
}

/// Values of docs/METRICS.md, a line for each counter.
fn listed(text: &str) -> Values {
    let line = |l: &str| {
        let (name, values) = l.strip_prefix("- `")?.split_once("`: ")?;
        let values = values.split('`').skip(1).step_by(2).map(str::to_owned);
        Some((name.to_owned(), values.collect()))
    };
    text.lines().filter_map(line).collect()
}

#[test]
fn every_value_that_the_code_counts_is_explained() {
    let operators = documented(&page("docs/OPERATORS.md"));

    for (counter, values) in counted() {
        assert_eq!(operators.get(&counter), Some(&values), "{counter} in docs/OPERATORS.md");
    }
}

/// A retry is refused for the code of a kind of error. Which kinds can be met between two attempts is not a list in the
/// code; those of the retry policy itself are.
#[test]
fn refused_retries_are_explained_by_codes_of_errors() {
    let codes: BTreeSet<_> = ErrorKind::ALL.iter().map(|k| k.answer().code.to_owned()).collect();
    let policy =
        [ErrorKind::AttemptLimit, ErrorKind::RetryBudget, ErrorKind::DeadlinePassed, ErrorKind::EngineFailed];

    let values = &documented(&page("docs/OPERATORS.md"))["retries_refused_total"];

    assert!(values.is_subset(&codes), "{values:?}");
    assert!(policy.iter().all(|k| values.contains(k.answer().code)), "{values:?}");
}

#[test]
fn both_pages_have_the_same_values() {
    let operators = documented(&page("docs/OPERATORS.md"));
    let metrics = listed(&page("docs/METRICS.md"));

    assert_eq!(metrics, operators);
}

#[test]
fn every_counter_that_counts_by_words_has_its_files_watched() {
    let watched: BTreeSet<_> = COUNTING.iter().map(|(file, _)| Path::new(file).to_owned()).collect();
    let itself = Path::new("src/metrics.rs");
    for file in sources(Path::new("src")).into_iter().filter(|f| f != itself) {
        let text = page(file.to_str().unwrap());
        let adds = text.contains(".add(Counter::") || text.contains(".add(\n");
        let by_code =
            text.matches(".add(Counter::RetriesRefused").count() == text.matches(".add(Counter::").count();
        // The relay counts values of closed lists only, which tests/operations_page.rs compares with their page.
        let counted: Vec<_> =
            text.split(".add(Counter::").skip(1).filter_map(|call| call.split(';').next()).collect();
        let closed = file.starts_with("src/relay") && counted.iter().all(|call| !call.contains('"'));
        assert!(
            !adds || by_code || closed || watched.contains(&file),
            "{} counts words that no test watches",
            file.display()
        );
    }
}

fn fences(text: &str) -> Vec<String> {
    let parts = text.split("\n```").collect::<Vec<_>>();
    parts.iter().filter_map(|p| p.strip_prefix("yaml\n").map(str::to_owned)).collect()
}

#[test]
fn the_settings_of_the_page_are_accepted() {
    let text = page("docs/OPERATORS.md");
    let settings: Vec<_> = fences(&text).into_iter().filter(|f| f.contains("peer_listen:")).collect();

    assert_eq!(settings.len(), 1);
    Settings::parse(&settings[0]).unwrap();
}

/// A new operator copies the objects from the page and applies them. All must be taken, be of every kind, and form a fleet
/// in which the workspace's chats and the service have engines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_objects_of_the_page_can_be_applied() {
    let text = page("docs/OPERATORS.md");
    let objects: Vec<_> = fences(&text).into_iter().filter(|f| f.starts_with("kind:")).collect();
    let platform = std::sync::Arc::new(PlatformStandin::default());
    let listener = cranberrytally::standin::outside::loopback_listener().unwrap();
    let server = cranberrytally::http::Server::start(listener, 1, Default::default(), platform).unwrap();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("page-{}.yaml", std::process::id()));
    fs::write(&file, objects.join("\n---\n")).unwrap();
    let at = format!("--platform={}", server.addr());
    let run = |args: Vec<String>| {
        let work = move || Command::new(env!("CARGO_BIN_EXE_cranberrytally")).args(args).output().unwrap();
        tokio::task::spawn_blocking(work)
    };

    let applied =
        run(vec!["apply".into(), "-f".into(), file.to_str().unwrap().into(), at.clone()]).await.unwrap();
    let mut stored: Vec<AnyObject> = Vec::new();
    for kind in CONFIGURATION_KINDS {
        let out = run(vec!["get".into(), kind.into(), "-o".into(), "json".into(), at.clone()]).await.unwrap();
        let found: Vec<AnyObject> = serde_json::from_slice(&out.stdout).unwrap();
        assert!(!found.is_empty(), "the page has no example of {kind}");
        stored.extend(found);
    }
    let (catalog, faults) = Catalog::compile(1, &stored);

    assert_eq!(applied.status.code(), Some(0), "{}", String::from_utf8_lossy(&applied.stderr));
    assert!(faults.is_empty(), "{faults:?}");
    assert_eq!(catalog.pool("phrasebook", "phrase").map(|p| p.engines.len()).ok(), Some(1));
    assert_eq!(catalog.service("lessons").map(|s| s.engines.len()), Some(1));
    server.close();
}
