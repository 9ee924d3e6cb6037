//! Requests that crash backend servers: suspects, permits, quarantine and what routers tell each other.

use std::{sync::Arc, time::Duration};

use cranberrytally::suspect::{
    CrashId, Fingerprint, Permits, Running, Standing, Table, TableLimits, Verdict,
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

/// A chat crashes the engine that runs it and four neighbours; its caller sends it again.
/// Only the chat that crashes a second engine while alone among suspects is kept out. The neighbours, which
/// merely were nearby, run apart and are free once they have completed.
#[test]
fn the_second_crash_alone_quarantines_and_no_neighbour_is() {
    let mut table = Table::default();
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

/// A new crashing content runs beside an innocent suspect, and the innocent, alone among suspects, is blamed.
/// Left at that, an innocent would be kept out for minutes for each engine that the other crashes. The other
/// is a suspect as well, shows itself on its next engine, and the blame for the shared crash moves to it.
#[test]
fn the_blame_moves_when_the_true_cause_shows() {
    let mut table = Table::default();
    let (innocent, cause) = (content(0), content(1));
    table.mark_suspects(NOW, &[innocent], crash(1));
    assert_eq!(
        table.record_isolated_crash(NOW, innocent, &[innocent, cause], crash(2)),
        Standing::Quarantined
    );

    assert_eq!(table.record_isolated_crash(NOW, cause, &[cause], crash(3)), Standing::Quarantined);

    assert_eq!(table.standing(NOW, innocent), Standing::Suspect);
}

/// Two engines flap. A chat is broken by the one, runs apart on the other and is broken again: it crashed
/// neither, and its caller must get an answer. A crash of an engine that broke lately proves nothing; only a
/// third crash is one too many.
#[test]
fn a_flapping_engine_convicts_nobody() {
    let mut table = Table::default();
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
fn an_engine_is_steady_again_when_its_crash_is_explained() {
    let mut table = Table::default();
    table.mark_suspects(NOW, &contents(0..5), crash(1));
    assert!(table.unstable_engines(NOW).contains(&crash(1).engine()));

    table.record_isolated_crash(NOW, content(0), &[], crash(2));

    assert!(table.unstable_engines(NOW).is_empty());
}

#[test]
fn a_suspect_that_completes_is_cleared() {
    let mut table = Table::default();
    table.mark_suspects(NOW, &contents(0..2), crash(1));

    table.clear(NOW, content(0));

    assert_eq!(table.standing(NOW, content(0)), Standing::Cleared);
    assert_eq!(table.standing(NOW, content(1)), Standing::Suspect);
}

/// A switch drops a connection while the engine goes on. All its requests were made suspects as the
/// connection broke, before the engine could be asked; the same start identifier takes that back.
#[test]
fn a_broken_connection_to_a_living_engine_accuses_nobody() {
    let mut table = Table::default();
    table.mark_suspects(NOW, &contents(0..5), crash(1));

    table.retract_crash(NOW, crash(1));

    assert!(contents(0..5).iter().all(|c| table.standing(NOW, *c) == Standing::Cleared));
}

/// A link to one engine flaps, and another engine leaves while a chat that the first one broke runs on it
/// alone. The chat is quarantined, until the first engine is seen in its old start: it never crashed, so the
/// chat has at most one crash against it, and the other routers hear of that as well.
#[test]
fn an_engine_that_never_crashed_is_no_evidence() {
    let (mut table, mut other) = (Table::default(), Table::default());
    table.mark_suspects(NOW, &[content(0)], crash(1));
    assert_eq!(table.record_isolated_crash(NOW, content(0), &[], crash(2)), Standing::Quarantined);
    other.merge(NOW, &table.digest(NOW, 400));

    table.retract_crash(NOW, crash(1));
    other.merge(NOW, &table.digest(NOW, 400));

    assert_eq!(table.standing(NOW, content(0)), Standing::Suspect);
    assert_eq!(other.standing(NOW, content(0)), Standing::Suspect);
    assert!(
        table.unstable_engines(NOW).contains(&crash(1).engine()),
        "a link that flaps is not for suspects"
    );
}

/// The verdict came while both engines were out of reach. Until they had time to come back, the caller is told
/// to try again, not that its content is refused for good.
#[test]
fn a_fresh_quarantine_is_provisional() {
    let mut table = Table::default();
    table.mark_suspects(NOW, &[content(0)], crash(1));
    table.record_isolated_crash(NOW, content(0), &[], crash(2));

    assert!(table.is_provisional(NOW + Duration::from_secs(9), content(0)));
    assert!(!table.is_provisional(NOW + Duration::from_secs(11), content(0)));
    assert_eq!(table.standing(NOW + Duration::from_secs(11), content(0)), Standing::Quarantined);
}

#[test]
fn one_crash_alone_is_not_enough() {
    let mut table = Table::default();

    assert_eq!(table.record_isolated_crash(NOW, content(0), &[], crash(1)), Standing::Suspect);
}

/// Two routers ran requests on the engine of the second crash. The one with the permit quarantines its content;
/// the other only hears of that, and its own requests are suspects but never quarantined for it.
#[test]
fn another_router_takes_the_verdict_over() {
    let (mut one, mut other) = (Table::default(), Table::default());
    one.mark_suspects(NOW, &[content(0)], crash(1));
    one.record_isolated_crash(NOW, content(0), &[], crash(2));
    other.mark_suspects(NOW, &contents(5..9), crash(2));

    other.merge(NOW, &one.digest(NOW, 400));

    assert_eq!(other.standing(NOW, content(0)), Standing::Quarantined);
    assert!(contents(5..9).iter().all(|c| other.standing(NOW, *c) == Standing::Suspect));
}

/// After its quarantine the content comes again. Taken for new it would cost two engines each time; it comes
/// back as a suspect, and one crash puts it away again, at every router.
#[test]
fn after_its_quarantine_a_content_is_a_suspect() {
    let limits = TableLimits::default().with_ttls(HOLD, Duration::from_secs(600));
    let (mut table, mut other) = (Table::new(limits), Table::new(limits));
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

/// Two suspects of one crash are sent by two routers to the same engine. If both ran there, the crash that one
/// causes would be blamed on both.
#[test]
fn an_engine_runs_one_suspect_and_a_suspect_runs_once() {
    let mut permits = Permits::default();
    assert_eq!(permits.acquire(NOW, content(0), "a", HOLD), Verdict::Granted);

    assert_eq!(permits.acquire(NOW, content(1), "a", HOLD), Verdict::EngineTaken);
    assert_eq!(permits.acquire(NOW, content(0), "b", HOLD), Verdict::ContentRunning);
    permits.release(content(0), "a");
    assert_eq!(permits.acquire(NOW, content(1), "a", HOLD), Verdict::Granted);
}

/// A router dies with a permit. Its engine must not be closed to suspects for ever; and when the router was
/// only paused, its late release must not free the permit that another holds by then.
#[test]
fn a_permit_lapses_and_a_late_release_frees_no_other() {
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
    let mut running = Running::default();
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let run = running.start(&a, content(0));
    running.start(&a, content(1));
    running.start(&b, content(2));

    running.finish(&a, run);

    assert_eq!(running.contents_on("a"), [content(1)]);
    assert_eq!(running.contents_on("c"), []);
}

/// A whole data centre loses power with thousands of requests running. The table must not grow with it, and
/// must not lose the quarantine that stands.
#[test]
fn the_table_is_bounded_and_keeps_quarantined_contents() {
    let mut table = Table::new(TableLimits::default().with_max_entries(100));
    table.mark_suspects(NOW, &[content(0)], crash(0));
    table.record_isolated_crash(NOW, content(0), &[], crash(1));

    table.mark_suspects(NOW, &contents(1..5000), crash(2));

    assert!(table.len() <= 100);
    assert_eq!(table.standing(NOW, content(0)), Standing::Quarantined);
}

/// The second crash follows the first within milliseconds. News that repeats what was told would crowd out the
/// content that crashes engines.
#[test]
fn news_tells_each_change_once() {
    let mut table = Table::default();
    table.mark_suspects(NOW, &contents(0..10), crash(1));
    assert_eq!(table.unsent(NOW, 4096).entries.len(), 10);
    assert!(table.unsent(NOW, 4096).entries.is_empty());

    table.record_isolated_crash(NOW, content(0), &[], crash(2));

    assert_eq!(table.unsent(NOW, 4096).entries.len(), 1);
    assert_eq!(table.digest(NOW, 4096).entries.len(), 10, "gossip repeats");
}

proptest! {
    /// Routers hear of the same crashes in any order; after all has been told, none may take a quarantined
    /// content for free or hold a completed one back.
    #[test]
    fn tables_agree_in_whatever_order_they_hear(order in Just((0..4usize).collect::<Vec<_>>()).prop_shuffle()) {
        let mut source = Table::default();
        let mut news = Vec::new();
        source.mark_suspects(NOW, &contents(0..5), crash(1));
        news.push(source.digest(NOW, 400));
        source.clear(NOW, content(3));
        news.push(source.digest(NOW, 400));
        source.record_isolated_crash(NOW, content(0), &[], crash(2));
        news.push(source.digest(NOW, 400));
        news.push(source.digest(NOW, 400));
        let mut table = Table::default();

        for i in order {
            table.merge(NOW, &news[i]);
        }

        for c in contents(0..5) {
            prop_assert_eq!(table.standing(NOW, c), source.standing(NOW, c));
        }
    }

    #[test]
    fn a_digest_stays_within_its_bytes(bytes in 0usize..600, count in 0u32..200) {
        let mut table = Table::default();
        table.mark_suspects(NOW, &contents(0..count), crash(1));

        let digest = table.digest(NOW, bytes);

        prop_assert!(digest.entries.is_empty() || postcard::to_stdvec(&digest).unwrap().len() <= bytes);
    }
}
