//! Several routers and the engines that they own: the bound when lists differ, engines fail and routers crash.

use std::time::Duration;

use cranberrytally::{
    catalog::{AnyObject, Catalog, Id, Object},
    place::{
        Placer, Refusal, Request,
        bound::Digest,
        hint::{CachedCopy, Hint},
        ledger::ReservationId,
        members::Member,
        search::{Search, Step},
    },
    schema::object::Meta,
    util::hash,
};

const WORK: u64 = 100;
const BOUND: f64 = 1.25;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn object(kind: &str, name: &str, tier: &str, spec: serde_json::Value) -> AnyObject {
    let labels = [("tier".to_owned(), tier.to_owned())].into();
    Object { kind: kind.into(), metadata: Meta { name: name.into(), labels, ..Meta::default() }, spec }
}

/// A pool of `chosen` engines, and two engines that its selector leaves out.
fn catalog(chosen: usize) -> Catalog {
    let select = serde_json::json!({ "engines": { "matchLabels": { "tier": "chosen" } } });
    let mut objects = vec![object("EnginePool", "pool", "", select)];
    for at in 0..chosen + 2 {
        let tier = if at < chosen { "chosen" } else { "excluded" };
        let spec = serde_json::json!({ "address": "127.0.0.1:9", "dataCentre": "akl-a", "capacity": 8 });
        objects.push(object("Engine", &format!("engine-{at}"), tier, spec));
    }
    let (cat, faults) = Catalog::compile(1, &objects);
    assert!(faults.is_empty(), "{faults:?}");
    cat
}

fn member(name: &str) -> Member {
    let addr = ([127, 0, 0, 1], 9).into();
    let (data_centre, region) = ("akl-a".into(), "nz-north".into());
    Member { id: Id::of(name), data_centre, region, peer: addr, addr }
}

fn router(name: &str, members: &[&str]) -> Placer {
    let mut placer = Placer::new(Id::of(name), "akl-a");
    placer.set_members(members.iter().map(|m| member(m)).collect(), s(0));
    placer
}

fn request(placer: &Placer, number: u64, engine: Id) -> Request {
    let reservation = ReservationId { router: placer.me(), number };
    Request { reservation, engine: Some(engine), pool: Id::of("pool"), work: WORK, above_mean: true }
}

fn owned_by(placer: &mut Placer, engine: Id) -> Id {
    placer.owner(engine, "akl-a").unwrap().id
}

/// The steps of a walk in which every engine refuses.
fn steps(placer: &mut Placer, cat: &Catalog, chat: &str, hint: Option<&Hint>, now: Duration) -> Vec<Step> {
    let pool = cat.pool_by_id(Id::of("pool")).unwrap();
    let mut search = Search::new(placer, cat, pool, hash(chat), hint, []);
    std::iter::from_fn(|| search.next(placer, cat, pool, now)).collect()
}

fn engines(steps: &[Step]) -> Vec<Id> {
    steps.iter().filter_map(|step| step.engine.map(|c| c.id)).collect()
}

/// Fills an engine until it is refused; returns the work granted.
fn fill(placer: &mut Placer, cat: &Catalog, engine: Id, from: u64, now: Duration) -> u64 {
    let granted = (from..from + 10_000)
        .take_while(|&n| placer.reserve(cat, &request(placer, n, engine), now).is_ok())
        .count();
    granted as u64 * WORK
}

/// A pool whose other owner carries `work` on `engines` engines.
fn note_others(placer: &mut Placer, engines: u64, work: u64, now: Duration) {
    let digest = Digest { work, running: (work / WORK) as u32, capacity: engines * 8 };
    placer.record_digest(Id::of("other"), Id::of("pool"), digest, now);
}

#[test]
fn two_routers_walk_in_the_same_order() {
    let cat = catalog(12);
    let mut a = router("a", &["a", "b"]);
    let mut b = router("b", &["a", "b"]);

    for chat in 0..100 {
        let chat = format!("chat-{chat}");
        let walk = |p: &mut Placer| engines(&steps(p, &cat, &chat, None, s(1)));
        assert_eq!(walk(&mut a), walk(&mut b));
    }
}

/// One router has heard that an engine is down, the other not yet. Their walks differ in this engine only; a
/// chat of another engine goes to the same place from either.
#[test]
fn routers_with_different_lists_differ_in_that_engine_only() {
    let cat = catalog(5);
    let mut a = router("a", &["a"]);
    let mut b = router("b", &["b"]);
    let down = Id::of("engine-2");
    a.health.mark_down(down, s(1));

    for chat in 0..100 {
        let chat = format!("chat-{chat}");
        let mut want = engines(&steps(&mut b, &cat, &chat, None, s(1)));
        want.retain(|&id| id != down);
        assert_eq!(engines(&steps(&mut a, &cat, &chat, None, s(1))), want);
    }
}

/// Every engine that the operator chose is down, and idle engines stand beside. The chat is refused; sending it
/// to an engine that the selector leaves out would break the operator's word.
#[test]
fn an_excluded_engine_is_never_a_fallback() {
    let cat = catalog(3);
    let mut a = router("a", &["a"]);
    let excluded = Id::of("engine-3");
    (0..3).for_each(|at| a.health.mark_down(Id::of(&format!("engine-{at}")), s(1)));
    let copies = vec![CachedCopy { engine: "engine-3".into(), start: 0, tokens: 500 }];
    let hint = Hint { home: "akl-a".into(), copies };

    let walk = steps(&mut a, &cat, "chat", Some(&hint), s(1));
    let asked = a.reserve(&cat, &request(&a, 1, excluded), s(1));

    assert_eq!(walk, []);
    assert_eq!(asked, Err(Refusal::Unavailable));
}

/// A chat overflowed to its second engine and has its newest context there. Its hint names both; it returns to
/// the fuller copy, and to the older one when that stands at the bound, before any engine without a copy.
#[test]
fn an_overflowed_chat_returns_to_its_fuller_copy() {
    let cat = catalog(12);
    let mut a = router("a", &["a"]);
    let copy = |engine: &str, tokens| CachedCopy { engine: engine.into(), start: 0, tokens };
    let hint = Hint { home: "akl-a".into(), copies: vec![copy("engine-9", 900), copy("engine-4", 500)] };

    let walk = engines(&steps(&mut a, &cat, "chat", Some(&hint), s(1)));

    assert_eq!(walk[..2], [Id::of("engine-9"), Id::of("engine-4")]);
    assert_eq!(walk.iter().collect::<std::collections::HashSet<_>>().len(), walk.len(), "no engine twice");
}

/// The hinted engine has restarted since, or said that it evicted the chat: its cache is cold, and the chat is
/// placed by its own order.
#[test]
fn a_copy_known_to_be_lost_counts_for_nothing() {
    let cat = catalog(12);
    let mut a = router("a", &["a"]);
    let plain = engines(&steps(&mut a, &cat, "chat", None, s(1)));
    let far = cat.engines().map(|(_, e)| e.name.clone()).find(|n| !plain.contains(&Id::of(n))).unwrap();
    let copies = vec![CachedCopy { engine: far.clone(), start: 1, tokens: 500 }];
    let hint = Hint { home: "akl-a".into(), copies };

    a.health.set_start(Id::of(&far), 2);

    assert_eq!(engines(&steps(&mut a, &cat, "chat", Some(&hint), s(1))), plain);
}

/// A reservation's answer is lost and the caller asks again, then ends it; the end overtakes a third try. The
/// engine must carry the work once, and nothing after.
#[test]
fn a_repeated_reservation_counts_once() {
    let cat = catalog(3);
    let mut a = router("a", &["a"]);
    let engine = Id::of("engine-0");
    let req = request(&a, 1, engine);
    let work = |p: &Placer| p.ledger.account(engine).map_or(0, |a| a.work);

    assert!(a.reserve(&cat, &req, s(1)).is_ok());
    assert!(a.reserve(&cat, &req, s(1)).is_ok());
    assert_eq!(work(&a), WORK);
    a.release(a.me(), [1], s(2));
    let _ = a.reserve(&cat, &req, s(2));

    assert_eq!(work(&a), WORK, "a number that was used and ended may be reserved anew");
    a.release(a.me(), [1, 9], s(3));
    let _ = a.reserve(&cat, &request(&a, 9, engine), s(3));
    assert_eq!(work(&a), 0, "the end of number 9 came first");
}

/// A router crashes. Its reservations would stay on the engines for ever, and their owner would refuse chats to
/// engines that stand idle.
#[test]
fn the_reservations_of_a_router_that_crashed_end() {
    let cat = catalog(2);
    let mut a = router("a", &["a", "b"]);
    let mine = (0..2).map(|n| Id::of(&format!("engine-{n}")));
    let engine = mine.into_iter().find(|&e| owned_by(&mut a, e) == Id::of("a")).unwrap();
    let reservation = ReservationId { router: Id::of("b"), number: 1 };
    let req = Request { reservation, ..request(&a, 1, engine) };
    assert!(a.reserve(&cat, &req, s(1)).is_ok());

    a.set_members(vec![member("a")], s(2));

    assert_eq!(a.ledger.account(engine).unwrap().work, 0);
}

/// A router crashes and is back at once, before any list lacks it. What its former run held must end, or the
/// engines would seem full for a quarter of an hour.
#[test]
fn the_reservations_of_a_former_run_end() {
    let cat = catalog(2);
    let mut a = router("a", &["a"]);
    let engine = Id::of("engine-0");
    let of_run = |wall_ms: u64, n: u64| ReservationId {
        router: Id::of("b"),
        number: ReservationId::first_number(wall_ms) + n,
    };
    let req = |reservation| Request { reservation, ..request(&router("a", &["a"]), 1, engine) };
    assert!(a.reserve(&cat, &req(of_run(1_000_000, 1)), s(1)).is_ok());
    a.ledger.add(of_run(1_000_000, 2), engine, WORK, s(1));

    a.ledger.add(of_run(1_001_000, 1), engine, WORK, s(2));

    assert_eq!(a.ledger.account(engine).unwrap().work, WORK);
    a.ledger.add(of_run(1_000_000, 3), engine, WORK, s(3));
    assert_eq!(a.ledger.account(engine).unwrap().running, 2, "a late number of the former run ends nothing");
}

/// Two routers hold different lists for some seconds: one grants as the owner of an engine while the other
/// takes it over and fills it too. The new owner assumes that the engine carries the mean and adds at most the
/// room above it, so that both together stay within twice the bound less one.
#[test]
fn two_owners_keep_within_twice_the_bound_less_one() {
    let cat = catalog(4);
    let mean = 100 * WORK;
    let mut old = router("old", &["old"]);
    let mut new = router("new", &["new", "third"]);
    let engine = (0..4).map(|n| Id::of(&format!("engine-{n}")));
    let engine = engine.into_iter().find(|&e| owned_by(&mut new, e) != Id::of("new")).unwrap();
    note_others(&mut old, 40, 40 * mean, s(10));
    note_others(&mut new, 40, 40 * mean, s(10));

    new.set_members(vec![member("new")], s(10));
    let granted = fill(&mut old, &cat, engine, 0, s(10)) + fill(&mut new, &cat, engine, 0, s(10));

    let most = (2.0 * BOUND - 1.0) * mean as f64;
    assert!(granted as f64 <= most, "{granted} of {most}");
    assert!(granted > mean, "the bound refuses no more than it must: {granted}");
}

/// The same, once the engine has reported what it runs: the new owner counts the old one's work and adds none.
#[test]
fn a_report_tells_a_new_owner_of_the_work_of_the_old_one() {
    let cat = catalog(4);
    let mean = 100 * WORK;
    let mut new = router("new", &["new"]);
    let engine = Id::of("engine-0");
    note_others(&mut new, 40, 40 * mean, s(10));

    new.ledger.record_report(engine, 125, s(10));

    assert_eq!(new.reserve(&cat, &request(&new, 1, engine), s(10)), Err(Refusal::AtBound));
    new.ledger.record_report(engine, 60, s(11));
    assert!(new.reserve(&cat, &request(&new, 2, engine), s(11)).is_ok());
}

/// A report of two seconds ago still shows requests that have ended since. Taken for another owner's work they
/// would close an engine that has room.
#[test]
fn an_owner_finds_its_own_work_in_a_late_report() {
    let cat = catalog(1);
    let mut a = router("a", &["a"]);
    let engine = Id::of("engine-0");
    (0..10).for_each(|n| a.ledger.add(ReservationId { router: a.me(), number: n }, engine, WORK, s(5)));
    a.release(a.me(), 0..9, s(8));

    a.ledger.record_report(engine, 10, s(9));

    assert_eq!(a.ledger.account(engine).unwrap().foreign, Some(0));
    assert!(a.reserve(&cat, &request(&a, 50, engine), s(9)).is_ok());
}

/// A router with an old list asks the former owner. That one refuses, or both owners would go on granting for
/// as long as the lists differ.
#[test]
fn a_former_owner_refuses() {
    let cat = catalog(12);
    let mut a = router("a", &["a", "b"]);
    let names = (0..12).map(|n| Id::of(&format!("engine-{n}")));
    let other = names.into_iter().find(|&e| owned_by(&mut a, e) != Id::of("a")).unwrap();

    let asked = a.reserve(&cat, &request(&a, 1, other), s(1));

    assert_eq!(asked, Err(Refusal::NotOwner));
}

/// An owner does not answer. Its engines are passed by for a while instead of every router counting for
/// itself; the chat is answered elsewhere.
#[test]
fn engines_of_an_owner_that_does_not_answer_are_passed_by() {
    let cat = catalog(12);
    let mut a = router("a", &["a", "b"]);

    a.mark_unreachable(Id::of("b"), s(1));
    let during = steps(&mut a, &cat, "chat", None, s(2));
    let after = steps(&mut a, &cat, "chat", None, s(4));

    assert!(!during.is_empty());
    assert!(during.iter().all(|step| step.owner.is_none()));
    assert!(after.iter().any(|step| step.owner.is_some()));
}

/// All named engines stand at the bound. By the mean some engine has room: the walk ends with asking for any.
#[test]
fn any_engine_with_room_is_the_last_resort() {
    let cat = catalog(12);
    let mut a = router("a", &["a"]);
    let walk = steps(&mut a, &cat, "chat", None, s(1));
    for (n, (_, engine)) in cat.engines().enumerate() {
        let busy = engines(&walk).contains(&engine.id);
        let work = if busy { 200 * WORK } else { 10 * WORK };
        a.ledger.add(ReservationId { router: a.me(), number: n as u64 }, engine.id, work, s(1));
    }

    let any = Request { engine: None, ..request(&a, 99, Id::default()) };
    let granted = a.reserve(&cat, &any, s(2)).unwrap();

    assert!(walk.last().unwrap().engine.is_none());
    assert!(!engines(&walk).contains(&granted.engine));
}

/// A router has just started, or its engines have stood idle, and a coach party asks at once. The mean that was
/// computed a moment ago is of idle engines; bounded by it, all but one request an engine would be refused.
#[test]
fn a_burst_on_idle_engines_is_granted() {
    let cat = catalog(4);
    let mut a = router("a", &["a"]);
    let any = |a: &Placer, n| Request { engine: None, ..request(a, n, Id::default()) };

    let granted = (0..40).filter(|&n| a.reserve(&cat, &any(&a, n), s(1)).is_ok()).count();

    assert_eq!(granted, 40);
    let most = a.ledger.accounts().map(|(_, account)| account.work).max();
    assert!(most <= Some(11 * WORK), "{most:?}");
}

/// The whole fleet restarts, and every engine has a new owner that takes it to carry the mean. Without its load
/// asked for, each would take one request until the next probe, seconds later. What a report leaves unexplained is
/// asked for again.
#[test]
fn a_new_owner_knows_which_loads_to_ask_for() {
    let cat = catalog(2);
    let mut a = router("a", &["a"]);
    a.set_members(vec![member("a"), member("b")], s(1));
    a.set_members(vec![member("a")], s(2));
    let engine = Id::of("engine-0");
    let asked =
        |a: &mut Placer| a.engines_without_load(&cat, s(2)).iter().any(|&k| cat.engine(k).id == engine);

    let unknown = asked(&mut a);
    a.ledger.record_report(engine, 3, s(2));
    let foreign = asked(&mut a);
    a.ledger.record_report(engine, 0, s(2));
    let settled = asked(&mut a);

    assert_eq!((unknown, foreign, settled), (true, true, false));
    assert!(a.engines_without_load(&cat, s(60)).is_empty());
}
