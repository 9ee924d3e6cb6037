//! Objects of the platform that this program cannot read.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::sync::{Arc, Mutex};

use cranberrytally::{
    objects::{OpenedWatch, Platform},
    platform::{PlatformWire, store::StoreClient},
    relay::{Relay, follow},
    revision::Store,
};
use relay_support::relay_config;
use wire::{ScriptStep, Server, wait_until};

/// Levels of nesting of a deeply nested value.
const LEVELS: usize = 20_000;

/// A pool with some JSON as its models, and further fields of its metadata.
fn pool(name: &str, version: u64, models: &str, metadata: &str) -> String {
    format!(
        r#"{{"kind":"EnginePool","metadata":{{"name":"{name}","resourceVersion":"{version}"{metadata}}},"spec":{{"models":{models}}}}}"#
    )
}

fn event(version: u64, object: &str) -> String {
    format!("{{\"version\":{version},\"deleted\":false,\"object\":{object}}}\n")
}

/// Objects with the name `pool-1` that cannot be read, and some without a name.
fn unreadable(version: u64) -> Vec<String> {
    let nested = "[".repeat(LEVELS) + &"]".repeat(LEVELS);
    vec![
        pool("pool-1", version, &nested, ""),
        pool("pool-1", version, "[1e999]", ""),
        pool("pool-1", version, "[]", &format!(r#","later":{nested}"#)),
        pool("pool-1", version, "[]", r#","labels":7"#),
        format!(r#"{{"kind":"EnginePool","metadata":{{}},"spec":{nested}}}"#),
        nested,
        "7".into(),
    ]
}

fn models(store: &Store, name: &str) -> serde_json::Value {
    let objects = store.in_force();
    objects
        .iter()
        .find(|o| o.metadata.name == name)
        .map_or_else(Default::default, |o| o.spec["models"].clone())
}

/// Guards against a router that stops following the configuration, or loses a sound object, because of an unreadable one in
/// a list or a watch.
#[tokio::test]
async fn an_unreadable_object_ends_neither_a_list_nor_a_watch() {
    for odd in unreadable(6) {
        let sound = pool("pool-1", 5, r#"["m@1"]"#, "");
        let list = format!(r#"{{"version":6,"items":[{odd},{}]}}"#, pool("pool-2", 4, r#"["m@1"]"#, ""));
        let events =
            ["{\"later\":1}\n".to_owned(), event(6, &odd), event(7, &pool("pool-2", 7, r#"["m@2"]"#, ""))];
        let script = [format!(r#"{{"version":5,"items":[{sound}]}}"#), events.concat(), list];
        let reply = |body: &String| ScriptStep::WriteAndClose(format!("HTTP/1.1 200 OK\r\n\r\n{body}"));
        let server = Server::start("platform", script.iter().map(reply).collect::<Vec<_>>()).await;
        let platform = Platform::new(server.addr);
        let mut store = Store::default();
        store.apply_list(platform.list().await.unwrap()).unwrap();
        let mut listing = store.clone();

        let OpenedWatch::Open(mut watch) = platform.watch(5).await.unwrap() else { panic!("too old") };
        while let Some(event) = watch.next().await.unwrap() {
            store.apply_event(event).unwrap();
        }
        listing.apply_list(platform.list().await.unwrap()).unwrap();

        let names_itself = odd.contains("pool-1");
        let start = &odd[..odd.len().min(100)];
        assert_eq!((store.version(), models(&store, "pool-2")), (7, serde_json::json!(["m@2"])), "{start}");
        assert_eq!(models(&store, "pool-1"), serde_json::json!(["m@1"]), "{start}");
        assert_eq!(store.bad().len(), usize::from(names_itself), "{start}");
        assert_eq!(
            (listing.version(), models(&listing, "pool-2")),
            (6, serde_json::json!(["m@1"])),
            "{start}"
        );
        assert_eq!(models(&listing, "pool-1").is_null(), !names_itself, "{start}");
    }
}

/// Revision of the first list of servers.
const LISTED_AT: usize = 10;

/// The entry of a server with some JSON as its slots.
fn entry(slots: &str) -> String {
    let spec = format!(
        r#"{{"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":{slots},"state":"ready"}}"#
    );
    format!(r#"{{"metadata":{{"name":"i-1"}},"spec":{spec}}}"#)
}

/// Guards against a host that stops following the servers after odd entries under the name of a server in use, or that uses the
/// server no more after its next own entry.
#[tokio::test]
async fn a_server_is_back_with_its_own_entry_after_an_odd_one() {
    let nested = "[".repeat(LEVELS) + &"]".repeat(LEVELS);
    let slots = [nested, "1e999".into(), "4294967295".into(), r#"8,"slots":9"#.into(), "-1".into()];
    // The entry is written in turns by the other writer and by its server.
    let entries: Vec<_> = slots.iter().flat_map(|odd| [entry(odd), entry("8")]).collect();
    let last = LISTED_AT + entries.len();
    let relay = Arc::new(Relay::new(relay_config("host-1"), PlatformWire).unwrap());
    let used = Arc::<Mutex<Vec<_>>>::default();
    let (seen, at) = (used.clone(), relay.clone());
    let server = Server::reacting("store", move |request: &str, _| {
        let watched = request.split_once("servers?watch=").and_then(|(_, rest)| rest.split('&').next());
        let Some(after) = watched.and_then(|after| after.parse::<usize>().ok()) else {
            let items = if request.contains("/servers") { entry("8") } else { String::new() };
            return json(&format!(r#"{{"items":[{items}],"hasMore":false,"currentRev":{LISTED_AT}}}"#));
        };
        seen.lock().unwrap().push((after, at.server_count("s")));
        let Some(object) = entries.get(after - LISTED_AT) else { return ScriptStep::Hang };
        json(&format!(r#"{{"events":[{{"object":{object},"deleted":false}}],"currentRev":{}}}"#, after + 1))
    })
    .await;

    let following = tokio::spawn(follow::follow_backends(relay.clone(), StoreClient::new(server.addr)));
    wait_until("the last entry", || used.lock().unwrap().iter().any(|(after, _)| *after == last)).await;

    following.abort();
    let expected: Vec<_> = (LISTED_AT..=last).map(|at| (at, (at - LISTED_AT + 1) % 2)).collect();
    assert_eq!(*used.lock().unwrap(), expected);
}

fn json(body: &str) -> ScriptStep {
    ScriptStep::Write(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}
