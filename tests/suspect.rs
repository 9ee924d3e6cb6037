//! Contents that crash backend servers: suspects, permits, quarantine and the digests between routers.

use std::{sync::Arc, time::Duration};

use cranberrytally::suspect::{
    CrashId, Fingerprint, Permits, RunningContents, Standing, SuspectTable, SuspectTableLimits, Verdict,
};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1);
const HOLD: Duration = Duration::from_secs(30);

fn content(n: u32) -> Fingerprint {
    Fingerprint::call("/", &n.to_le_bytes())
}

fn crash(n: u32) -> CrashId {
    CrashId::new(&format!("engine-{n}"), "1")
}

fn contents(range: std::ops::Range<u32>) -> Vec<Fingerprint> {
    range.map(content).collect()
}

fn chat(body: &str) -> Fingerprint {
    Fingerprint::chat(&serde_json::from_str(body).unwrap())
}

#[test]
fn a_fingerprint_follows_the_content_alone() {
    let base = chat(r#"{"model":"m","messages":[{"role":"user","content":"x"}]}"#);
    let same = [
        r#"{ "messages": [{"content":"x","role":"user"}], "model": "m" }"#,
        r#"{"model":"m","messages":[{"role":"user","content":"x"}],"user":"u","metadata":{"id":"2"},"stream":true}"#,
    ];
    let other = [
        r#"{"model":"m","messages":[{"role":"user","content":"y"}]}"#,
        r#"{"model":"n","messages":[{"role":"user","content":"x"}]}"#,
        r#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":9}"#,
    ];

    assert!(same.iter().all(|body| chat(body) == base));
    assert!(other.iter().all(|body| chat(body) != base));
}

/// A chat crashes an engine that also runs four other chats, and its caller resends it. Only the chat that crashes a
/// second engine as the only suspect there is quarantined. The others are isolated until they complete.
#[test]
fn the_second_isolated_crash_quarantines_only_its_content() {
    let mut table = SuspectTable::default();
    table.mark_suspects(NOW, &contents(0..5), crash(1));
    assert!(contents(0..5).iter().all(|c| table.standing(NOW, *c) == Standing::Suspect));

    let standing = table.record_isolated_crash(NOW, content(0), &[content(0), content(7)], crash(2));

    assert_eq!(standing, Standing::Quarantined);
    for c in contents(1..5).into_iter().chain([content(7)]) {
        assert_eq!(table.standing(NOW, c), Standing::Suspect);
        table.clear(NOW, c);
        assert_eq!(table.standing(NOW, c), Standing::Cleared);
    }
}

/// A new crashing content runs beside a harmless suspect, which is quarantined as the only suspect on the engine.
/// The new content becomes a suspect as well. When it crashes its next engine, it is quarantined, and the harmless
/// content is a suspect again instead of staying quarantined for minutes.
#[test]
fn the_quarantine_moves_to_the_true_cause() {
    let mut table = SuspectTable::default();
    let (harmless, cause) = (content(0), content(1));
    table.mark_suspects(NOW, &[harmless], crash(1));
    assert_eq!(
        table.record_isolated_crash(NOW, harmless, &[harmless, cause], crash(2)),
        Standing::Quarantined
    );

    assert_eq!(table.record_isolated_crash(NOW, cause, &[cause], crash(3)), Standing::Quarantined);

    assert_eq!(table.standing(NOW, harmless), Standing::Suspect);
}

/// Two engines flap. A chat that fails on the first runs isolated on the second and fails again, but crashed neither.
/// A crash of an engine that crashed recently is no evidence against the chat; only its third crash quarantines it.
#[test]
fn a_flapping_engine_causes_no_quarantine() {
    let mut table = SuspectTable::default();
    table.mark_suspects(NOW, &contents(1..5), crash(2));
    table.mark_suspects(NOW, &[content(0)], crash(1));
    let flap = CrashId::new("engine-2", "2");
    assert!(table.unstable_engines(NOW).contains(&flap.engine()));

    assert_eq!(
        table.record_isolated_crash(NOW, content(0), &[content(0), content(9)], flap),
        Standing::Suspect
    );

    assert_eq!(table.standing(NOW, content(9)), Standing::Suspect, "all that was running there is suspect");
    assert_eq!(
        table.record_isolated_crash(NOW, content(0), &[], CrashId::new("engine-1", "2")),
        Standing::Quarantined
    );
}

#[test]
fn an_engine_is_stable_again_when_its_crash_is_attributed() {
    let mut table = SuspectTable::default();
    table.mark_suspects(NOW, &contents(0..5), crash(1));
    assert!(table.unstable_engines(NOW).contains(&crash(1).engine()));

    table.record_isolated_crash(NOW, content(0), &[], crash(2));

    assert!(table.unstable_engines(NOW).is_empty());
}

#[test]
fn a_suspect_that_completes_is_cleared() {
    let mut table = SuspectTable::default();
    table.mark_suspects(NOW, &contents(0..2), crash(1));

    table.clear(NOW, content(0));

    assert_eq!(table.standing(NOW, content(0)), Standing::Cleared);
    assert_eq!(table.standing(NOW, content(1)), Standing::Suspect);
}

/// A switch drops the connection to a running engine, whose requests become suspects before the engine can be probed.
/// When a probe finds the same start number, the crash is retracted.
#[test]
fn a_broken_connection_to_a_running_engine_is_no_crash() {
    let mut table = SuspectTable::default();
    table.mark_suspects(NOW, &contents(0..5), crash(1));

    table.retract_crash(NOW, crash(1));

    assert!(contents(0..5).iter().all(|c| table.standing(NOW, *c) == Standing::Cleared));
}

/// The link to an engine flaps, and another engine leaves while a chat that failed on the first runs there isolated.
/// The chat is quarantined until the first engine is probed and has not restarted. Its crash is then retracted,
/// which leaves one crash at most, also at the other routers.
#[test]
fn a_retracted_crash_ends_the_quarantine() {
    let (mut table, mut other) = (SuspectTable::default(), SuspectTable::default());
    table.mark_suspects(NOW, &[content(0)], crash(1));
    assert_eq!(table.record_isolated_crash(NOW, content(0), &[], crash(2)), Standing::Quarantined);
    other.merge(NOW, &table.digest(NOW, 400));

    table.retract_crash(NOW, crash(1));
    other.merge(NOW, &table.digest(NOW, 400));

    assert_eq!(table.standing(NOW, content(0)), Standing::Suspect);
    assert_eq!(other.standing(NOW, content(0)), Standing::Suspect);
    assert!(
        table.unstable_engines(NOW).contains(&crash(1).engine()),
        "suspects don't run over a flapping link"
    );
}

/// A content is quarantined while both engines are unreachable. Until they have had time to answer again, the caller
/// is told to retry rather than that its content is refused permanently.
#[test]
fn a_fresh_quarantine_is_provisional() {
    let mut table = SuspectTable::default();
    table.mark_suspects(NOW, &[content(0)], crash(1));
    table.record_isolated_crash(NOW, content(0), &[], crash(2));

    assert!(table.is_provisional(NOW + Duration::from_secs(9), content(0)));
    assert!(!table.is_provisional(NOW + Duration::from_secs(11), content(0)));
    assert_eq!(table.standing(NOW + Duration::from_secs(11), content(0)), Standing::Quarantined);
}

#[test]
fn one_crash_alone_is_not_enough() {
    let mut table = SuspectTable::default();

    assert_eq!(table.record_isolated_crash(NOW, content(0), &[], crash(1)), Standing::Suspect);
}

/// Two routers ran requests on the engine that crashed second. The router with the permit quarantines its content;
/// the other merges that, while its own contents are suspects but never quarantined for this crash.
#[test]
fn another_router_merges_the_quarantine() {
    let (mut one, mut other) = (SuspectTable::default(), SuspectTable::default());
    one.mark_suspects(NOW, &[content(0)], crash(1));
    one.record_isolated_crash(NOW, content(0), &[], crash(2));
    other.mark_suspects(NOW, &contents(5..9), crash(2));

    other.merge(NOW, &one.digest(NOW, 400));

    assert_eq!(other.standing(NOW, content(0)), Standing::Quarantined);
    assert!(contents(5..9).iter().all(|c| other.standing(NOW, *c) == Standing::Suspect));
}

/// A content is sent again after its quarantine. Treated as new it would crash two engines each time; as a suspect
/// it is quarantined again after one crash, at all routers.
#[test]
fn after_its_quarantine_a_content_is_a_suspect() {
    let limits = SuspectTableLimits::default().with_ttls(HOLD, Duration::from_secs(600));
    let (mut table, mut other) = (SuspectTable::new(limits), SuspectTable::new(limits));
    table.mark_suspects(NOW, &[content(0)], crash(1));
    table.record_isolated_crash(NOW, content(0), &[], crash(2));
    other.merge(NOW, &table.digest(NOW, 400));
    let later = NOW + Duration::from_secs(601);
    assert_eq!(table.standing(later, content(0)), Standing::Suspect);

    table.record_isolated_crash(later, content(0), &[], crash(3));
    other.merge(later, &table.digest(later, 400));

    assert_eq!(other.standing(later, content(0)), Standing::Quarantined);
    assert_eq!(table.standing(later + Duration::from_secs(1201), content(0)), Standing::Cleared);
}

/// Two routers send two suspects of the same crash to one engine. If both ran there, the crash caused by one would be
/// attributed to both.
#[test]
fn an_engine_runs_one_suspect_and_a_suspect_runs_once() {
    let mut permits = Permits::default();
    assert_eq!(permits.acquire(NOW, content(0), "a", HOLD), Verdict::Granted);

    assert_eq!(permits.acquire(NOW, content(1), "a", HOLD), Verdict::EngineTaken);
    assert_eq!(permits.acquire(NOW, content(0), "b", HOLD), Verdict::ContentRunning);
    permits.release(content(0), "a");
    assert_eq!(permits.acquire(NOW, content(1), "a", HOLD), Verdict::Granted);
}

/// A router crashes while it holds a permit, which must expire so that its engine can run suspects again. If the
/// router was only paused, its late release must not free the permit that another router holds by then.
#[test]
fn a_permit_expires_and_a_late_release_frees_no_other() {
    let mut permits = Permits::default();
    permits.acquire(NOW, content(0), "a", HOLD);
    let later = NOW + HOLD;
    assert_eq!(permits.acquire(later, content(0), "b", HOLD), Verdict::Granted);

    permits.release(content(0), "a");

    assert_eq!(permits.acquire(later, content(0), "c", HOLD), Verdict::ContentRunning);
    assert_eq!(permits.acquire(later, content(1), "b", HOLD), Verdict::EngineTaken);
}

#[test]
fn running_contents_are_known_by_engine() {
    let mut running = RunningContents::default();
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let run = running.start(&a, content(0));
    running.start(&a, content(1));
    running.start(&b, content(2));

    running.finish(&a, run);

    assert_eq!(running.contents_on("a"), [content(1)]);
    assert_eq!(running.contents_on("c"), []);
}

/// A data centre loses power with thousands of requests running. The table must stay within its limit without losing
/// existing quarantines.
#[test]
fn the_table_is_bounded_and_keeps_quarantined_contents() {
    let mut table = SuspectTable::new(SuspectTableLimits::default().with_max_entries(100));
    table.mark_suspects(NOW, &[content(0)], crash(0));
    table.record_isolated_crash(NOW, content(0), &[], crash(1));

    table.mark_suspects(NOW, &contents(1..5000), crash(2));

    assert!(table.len() <= 100);
    assert_eq!(table.standing(NOW, content(0)), Standing::Quarantined);
}

/// A second crash may follow the first within milliseconds. An urgent digest that repeats entries sent before would
/// crowd out the content that crashes engines.
#[test]
fn unsent_returns_each_change_once() {
    let mut table = SuspectTable::default();
    table.mark_suspects(NOW, &contents(0..10), crash(1));
    assert_eq!(table.unsent(NOW, 4096).entries.len(), 10);
    assert!(table.unsent(NOW, 4096).entries.is_empty());

    table.record_isolated_crash(NOW, content(0), &[], crash(2));

    assert_eq!(table.unsent(NOW, 4096).entries.len(), 1);
    assert_eq!(table.digest(NOW, 4096).entries.len(), 10, "gossip repeats");
}

proptest! {
    /// Routers merge the same digests in any order. Once they have merged all, no router may run a quarantined
    /// content freely or hold back a completed one.
    #[test]
    fn tables_converge_in_any_merge_order(order in Just((0..4usize).collect::<Vec<_>>()).prop_shuffle()) {
        let mut source = SuspectTable::default();
        let mut digests = Vec::new();
        source.mark_suspects(NOW, &contents(0..5), crash(1));
        digests.push(source.digest(NOW, 400));
        source.clear(NOW, content(3));
        digests.push(source.digest(NOW, 400));
        source.record_isolated_crash(NOW, content(0), &[], crash(2));
        digests.push(source.digest(NOW, 400));
        digests.push(source.digest(NOW, 400));
        let mut table = SuspectTable::default();

        for i in order {
            table.merge(NOW, &digests[i]);
        }

        for c in contents(0..5) {
            prop_assert_eq!(table.standing(NOW, c), source.standing(NOW, c));
        }
    }

    #[test]
    fn a_digest_stays_within_its_bytes(bytes in 0usize..600, count in 0u32..200) {
        let mut table = SuspectTable::default();
        table.mark_suspects(NOW, &contents(0..count), crash(1));

        let digest = table.digest(NOW, bytes);

        prop_assert!(digest.entries.is_empty() || postcard::to_stdvec(&digest).unwrap().len() <= bytes);
    }
}
