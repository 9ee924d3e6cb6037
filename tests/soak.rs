//! A short fault soak with fixed seeds: hosts as processes, faults from outside, promises checked from both ends.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;

use std::time::{Duration, Instant};

use tokio::sync::Mutex;

use soak::{
    Soak, What,
    checks::{self, EVENTS, History, Kind, Met, Outcome, Seen},
};

/// Runs use the same addresses, so that one waits for the other.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Hosts are killed, suspended and stopped, the store is away, servers crash, stall, refuse and lose answers. No request
/// runs twice that must not, none that was refused as not run has run, no answer is another's or looks whole when it is
/// cut, and afterwards every host serves everything again and has a change in force.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_hosts_store_and_servers_fail() {
    let _alone = ALONE.lock().await;
    for seed in [1, 2] {
        let report = Soak::with_seed(seed).run().await;

        assert!(report.broken.is_empty(), "{report:#?}");
        assert!(report.seen.contains("unsafe 200"), "{report:#?}");
    }
}

/// The store is restored from copies while servers leave and hosts are killed, suspended and stopped. No host in touch sends
/// anything to a server two seconds after it has said that it leaves, and all promises hold.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_the_store_is_restored() {
    let _alone = ALONE.lock().await;
    for seed in [1, 2] {
        let report = Soak::with_seed(seed).with_faults(10).with_what(What::Restores).run().await;

        assert!(report.broken.is_empty(), "{report:#?}");
        assert!(report.seen.contains("unsafe 200"), "{report:#?}");
    }
}

/// The configuration changes again and again, in quick succession too, while waiting calls are never answered, the store is away,
/// refuses, is restored, gives old copies, and hosts are killed, suspended and stopped. Whoever looks finds no host in touch that
/// handles a request by a version two seconds after a later one was acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_the_configuration_changes() {
    let _alone = ALONE.lock().await;
    for seed in [1, 2] {
        let soak = Soak::with_seed(seed).with_hosts(5).with_faults(12).with_what(What::Changes);
        let report = soak.run().await;

        assert!(report.broken.is_empty(), "{report:#?}");
        assert!(report.seen.contains("unsafe 200"), "{report:#?}");
    }
}

/// Requests handled by a version that can't be in force any more are seen, unless the host or the store was out of touch.
#[test]
fn requests_handled_by_an_old_version_are_seen() {
    let start = Instant::now() - Duration::from_secs(20);
    let looked = |status| {
        let history = History::default();
        for (version, at) in [(4, 0), (5, 3)] {
            let at = start + Duration::from_secs(at);
            history.record(Seen::Changed { version, sent: at, acked: at });
        }
        let at = start + Duration::from_millis(if status == 200 { 5_100 } else { 2_100 });
        let (host, target) = ("127.0.0.1".to_owned(), "/mark-4/r1".to_owned());
        history.record(Seen::Sent {
            id: "r1".into(),
            kind: Kind::Idempotent,
            target,
            proper: false,
            host,
            at,
        });
        history.record(Seen::Ended { id: "r1".into(), end: whole(status, &["own"]), at });
        history
    };

    for status in [200, 404] {
        let history = looked(status);
        assert_eq!(history.violations().len(), 1, "{status}");
        let (from, to) = (start, start + Duration::from_secs(5));
        history.record(Seen::Disturbed { what: "127.0.0.1".into(), from, to });
        assert_eq!(history.violations(), Vec::<String>::new(), "{status}");
    }
}

/// Work for a server that has left is seen, unless the host or the store was out of touch.
#[test]
fn work_for_a_server_that_has_left_is_seen() {
    let late = history(Kind::Idempotent, &["i-1"], whole(200, &["own"]));
    let long_before = Instant::now() - Duration::from_millis(2_500);
    late.record(Seen::Left { engine: "i-1".into(), at: long_before });

    assert_eq!(late.violations().len(), 1);
    let (from, to) = (Instant::now() - Duration::from_secs(1), Instant::now());
    late.record(Seen::Disturbed { what: checks::STORE.into(), from, to });
    assert_eq!(late.violations().len(), 0);
}

/// Requests at a server that had told their host that it leaves, or asked it for a pause, are seen.
#[test]
fn requests_against_a_servers_own_word_are_seen() {
    let met = |history: &History, id: &str, what| {
        history.record(Seen::Met { id: id.into(), engine: "i-1".into(), what });
    };
    let told = history(Kind::Idempotent, &[], whole(200, &["own"]));
    let start = Instant::now() - Duration::from_secs(4);
    let (host, target) = ("127.0.0.1".to_owned(), "/safe/r0".to_owned());
    let sent = Seen::Sent { id: "r0".into(), kind: Kind::Idempotent, target, proper: true, host, at: start };
    told.record(sent);
    told.record(Seen::Ended { id: "r0".into(), end: whole(200, &["own"]), at: start });
    met(&told, "r0", Met::SaysLeaving);
    met(&told, "r0", Met::AsksPause(start, Duration::from_secs(5)));
    (0..3).for_each(|_| met(&told, "r1", Met::Reached(Instant::now())));

    let broken = told.violations();
    told.record(Seen::Restarted { host: "127.0.0.1".into(), at: start + Duration::from_secs(1) });

    assert_eq!(broken.len(), 4, "{broken:?}");
    assert_eq!(told.violations(), Vec::<String>::new());
}

fn history(kind: Kind, runs: &[&str], end: Outcome) -> History {
    let (history, at) = (History::default(), Instant::now());
    let (id, target) = ("r1".to_owned(), format!("{}r1", kind.path()));
    let host = "127.0.0.1".into();
    history.record(Seen::Sent { id: id.clone(), kind, target: target.clone(), proper: true, host, at });
    for engine in runs {
        history.record(Seen::Ran {
            id: id.clone(),
            target: target.clone(),
            workspace: "travel".into(),
            with_key: false,
            engine: (*engine).into(),
            at,
        });
    }
    history.record(Seen::Ended { id, end, at: at + Duration::from_millis(10) });
    history
}

fn whole(status: u16, data: &[&str]) -> Outcome {
    Outcome::Complete { status, data: data.iter().map(|d| (*d).into()).collect() }
}

/// The soak's own checks see each promise that is broken, or a run would pass for the wrong reason.
#[test]
fn broken_promises_are_seen() {
    let part: Vec<_> = (1..EVENTS).map(|n| format!("own {n}")).collect();
    let part: Vec<_> = part.iter().map(String::as_str).collect();
    let cases = [
        ("ran twice", Kind::Unsafe, vec!["i-1", "i-2"], whole(200, &["own"])),
        ("refused and ran", Kind::Unsafe, vec!["i-1"], whole(503, &[""])),
        ("another's answer", Kind::Idempotent, vec!["i-1"], whole(200, &["own r2"])),
        ("cut and looks whole", Kind::Stream, vec!["i-1"], whole(200, &part)),
        ("an event twice", Kind::Stream, vec!["i-1"], Outcome::Broken(vec!["own 1".into(), "own 1".into()])),
        ("an event missing", Kind::Stream, vec!["i-1"], Outcome::Broken(vec!["own 2".into()])),
        ("denied", Kind::Idempotent, vec![], whole(404, &[""])),
    ];
    for (name, kind, runs, end) in cases {
        let violations = history(kind, &runs, end).violations();

        assert_eq!(violations.len(), 1, "{name}: {violations:?}");
    }
}

/// A server had written its whole answer, and the caller's connection broke: a fault of the host, unless the host itself
/// or the server was disturbed then.
#[test]
fn an_answer_that_was_ready_must_arrive_unless_a_fault_explains_it() {
    let lost = history(Kind::Unsafe, &["i-1"], Outcome::Broken(Vec::new()));
    lost.record(Seen::Served { id: "r1".into(), engine: "i-1".into() });

    assert_eq!(lost.violations().len(), 1);
    let (from, to) = (Instant::now(), Instant::now());
    lost.record(Seen::Disturbed { what: "127.0.0.1".into(), from, to });
    assert_eq!(lost.violations().len(), 0);
}
