//! Time and memory of one decision by number of engines.

use std::{hint::black_box, sync::Arc, time::Instant};

use cranberrytally::{
    catalog::{Catalog, EngineKey, Id},
    engine::ChatId,
    place::{
        Placer, ReservationRequest,
        hint::{CachedCopy, Hint, HintKey},
        ledger::ReservationId,
        members::Member,
        search::Search,
    },
    schema::{
        link::{Frame, frame::Body},
        placement::{Digest, Release, Released, Reserve, Reserved},
    },
    util::{Instant as Time, hash},
};

use super::model::object;

const ROUNDS: u64 = 20_000;
const RUNNING: u64 = 32;
const CHAT: ChatId<'_> = ChatId { workspace: "workspace", chat: "chat" };

/// One router that owns `engines` engines of a pool, each with some requests.
fn router(engines: usize) -> (Placer, Catalog) {
    let mut objects = vec![
        object("EnginePool", "pool", serde_json::json!({})),
        object("RoutingPolicy", "all", serde_json::json!({ "pool": "pool" })),
        object("Workspace", "workspace", serde_json::json!({})),
    ];
    for at in 0..engines {
        let spec = serde_json::json!({ "address": "127.0.0.1:9", "dataCentre": "dc", "capacity": 32 });
        objects.push(object("Engine", &format!("engine-{at}"), spec));
    }
    let (cat, _) = Catalog::compile(1, &objects);
    let me = Id::of("router");
    let mut placer = Placer::new(me, "dc");
    let addr = ([127, 0, 0, 1], 9).into();
    let member = Member { id: me, data_centre: "dc".into(), region: "region".into(), peer: addr, addr };
    placer.set_members(vec![member], Time::ZERO);
    for (_, engine) in cat.engines() {
        for _ in 0..RUNNING {
            let number = placer.ledger.reservation_count() as u64;
            placer.ledger.add(ReservationId { router: me, number }, engine.id, 1_000, Time::ZERO);
        }
    }
    (placer, cat)
}

fn per_round(mut round: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut round);
    start.elapsed().as_secs_f64() * 1e9 / ROUNDS as f64
}

/// The comparison: every engine scored and sorted, as the first version did.
fn sorted(cat: &Catalog, keys: &[EngineKey], chat: u64) -> Vec<EngineKey> {
    let mut scored: Vec<_> = keys
        .iter()
        .map(|&key| {
            let unit = (hash((cat.engine(key).id.0, chat)) >> 11) as f64 / (1u64 << 53) as f64;
            (f64::from(cat.engine(key).capacity) / -unit.ln(), key)
        })
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().map(|(_, key)| key).collect()
}

fn decide(
    placer: &mut Placer,
    cat: &Catalog,
    keys: &HintKey,
    number: u64,
    chat: ChatId<'_>,
    hint: Option<&str>,
) {
    let Ok(pool) = cat.pool("workspace", "model") else { return };
    let now = Time::from_micros(number);
    let hint = hint.and_then(|text| keys.verify(chat, text));
    let mut search = Search::new(placer, cat, pool, chat.hash(), hint.as_ref(), []);
    while let Some(step) = search.next(placer, cat, pool, now) {
        let reservation = ReservationId { router: placer.me(), number: (1 << 40) + number };
        let engine = step.engine.map(|c| c.id);
        let req = ReservationRequest {
            reservation,
            engine,
            pool: pool.id,
            work: 1_000,
            above_mean: step.above_mean,
        };
        if let Ok(grant) = placer.reserve(cat, &req, now) {
            black_box(grant);
            placer.release(placer.me(), [reservation.number], now);
            return;
        }
    }
}

/// Bytes of a message between routers: its frame, the length before it and the MAC.
fn bytes(body: Body) -> usize {
    const LENGTH_AND_MAC: usize = 4 + 16;
    postcard::to_stdvec(&Frame { call: 10_000, body: Some(body) }).map_or(0, |f| f.len() + LENGTH_AND_MAC)
}

/// Prints the size of each message.
pub fn messages() {
    let number = ReservationId::first_number(1_800_000_000_000);
    let (router, engine, pool) = (Id::of("router").0, Id::of("engine").0, Id::of("pool").0);
    let reserve = Reserve { router, number, engine, pool, work: 1_500, running: false, above_mean: true };
    let numbers = (0..10).map(|n| number + n).collect();
    println!("\nbytes of a message with its length and MAC, without TCP and IP");
    println!("reserve {}", bytes(Body::Reserve(reserve)));
    println!("reserved {}", bytes(Body::Reserved(Reserved { engine, refusal: 0 })));
    println!("release of ten {}", bytes(Body::Release(Release { router, numbers })));
    println!("released {}", bytes(Body::Released(Released {})));
    let digest = Digest { pool, work: 1_000_000, running: 1_000, capacity: 1_056 };
    println!("digest of a pool, in gossip {}", postcard::to_stdvec(&digest).map_or(0, |d| d.len()));
}

/// Prints the table.
pub fn table() {
    println!("\ncost of a decision, one core, all engines owned by one router");
    println!(
        "{:>8} {:>12} {:>12} {:>12} {:>12} {:>14} {:>12}",
        "engines", "sorted ns", "rank ns", "new ns", "hinted ns", "bytes/engine", "bytes/hold"
    );
    for engines in [12, 730, 2_750] {
        let (mut placer, cat) = router(engines);
        let Ok(pool) = cat.pool("workspace", "model") else { return };
        let all: Vec<_> = pool.engines.clone();
        let sort = per_round(|n| drop(black_box(sorted(&cat, &all, n))));
        let ranking = &pool.by_data_centre()[0].1;
        let rank = per_round(|n| _ = black_box(ranking.top(n)));
        let keys = HintKey::new("key");
        let new = per_round(|n| decide(&mut placer, &cat, &keys, n, CHAT, None));
        let copy = CachedCopy { engine: Arc::from("engine-3"), start: 0, tokens: 1_000 };
        let text = keys.sign(CHAT, &Hint { home: "dc".into(), copies: vec![copy] });
        let hinted = per_round(|n| decide(&mut placer, &cat, &keys, n, CHAT, Some(&text)));
        let (account, hold) = placer.ledger.memory_bytes();
        println!("{engines:8} {sort:12.0} {rank:12.0} {new:12.0} {hinted:12.0} {account:14} {hold:12}");
    }
}
