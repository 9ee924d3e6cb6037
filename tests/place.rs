//! Parts of placement: ranking, hints, health, cache events, context transfer and the load bound.

use std::{sync::Arc, time::Duration};

use cranberrytally::{
    catalog::{AnyObject, Catalog, Id, Object},
    engine::ChatId,
    place::{
        bound::{LoadDigest, MeanLoad},
        cache::{CacheEvent, EvictionTracker},
        health::Health,
        hint::{CachedCopy, Hint, HintKey, MAX_COPIES},
        transfer::TransferCosts,
    },
    schema::object::Meta,
};

const CHATS: u64 = 4_000;
const CHAT: ChatId<'_> = ChatId { workspace: "phrasebook", chat: "chat" };

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn object(kind: &str, name: &str, spec: serde_json::Value) -> AnyObject {
    Object { kind: kind.into(), metadata: Meta { name: name.into(), ..Meta::default() }, spec }
}

/// A pool of engines with these capacities.
fn catalog(capacities: &[u32]) -> Catalog {
    let mut objects = vec![object("EnginePool", "pool", serde_json::json!({}))];
    for (at, capacity) in capacities.iter().enumerate() {
        let spec =
            serde_json::json!({ "address": "127.0.0.1:9", "dataCentre": "poa-a", "capacity": capacity });
        objects.push(object("Engine", &format!("engine-{at}"), spec));
    }
    let (cat, faults) = Catalog::compile(1, &objects);
    assert!(faults.is_empty(), "{faults:?}");
    cat
}

fn ranked(cat: &Catalog, chat: u64) -> Vec<Arc<str>> {
    let pool = cat.pool_by_id(Id::of("pool")).unwrap();
    pool.by_data_centre()[0].1.top(chat).iter().map(|key| cat.engine(key).name.clone()).collect()
}

fn hint() -> Hint {
    let copy = CachedCopy { engine: "engine-1".into(), start: 7, tokens: 900 };
    Hint { home: "poa-a".into(), copies: vec![copy] }
}

/// When an engine joins or leaves, only the chats that it wins or loses may change their first choice. Any other chat
/// that moves needlessly finds a cold cache.
#[test]
fn only_the_chats_of_engines_that_differ_move() {
    let all = catalog(&[8; 12]);
    let fewer = catalog(&[8; 11]);

    let moved = (0..CHATS).filter(|&c| ranked(&all, c)[0] != ranked(&fewer, c)[0]);
    let wrong = moved.clone().filter(|&c| &*ranked(&all, c)[0] != "engine-11").count();

    assert_eq!(wrong, 0);
    assert!((CHATS / 16..CHATS / 8).contains(&(moved.count() as u64)));
}

#[test]
fn the_second_choice_is_the_first_without_the_first() {
    let all = catalog(&[8; 12]);
    let fewer = catalog(&[8; 11]);

    for chat in 0..CHATS {
        let ranked_all = ranked(&all, chat);
        if &*ranked_all[0] == "engine-11" {
            assert_eq!(ranked_all[1], ranked(&fewer, chat)[0]);
        }
    }
}

#[test]
fn an_engine_wins_chats_in_proportion_to_its_capacity() {
    let cat = catalog(&[8, 8, 16, 32]);

    let wins = |name: &str| (0..CHATS).filter(|&c| &*ranked(&cat, c)[0] == name).count() as f64;

    for (name, share) in [("engine-0", 0.125), ("engine-2", 0.25), ("engine-3", 0.5)] {
        let won = wins(name) / CHATS as f64;
        assert!((won - share).abs() < 0.03, "{name} won {won:.3}");
    }
}

#[test]
fn a_hint_round_trips() {
    let key = HintKey::new("k");

    let opened = key.verify(CHAT, &key.sign(CHAT, &hint()));

    assert_eq!(opened, Some(hint()));
}

/// Callers must not be able to select an engine with a hint that is altered, forged, or issued for another chat or
/// fleet. Such a hint is ignored.
#[test]
fn an_invalid_hint_is_rejected() {
    let key = HintKey::new("k");
    let good = key.sign(CHAT, &hint());
    let mut altered = good.clone().into_bytes();
    altered[4] ^= 1;
    let altered = String::from_utf8_lossy(&altered).into_owned();
    let long = "A".repeat(100_000);
    let cases = [
        ("another chat's", ChatId { chat: "other", ..CHAT }, good.as_str()),
        ("another workspace's", ChatId { workspace: "excursions", ..CHAT }, good.as_str()),
        ("names that join alike", ChatId { workspace: "phrasebookc", chat: "hat" }, good.as_str()),
        ("altered", CHAT, altered.as_str()),
        ("cut short", CHAT, &good[..good.len() - 4]),
        ("empty", CHAT, ""),
        ("a name in plain text", CHAT, "engine-1"),
        ("too long", CHAT, long.as_str()),
    ];

    for (what, chat, text) in cases {
        assert_eq!(key.verify(chat, text), None, "{what}");
    }
    assert_eq!(HintKey::new("other").verify(CHAT, &good), None, "another fleet's");
}

#[test]
fn a_hint_keeps_the_newest_copies() {
    let copy = |engine: &str| CachedCopy { engine: engine.into(), start: 1, tokens: 10 };

    let hint = ["a", "b", "c", "b"].into_iter().fold(Hint::default(), |h, e| h.with_copy(copy(e)));

    let names: Vec<_> = hint.copies.iter().map(|c| &*c.engine).collect();
    assert_eq!(names, ["b", "c"]);
    assert_eq!(hint.copies.len(), MAX_COPIES);
}

/// An engine with a flapping network is held down from its second failure on, for a time that doubles. Otherwise its
/// chats would move back and forth and find a cold cache each time.
#[test]
fn a_flapping_engine_is_held_down_longer_each_time() {
    let mut health = Health::default();
    let engine = Id::of("engine");
    let mut held = Vec::new();

    for flap in 0..6 {
        let at = s(100 * flap);
        health.mark_down(engine, at);
        assert!(!health.is_available(engine, at));
        health.mark_up(engine, at + s(1));
        held.push((0..100).find(|&t| health.is_available(engine, at + s(1 + t))).unwrap());
    }

    assert_eq!(held, [0, 5, 10, 20, 40, 40]);
}

#[test]
fn a_leaving_engine_is_unavailable_until_it_restarts() {
    let mut health = Health::default();
    let engine = Id::of("engine");
    health.set_start(engine, 1);

    health.mark_leaving(engine);
    health.set_start(engine, 1);
    health.mark_up(engine, s(1));
    assert!(!health.is_available(engine, s(60)));

    health.set_start(engine, 2);
    assert!(health.is_available(engine, s(60)));
}

/// After a gap in the events, an evicted chat may have been stored again. The eviction is dropped, and the chat is
/// sent to the engine in its hint.
#[test]
fn an_eviction_is_dropped_at_a_gap() {
    let engine = Id::of("engine");
    let mut cache = EvictionTracker::default();

    cache.record(engine, 1, CacheEvent::Evicted(7));
    assert!(cache.has_evicted(engine, 7));
    cache.record(engine, 1, CacheEvent::Stored(7));
    assert!(cache.has_evicted(engine, 7), "an old event is ignored");
    cache.record(engine, 5, CacheEvent::Evicted(8));
    assert!(!cache.has_evicted(engine, 7), "the gap may hide a store");
    assert!(cache.has_evicted(engine, 8));
    cache.mark_cached(engine, 8);
    assert!(!cache.has_evicted(engine, 8), "a request stores it anew");
}

#[test]
fn evictions_take_bounded_memory() {
    let engine = Id::of("engine");
    let mut cache = EvictionTracker::default();

    (1..=10_000).for_each(|n| cache.record(engine, n, CacheEvent::Evicted(n)));

    assert!(!cache.has_evicted(engine, 1));
    assert!(cache.has_evicted(engine, 10_000));
}

#[test]
fn a_long_context_is_moved_and_a_short_one_computed_again() {
    let costs = TransferCosts::default();

    let cases = [(0, false), (100, false), (1_000, true), (30_000, true)];

    for (tokens, moved) in cases {
        assert_eq!(costs.is_transfer_faster(tokens), moved, "{tokens} tokens");
    }
}

/// Any multiple of a mean near zero is less than one request. A strict bound would refuse the first requests of the
/// day while all engines are idle.
#[test]
fn a_small_mean_lets_one_request_through() {
    let pool = |work, running| MeanLoad::from_total(LoadDigest { work, running, capacity: 9 * 8 });

    // Work in the pool, requests in the pool, work on the engine, work of the request, whether it fits.
    let cases = [
        (0, 0, 0, 500, true),
        (500, 1, 0, 500, true),
        (500, 1, 500, 500, false),
        (4_500, 9, 500, 500, true),
        (4_500, 9, 1_000, 500, false),
        (450_000, 900, 50_000, 500, true),
        (450_000, 900, 62_400, 500, false),
    ];

    for (work, running, load, asked, fits) in cases {
        let limit = pool(work, running).limit(8, 1.25, asked, true);
        assert_eq!((load + asked) as f64 <= limit, fits, "{work} in {running}, {load} + {asked}: {limit}");
    }
}
