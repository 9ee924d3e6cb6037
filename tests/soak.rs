//! Short fault soak with fixed seeds, and tests of the checks that it relies on.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/soak.rs"]
mod soak;
#[path = "support/wire.rs"]
mod wire;

use std::time::{Duration, Instant};

use tokio::sync::Mutex;

use soak::{
    Scenario, Soak,
    checks::{self, History, Kind, Observation, Outcome, STREAM_EVENTS, ServerEvent},
    conduct::{ENDLESS_TEXT, EndlessBytes},
};

/// Seeds of which the fault is each of the cuts, and a host that stands still.
const CUT_SEEDS: [u64; 4] = [13, 14, 17, 35];

/// Held by each run, since runs use the same addresses.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

/// Guards against violations while hosts are killed, suspended and stopped, the store is unavailable, and servers crash,
/// stall, refuse requests and lose answers: a request that is repeated though it must not be, one that is executed though
/// it was refused as not executed, an answer to another request, a truncated answer that looks complete, and a host that
/// does not serve all requests or apply a configuration change afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_hosts_store_and_servers_fail() {
    let _guard = RUN_LOCK.lock().await;
    for seed in [1, 2] {
        let report = Soak::with_seed(seed).run().await;

        assert!(report.violations.is_empty(), "{report:#?}");
        assert!(report.outcomes.contains("unsafe 200"), "{report:#?}");
    }
}

/// Guards against violations while the store is restored from backups, servers drain, and hosts are killed, suspended and
/// stopped; in particular, against requests to a server two seconds after it announced that it is draining, from a host in
/// contact.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_the_store_is_restored() {
    let _guard = RUN_LOCK.lock().await;
    for seed in [1, 2] {
        let report = Soak::with_seed(seed).with_faults(10).with_scenario(Scenario::Restores).run().await;

        assert!(report.violations.is_empty(), "{report:#?}");
        assert!(report.outcomes.contains("unsafe 200"), "{report:#?}");
    }
}

/// Guards against violations while the configuration keeps changing, sometimes in quick succession, watches are never answered,
/// the store is unavailable, refuses calls, is restored and serves stale reads, and hosts are killed, suspended and stopped; in
/// particular, against a host in contact that applies a version two seconds after a later one was acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_the_configuration_changes() {
    let _guard = RUN_LOCK.lock().await;
    for seed in [1, 2] {
        let soak = Soak::with_seed(seed).with_hosts(5).with_faults(12).with_scenario(Scenario::Changes);
        let report = soak.run().await;

        assert!(report.violations.is_empty(), "{report:#?}");
        assert!(report.outcomes.contains("unsafe 200"), "{report:#?}");
    }
}

/// Guards against violations while servers of two versions serve, callers take up broken streams at any host, hosts are
/// killed, suspended and stopped, servers crash and drain, and the store is unavailable and restored; in particular, against a
/// stream with events of two versions, and against hosts that refuse most of the streams that are taken up.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_two_versions_serve() {
    let _guard = RUN_LOCK.lock().await;
    for seed in [1, 2] {
        let report = Soak::with_seed(seed).with_faults(10).with_scenario(Scenario::Versions).run().await;

        assert!(report.violations.is_empty(), "{report:#?}");
        assert!(report.outcomes.contains("streams taken up that went on"), "{report:#?}");
    }
}

/// Guards against a stream with events of two versions, where servers of a new version join while one host or two are cut off
/// from all others, or stand still and are alone afterwards, and callers take up broken streams at them.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_hosts_are_cut_off() {
    let _guard = RUN_LOCK.lock().await;
    // One fault each, since hosts know of several versions after the first one.
    for seed in CUT_SEEDS {
        let soak = Soak::with_seed(seed).with_hosts(6).with_callers(24).with_faults(1);
        let report = soak.with_scenario(Scenario::Cuts).run().await;

        assert!(report.violations.is_empty(), "{report:#?}");
        assert!(report.outcomes.contains("taken up at a host out of contact, went on"), "{report:#?}");
    }
}

/// Guards against answers that end before their deadline at servers which fall silent for a moment and go on, while the
/// configuration keeps changing, servers drain, and hosts are stopped.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_servers_fall_silent() {
    let _guard = RUN_LOCK.lock().await;

    let report = Soak::with_seed(2).with_faults(8).with_scenario(Scenario::Silences).run().await;

    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.outcomes.contains("stream 200"), "{report:#?}");
}

/// Guards against requests with one prompt part that crash one server after the other, and against sound ones that are refused
/// with them, while hosts are killed, suspended and stopped and servers crash for other reasons.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_requests_crash_servers() {
    let _guard = RUN_LOCK.lock().await;

    let report = Soak::with_seed(1).with_faults(10).with_scenario(Scenario::Crashes).run().await;

    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.outcomes.contains("crashes by requests"), "{report:#?}");
}

/// Guards against requests that get no answer, and streams that are cut, at sound servers which stand still before they read a
/// body or answer before they have read it, while the configuration keeps changing; and against other bytes where the rest of a
/// body is due.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_servers_read_late() {
    let _guard = RUN_LOCK.lock().await;

    let report = Soak::with_seed(1).with_faults(8).with_scenario(Scenario::LateReaders).run().await;

    assert!(report.violations.is_empty(), "{report:#?}");
    for answered in ["long body, unsafe 200", "answered first, stream 200"] {
        assert!(report.outcomes.contains(answered), "{report:#?}");
    }
}

/// Guards against requests without an answer, and against such bytes passed on as an answer, while some servers send bytes
/// without end.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_while_servers_send_without_end() {
    let _guard = RUN_LOCK.lock().await;

    let scenario = Scenario::EndlessBytes(&EndlessBytes::ALL);
    let report = Soak::with_seed(1).with_faults(8).with_scenario(scenario).run().await;

    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.outcomes.contains(ENDLESS_TEXT), "{report:#?}");
}

/// Guards against a check that misses requests which sound servers don't answer, refusals without a time after which to come
/// back, and bytes that are no request.
#[test]
fn requests_without_an_answer_of_sound_servers_are_violations() {
    let late_readers = |history: &History| history.violations_in(Scenario::LateReaders).len();
    let cut = Outcome::Disconnected(vec!["own 1 v1".into()]);
    let arrived = |outcome| {
        let history = history(Kind::ResumableStream, &["i-1"], outcome);
        let event = ServerEvent::Arrived(Instant::now());
        history.record(Observation::AtServer { id: "r1".into(), engine: "i-1".into(), event });
        history
    };
    let refused = arrived(complete(503, &[""]));

    assert_eq!(late_readers(&arrived(complete(200, &["own"]))), 0);
    assert_eq!(late_readers(&refused), 0);
    let late = arrived(Outcome::TimedOut);
    for outcome in [complete(502, &[""]), complete(504, &[""]), cut.clone(), Outcome::TimedOut] {
        assert_eq!(late_readers(&arrived(outcome.clone())), 1, "{outcome:?}");
    }
    let at = Instant::now() + checks::REQUEST_DEADLINE;
    for (outcome, violations) in [(cut, 0), (complete(504, &[""]), 0), (complete(502, &[""]), 1)] {
        late.record(Observation::Finished { id: "r1".into(), outcome: outcome.clone(), at });
        assert_eq!(late_readers(&late), violations, "{outcome:?} at the deadline");
    }
    refused.record(Observation::RefusedWithoutTime { id: "r1".into() });
    refused.record(Observation::WrongBytes { engine: "i-1".into(), bytes: "x".into() });
    assert_eq!(late_readers(&refused), 2);
}

/// Guards against a check that misses requests without an answer or with bytes that a server sends without end, and against a
/// measurement that misses events which are passed on late.
#[test]
fn requests_without_an_answer_beside_bytes_without_end_are_violations() {
    let checked = |outcome| {
        let history = history(Kind::PlainStream, &["i-1"], outcome);
        let event = ServerEvent::WroteEvent(1, Instant::now());
        history.record(Observation::AtServer { id: "r1".into(), engine: "i-1".into(), event });
        let at = Instant::now() + Duration::from_secs(1);
        history.record(Observation::GotEvents { id: "r1".into(), count: 1, at });
        assert!(history.longest_waits().1 >= Duration::from_secs(1));
        history.violations_in(Scenario::EndlessBytes(&EndlessBytes::ALL)).len()
    };

    assert_eq!(checked(complete(502, &[""])), 0);
    assert_eq!(checked(Outcome::Disconnected(vec!["own 1 v1".into()])), 0);
    let passed_on = history(Kind::PlainStream, &["i-1"], Outcome::Disconnected(vec![ENDLESS_TEXT.into()]));
    assert_eq!(passed_on.violations().len(), 1);
    let event = ServerEvent::Treated(ENDLESS_TEXT);
    passed_on.record(Observation::AtServer { id: "r1".into(), engine: "i-1".into(), event });
    assert_eq!(
        passed_on.violations().len(),
        0,
        "a host can't tell such events from sound ones without numbers"
    );
    for outcome in [complete(500, &[ENDLESS_TEXT]), Outcome::Disconnected(Vec::new()), Outcome::TimedOut] {
        assert_eq!(checked(outcome.clone()), 1, "{outcome:?}");
    }
}

/// Guards against a check that misses requests that go on crashing servers, and sound streams that do not begin beside them.
#[test]
fn crashes_by_requests_and_sound_streams_that_do_not_begin_are_violations() {
    let sound = complete(503, &[""]);
    let history = history(Kind::ResumableStream, &[], sound.clone());
    let start = Instant::now();
    let sent = |id: String, at| Observation::Sent {
        id,
        kind: Kind::ResumableStream,
        target: "/stream/".into(),
        always_allowed: true,
        host: "127.0.0.1".into(),
        at,
    };
    for n in 0..9u64 {
        let (id, at) = (format!("h{n}"), start + Duration::from_secs(n));
        history.record(sent(id.clone(), at));
        history.record(Observation::Harmful { id: id.clone() });
        history.record(Observation::CrashedBy { id, at });
    }
    for n in 0..30 {
        let (id, at) = (format!("s{n}"), start + Duration::from_secs(20));
        history.record(sent(id.clone(), at));
        history.record(Observation::Finished { id, outcome: sound.clone(), at });
    }

    let violations = history.violations();

    assert!(violations.iter().any(|v| v.contains("0 of 30 sound streams")), "{violations:?}");
    assert!(!violations.iter().any(|v| v.contains("crashes by a prompt part")), "one late crash is allowed");
    for n in 9..12u64 {
        let id = format!("h{n}");
        history.record(sent(id.clone(), start + Duration::from_secs(n)));
        history.record(Observation::CrashedBy { id, at: start + Duration::from_secs(n) });
    }
    assert!(history.violations().iter().any(|v| v.contains("4 of 12 crashes by a prompt part were late")));
}

/// Guards against a check that misses a stream with events of two versions, in one answer or over two attempts.
#[test]
fn streams_of_two_versions_are_violations() {
    let in_one = Outcome::Disconnected(vec!["own 1 v1".into(), "own 2 v2".into()]);
    let over_two = history(Kind::ResumableStream, &["i-1"], Outcome::Disconnected(vec!["own 1 v1".into()]));
    let at = Instant::now();
    over_two.record(Observation::TakenUp { id: "r2".into(), first: "r1".into(), after: 1 });
    over_two.record(Observation::Sent {
        id: "r2".into(),
        kind: Kind::ResumableStream,
        target: "/stream/r1".into(),
        always_allowed: true,
        host: "127.0.0.1".into(),
        at,
    });
    let outcome = Outcome::Disconnected(vec!["own 2 v2".into()]);
    over_two.record(Observation::Finished { id: "r2".into(), outcome, at });

    assert!(!history(Kind::ResumableStream, &["i-1"], in_one).violations().is_empty());
    assert_eq!(over_two.violations().len(), 1);
}

/// Guards against a check that misses requests handled by an outdated version, or reports them although the host was out of
/// contact.
#[test]
fn requests_handled_by_an_old_version_are_violations() {
    let start = Instant::now() - Duration::from_secs(20);
    let history_with_status = |status| {
        let history = History::default();
        for (version, at) in [(4, 0), (5, 3)] {
            let at = start + Duration::from_secs(at);
            history.record(Observation::ConfigWritten { version, sent: at, acked: at });
        }
        let at = start + Duration::from_millis(if status == 200 { 5_100 } else { 2_100 });
        let (host, target) = ("127.0.0.1".to_owned(), "/mark-4/r1".to_owned());
        history.record(Observation::Sent {
            id: "r1".into(),
            kind: Kind::Idempotent,
            target,
            always_allowed: false,
            host,
            at,
        });
        history.record(Observation::Finished { id: "r1".into(), outcome: complete(status, &["own"]), at });
        history
    };

    for status in [200, 404] {
        let history = history_with_status(status);
        assert_eq!(history.violations().len(), 1, "{status}");
        let (from, to) = (start, start + Duration::from_secs(5));
        history.record(Observation::Fault { subject: "127.0.0.1".into(), from, to });
        assert_eq!(history.violations(), Vec::<String>::new(), "{status}");
    }
}

/// Guards against a check that misses retries beyond the budget, or counts the first arrival of a request as one.
#[test]
fn retries_beyond_the_budget_are_violations() {
    let history_with_retries = |retries: usize| {
        let history = history(Kind::Idempotent, &["i-1"], complete(200, &["own"]));
        let event = ServerEvent::Arrived(Instant::now());
        (0..=retries).for_each(|_| {
            history.record(Observation::AtServer { id: "r1".into(), engine: "i-1".into(), event });
        });
        history
    };

    assert_eq!(history_with_retries(12).violations(), Vec::<String>::new());
    assert_eq!(history_with_retries(13).violations().len(), 1);
}

/// Guards against a check that misses requests to a draining server, or reports them although the store was out of contact.
#[test]
fn requests_to_a_draining_server_are_violations() {
    let history = history(Kind::Idempotent, &["i-1"], complete(200, &["own"]));
    let long_before = Instant::now() - Duration::from_millis(2_500);
    history.record(Observation::DrainAnnounced { engine: "i-1".into(), at: long_before });

    assert_eq!(history.violations().len(), 1);
    let (from, to) = (Instant::now() - Duration::from_secs(1), Instant::now());
    history.record(Observation::Fault { subject: checks::STORE.into(), from, to });
    assert_eq!(history.violations().len(), 0);
}

/// Guards against a check that misses requests to a server that announced to their host that it is draining or requested a
/// pause, or reports them although the host was restarted since.
#[test]
fn requests_against_a_servers_announcement_are_violations() {
    let add = |history: &History, id: &str, event| {
        history.record(Observation::AtServer { id: id.into(), engine: "i-1".into(), event });
    };
    let history = history(Kind::Idempotent, &[], complete(200, &["own"]));
    let start = Instant::now() - Duration::from_secs(4);
    let (host, target) = ("127.0.0.1".to_owned(), "/safe/r0".to_owned());
    let sent = Observation::Sent {
        id: "r0".into(),
        kind: Kind::Idempotent,
        target,
        always_allowed: true,
        host,
        at: start,
    };
    history.record(sent);
    history.record(Observation::Finished { id: "r0".into(), outcome: complete(200, &["own"]), at: start });
    add(&history, "r0", ServerEvent::AnnouncedDrain);
    add(&history, "r0", ServerEvent::RequestedPause(start, Duration::from_secs(5)));
    (0..3).for_each(|_| add(&history, "r1", ServerEvent::Arrived(Instant::now())));

    let violations = history.violations();
    history.record(Observation::Restarted { host: "127.0.0.1".into(), at: start + Duration::from_secs(1) });

    assert_eq!(violations.len(), 4, "{violations:?}");
    assert_eq!(history.violations(), Vec::<String>::new());
}

/// History of one request with its executions and its outcome.
fn history(kind: Kind, executions: &[&str], outcome: Outcome) -> History {
    let (history, at) = (History::default(), Instant::now());
    let (id, target) = ("r1".to_owned(), format!("{}r1", kind.path()));
    let host = "127.0.0.1".into();
    history.record(Observation::Sent {
        id: id.clone(),
        kind,
        target: target.clone(),
        always_allowed: true,
        host,
        at,
    });
    for engine in executions {
        history.record(Observation::Executed {
            id: id.clone(),
            target: target.clone(),
            workspace: "travel".into(),
            with_key: false,
            engine: (*engine).into(),
            at,
        });
    }
    history.record(Observation::Finished { id, outcome, at: at + Duration::from_millis(10) });
    history
}

/// Outcome of a complete answer.
fn complete(status: u16, data: &[&str]) -> Outcome {
    Outcome::Complete { status, data: data.iter().map(|d| (*d).into()).collect() }
}

/// Guards against a check that misses answers which end before their deadline at a server that goes on, or that blames a host for
/// what its server has broken off.
#[test]
fn answers_given_up_at_a_server_that_goes_on_are_violations() {
    let broken = Outcome::Disconnected(vec!["own 1 v1".into()]);
    let silent = |kind, outcome| {
        let (from, history) = (Instant::now(), history(kind, &["i-1"], outcome));
        history.record(Observation::Silence { from, to: Instant::now() });
        history
    };
    let broken_off = || silent(Kind::ResumableStream, broken.clone());
    let fault = |history: &History, subject: &str| {
        let now = Instant::now();
        history.record(Observation::Fault { subject: subject.into(), from: now, to: now });
    };
    let (server_failed, host_failed, lost) = (broken_off(), broken_off(), broken_off());
    fault(&server_failed, "i-1");
    fault(&host_failed, "127.0.0.1");
    let event = ServerEvent::BrokeOff;
    lost.record(Observation::AtServer { id: "r1".into(), engine: "i-1".into(), event });

    let is_found = |history: History| history.violations().iter().any(|v| v.contains("given up before"));

    assert!(is_found(broken_off()));
    assert!(is_found(silent(Kind::Idempotent, complete(502, &[""]))));
    assert!(!is_found(history(Kind::Idempotent, &["i-1"], complete(502, &[""]))));
    assert!([server_failed, host_failed, lost].into_iter().all(|history| !is_found(history)));
}

/// Guards against checks that miss a violation, so that a run would pass for the wrong reason.
#[test]
fn violations_of_single_requests_are_found() {
    let truncated: Vec<_> = (1..STREAM_EVENTS).map(|n| format!("own {n} v1")).collect();
    let truncated: Vec<_> = truncated.iter().map(String::as_str).collect();
    let cases = [
        ("executed twice", Kind::NonIdempotent, vec!["i-1", "i-2"], complete(200, &["own"])),
        ("refused but executed", Kind::NonIdempotent, vec!["i-1"], complete(503, &[""])),
        ("answer to another request", Kind::Idempotent, vec!["i-1"], complete(200, &["own r2"])),
        ("truncated but complete", Kind::ResumableStream, vec!["i-1"], complete(200, &truncated)),
        (
            "repeated event",
            Kind::ResumableStream,
            vec!["i-1"],
            Outcome::Disconnected(vec!["own 1 v1".into(), "own 1 v1".into()]),
        ),
        ("missing event", Kind::ResumableStream, vec!["i-1"], Outcome::Disconnected(vec!["own 2 v1".into()])),
        ("denied", Kind::Idempotent, vec![], complete(404, &[""])),
    ];
    for (name, kind, executions, outcome) in cases {
        let violations = history(kind, &executions, outcome).violations();

        assert_eq!(violations.len(), 1, "{name}: {violations:?}");
    }
}

/// Guards against a check that misses an answer that a server wrote completely and the host lost, or reports it although the
/// host itself had a fault then.
#[test]
fn a_written_answer_must_arrive_unless_a_fault_accounts_for_it() {
    let history = history(Kind::NonIdempotent, &["i-1"], Outcome::Disconnected(Vec::new()));
    history.record(Observation::AnswerWritten { id: "r1".into(), engine: "i-1".into() });

    assert_eq!(history.violations().len(), 1);
    let (from, to) = (Instant::now(), Instant::now());
    history.record(Observation::Fault { subject: "127.0.0.1".into(), from, to });
    assert_eq!(history.violations().len(), 0);
}
