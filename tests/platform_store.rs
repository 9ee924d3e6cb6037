//! Decoding of the store's responses in the platform's format.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::Duration;

use cranberrytally::{
    platform::store::{StoreClient, epoch_header::HeaderHistory},
    relay::{
        backends::BackendEvent,
        evacuations::Update,
        follow::{BackendsUpdate, Call, Hosts, Store, StoreError},
        origins::{MixedService, saved::SavedStreams},
        revision::Revision,
    },
    schema::fleet::{Member, Repeat},
};
use relay_support::rev;
use tokio::io::AsyncWriteExt;
use wire::{ScriptStep, Server};

/// Levels of nesting of a deeply nested value.
const NESTING_LEVELS: usize = 20_000;

/// A call for the changes after a revision, or for the whole list.
fn call(after: Option<u64>) -> Call {
    Call {
        after: after.map(rev),
        epoch: 0,
        timeout: Duration::from_secs(2),
        allow_large: true,
        stale_ok: false,
        no_wait: false,
    }
}

fn reply(status: &str, body: &str) -> ScriptStep {
    let length = body.len();
    ScriptStep::Write(format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    ))
}

fn server(name: &str, state: &str) -> String {
    let spec = format!(
        r#"{{"service":"s1","address":"10.0.0.9:80","zone":"a","version":"v1","slots":64,"state":"{state}","sequence":4}}"#
    );
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":3,"created":1,"finalizers":[],"deletionPending":false}},"spec":{spec},"status":null}}"#
    )
}

const CONFIGURATION: &str = r#"{"version":7,
    "routes":[
        {"name":"r1","host":"h","pathPrefix":"/a/","kind":"stream","timeoutMs":15000,"targetLatencyMs":600,"priority":1,
         "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":0.5}],"maxAttempts":2,"authExempt":false,
         "sessionAffinity":true,"streamResume":true,"targetGapMs":300},
        {"name":"r2","host":"h","pathPrefix":"/b/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,
         "priority":0,"service":"s2","maxAttempts":1,"authExempt":true,"sessionAffinity":false,"streamResume":false},
        {"name":"r3","host":"h","pathPrefix":"/c/","kind":"idempotent","service":"s2"}],
    "services":[{"name":"s1","healthPath":"/health","maxConnections":370,"engine":{"slots":64}},
                {"name":"s2","healthPath":"/health","maxConnections":110}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1}], "later":{}}"#;

fn configuration(spec: &str) -> String {
    format!(r#"{{"metadata":{{"name":"main","revision":5}},"spec":{spec},"status":null}}"#)
}

/// A response of the store with this epoch.
fn reply_with_epoch(epoch: &str, status: &str, body: &str) -> ScriptStep {
    let ScriptStep::Write(text) = reply(status, body) else { unreachable!("reply returns Act::Write") };
    ScriptStep::Write(text.replacen("\r\n", &format!("\r\nStore-Era: {epoch}\r\n"), 1))
}

async fn store(acts: Vec<ScriptStep>) -> (StoreClient, Server) {
    let server = Server::start("store", acts).await;
    (StoreClient::new(server.addr), server)
}

fn target(request: &str) -> &str {
    request.split(' ').nth(1).unwrap()
}

#[tokio::test]
async fn a_configuration_is_translated() {
    let page = format!(r#"{{"items":[{}],"hasMore":false,"currentRev":530}}"#, configuration(CONFIGURATION));
    let (mut store, server) = store(vec![reply("200 OK", &page)]).await;

    let (revision, cfg) = store.configuration(call(None)).await.unwrap();

    let cfg = cfg.unwrap();
    assert_eq!((revision, cfg.version), (rev(530), 7));
    assert_eq!(target(&server.requests()[0]), "/objects/config");
    let kinds: Vec<_> = cfg.routes.iter().map(|r| (r.repeat(), r.open, r.resumable, r.prompts)).collect();
    let expected = [
        (Repeat::Stream, false, true, true),
        (Repeat::Never, true, false, false),
        (Repeat::Idempotent, false, false, false),
    ];
    assert_eq!(kinds, expected);
    assert_eq!(cfg.routes.iter().map(|r| r.max_pause_ms).collect::<Vec<_>>(), [300, 0, 0]);
    let weights: Vec<_> = cfg.routes[0].shares.iter().map(|s| s.weight).collect();
    assert_eq!(weights, [90_000, 500]);
    assert_eq!(cfg.routes[1].shares[0].service, "s2");
    let caches: Vec<_> = cfg.services.iter().map(|s| (s.connections, s.caches_prompts)).collect();
    assert_eq!(caches, [(370, true), (110, false)]);
    assert_eq!(cfg.limits.unwrap().idle_ms, 15_000);
    assert_eq!((cfg.workspaces[0].keys.len(), cfg.workspaces[0].rank), (2, Some(1)));
}

#[tokio::test]
async fn a_list_is_read_page_by_page() {
    let page = |name: &str, more: bool, revision: u64| {
        format!(r#"{{"items":[{}],"hasMore":{more},"currentRev":{revision}}}"#, server(name, "ready"))
    };
    let acts = vec![reply("200 OK", &page("i 1", true, 10)), reply("200 OK", &page("i-2", false, 12))];
    let (mut store, server) = store(acts).await;

    let update = store.backends(call(None)).await.unwrap();

    let BackendsUpdate::List(list) = update else { panic!("{update:?}") };
    assert_eq!(list.revision, 10, "changes since the first page must be watched");
    assert_eq!(list.items.iter().map(|i| i.id.as_str()).collect::<Vec<_>>(), ["i 1", "i-2"]);
    assert_eq!(target(&server.requests()[1]), "/objects/servers?after=i+1");
}

#[tokio::test]
async fn a_watch_returns_changes() {
    let gone = r#"{"metadata":{"name":"i-3","revision":8},"spec":null}"#;
    let events = format!(
        r#"{{"events":[{{"object":{},"deleted":false}},{{"object":{gone},"deleted":true}}],"currentRev":533}}"#,
        server("i-1", "draining")
    );
    let (mut store, server) = store(vec![reply("200 OK", &events)]).await;

    let update = store.backends(call(Some(530))).await.unwrap();

    let BackendsUpdate::Events { revision, events } = update else { panic!("{update:?}") };
    let [BackendEvent::Written(draining), BackendEvent::Removed(gone)] = &events[..] else {
        panic!("{events:?}")
    };
    assert_eq!((revision, draining.leaving, gone.as_str()), (rev(533), true, "i-3"));
    assert!(target(&server.requests()[0]).starts_with("/objects/servers?watch=530&waitMs="));
}

/// A list has many pages. A starting host first leaves reading it to its peers, so that the hosts of a large fleet do not all
/// read it at the same time.
#[tokio::test]
async fn a_long_list_is_read_only_if_all_pages_are_requested() {
    let page = format!(r#"{{"items":[{}],"hasMore":true,"currentRev":9}}"#, server("i-1", "ready"));
    let (mut store, server) = store(vec![reply("200 OK", &page)]).await;

    let e = store.backends(Call { allow_large: false, ..call(None) }).await.unwrap_err();

    assert_eq!(e, StoreError::Long);
    assert_eq!(server.requests().len(), 1);
}

/// Guards against a list that never ends, which would be read until the memory of the host is used up.
#[tokio::test]
async fn a_list_without_end_is_given_up() {
    let page = format!(r#"{{"items":[{}],"hasMore":true,"currentRev":9}}"#, server("i-1", "ready"));
    let (mut client, server) = store(vec![reply("200 OK", &page)]).await;

    let listed = tokio::time::timeout(Duration::from_secs(10), client.backends(call(None))).await;

    assert!(matches!(listed, Ok(Err(StoreError::Unreadable(_)))), "{listed:?}");
    assert!(server.requests().len() <= 200, "{} pages", server.requests().len());
}

/// A starting host reads a stale copy on every page: it costs a tenth, and peers with newer data send what is missing.
#[tokio::test]
async fn a_stale_copy_is_requested_on_each_page() {
    let page = |name: &str, more: bool| {
        format!(r#"{{"items":[{}],"hasMore":{more},"currentRev":9}}"#, server(name, "ready"))
    };
    let configurations =
        format!(r#"{{"items":[{}],"hasMore":false,"currentRev":9}}"#, configuration(CONFIGURATION));
    let acts = vec![
        reply("200 OK", &page("i-1", true)),
        reply("200 OK", &page("i-2", false)),
        reply("200 OK", &configurations),
    ];
    let (mut store, server) = store(acts).await;
    let stale_ok = Call { stale_ok: true, ..call(None) };

    store.backends(stale_ok).await.unwrap();
    store.configuration(stale_ok).await.unwrap();

    let seen = server.requests();
    let targets: Vec<_> = seen.iter().map(|r| target(r)).collect();
    let expected =
        ["/objects/servers?staleOk=1", "/objects/servers?after=i-1&staleOk=1", "/objects/config?staleOk=1"];
    assert_eq!(targets, expected);
}

/// A list of a thousand servers, whose first page exceeds the size limit of a configuration. It must count as a long list,
/// which few hosts read at a time, and not as one large response. Otherwise 300 hosts that started together read 3,000
/// entries each within half a second, and became ready after 30 s instead of 8.5 s.
#[tokio::test]
async fn a_large_first_page_is_the_first_of_a_long_list() {
    let items: Vec<_> = (0..500).map(|i| server(&format!("i-{i}"), "ready")).collect();
    let page = format!(r#"{{"items":[{}],"hasMore":true,"currentRev":9}}"#, items.join(","));
    assert!(page.len() > 64 << 10);
    let (mut store, _) = store(vec![reply("200 OK", &page)]).await;

    let e = store.backends(Call { allow_large: false, stale_ok: true, ..call(None) }).await.unwrap_err();

    assert_eq!(e, StoreError::Long);
}

/// A configuration of half a megabyte. A starting host first leaves reading it to its peers: 249 hosts that read it at once
/// shared the store's link and received it 1.3 s later. The next call, for all of it, uses a new connection.
#[tokio::test]
async fn a_large_configuration_is_read_only_if_all_of_it_is_requested() {
    let padding = " ".repeat(70 << 10);
    let page = format!(
        r#"{{"items":[{}],"hasMore":false,"currentRev":530}}{padding}"#,
        configuration(CONFIGURATION)
    );
    let (mut store, server) = store(vec![reply("200 OK", &page)]).await;

    let first = store.configuration(Call { allow_large: false, stale_ok: true, ..call(None) }).await;
    let second = store.configuration(Call { stale_ok: true, ..call(None) }).await;

    assert!(matches!(first, Err(StoreError::Large { bytes }) if bytes > 70 << 10), "{first:?}");
    assert_eq!(second.unwrap().1.map(|cfg| cfg.version), Some(7));
    assert_eq!(server.requests().len(), 2);
}

/// The head of a response arrives at once and its body later, as on a congested link. A client that timed out would start
/// again and add to the congestion.
#[tokio::test]
async fn a_response_body_has_its_own_timeout() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut store = StoreClient::new(listener.local_addr().unwrap());
    let timeout = Duration::from_millis(200);
    let answering = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        wire::read_request(&mut stream).await.unwrap();
        let body = format!(r#"{{"items":[{}],"hasMore":false,"currentRev":9}}"#, server("i-1", "ready"));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(timeout * 2).await;
        stream.write_all(body.as_bytes()).await.unwrap();
    };

    let (update, ()) = tokio::join!(store.backends(Call { timeout, ..call(None) }), answering);

    assert!(matches!(update, Ok(BackendsUpdate::List(_))), "{update:?}");
}

/// One object of a list can't be decoded. The others are used; that one has no address, so its last known state stays active.
#[tokio::test]
async fn an_undecodable_object_does_not_invalidate_others() {
    let bad = r#"{"metadata":{"name":"i-0","revision":2},"spec":{"service":7}}"#;
    let page = format!(r#"{{"items":[{bad},{}],"hasMore":false,"currentRev":9}}"#, server("i-1", "ready"));
    let (mut store, _) = store(vec![reply("200 OK", &page)]).await;

    let update = store.backends(call(None)).await.unwrap();

    let BackendsUpdate::List(list) = update else { panic!("{update:?}") };
    let items: Vec<_> = list.items.iter().map(|i| (i.id.as_str(), i.addr.as_str())).collect();
    assert_eq!(items, [("i-0", ""), ("i-1", "10.0.0.9:80")]);
}

/// Entry of a server with one field of its spec replaced by another value, or omitted.
fn entry_with(field: &str, value: Option<&str>) -> String {
    let fields = [
        ("service", r#""s1""#),
        ("address", r#""10.0.0.9:80""#),
        ("zone", r#""a""#),
        ("version", r#""v1""#),
        ("slots", "64"),
        ("state", r#""ready""#),
        ("coldRemainingMs", "0"),
        ("sequence", "4"),
        ("born", "1700000000000"),
    ];
    let kept = fields.iter().filter_map(|(name, good)| {
        let value = if *name == field { value? } else { good };
        Some(format!(r#""{name}":{value}"#))
    });
    let spec = kept.collect::<Vec<_>>().join(",");
    format!(r#"{{"metadata":{{"name":"i-0","revision":3}},"spec":{{{spec}}}}}"#)
}

/// Another writer creates an invalid entry of a server: with fields that are missing or of another type, an unknown state, or
/// a start that is not an integer. The entry gets no address, and the hundred others of the page are used.
#[tokio::test]
async fn an_invalid_entry_gets_no_address() {
    let bad = [
        ("service", None),
        ("service", Some("7")),
        ("address", Some("null")),
        ("address", None),
        ("zone", Some("[]")),
        ("zone", None),
        ("slots", Some(r#""64""#)),
        ("slots", Some("-1")),
        ("slots", None),
        ("state", Some(r#""resting""#)),
        ("state", Some("1")),
        ("state", None),
        ("version", Some("1")),
        ("sequence", Some(r#""4""#)),
        ("coldRemainingMs", Some("true")),
        ("coldRemainingMs", Some("1e999")),
        ("coldRemainingMs", Some("1e300")),
        ("coldRemainingMs", Some("4294967295")),
        ("sequence", Some("18446744073709551616")),
        ("slots", Some("4294967296")),
        ("slots", Some("1e999")),
        ("born", Some("18446744073709551616")),
        ("born", Some(r#""1700000000000""#)),
        ("born", Some("1700000000000.5")),
        ("born", Some("-1")),
    ];
    let good: Vec<_> = (1..=100).map(|i| server(&format!("i-{i}"), "ready")).collect();
    for (field, value) in bad {
        let entry = entry_with(field, value);
        let items = format!("{},{entry}", good.join(","));
        let page = format!(r#"{{"items":[{items}],"hasMore":false,"currentRev":9}}"#);
        let (mut store, _) = store(vec![reply("200 OK", &page)]).await;

        let update = store.backends(call(None)).await.unwrap();

        let BackendsUpdate::List(list) = update else { panic!("{update:?}") };
        let unusable: Vec<_> = list.items.iter().filter(|i| i.addr.is_empty()).map(|i| &*i.id).collect();
        assert_eq!((list.items.len(), unusable), (101, vec!["i-0"]), "{entry}");
    }
}

#[tokio::test]
async fn the_start_of_a_server_is_read() {
    for (value, expected) in [(Some("1700000000000"), 1_700_000_000_000), (None, 0)] {
        let page = format!(r#"{{"items":[{}],"hasMore":false,"currentRev":9}}"#, entry_with("born", value));
        let (mut store, _) = store(vec![reply("200 OK", &page)]).await;

        let update = store.backends(call(None)).await.unwrap();

        let BackendsUpdate::List(list) = update else { panic!("{update:?}") };
        assert_eq!((list.items[0].born, list.items[0].addr.as_str()), (expected, "10.0.0.9:80"));
    }
}

/// A list or a watch contains invalid entries: without a name or of another type. They are skipped, and all others of the
/// same response are used.
#[tokio::test]
async fn an_entry_without_a_name_does_not_invalidate_others() {
    let junk =
        ["{}", "7", "null", r#"{"metadata":{"name":4}}"#, r#"{"metadata":{},"spec":{"service":"s1"}}"#];
    for junk in junk {
        let good = server("i-1", "ready");
        let page = format!(r#"{{"items":[{junk},{good}],"hasMore":false,"currentRev":9}}"#);
        let events = format!(r#"{{"events":[{{"object":{junk}}},{{"object":{good}}}],"currentRev":9}}"#);
        let (mut store, _) = store(vec![reply("200 OK", &page), reply("200 OK", &events)]).await;

        let listed = store.backends(call(None)).await.unwrap();
        let changed = store.backends(call(Some(1))).await.unwrap();

        let BackendsUpdate::List(list) = listed else { panic!("{listed:?}") };
        let BackendsUpdate::Events { events, .. } = changed else { panic!("{changed:?}") };
        let listed: Vec<_> = list.items.iter().map(|i| i.id.as_str()).collect();
        let written: Vec<_> = events.iter().filter_map(|e| Some(e.written()?.id.as_str())).collect();
        assert_eq!((listed, written), (vec!["i-1"], vec!["i-1"]), "{junk}");
    }
}

/// Objects of another writer under a name, with a spec of the same kind around them: nested deeply, with numbers out of range,
/// with fields twice, or with metadata that is not understood.
fn odd_objects(name: &str) -> Vec<String> {
    let nested = "[".repeat(NESTING_LEVELS) + &"]".repeat(NESTING_LEVELS);
    let with_spec = |spec: &str| format!(r#"{{"metadata":{{"name":"{name}","revision":3}},"spec":{spec}}}"#);
    let specs = ["address", "version", "slots", "born", "members", "count", "begun", "routes", "later"];
    let mut odd: Vec<_> =
        specs.iter().map(|field| with_spec(&format!(r#"{{"{field}":{nested}}}"#))).collect();
    odd.extend(
        [&*nested, "1e999", &"9".repeat(400), r#"{"slots":4294967296}"#, r#"{"slots":1,"slots":2}"#]
            .map(with_spec),
    );
    odd.push(format!(r#"{{"metadata":{{"name":"{name}","later":{nested}}},"spec":null}}"#));
    odd.push(format!(r#"{{"metadata":{{"name":"{name}","revision":1e999}},"later":{nested},"spec":7}}"#));
    odd.push(format!(r#"{{"metadata":{{"name":{nested}}},"spec":{{}}}}"#));
    odd.push(format!(r#"{{"metadata":{{"name":"{name}"}},"spec":{{}},"spec":{{}}}}"#));
    odd.push(format!(r#"{{"metadata":{{"name":"{}"}},"spec":{{}}}}"#, "x".repeat(100_000)));
    odd
}

/// Guards against an odd object of any kind that hides the sound ones beside it, in a list or in the answer of a watch.
#[tokio::test]
async fn an_odd_object_of_any_kind_hides_no_other() {
    for odd in odd_objects("odd") {
        let config = configuration(CONFIGURATION);
        let hosts = r#"{"metadata":{"name":"a"},"spec":{"members":[],"count":3}}"#;
        let streams =
            r#"{"metadata":{"name":"a-1"},"spec":{"begun":[{"version":5,"streams":"00000000000000ff"}]}}"#;
        let evacuated = r#"{"metadata":{"name":"b"},"spec":{}}"#;
        let list = |sound: &str| {
            reply("200 OK", &format!(r#"{{"items":[{odd},{sound}],"hasMore":false,"currentRev":9}}"#))
        };
        let events = |sound: &str| {
            let body = format!(r#"{{"events":[{{"object":{odd}}},{{"object":{sound}}}],"currentRev":9}}"#);
            reply("200 OK", &body)
        };
        let sound = server("i-1", "ready");
        let script = vec![
            list(&config),
            events(&config),
            list(&sound),
            events(&sound),
            list(evacuated),
            events(evacuated),
            list(hosts),
            list(streams),
        ];
        let (mut store, _) = store(script).await;

        let configurations =
            [store.configuration(call(None)).await, store.configuration(call(Some(1))).await];
        let servers = [store.backends(call(None)).await, store.backends(call(Some(1))).await];
        let evacuations = [store.evacuations(call(None)).await, store.evacuations(call(Some(1))).await];
        let hosts = store.hosts(true).await;
        let streams = store.saved_streams(call(None)).await;

        let start = &odd[..odd.len().min(100)];
        for configuration in configurations {
            assert_eq!(configuration.unwrap().1.map(|cfg| cfg.version), Some(7), "{start}");
        }
        let [Ok(BackendsUpdate::List(listed)), Ok(BackendsUpdate::Events { events, .. })] = servers else {
            panic!("{start}: {servers:?}")
        };
        let is_sound = |b: &&cranberrytally::schema::fleet::Backend| b.addr == "10.0.0.9:80";
        assert_eq!(listed.items.iter().filter(is_sound).count(), 1, "{start}");
        assert_eq!(events.iter().filter_map(BackendEvent::written).filter(is_sound).count(), 1, "{start}");
        let [Ok(Update::List(list)), Ok(Update::Changes { changes, .. })] = evacuations else {
            panic!("{start}: {evacuations:?}")
        };
        assert!(list.data_centres.contains(&"b".into()) && changes.contains(&("b".into(), true)), "{start}");
        assert_eq!(hosts.unwrap().count, 3, "{start}");
        assert_eq!(streams.unwrap().iter().flat_map(SavedStreams::unpack).count(), 1, "{start}");
    }
}

/// Guards against a configuration that replaces the one in force though it cannot be read, and against a later sound one, with
/// deeply nested fields that are not used, that is not followed.
#[tokio::test]
async fn an_unreadable_configuration_is_left_out_and_a_later_one_is_read() {
    let nested = "[".repeat(NESTING_LEVELS) + &"]".repeat(NESTING_LEVELS);
    let events = |spec: &str| {
        let event = format!(r#"{{"object":{},"deleted":false}}"#, configuration(spec));
        reply("200 OK", &format!(r#"{{"events":[{event}],"currentRev":9}}"#))
    };
    let later = CONFIGURATION.replace(r#""slots":64"#, &format!(r#""slots":{nested}"#));
    let unreadable = ["7", "null", &nested, "{}", r#"{"version":1e999}"#, r#"{"version":8,"routes":[{}]}"#];
    for spec in unreadable {
        let (mut store, _) = store(vec![events(spec), events(&later)]).await;

        let odd = store.configuration(call(Some(1))).await.unwrap();
        let sound = store.configuration(call(Some(2))).await.unwrap();

        let start = &spec[..spec.len().min(100)];
        assert_eq!((odd.0, odd.1.is_none()), (rev(9), true), "{start}");
        let services: Vec<_> = sound.1.unwrap().services.iter().map(|s| s.caches_prompts).collect();
        assert_eq!(services, [true, false], "{start}");
    }
}

/// The store has another object of the configuration's kind, with a higher version. It must be ignored.
#[tokio::test]
async fn only_the_operators_object_is_the_configuration() {
    let other = configuration(&CONFIGURATION.replace(r#""version":7"#, r#""version":9"#));
    let other = other.replace(r#""name":"main""#, r#""name":"draft""#);
    let items = format!("{},{other}", configuration(CONFIGURATION));
    let page = format!(r#"{{"items":[{items}],"hasMore":false,"currentRev":530}}"#);
    let (mut store, _) = store(vec![reply("200 OK", &page)]).await;

    let (_, cfg) = store.configuration(call(None)).await.unwrap();

    assert_eq!(cfg.unwrap().version, 7);
}

#[tokio::test]
async fn failed_calls_are_distinguished() {
    let truncated =
        ScriptStep::WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"items\"".into());
    let cases = [
        ("history expired", reply("410 Gone", "{}"), "HistoryGone"),
        ("temporary refusal", reply("503 Service Unavailable", "{}"), "Unavailable"),
        ("too many calls", reply("429 Too Many Requests", "{}"), "Unavailable"),
        ("lost response", ScriptStep::WriteAndReset(String::new()), "Unavailable"),
        ("truncated response", truncated, "Unavailable"),
        ("invalid JSON", reply("200 OK", "hello"), "Unreadable"),
    ];
    for (name, act, expected) in cases {
        let (mut store, _) = store(vec![act]).await;

        let e: StoreError = store.backends(call(Some(1))).await.unwrap_err();

        assert!(format!("{e:?}").starts_with(expected), "{name}: {e:?}");
    }
}

/// A response was lost. That connection can't be used any more, so the next call uses a new one.
#[tokio::test]
async fn a_call_after_a_lost_response_succeeds() {
    let page = format!(r#"{{"items":[{}],"hasMore":false,"currentRev":9}}"#, server("i-1", "ready"));
    let (mut store, server) =
        store(vec![ScriptStep::WriteAndReset(String::new()), reply("200 OK", &page)]).await;

    store.backends(call(None)).await.unwrap_err();
    let second = store.backends(call(None)).await;

    assert!(second.is_ok(), "{second:?}");
    assert_eq!(server.requests().len(), 2);
}

fn member() -> Member {
    Member {
        name: "host 1".into(),
        callers: "10.0.0.1:80".into(),
        peers: "10.0.0.1:7000".into(),
        data_centre: "a".into(),
    }
}

/// A registered service with several versions.
fn mixed() -> Vec<MixedService> {
    vec![MixedService { service: "app".into(), versions: vec!["v1".into(), "v2".into()] }]
}

/// The hosts of a data centre are stored under its name; an existing entry is replaced, otherwise one is created.
#[tokio::test]
async fn hosts_of_a_data_centre_have_one_entry() {
    let cases = [
        ("existing entry", vec![reply("200 OK", "{}")], vec!["PUT /objects/hosts/a+1"]),
        (
            "no entry yet",
            vec![reply("404 Not Found", "{}"), reply("200 OK", "{}")],
            vec!["PUT /objects/hosts/a+1", "POST /objects/hosts"],
        ),
    ];
    let hosts = Hosts { sample: vec![member()], count: 59, servers: 900, routes: 70, mixed: mixed() };
    for (name, acts, expected) in cases {
        let (mut store, server) = store(acts).await;

        store.register_hosts("a 1", &hosts).await.unwrap();

        let seen: Vec<_> =
            server.requests().iter().map(|r| r.split(" HTTP").next().unwrap().to_owned()).collect();
        assert_eq!(seen, expected, "{name}");
        assert!(server.requests()[0].contains("10.0.0.1:7000") && server.requests()[0].contains("59"));
    }
    let (mut store, _) = store(vec![reply("503 Service Unavailable", "{}")]).await;
    store.register_hosts("a 1", &hosts).await.unwrap_err();
}

/// Hosts are read from a stale copy, which costs a tenth. An invalid entry does not invalidate the others.
#[tokio::test]
async fn hosts_are_found_in_the_store() {
    let spec = serde_json::json!({ "members": [member()], "count": 59, "servers": 900, "routes": 70, "mixed": mixed() });
    let junk = r#"{"metadata":{"name":"y"},"spec":{"members":7}}"#;
    let page = format!(
        r#"{{"items":[{junk},{{"metadata":{{"name":"x"}},"spec":{spec}}}],"hasMore":false,"currentRev":9}}"#
    );
    let (mut store, server) = store(vec![reply("200 OK", &page)]).await;

    let hosts = store.hosts(true).await.unwrap();

    assert_eq!(hosts, Hosts { sample: vec![member()], count: 59, servers: 900, routes: 70, mixed: mixed() });
    assert_eq!(target(&server.requests()[0]), "/objects/hosts?staleOk=1");
}

/// Guards against a registration with numbers that no fleet has: their sum overflows, and a starting host would wait for the
/// turns of as many hosts and share its retries with them.
#[tokio::test]
async fn a_registration_of_impossibly_many_hosts_is_left_out() {
    for odd in [
        r#""count":18446744073709551615"#,
        r#""count":3,"servers":18446744073709551615"#,
        r#""count":3,"routes":4294967295"#,
    ] {
        let sound = r#"{"metadata":{"name":"a"},"spec":{"members":[],"count":59,"servers":900,"routes":70}}"#;
        let odd = format!(r#"{{"metadata":{{"name":"b"}},"spec":{{"members":[],{odd}}}}}"#);
        let page = format!(r#"{{"items":[{odd},{sound},{odd}],"hasMore":false,"currentRev":9}}"#);
        let (mut store, _) = store(vec![reply("200 OK", &page)]).await;

        let hosts = store.hosts(true).await.unwrap();

        assert_eq!((hosts.count, hosts.servers, hosts.routes), (59, 900, 70), "{odd}");
    }
}

/// After the store was restored, a watch must not continue from an old revision, and a list must not mix two epochs.
#[tokio::test]
async fn responses_of_another_epoch_are_rejected() {
    let events = r#"{"events":[],"currentRev":533}"#;
    let page = |name: &str, more: bool| {
        format!(r#"{{"items":[{}],"hasMore":{more},"currentRev":9}}"#, server(name, "ready"))
    };
    let acts = vec![
        reply_with_epoch("3", "200 OK", events),
        reply_with_epoch("3", "410 Gone", "{}"),
        reply_with_epoch("2", "410 Gone", "{}"),
        reply_with_epoch("2", "200 OK", &page("i-1", true)),
        reply_with_epoch("3", "200 OK", &page("i-2", false)),
    ];
    let (mut store, _server) = store(acts).await;
    let watch = Call { after: Some(Revision::new(2, 530)), epoch: 2, ..call(None) };

    let changes = store.backends(watch).await;
    let expired_by_restore = store.backends(watch).await;
    let expired_by_age = store.backends(watch).await;
    let list = store.backends(Call { epoch: 2, ..call(None) }).await;

    let restored = Err(StoreError::Restored { epoch: 3 });
    assert_eq!((changes, expired_by_restore, list), (restored.clone(), restored.clone(), restored));
    assert_eq!(expired_by_age, Err(StoreError::HistoryGone));
}

/// Treated as a different epoch, an invalid epoch header would cause a full list with each response.
#[tokio::test]
async fn a_response_without_a_valid_epoch_keeps_the_known_one() {
    let page = format!(r#"{{"items":[{}],"hasMore":false,"currentRev":9}}"#, server("i-1", "ready"));
    let unreadable = ["", "two", "-1", "2.5", "99999999999999999999999"];
    let mut acts: Vec<_> = unreadable.iter().map(|epoch| reply_with_epoch(epoch, "200 OK", &page)).collect();
    acts.push(reply("200 OK", &page));
    let (mut store, _server) = store(acts).await;

    for case in 0..=unreadable.len() {
        let update = store.backends(Call { epoch: 7, ..call(None) }).await.unwrap();

        assert_eq!(update.revision(), Revision::new(7, 9), "case {case}");
    }
}

/// Guards against a log that is filled by one line for each response of a store that has no epoch header.
#[test]
fn a_missing_epoch_header_is_logged_once() {
    let mut history = HeaderHistory::default();

    let logged: Vec<_> =
        [false, false, false, true, true, false].map(|present| history.observe(present)).into();

    assert_eq!(logged, [Some(0), None, None, Some(3), None, Some(2)]);
    assert_eq!(HeaderHistory::default().observe(true), None);
}

/// Guards against a list or a watch of which a part is taken for the whole, because the store's response ends early at any byte.
#[test]
fn a_response_that_ends_at_any_byte_is_no_list() {
    let page = format!(r#"{{"items":[{}],"hasMore":false,"currentRev":9}}"#, server("i-1", "ready"));
    let event = format!(r#"{{"object":{},"deleted":false}}"#, server("i-1", "ready"));
    let events = format!(r#"{{"events":[{event}],"currentRev":9}}"#);
    for (after, body) in [(None, page), (Some(3), events)] {
        let (start, end) = body.split_at(100);
        let chunks = wire::chunk(start) + &wire::chunk(end) + "0\r\n\r\n";
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        let stated = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        for whole in
            [stated, format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}"), format!("{head}\r\n{body}")]
        {
            cut_everywhere(&whole, after);
        }
    }
}

/// Lets the store end a response at each byte, by a close and by a reset.
#[tokio::main(flavor = "current_thread")]
async fn cut_everywhere(whole: &str, after: Option<u64>) {
    for length in 0..whole.len() {
        let begun = whole[..length].to_owned();
        for step in [ScriptStep::WriteAndClose(begun.clone()), ScriptStep::WriteAndReset(begun.clone())] {
            let (mut store, server) = store(vec![step.clone()]).await;

            let update = store.backends(call(after)).await;

            assert!(update.is_err(), "{step:?}: {update:?}");
            assert_eq!(server.requests().len(), 1);
        }
    }
}

/// Guards against a write of which the store's response ends early, at any byte, and that counts as done.
#[test]
fn a_response_that_ends_at_any_byte_confirms_no_write() {
    #[tokio::main(flavor = "current_thread")]
    async fn write_everywhere(whole: &str) {
        for length in 0..whole.len() {
            let (mut store, _server) = store(vec![ScriptStep::WriteAndClose(whole[..length].into())]).await;

            let written = store.register_hosts("a", &Hosts::default()).await;

            assert!(written.is_err(), "{length} bytes of {whole:?}");
        }
    }

    write_everywhere("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
    write_everywhere("HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
}
