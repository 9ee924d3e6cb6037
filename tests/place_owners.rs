//! Ownership of engines by several routers: the load bound while member lists differ, engines fail or routers crash.

use std::time::Duration;

use cranberrytally::{
    catalog::{AnyObject, Catalog, Id, Object},
    place::{
        Placer, Refusal, ReservationRequest,
        bound::LoadDigest,
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

fn request(placer: &Placer, number: u64, engine: Id) -> ReservationRequest {
    let reservation = ReservationId { router: placer.me(), number };
    ReservationRequest {
        reservation,
        engine: Some(engine),
        pool: Id::of("pool"),
        work: WORK,
        above_mean: true,
    }
}

fn owned_by(placer: &mut Placer, engine: Id) -> Id {
    placer.owner(engine, "akl-a").unwrap().id
}

/// The steps of a search in which every engine refuses.
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

/// Records that another owner carries `work` on `engines` engines of the pool.
fn record_other_owner(placer: &mut Placer, engines: u64, work: u64, now: Duration) {
    let digest = LoadDigest { work, running: (work / WORK) as u32, capacity: engines * 8 };
    placer.record_digest(Id::of("other"), Id::of("pool"), digest, now);
}

#[test]
fn two_routers_search_in_the_same_order() {
    let cat = catalog(12);
    let mut a = router("a", &["a", "b"]);
    let mut b = router("b", &["a", "b"]);

    for chat in 0..100 {
        let chat = format!("chat-{chat}");
        let tried = |p: &mut Placer| engines(&steps(p, &cat, &chat, None, s(1)));
        assert_eq!(tried(&mut a), tried(&mut b));
    }
}

/// While only one of two routers knows that an engine is down, their searches differ in this engine only. Chats of
/// other engines are placed identically by both.
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

/// When all engines selected by the operator are down, a chat is refused even if other engines are idle. It must
/// never reach an engine that the selector excludes.
#[test]
fn an_excluded_engine_is_never_a_fallback() {
    let cat = catalog(3);
    let mut a = router("a", &["a"]);
    let excluded = Id::of("engine-3");
    (0..3).for_each(|at| a.health.mark_down(Id::of(&format!("engine-{at}")), s(1)));
    let copies = vec![CachedCopy { engine: "engine-3".into(), start: 0, tokens: 500 }];
    let hint = Hint { home: "akl-a".into(), copies };

    let tried = steps(&mut a, &cat, "chat", Some(&hint), s(1));
    let asked = a.reserve(&cat, &request(&a, 1, excluded), s(1));

    assert_eq!(tried, []);
    assert_eq!(asked, Err(Refusal::Unavailable));
}

/// A chat that overflowed to a second engine has cached contexts on both. It returns to the longer one, then to the
/// shorter one if the first is at its bound, and only then to engines without a copy.
#[test]
fn an_overflowed_chat_returns_to_its_fuller_copy() {
    let cat = catalog(12);
    let mut a = router("a", &["a"]);
    let copy = |engine: &str, tokens| CachedCopy { engine: engine.into(), start: 0, tokens };
    let hint = Hint { home: "akl-a".into(), copies: vec![copy("engine-9", 900), copy("engine-4", 500)] };

    let tried = engines(&steps(&mut a, &cat, "chat", Some(&hint), s(1)));

    assert_eq!(tried[..2], [Id::of("engine-9"), Id::of("engine-4")]);
    assert_eq!(tried.iter().collect::<std::collections::HashSet<_>>().len(), tried.len(), "no engine twice");
}

/// The engine in the hint has restarted, so its cache is cold. The hint is ignored and the chat placed in rendezvous
/// order.
#[test]
fn a_lost_copy_is_ignored() {
    let cat = catalog(12);
    let mut a = router("a", &["a"]);
    let plain = engines(&steps(&mut a, &cat, "chat", None, s(1)));
    let far = cat.engines().map(|(_, e)| e.name.clone()).find(|n| !plain.contains(&Id::of(n))).unwrap();
    let copies = vec![CachedCopy { engine: far.clone(), start: 1, tokens: 500 }];
    let hint = Hint { home: "akl-a".into(), copies };

    a.health.set_start(Id::of(&far), 2);

    assert_eq!(engines(&steps(&mut a, &cat, "chat", Some(&hint), s(1))), plain);
}

/// A reservation is repeated because its answer was lost, and a release overtakes its reservation. The engine must
/// count the work once, and none after the release.
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

    assert_eq!(work(&a), WORK, "a released number may be reserved again");
    a.release(a.me(), [1, 9], s(3));
    let _ = a.reserve(&cat, &request(&a, 9, engine), s(3));
    assert_eq!(work(&a), 0, "number 9 was released before it was reserved");
}

/// The reservations of a crashed router must end. Otherwise the owner would refuse chats for idle engines forever.
#[test]
fn the_reservations_of_a_router_that_crashed_end() {
    let cat = catalog(2);
    let mut a = router("a", &["a", "b"]);
    let mine = (0..2).map(|n| Id::of(&format!("engine-{n}")));
    let engine = mine.into_iter().find(|&e| owned_by(&mut a, e) == Id::of("a")).unwrap();
    let reservation = ReservationId { router: Id::of("b"), number: 1 };
    let req = ReservationRequest { reservation, ..request(&a, 1, engine) };
    assert!(a.reserve(&cat, &req, s(1)).is_ok());

    a.set_members(vec![member("a")], s(2));

    assert_eq!(a.ledger.account(engine).unwrap().work, 0);
}

/// A router crashes and restarts before the member lists drop it. The reservations of its former generation must end,
/// or the engines would seem full for a quarter of an hour.
#[test]
fn the_reservations_of_a_former_generation_end() {
    let cat = catalog(2);
    let mut a = router("a", &["a"]);
    let engine = Id::of("engine-0");
    let of_generation = |wall_ms: u64, n: u64| ReservationId {
        router: Id::of("b"),
        number: ReservationId::first_number(wall_ms) + n,
    };
    let req = |reservation| ReservationRequest { reservation, ..request(&router("a", &["a"]), 1, engine) };
    assert!(a.reserve(&cat, &req(of_generation(1_000_000, 1)), s(1)).is_ok());
    a.ledger.add(of_generation(1_000_000, 2), engine, WORK, s(1));

    a.ledger.add(of_generation(1_001_000, 1), engine, WORK, s(2));

    assert_eq!(a.ledger.account(engine).unwrap().work, WORK);
    a.ledger.add(of_generation(1_000_000, 3), engine, WORK, s(3));
    assert_eq!(
        a.ledger.account(engine).unwrap().running,
        2,
        "a late reservation of the former generation ends nothing"
    );
}

/// While member lists differ, a former owner still grants work on an engine that a new owner takes over. The new
/// owner assumes the mean load and adds at most the headroom above it, so both together stay within `2 * bound - 1`.
#[test]
fn two_owners_keep_within_twice_the_bound_less_one() {
    let cat = catalog(4);
    let mean = 100 * WORK;
    let mut old = router("old", &["old"]);
    let mut new = router("new", &["new", "third"]);
    let engine = (0..4).map(|n| Id::of(&format!("engine-{n}")));
    let engine = engine.into_iter().find(|&e| owned_by(&mut new, e) != Id::of("new")).unwrap();
    record_other_owner(&mut old, 40, 40 * mean, s(10));
    record_other_owner(&mut new, 40, 40 * mean, s(10));

    new.set_members(vec![member("new")], s(10));
    let granted = fill(&mut old, &cat, engine, 0, s(10)) + fill(&mut new, &cat, engine, 0, s(10));

    let max = (2.0 * BOUND - 1.0) * mean as f64;
    assert!(granted as f64 <= max, "{granted} of {max}");
    assert!(granted > mean, "the bound refuses more than necessary: {granted}");
}

/// As above, after the engine's first report: the new owner counts the work granted by the former owner.
#[test]
fn a_new_owner_counts_the_work_in_a_report() {
    let cat = catalog(4);
    let mean = 100 * WORK;
    let mut new = router("new", &["new"]);
    let engine = Id::of("engine-0");
    record_other_owner(&mut new, 40, 40 * mean, s(10));

    new.ledger.record_report(engine, 125, s(10));

    assert_eq!(new.reserve(&cat, &request(&new, 1, engine), s(10)), Err(Refusal::AtBound));
    new.ledger.record_report(engine, 60, s(11));
    assert!(new.reserve(&cat, &request(&new, 2, engine), s(11)).is_ok());
}

/// A report that is two seconds old still contains requests that have ended since. They must not be counted as work
/// of another owner, or an engine with room would be refused.
#[test]
fn a_late_report_of_own_work_is_not_foreign() {
    let cat = catalog(1);
    let mut a = router("a", &["a"]);
    let engine = Id::of("engine-0");
    (0..10).for_each(|n| a.ledger.add(ReservationId { router: a.me(), number: n }, engine, WORK, s(5)));
    a.release(a.me(), 0..9, s(8));

    a.ledger.record_report(engine, 10, s(9));

    assert_eq!(a.ledger.account(engine).unwrap().foreign, Some(0));
    assert!(a.reserve(&cat, &request(&a, 50, engine), s(9)).is_ok());
}

/// A router with an outdated member list asks the former owner of an engine, which must refuse. Otherwise both owners
/// would grant work until the lists converge.
#[test]
fn a_former_owner_refuses() {
    let cat = catalog(12);
    let mut a = router("a", &["a", "b"]);
    let names = (0..12).map(|n| Id::of(&format!("engine-{n}")));
    let other = names.into_iter().find(|&e| owned_by(&mut a, e) != Id::of("a")).unwrap();

    let asked = a.reserve(&cat, &request(&a, 1, other), s(1));

    assert_eq!(asked, Err(Refusal::NotOwner));
}

/// The engines of an unreachable owner are skipped for a while, since routers that counted their load separately
/// would overload them. The chat is answered by another engine.
#[test]
fn engines_of_an_unreachable_owner_are_skipped() {
    let cat = catalog(12);
    let mut a = router("a", &["a", "b"]);

    a.mark_unreachable(Id::of("b"), s(1));
    let during = steps(&mut a, &cat, "chat", None, s(2));
    let after = steps(&mut a, &cat, "chat", None, s(4));

    assert!(!during.is_empty());
    assert!(during.iter().all(|step| step.owner.is_none()));
    assert!(after.iter().any(|step| step.owner.is_some()));
}

/// When all named engines are at the bound, some other engine has room. The search ends with a request for any
/// engine.
#[test]
fn any_engine_with_room_is_the_last_resort() {
    let cat = catalog(12);
    let mut a = router("a", &["a"]);
    let tried = steps(&mut a, &cat, "chat", None, s(1));
    for (n, (_, engine)) in cat.engines().enumerate() {
        let busy = engines(&tried).contains(&engine.id);
        let work = if busy { 200 * WORK } else { 10 * WORK };
        a.ledger.add(ReservationId { router: a.me(), number: n as u64 }, engine.id, work, s(1));
    }

    let any = ReservationRequest { engine: None, ..request(&a, 99, Id::default()) };
    let granted = a.reserve(&cat, &any, s(2)).unwrap();

    assert!(tried.last().unwrap().engine.is_none());
    assert!(!engines(&tried).contains(&granted.engine));
}

/// A burst arrives while the cached mean is still that of idle engines. Bounded by it, all but one request per engine
/// would be refused.
#[test]
fn a_burst_on_idle_engines_is_granted() {
    let cat = catalog(4);
    let mut a = router("a", &["a"]);
    let any = |a: &Placer, n| ReservationRequest { engine: None, ..request(a, n, Id::default()) };

    let granted = (0..40).filter(|&n| a.reserve(&cat, &any(&a, n), s(1)).is_ok()).count();

    assert_eq!(granted, 40);
    let most = a.ledger.accounts().map(|(_, account)| account.work).max();
    assert!(most <= Some(11 * WORK), "{most:?}");
}

/// After a restart of the whole fleet every engine has a new owner that assumes the mean load. Unless the owners
/// query the load, each engine would accept only one request until the next probe, seconds later. Engines that
/// report requests of unknown origin are queried again.
#[test]
fn a_new_owner_queries_unknown_loads() {
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
