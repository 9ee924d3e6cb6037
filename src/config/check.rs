//! Validates a settings file against the table of settings and lists all errors.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use serde_saphyr::Spanned;

use super::{
    fields::{FIELDS, ValueType, find},
    tree::{Node, Section},
};

/// Error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Line number, starting at 1; 0 for a missing key.
    pub line: u64,
    /// Key of the setting.
    pub key: String,
    /// Error message.
    pub message: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "`{}`: {}", self.key, self.message),
            line => write!(f, "line {line}, `{}`: {}", self.key, self.message),
        }
    }
}

/// Values of a settings file by key.
pub(super) type Values = BTreeMap<String, Spanned<Node>>;

/// Flattens `root` to values by key; also returns all errors found.
pub(super) fn validate(root: Section) -> (Values, Vec<SettingError>) {
    let mut values = Values::new();
    let mut errors = Vec::new();
    flatten("", root, &mut values, &mut errors);
    for (key, value) in &values {
        if let Some(message) = find(key).and_then(|f| find_error(f.value_type, &value.value)) {
            errors.push(SettingError { line: value.referenced.line(), key: key.clone(), message });
        }
    }
    for f in FIELDS {
        let required = matches!(f.value_type, ValueType::Text | ValueType::Address);
        if required && !values.contains_key(f.key) {
            errors.push(SettingError { line: 0, key: f.key.into(), message: "is missing".into() });
        }
    }
    errors.sort_by_key(|f| f.line);
    (values, errors)
}

fn flatten(prefix: &str, section: Section, values: &mut Values, errors: &mut Vec<SettingError>) {
    for (name, value) in section {
        let key = if prefix.is_empty() { name } else { format!("{prefix}.{name}") };
        if find(&key).is_some() {
            values.insert(key, value);
            continue;
        }
        let is_section = FIELDS.iter().any(|f| f.key.starts_with(&format!("{key}.")));
        let line = value.referenced.line();
        match value.value {
            Node::Section(inner) if is_section => flatten(&key, inner, values, errors),
            Node::Empty if is_section => {}
            _ if is_section => errors.push(SettingError {
                line,
                key,
                message: "is a section of settings and takes no value".into(),
            }),
            _ => errors.push(SettingError { line, key, message: "is not a known setting".into() }),
        }
    }
}

fn find_error(value_type: ValueType, node: &Node) -> Option<String> {
    match (value_type, node) {
        (_, Node::Empty) => Some("has no value".into()),
        (ValueType::Text, Node::Text(s)) => s.is_empty().then(|| "must not be empty".into()),
        (ValueType::Text, Node::Number(_)) => Some("is a number; put it in quotes".into()),
        (ValueType::Text, _) => Some("is not a string".into()),
        (ValueType::Address, Node::Text(s)) => address_error(s),
        (ValueType::Address, _) => Some("is not an IP address and port".into()),
        (ValueType::Addresses, Node::List(list)) => {
            list.iter().find_map(|n| find_error(ValueType::Address, &n.value))
        }
        (ValueType::Addresses, _) => Some("is not a list".into()),
        (ValueType::Number(_, least, most), Node::Number(n)) => {
            (!(least..=most).contains(n)).then(|| format!("{n} is outside {least}..{most}"))
        }
        (ValueType::Number(..), Node::OtherNumber(s)) => Some(format!("{s} is not a non-negative integer")),
        (ValueType::Number(..), _) => Some("is not a number".into()),
        (ValueType::OneOf(words), Node::Text(s)) => {
            (!words.contains(&s.as_str())).then(|| format!("{s:?} is not one of {}", words.join(", ")))
        }
        (ValueType::OneOf(words), _) => Some(format!("is not one of {}", words.join(", "))),
    }
}

fn address_error(text: &str) -> Option<String> {
    text.parse::<SocketAddr>().err().map(|_| format!("{text:?} is not an IP address and port"))
}
