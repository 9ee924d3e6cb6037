//! Eligibility of engines for workspaces by labels, selectors and routing policies.

use cranberrytally::{
    catalog::{AnyObject, Catalog, NoPool, Object},
    schema::object::Meta,
};
use serde_json::{Value, json};

fn object(kind: &str, name: &str, labels: &[(&str, &str)], spec: Value) -> AnyObject {
    let labels = labels.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
    Object { kind: kind.into(), metadata: Meta { name: name.into(), labels, ..Meta::default() }, spec }
}

fn engine(name: &str, labels: &[(&str, &str)]) -> AnyObject {
    object("Engine", name, labels, json!({ "address": "127.0.0.1:9", "dataCentre": "poa-a", "capacity": 8 }))
}

/// Three engines, a pool with this selector, and a workspace that is routed to it.
fn fleet(selector: Value) -> Vec<AnyObject> {
    vec![
        engine("old", &[("gpu", "a"), ("tier", "shared")]),
        engine("new", &[("gpu", "b"), ("tier", "shared")]),
        engine("spare", &[("gpu", "b")]),
        object("EnginePool", "pool", &[], json!({ "engines": selector })),
        object("RoutingPolicy", "all", &[], json!({ "pool": "pool" })),
        object("Workspace", "phrasebook", &[("tier", "large")], json!({})),
    ]
}

fn members(cat: &Catalog) -> Vec<&str> {
    let pool = cat.pool("phrasebook", "m").unwrap();
    pool.engines.iter().map(|&key| &*cat.engine(key).name).collect()
}

#[test]
fn selectors_choose_engines() {
    let expr = |key: &str, operator: &str, values: &[&str]| json!({ "matchExpressions": [{ "key": key, "operator": operator, "values": values }] });
    let cases = [
        (json!({}), vec!["new", "old", "spare"]),
        (json!({ "matchLabels": { "gpu": "b" } }), vec!["new", "spare"]),
        (json!({ "matchLabels": { "gpu": "b", "tier": "shared" } }), vec!["new"]),
        (expr("gpu", "In", &["a", "c"]), vec!["old"]),
        (expr("tier", "NotIn", &["shared"]), vec!["spare"]),
        (expr("tier", "Exists", &[]), vec!["new", "old"]),
        (expr("tier", "DoesNotExist", &[]), vec!["spare"]),
    ];

    for (selector, want) in cases {
        let (cat, faults) = Catalog::compile(1, &fleet(selector.clone()));
        assert_eq!((members(&cat), faults.len()), (want, 0), "{selector}");
    }
}

/// A selector has a misspelt operator. As a condition that matches nothing it would silently empty the pool; instead
/// the object is skipped and reported.
#[test]
fn an_invalid_selector_is_reported() {
    let cases = [
        (json!([{ "key": "gpu", "operator": "in", "values": ["a"] }]), "unknown operator \"in\""),
        (json!([{ "key": "gpu", "operator": "In" }]), "needs values"),
        (json!([{ "key": "gpu", "operator": "Exists", "values": ["a"] }]), "takes no values"),
        (json!([{ "operator": "Exists" }]), "no `key`"),
    ];

    for (expressions, want) in cases {
        let (cat, faults) = Catalog::compile(1, &fleet(json!({ "matchExpressions": expressions })));
        assert!(faults.iter().any(|f| f.contains("EnginePool/pool") && f.contains(want)), "{faults:?}");
        assert_eq!(cat.pool("phrasebook", "m").err(), Some(NoPool::UnknownPool));
    }
}

#[test]
fn each_way_to_have_no_pool_has_its_own_reason() {
    let nobody = json!({ "matchLabels": { "gpu": "c" } });
    let (empty, _) = Catalog::compile(1, &fleet(nobody));
    let without_policy: Vec<_> = fleet(json!({})).into_iter().filter(|o| o.kind != "RoutingPolicy").collect();
    let (no_policy, _) = Catalog::compile(1, &without_policy);

    assert_eq!(empty.pool("phrasebook", "m").err(), Some(NoPool::EmptyPool));
    assert_eq!(empty.pool("stranger", "m").err(), Some(NoPool::UnknownWorkspace));
    assert_eq!(no_policy.pool("phrasebook", "m").err(), Some(NoPool::NoPolicy));
}

/// Two policies of the same rank match. Since routers receive objects in different orders, they would route the
/// workspace to different pools if the first policy won.
#[test]
fn policies_of_one_rank_are_tried_in_the_same_order_everywhere() {
    let mut objects = fleet(json!({}));
    objects.push(object("EnginePool", "spare", &[], json!({ "engines": { "matchLabels": { "gpu": "a" } } })));
    objects.push(object("RoutingPolicy", "a-few", &[], json!({ "pool": "spare" })));
    let (forward, _) = Catalog::compile(1, &objects);
    objects.reverse();
    let (backward, _) = Catalog::compile(1, &objects);

    assert_eq!(members(&forward), ["old"]);
    assert_eq!(members(&backward), ["old"]);
}

#[test]
fn an_unenforceable_bound_is_reported() {
    let mut objects = fleet(json!({}));
    objects[3].spec["loadBoundMilli"] = json!(1000);

    let (_, faults) = Catalog::compile(1, &objects);

    assert!(faults.iter().any(|f| f.contains("loadBoundMilli")), "{faults:?}");
}
