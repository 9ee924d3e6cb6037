//! Label selectors.

use anyhow::{Result, bail};

use super::Labels;
use crate::schema::object::{Requirement, Selector};

/// Validates the operators and values of a selector.
///
/// # Errors
/// When a condition is invalid, such as one with an unknown operator, which would silently match nothing.
pub fn validate(selector: &Selector) -> Result<()> {
    for req in &selector.match_expressions {
        if req.key.is_empty() {
            bail!("a condition has no `key`");
        }
        match (req.operator.as_str(), req.values.is_empty()) {
            ("In" | "NotIn", false) | ("Exists" | "DoesNotExist", true) => {}
            ("In" | "NotIn", true) => bail!("`{}` on {:?} needs values", req.operator, req.key),
            ("Exists" | "DoesNotExist", false) => {
                bail!("`{}` on {:?} takes no values", req.operator, req.key)
            }
            (operator, _) => bail!("unknown operator {operator:?} on {:?}", req.key),
        }
    }
    Ok(())
}

/// Whether `labels` satisfy all conditions of a valid `selector`; an empty selector matches everything.
pub fn matches(selector: &Selector, labels: &Labels) -> bool {
    let equal = selector.match_labels.iter().all(|(k, v)| labels.get(k) == Some(v));
    equal && selector.match_expressions.iter().all(|r| requirement_matches(r, labels))
}

fn requirement_matches(req: &Requirement, labels: &Labels) -> bool {
    let value = labels.get(&req.key);
    match req.operator.as_str() {
        "In" => value.is_some_and(|v| req.values.contains(v)),
        "NotIn" => value.is_none_or(|v| !req.values.contains(v)),
        "Exists" => value.is_some(),
        "DoesNotExist" => value.is_none(),
        _ => false,
    }
}
