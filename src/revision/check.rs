//! Validates configuration objects before they are written and before they are applied; reports all problems at once.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::{
    catalog::{AnyObject, MIN_LOAD_BOUND_MILLI},
    objects::{CONFIGURATION_KINDS, MAX_OBJECT_BYTES},
    schema::object::{
        Engine, EnginePool, Meta, Requirement, RoutingPolicy, Selector, Service, Workspace, WorkspaceGroup,
    },
};

const MAX_NAME_BYTES: usize = 253;
const MAX_CAPACITY: u32 = 100_000;
const MAX_LOAD_BOUND_MILLI: u32 = 10_000;
const OPERATORS: [&str; 4] = ["In", "NotIn", "Exists", "DoesNotExist"];

/// One validation error of an object.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// Path of the invalid field, such as `spec.engines.matchExpressions[0].operator`.
    pub path: String,
    /// What is invalid and what is expected instead.
    pub message: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Validates an object of a configuration kind and returns its problems.
pub fn check(obj: &AnyObject) -> Vec<Problem> {
    let mut found = Problems::default();
    found.meta(&obj.metadata);
    match obj.kind.as_str() {
        "Engine" => found.engine(&obj.spec),
        "EnginePool" => found.pool(&obj.spec),
        "RoutingPolicy" => found.policy(&obj.spec),
        "Service" => found.service(&obj.spec),
        "Workspace" => drop(found.fields::<Workspace>(&obj.spec, "spec", None)),
        "WorkspaceGroup" => drop(found.fields::<WorkspaceGroup>(&obj.spec, "spec", Some("workspaces"))),
        kind => found.add("kind", format!("`{kind}` is not one of {}", CONFIGURATION_KINDS.join(", "))),
    }
    let bytes = serde_json::to_vec(obj).map_or(0, |b| b.len());
    if bytes > MAX_OBJECT_BYTES {
        found.add(
            "",
            format!("the object has {bytes} bytes; the platform accepts at most {MAX_OBJECT_BYTES}"),
        );
    }
    found.0
}

/// Parses an object from a document and validates it.
///
/// # Errors
/// All problems found.
pub fn parse(doc: &Value) -> Result<AnyObject, Vec<Problem>> {
    let mut found = Problems::default();
    let Some(map) = doc.as_object() else {
        found.add("", "the document must be a mapping with `kind`, `metadata` and `spec`");
        return Err(found.0);
    };
    for key in map.keys().filter(|k| !["kind", "metadata", "spec"].contains(&k.as_str())) {
        found.add(key, "unknown field, expected one of `kind`, `metadata`, `spec`");
    }
    let metadata = found.fields::<Meta>(map.get("metadata").unwrap_or(&Value::Null), "metadata", None);
    let obj = AnyObject {
        kind: map.get("kind").and_then(Value::as_str).unwrap_or_default().to_owned(),
        metadata,
        spec: map.get("spec").cloned().unwrap_or_else(|| Value::Object(Map::new())),
    };
    found.0.extend(check(&obj));
    if found.0.is_empty() { Ok(obj) } else { Err(found.0) }
}

#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(Problem { path: path.into(), message: message.into() });
    }

    /// Parses `value` field by field, so that every invalid field is reported and the others are still validated.
    fn fields<T: DeserializeOwned + Default>(
        &mut self,
        value: &Value,
        path: &str,
        selector: Option<&str>,
    ) -> T {
        let Some(map) = value.as_object() else {
            self.add(path, "must be a mapping");
            return T::default();
        };
        let mut good = Map::new();
        for (key, value) in map {
            let at = format!("{path}.{key}");
            if selector == Some(key) {
                self.selector(value, &at);
                continue;
            }
            let one = Map::from_iter([(key.clone(), value.clone())]);
            match serde_json::from_value::<T>(Value::Object(one)) {
                Ok(_) => drop(good.insert(key.clone(), value.clone())),
                Err(e) => self.add(at, e.to_string()),
            }
        }
        serde_json::from_value(Value::Object(good)).unwrap_or_default()
    }

    fn selector(&mut self, value: &Value, path: &str) {
        let expressions = value.get("matchExpressions").and_then(Value::as_array);
        let mut rest = value.clone();
        if let (Some(map), true) = (rest.as_object_mut(), expressions.is_some()) {
            map.remove("matchExpressions");
        }
        let selector: Selector = self.fields(&rest, path, None);
        for (key, value) in &selector.match_labels {
            self.label(key, value, &format!("{path}.matchLabels.{key}"));
        }
        for (i, value) in expressions.into_iter().flatten().enumerate() {
            let at = format!("{path}.matchExpressions[{i}]");
            let req = self.fields::<Requirement>(value, &at, None);
            self.requirement(&req, &at);
        }
    }

    fn requirement(&mut self, req: &Requirement, path: &str) {
        if !is_valid_name(&req.key) {
            self.add(format!("{path}.key"), format!("`{}` is not a valid label key", req.key));
        }
        if !OPERATORS.contains(&req.operator.as_str()) {
            let message = format!("`{}` is not one of {}", req.operator, OPERATORS.join(", "));
            return self.add(format!("{path}.operator"), message);
        }
        let takes_values = matches!(req.operator.as_str(), "In" | "NotIn");
        if takes_values && req.values.is_empty() {
            self.add(format!("{path}.values"), format!("`{}` needs at least one value", req.operator));
        }
        if !takes_values && !req.values.is_empty() {
            self.add(format!("{path}.values"), format!("`{}` takes no values", req.operator));
        }
    }

    fn meta(&mut self, meta: &Meta) {
        if !is_valid_name(&meta.name) {
            let message = format!(
                "`{}` is not a valid name: 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` and `.`",
                meta.name
            );
            self.add("metadata.name", message);
        }
        for (key, value) in &meta.labels {
            self.label(key, value, &format!("metadata.labels.{key}"));
        }
    }

    fn label(&mut self, key: &str, value: &str, path: &str) {
        if !is_valid_name(key) {
            self.add(path, format!("`{key}` is not a valid label key"));
        }
        if !value.is_empty() && !is_valid_name(value) {
            self.add(path, format!("`{value}` is not a valid label value"));
        }
    }

    fn engine(&mut self, spec: &Value) {
        let engine: Engine = self.fields(spec, "spec", None);
        if engine.address.parse::<SocketAddr>().is_err() {
            self.add("spec.address", format!("`{}` is not an IP address and port", engine.address));
        }
        if engine.capacity > MAX_CAPACITY {
            self.add("spec.capacity", format!("{} exceeds the maximum of {MAX_CAPACITY}", engine.capacity));
        }
    }

    fn pool(&mut self, spec: &Value) {
        let pool: EnginePool = self.fields(spec, "spec", Some("engines"));
        let bound = pool.load_bound_milli;
        if bound != 0 && !(MIN_LOAD_BOUND_MILLI..=MAX_LOAD_BOUND_MILLI).contains(&bound) {
            let message =
                format!("{bound} is not in the range {MIN_LOAD_BOUND_MILLI} to {MAX_LOAD_BOUND_MILLI}");
            self.add("spec.loadBoundMilli", message);
        }
        self.check_unique(&pool.models, "spec.models");
        self.check_unique(&pool.adapters, "spec.adapters");
        if !pool.role.is_empty() && !is_valid_name(&pool.role) {
            self.add("spec.role", format!("`{}` is not a valid role", pool.role));
        }
    }

    fn policy(&mut self, spec: &Value) {
        let policy: RoutingPolicy = self.fields(spec, "spec", Some("workspaces"));
        if !is_valid_name(&policy.pool) {
            self.add("spec.pool", format!("`{}` is not a valid engine pool name", policy.pool));
        }
    }

    fn service(&mut self, spec: &Value) {
        let service: Service = self.fields(spec, "spec", Some("engines"));
        self.check_prefixes(&service.non_idempotent, "spec.nonIdempotent");
        self.check_prefixes(&service.idempotent, "spec.idempotent");
        let root = |prefix: &str| prefix.trim_end_matches('/').to_owned();
        let listed: Vec<_> = service.non_idempotent.iter().map(|prefix| root(prefix)).collect();
        for (i, prefix) in service.idempotent.iter().enumerate() {
            if listed.contains(&root(prefix)) {
                self.add(
                    format!("spec.idempotent[{i}]"),
                    format!("`{prefix}` is also listed in spec.nonIdempotent"),
                );
            }
        }
    }

    fn check_prefixes(&mut self, prefixes: &[String], path: &str) {
        for (i, prefix) in prefixes.iter().enumerate() {
            if !prefix.starts_with('/') {
                self.add(format!("{path}[{i}]"), format!("`{prefix}` does not start with `/`"));
            }
        }
    }

    fn check_unique(&mut self, names: &[String], path: &str) {
        for (i, name) in names.iter().enumerate() {
            if name.is_empty() {
                self.add(format!("{path}[{i}]"), "must not be empty");
            }
            if names[..i].contains(name) {
                self.add(format!("{path}[{i}]"), format!("`{name}` is listed twice"));
            }
        }
    }
}

fn is_valid_name(text: &str) -> bool {
    let inner = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let edge = |c: Option<char>| c.is_some_and(|c| c.is_ascii_alphanumeric());
    text.len() <= MAX_NAME_BYTES
        && text.chars().all(inner)
        && edge(text.chars().next())
        && edge(text.chars().last())
}
