//! Settings: all errors of a file are reported together with line and key, and the schema, the validation and the
//! README agree with the table of settings.

use std::collections::BTreeSet;

use cranberrytally::{
    config::{FIELDS, Settings, ValueType, validate},
    schema::settings as raw,
};

const GOOD: &str = "name: r1
listen: 127.0.0.1:8000
peer_listen: 127.0.0.1:8001
data_centre: poa-a
region: poa
platform: 127.0.0.1:9000
shared_key: secret
";

fn with(lines: &str) -> String {
    format!("{GOOD}{lines}")
}

#[test]
fn omitted_settings_get_their_defaults() {
    let cfg = Settings::parse(GOOD).unwrap();

    assert_eq!(&*cfg.name, "r1");
    assert_eq!(cfg.max_body_bytes, 1 << 20);
    assert_eq!(&*cfg.log_level, "info");
}

#[test]
fn invalid_settings_are_reported_with_line_and_key() {
    let cases = [
        ("limits:\n  body_ms: 5\n", "line 9, `limits.body_ms`: 5 is outside 100..300000"),
        ("limits:\n  body_ms: -5\n", "line 9, `limits.body_ms`: -5 is not a non-negative integer"),
        ("limits:\n  body_ms: soon\n", "line 9, `limits.body_ms`: is not a number"),
        ("limits:\n  bodyms: 5\n", "line 9, `limits.bodyms`: is not a known setting"),
        ("limits: 5\n", "line 8, `limits`: is a section of settings and takes no value"),
        ("seeds: 127.0.0.1:1\n", "line 8, `seeds`: is not a list"),
        ("seeds: [localhost]\n", "line 8, `seeds`: \"localhost\" is not an IP address and port"),
        ("log: { level: loud }\n", "line 8, `log.level`: \"loud\" is not one of info, trace"),
        ("http_threads:\n", "line 8, `http_threads`: has no value"),
        ("http_threads: 2.5\n", "line 8, `http_threads`: 2.5 is not a non-negative integer"),
    ];
    for (lines, want) in cases {
        let found = validate(&with(lines)).unwrap();

        assert_eq!(found.len(), 1, "{lines}: {found:?}");
        assert!(found[0].to_string().starts_with(want), "{lines}: {}", found[0]);
    }
}

#[test]
fn all_errors_are_reported_together() {
    let found = validate("name: 5\nlisten: here\nwhat: 1\n").unwrap();

    let keys: Vec<_> = found.iter().map(|f| (f.line, f.key.as_str())).collect();
    let missing = ["peer_listen", "data_centre", "region", "platform", "shared_key"].map(|k| (0, k));
    assert_eq!(keys, [&missing[..], &[(1, "name"), (2, "listen"), (3, "what")]].concat());
}

#[test]
fn text_that_is_not_a_mapping_is_an_error() {
    for text in ["- a\n", "name: [\n", "name: a\nname: b\n", ""] {
        assert!(Settings::parse(text).is_err(), "{text:?}");
    }
}

#[test]
fn the_table_lists_exactly_the_fields_of_the_schema() {
    let full = raw::Settings {
        http_threads: Some(1),
        limits: Some(raw::Limits {
            body_bytes: Some(1),
            body_ms: Some(1),
            head_ms: Some(1),
            bodies_bytes: Some(1),
        }),
        log: Some(raw::Log { level: Some("info".into()), format: Some("text".into()) }),
        gossip: Some(raw::Gossip { bytes_per_second: Some(1), probe_bytes_per_second: Some(1) }),
        drain: Some(raw::Drain { answer_keep_ms: Some(1), longest_ms: Some(1) }),
        orders: Some(raw::Orders { loads_per_minute: Some(1) }),
        ..Default::default()
    };

    let mut keys = BTreeSet::new();
    collect("", &serde_json::to_value(full).unwrap(), &mut keys);

    assert_eq!(keys, FIELDS.iter().map(|f| f.key.to_owned()).collect());
}

fn collect(prefix: &str, value: &serde_json::Value, keys: &mut BTreeSet<String>) {
    for (name, value) in value.as_object().unwrap() {
        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        assert!(!value.is_null(), "{key} is not filled in by this test");
        match value {
            serde_json::Value::Object(_) => collect(&key, value, keys),
            _ => drop(keys.insert(key)),
        }
    }
}

#[test]
fn the_readme_shows_the_table() {
    let readme = std::fs::read_to_string("README.md").unwrap();

    for f in FIELDS {
        let unit = if f.unit.is_empty() { String::new() } else { format!(" {}", f.unit) };
        let default = f.default_text();
        let unit = if matches!(f.value_type, ValueType::Number(..)) { unit } else { String::new() };
        let row = format!("| `{}` | {default}{unit} | {} | {} |", f.key, f.range_text(), f.description);
        assert!(readme.contains(&row), "README.md does not contain this row:\n{row}");
    }
}
