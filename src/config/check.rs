//! Checks a settings file against the table and lists all that is wrong with it.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use serde_saphyr::Spanned;

use super::{
    fields::{FIELDS, Takes, find},
    tree::{Node, Section},
};

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1; 0 where a key is missing.
    pub line: u64,
    /// Key.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "`{}`: {}", self.key, self.what),
            line => write!(f, "line {line}, `{}`: {}", self.key, self.what),
        }
    }
}

/// Values of a file by key.
pub(super) type Values = BTreeMap<String, Spanned<Node>>;

/// Flattens `root` to values by key, and lists all that is wrong.
pub(super) fn check(root: Section) -> (Values, Vec<Fault>) {
    let mut values = Values::new();
    let mut faults = Vec::new();
    flatten("", root, &mut values, &mut faults);
    for (key, value) in &values {
        if let Some(what) = find(key).and_then(|f| wrong(f.takes, &value.value)) {
            faults.push(Fault { line: value.referenced.line(), key: key.clone(), what });
        }
    }
    for f in FIELDS {
        let required = matches!(f.takes, Takes::Text | Takes::Address);
        if required && !values.contains_key(f.key) {
            faults.push(Fault { line: 0, key: f.key.into(), what: "is missing".into() });
        }
    }
    faults.sort_by_key(|f| f.line);
    (values, faults)
}

fn flatten(prefix: &str, section: Section, values: &mut Values, faults: &mut Vec<Fault>) {
    for (name, value) in section {
        let key = if prefix.is_empty() { name } else { format!("{prefix}.{name}") };
        if find(&key).is_some() {
            values.insert(key, value);
            continue;
        }
        let known_section = FIELDS.iter().any(|f| f.key.starts_with(&format!("{key}.")));
        let line = value.referenced.line();
        match value.value {
            Node::Section(inner) if known_section => flatten(&key, inner, values, faults),
            Node::Empty if known_section => {}
            _ if known_section => {
                faults.push(Fault { line, key, what: "holds settings, not a value".into() })
            }
            _ => faults.push(Fault { line, key, what: "is no setting".into() }),
        }
    }
}

fn wrong(takes: Takes, node: &Node) -> Option<String> {
    match (takes, node) {
        (_, Node::Empty) => Some("has no value".into()),
        (Takes::Text, Node::Text(s)) => s.is_empty().then(|| "must not be empty".into()),
        (Takes::Text, Node::Number(_)) => Some("is a number; put it in quotes".into()),
        (Takes::Text, _) => Some("is no text".into()),
        (Takes::Address, Node::Text(s)) => bad_address(s),
        (Takes::Address, _) => Some("is no IP address and port".into()),
        (Takes::Addresses, Node::List(list)) => list.iter().find_map(|n| wrong(Takes::Address, &n.value)),
        (Takes::Addresses, _) => Some("is no list".into()),
        (Takes::Number(_, least, most), Node::Number(n)) => {
            (!(least..=most).contains(n)).then(|| format!("{n} is outside {least}..{most}"))
        }
        (Takes::Number(..), Node::OtherNumber(s)) => Some(format!("{s} is no whole number from 0 up")),
        (Takes::Number(..), _) => Some("is no number".into()),
        (Takes::OneOf(words), Node::Text(s)) => {
            (!words.contains(&s.as_str())).then(|| format!("{s:?} is none of {}", words.join(", ")))
        }
        (Takes::OneOf(words), _) => Some(format!("is none of {}", words.join(", "))),
    }
}

fn bad_address(text: &str) -> Option<String> {
    text.parse::<SocketAddr>().err().map(|_| format!("{text:?} is no IP address and port"))
}
