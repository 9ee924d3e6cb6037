//! Validation of configuration objects: all problems of a document are reported at once, with their paths.

use cranberrytally::{catalog::Catalog, revision::check};

fn problems(doc: &str) -> Vec<String> {
    let doc: serde_json::Value = serde_saphyr::from_str(doc).expect("YAML");
    match check::parse(&doc) {
        Ok(_) => Vec::new(),
        Err(found) => found.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn good_documents_pass() {
    let table = [
        "{kind: Workspace, metadata: {name: phrasebook, labels: {tier: large}}}",
        "{kind: Engine, metadata: {name: e-1}, spec: {address: '10.0.0.1:80', dataCentre: poa-a, capacity: 8}}",
        "{kind: EnginePool, metadata: {name: p}, spec: {engines: {matchLabels: {role: model}}, loadBoundMilli: 1250, models: [m@1]}}",
        "{kind: RoutingPolicy, metadata: {name: r}, spec: {pool: p, workspaces: {matchExpressions: [{key: tier, operator: In, values: [a]}]}}}",
        "{kind: Service, metadata: {name: s}, spec: {nonIdempotent: [/progress], requireKey: true}}",
        "{kind: Service, metadata: {name: s}, spec: {nonIdempotent: [/cards/progress], idempotent: [/cards]}}",
        "{kind: WorkspaceGroup, metadata: {name: g}, spec: {workspaces: {matchExpressions: [{key: t, operator: Exists}]}, maxRunning: 3}}",
    ];

    for doc in table {
        assert_eq!(problems(doc), Vec::<String>::new(), "{doc}");
    }
}

#[test]
fn each_mistake_is_named() {
    let table = [
        ("{kind: Enginepool, metadata: {name: p}}", "kind: `Enginepool` is not one of"),
        ("{kind: Workspace, metadata: {name: p}, status: {}}", "status: unknown field"),
        ("{kind: Workspace, metadata: {name: p, lables: {}}}", "metadata.lables: unknown field `lables`"),
        ("{kind: Workspace, metadata: {}}", "metadata.name: `` is not a valid name"),
        ("{kind: Workspace, metadata: {name: a/b}}", "metadata.name: `a/b` is not a valid name"),
        (
            "{kind: Workspace, metadata: {name: a, labels: {'x y': b}}}",
            "metadata.labels.x y: `x y` is not a valid label key",
        ),
        ("{kind: Workspace, metadata: {name: a}, spec: {maxRunning: -1}}", "spec.maxRunning: invalid value"),
        ("{kind: Workspace, metadata: {name: a}, spec: [1]}", "spec: must be a mapping"),
        (
            "{kind: Engine, metadata: {name: a}, spec: {address: host:80}}",
            "spec.address: `host:80` is not an IP address",
        ),
        (
            "{kind: EnginePool, metadata: {name: a}, spec: {loadBoundMilli: 900}}",
            "spec.loadBoundMilli: 900 is not in the range",
        ),
        (
            "{kind: EnginePool, metadata: {name: a}, spec: {models: [m, m]}}",
            "spec.models[1]: `m` is listed twice",
        ),
        ("{kind: RoutingPolicy, metadata: {name: a}}", "spec.pool: `` is not a valid engine pool name"),
        (
            "{kind: Service, metadata: {name: a}, spec: {nonIdempotent: [x]}}",
            "spec.nonIdempotent[0]: `x` does not start",
        ),
        (
            "{kind: Service, metadata: {name: a}, spec: {idempotent: [/y, x]}}",
            "spec.idempotent[1]: `x` does not start",
        ),
        (
            "{kind: Service, metadata: {name: a}, spec: {nonIdempotent: [/x], idempotent: [/y, /x/]}}",
            "spec.idempotent[1]: `/x/` is also listed in spec.nonIdempotent",
        ),
        (
            "{kind: Service, metadata: {name: a}, spec: {engines: {matchExpressions: [{key: k, operator: Is}]}}}",
            "spec.engines.matchExpressions[0].operator: `Is` is not one of",
        ),
        (
            "{kind: Service, metadata: {name: a}, spec: {engines: {matchExpressions: [{key: k, operator: In}]}}}",
            "spec.engines.matchExpressions[0].values: `In` needs at least one value",
        ),
        (
            "{kind: Service, metadata: {name: a}, spec: {engines: {matchlabels: {}}}}",
            "spec.engines.matchlabels: unknown",
        ),
        ("[1]", "the document must be a mapping"),
    ];

    for (doc, want) in table {
        let found = problems(doc);
        assert!(found.iter().any(|p| p.contains(want)), "{doc}: {found:?}");
    }
}

/// If problems were reported one at a time, operators would have to run the command once per problem.
#[test]
fn all_mistakes_are_reported_at_once() {
    let doc = "
kind: EnginePool
metadata: { name: '-', labels: { a: '?' } }
spec:
  loadBoundMilli: 20
  modles: [x]
  engines:
    matchLabels: { b: '!' }
    matchExpressions:
      - { key: c, operator: Exists, values: [d] }
      - { key: c, op: In }
";

    let found = problems(doc);

    assert_eq!(found.len(), 8, "{found:#?}");
}

/// An operator lowers a pool's load bound to 1.02 times the mean. If validation accepts a bound that the catalog
/// rejects, `apply` succeeds, but the pool is skipped and all its chats are refused with `no_policy`.
#[test]
fn a_pool_with_an_accepted_bound_compiles() {
    for bound in [0, 1, 999, 1000, 1049, 1050, 10_000, 10_001] {
        let doc = format!("{{kind: EnginePool, metadata: {{name: p}}, spec: {{loadBoundMilli: {bound}}}}}");
        let parsed = check::parse(&serde_saphyr::from_str(&doc).expect("YAML"));

        let faults = parsed.as_ref().map(|pool| Catalog::compile(1, std::slice::from_ref(pool)).1);

        assert_eq!(parsed.is_ok(), [0, 1050, 10_000].contains(&bound), "{bound}");
        assert!(faults.is_err() || faults == Ok(Vec::new()), "{bound}: {faults:?}");
    }
}
