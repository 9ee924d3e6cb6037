//! YAML parsed into a tree of values with line numbers, so that all errors of a file can be reported together.

use std::{collections::BTreeMap, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;

/// Mapping of keys to values with line numbers.
pub(super) type Section = BTreeMap<String, Spanned<Node>>;

/// Value in a settings file.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Node {
    /// Key without a value.
    Empty,
    Bool(bool),
    Number(u64),
    /// Number that is negative, fractional or too large.
    OtherNumber(String),
    Text(String),
    List(Vec<Spanned<Node>>),
    Section(Section),
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        de.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a setting")
    }

    fn visit_bool<E>(self, v: bool) -> Result<Node, E> {
        Ok(Node::Bool(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Node, E> {
        Ok(Node::Number(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Node, E> {
        Ok(u64::try_from(v).map_or_else(|_| Node::OtherNumber(v.to_string()), Node::Number))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Node, E> {
        Ok(Node::OtherNumber(v.to_string()))
    }

    fn visit_str<E>(self, v: &str) -> Result<Node, E> {
        Ok(Node::Text(v.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Empty)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Empty)
    }

    fn visit_some<D: Deserializer<'de>>(self, de: D) -> Result<Node, D::Error> {
        Node::deserialize(de)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element()? {
            list.push(item);
        }
        Ok(Node::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut section = Section::new();
        while let Some((key, value)) = map.next_entry()? {
            section.insert(key, value);
        }
        Ok(Node::Section(section))
    }
}
