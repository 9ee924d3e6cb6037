//! Operators' commands against real router processes and a simulated platform.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    time::{Duration, Instant},
};

use cranberrytally::{
    client::Client,
    objects::Collection,
    operate::Status,
    standin::{
        outside::{StandinConfig, Standins},
        platform::Faults,
    },
};

#[path = "support/process.rs"]
mod process;

use process::Router;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Fleet {
    outside: Standins,
    routers: Vec<Router>,
}

async fn fleet(prefix: &str) -> Fleet {
    let outside = Standins::start(StandinConfig::default().with_engines(2)).await.unwrap();
    let platform = outside.platform_addr();
    let first = Router::start(&format!("{prefix}-0"), platform, &[]);
    let second = Router::start(&format!("{prefix}-1"), platform, &[first.peer]);
    let third = Router::start(&format!("{prefix}-2"), platform, &[first.peer, second.peer]);
    Fleet { outside, routers: vec![first, second, third] }
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.yaml", std::process::id()));
    fs::write(&path, text).unwrap();
    path
}

async fn run(args: Vec<String>) -> Output {
    let run = move || Command::new(env!("CARGO_BIN_EXE_cranberrytally")).args(args).output().unwrap();
    tokio::task::spawn_blocking(run).await.unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

async fn cmd(outside: &Standins, args: &str) -> (i32, String, String) {
    let mut args: Vec<_> = args.split(' ').map(str::to_owned).collect();
    args.push(format!("--platform={}", outside.platform_addr()));
    let out = run(args).await;
    (out.status.code().unwrap(), text(&out.stdout), text(&out.stderr))
}

async fn apply(
    fleet: &Fleet,
    path: &std::path::Path,
    limit: u64,
    addrs: &[SocketAddr],
) -> (i32, String, String) {
    let routers: Vec<_> = addrs.iter().map(|addr| format!(" --router={addr}")).collect();
    let args = format!("apply -f {} --wait --timeout-s {limit}{}", path.display(), routers.concat());
    cmd(&fleet.outside, &args).await
}

async fn status(addr: SocketAddr) -> Status {
    let url = format!("http://{addr}/v1/status");
    let (code, value) =
        Client::default().json(http::Method::GET, &url, None, Duration::from_secs(5)).await.unwrap();
    assert_eq!(code, 200);
    serde_json::from_value(value).unwrap()
}

/// Waits until the router is ready.
async fn ready(addr: SocketAddr) -> Status {
    let start = Instant::now();
    loop {
        let now = status(addr).await;
        if now.configuration.ready {
            return now;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{now:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// An operator applies a change, then the platform goes down and a router is replaced. The new router can't reach the
/// platform and must get the change from its peers; otherwise it would serve an older configuration or none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_restarts_while_the_platform_is_down() {
    let mut fleet = fleet("op").await;
    let path = file(
        "change",
        "kind: Workspace\nmetadata: {name: new}\n---\nkind: Workspace\nmetadata: {name: newer}\n",
    );

    // Wait until the last router has found the others.
    let start = Instant::now();
    while status(fleet.routers[2].addr).await.routers.len() < 2 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the router did not find its seeds");
    }
    let (code, out, err) = apply(&fleet, &path, 30, &[fleet.routers[2].addr]).await;

    assert_eq!(code, 0, "{out}{err}");
    assert!(out.contains("is in force at all 3 live routers"), "{out}");
    let version = fleet.outside.platform.version(Collection::Configuration);

    fleet.outside.platform.set_faults(Faults { down: true, ..Faults::default() });
    fleet.outside.platform.close_watches();
    fleet.routers[1].kill();
    let seeds = [fleet.routers[0].peer, fleet.routers[2].peer];
    fleet.routers[1] = Router::start("op-1b", fleet.outside.platform_addr(), &seeds);

    let now = ready(fleet.routers[1].addr).await;
    assert_eq!(now.configuration.version, version);
    for r in &fleet.routers {
        assert_eq!(status(r.addr).await.configuration.version, version);
    }
    fleet.outside.close();
}

/// One of the given routers does not respond. `apply --wait` must not report success and must name that router.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_reports_routers_without_the_version() {
    let mut fleet = fleet("lack").await;
    for r in &fleet.routers {
        ready(r.addr).await;
    }
    let path = file("lack", "kind: Workspace\nmetadata: {name: new}\n");
    let all: Vec<_> = fleet.routers.iter().map(|r| r.addr).collect();
    let dead = all[2];
    fleet.routers[2].kill();

    let (code, out, err) = apply(&fleet, &path, 1, &all).await;

    assert_eq!(code, 5, "{out}{err}");
    assert!(err.contains(&format!("({dead})")), "{err}");
    assert_eq!(err.matches("not in force").count(), 1, "{err}");
    fleet.outside.close();
}

/// Objects are created, changed, labelled and printed by commands. Each kind of error has a message and its own exit
/// code.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn objects_are_applied_shown_and_labelled() {
    let outside = Standins::start(StandinConfig::default().with_engines(1)).await.unwrap();
    let good =
        file("good", "kind: Workspace\nmetadata: {name: a, labels: {tier: small}}\nspec: {maxRunning: 3}\n");
    let bad = file(
        "bad",
        "kind: Workspace\nmetadata: {name: b}\n---\nkind: Workspac\nmetadata: {name: '-'}\nspec: {x: 1}\n",
    );
    let old =
        file("old", "kind: Workspace\nmetadata: {name: a, resourceVersion: '1'}\nspec: {maxRunning: 9}\n");

    let applied = cmd(&outside, &format!("apply -f {}", good.display())).await;
    let again = cmd(&outside, &format!("apply -f {}", good.display())).await;
    let refused = cmd(&outside, &format!("apply -f {}", bad.display())).await;
    let raced = cmd(&outside, &format!("apply -f {}", old.display())).await;
    let labelled = cmd(&outside, "label Workspace a tier=large zone=x").await;
    let unlabelled = cmd(&outside, "label Workspace a zone-").await;
    let shown = cmd(&outside, "get Workspace a -o json").await;
    let yaml = cmd(&outside, "get Workspace -o yaml").await;
    let absent = cmd(&outside, "get Workspace b").await;
    let unknown = cmd(&outside, "get Workspac").await;

    assert_eq!((applied.0, again.0, refused.0, raced.0), (0, 0, 2, 3), "{refused:?} {raced:?}");
    assert!(again.1.contains("unchanged"));
    assert!(
        refused.2.contains("document 2: kind") && refused.2.contains("document 2: metadata.name"),
        "{}",
        refused.2
    );
    assert!(raced.2.contains("won"), "{}", raced.2);
    assert_eq!((labelled.0, unlabelled.0, shown.0, absent.0, unknown.0), (0, 0, 0, 1, 1));
    let obj: serde_json::Value = serde_json::from_str(&shown.1).unwrap();
    assert_eq!(obj["metadata"]["labels"], serde_json::json!({ "tier": "large" }));
    let copy = file("copy", &yaml.1);
    let same = cmd(&outside, &format!("apply -f {}", copy.display())).await;
    assert_eq!(same.0, 0, "what `get -o yaml` prints can be applied: {}{}", same.1, same.2);
    outside.close();
}

/// A tool writes an invalid object without validating it. The routers keep the last valid version, and `status` shows
/// the problem.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_an_invalid_object() {
    let fleet = fleet("bad").await;
    ready(fleet.routers[0].addr).await;
    let found = cmd(&fleet.outside, "get EnginePool -o json").await;
    let mut pools: Vec<cranberrytally::catalog::AnyObject> = serde_json::from_str(&found.1).unwrap();
    let mut pool = pools.remove(0);
    pool.spec = serde_json::json!({ "loadBound": 3 });
    let written = fleet.outside.platform.put(pool).unwrap();

    let start = Instant::now();
    let shown = loop {
        let out = run(vec!["status".into(), format!("--router={}", fleet.routers[0].addr)]).await;
        let out = text(&out.stdout);
        if out.contains("is not valid") || start.elapsed() > WAIT_TIMEOUT {
            break out;
        }
    };

    let version = &written.metadata.resource_version;
    assert!(shown.contains(&format!("version {version} is not valid, version")), "{shown}");
    assert!(shown.contains("spec.loadBound: unknown field"), "{shown}");
    fleet.outside.close();
}

/// Only a caller with the fleet's key may shut a router down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_an_operator_drains() {
    let mut fleet = fleet("drain").await;
    let addr = fleet.routers[0].addr;
    let url = format!("http://{addr}/v1/drain");
    let (code, body) = Client::default()
        .json(http::Method::POST, &url, Some(&serde_json::json!({})), Duration::from_secs(5))
        .await
        .unwrap();
    assert_eq!((code, body["error"]["code"].as_str()), (403, Some("forbidden")));

    let out =
        run(vec!["drain".into(), addr.to_string(), "-c".into(), fleet.routers[0].settings().into()]).await;

    assert!(out.status.success(), "{}", text(&out.stderr));
    let routers = &mut fleet.routers;
    assert_eq!(routers[0].wait(), Some(0), "the router exits by itself without an error");
    fleet.outside.close();
}
