//! What keeping the configuration in force everywhere costs: `cargo bench --bench configuration`.
//!
//! Messages run in virtual time, processor time is real. Gossip is an input: each router tells its version to three
//! random others twice a second, and 5% of these messages are lost.

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use cranberrytally::{
    catalog::{AnyObject, Catalog, Object},
    objects::{Event, List},
    revision::{Store, check, holder},
    schema::object::Meta,
};

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "configuration/model.rs"]
mod model;

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/support/leases.rs"]
mod leases;

use leases::{LeaseStore, Process, TTL};
use model::{Model, Setup, pool};

const SIZES: [usize; 4] = [8, 22, 100, 330];
const OBJECTS: u64 = 200;
const CHANGES_A_DAY: u64 = 28_000;
const DAY: Duration = Duration::from_secs(86_400);
const SPAN: Duration = Duration::from_secs(600);
/// Engines, workspaces and others at the target size.
const TARGET_OBJECTS: u64 = 13_500;

fn started(setup: Setup) -> (Model, Option<Duration>) {
    let mut model = Model::new(setup);
    for n in 0..OBJECTS {
        model.write("EnginePool", &format!("pool-{n}"), pool(n));
    }
    let took = model.settle(Duration::from_secs(120));
    (model, took)
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * share) as usize]
}

fn start_up() {
    println!("\nstart of the whole fleet at once, {OBJECTS} objects");
    println!("routers  serve after s  lists  watches opened  most calls in one s  watches held");
    for routers in SIZES {
        let (mut model, took) = started(Setup::of(routers));
        let calls = model.platform.calls;
        model.run(Duration::from_secs(60));
        let took = took.map_or("never".into(), |t| format!("{:.1}", t.as_secs_f64()));
        println!(
            "{routers:>7}  {took:>13}  {:>5}  {:>14}  {:>19}  {:>12}",
            calls.lists,
            calls.watches,
            calls.peak,
            model.watching()
        );
    }
}

fn changes() {
    println!("\n{CHANGES_A_DAY} changes a day for {} s of virtual time", SPAN.as_secs());
    println!(
        "routers  changes  in force median s  worst router of the median change s  worst s  \
         bytes/change/router  control B/s/router  reads/s  watches/s  cpu us/change/router  cpu % of a core"
    );
    for routers in SIZES {
        let (mut model, _) = started(Setup::of(routers));
        model.run(Duration::from_secs(30));
        model.delays.clear();
        model.nodes.iter_mut().for_each(|n| n.bytes_in = 0);
        let (calls, cpu) = (model.platform.calls, model.cpu);
        let every = DAY / CHANGES_A_DAY as u32;
        let changes = (SPAN.as_secs_f64() / every.as_secs_f64()) as u64;
        let mut written = Vec::new();
        for n in 0..changes {
            written.push(model.write("EnginePool", &format!("pool-{}", n % OBJECTS), pool(1000 + n)));
            model.run(every);
        }
        let last = model.settle(Duration::from_secs(60));
        assert!(last.is_some() && model.faults.is_empty(), "{:?}", model.faults);
        // A router may skip a version and install a later one, so each version counts as in force with the next.
        let mut worst: Vec<_> = written.iter().filter_map(|v| model.everywhere(*v)).collect();
        let mut all: Vec<_> = model.delays.values().flatten().copied().collect();
        let bytes: u64 = model.nodes.iter().map(|n| n.bytes_in).sum();
        let per_change = bytes as f64 / (changes as f64 * routers as f64);
        let seconds = SPAN.as_secs_f64();
        let cpu = (model.cpu - cpu).as_secs_f64() / routers as f64;
        println!(
            "{routers:>7}  {changes:>7}  {:>17.2}  {:>35.2}  {:>7.2}  {per_change:>19.0}  {:>18.1}  {:>7.3}  {:>9.3}  {:>20.1}  {:>15.4}",
            percentile(&mut all, 0.5),
            percentile(&mut worst, 0.5),
            percentile(&mut worst, 1.0),
            bytes as f64 / seconds / routers as f64,
            (model.platform.calls.lists - calls.lists) as f64 / seconds,
            (model.platform.calls.watches - calls.watches) as f64 / seconds,
            cpu / changes as f64 * 1e6,
            cpu / seconds * 100.0,
        );
    }
}

/// Ways that were weighed against few watches and three messages of gossip.
fn other_ways() {
    println!("\nother ways at 330 routers, 20 changes");
    println!(
        "way                                  lists at start  most calls in one s  watches held  worst s"
    );
    let usual = Setup::of(330);
    let ways = [
        ("chosen: few watches, 3 messages", usual),
        ("each router watches", Setup { centres: 330, ..usual }),
        ("1 message a period", Setup { fanout: 1, ..usual }),
        ("6 messages a period", Setup { fanout: 6, ..usual }),
        ("2 s period", Setup { gossip_period: Duration::from_secs(2), ..usual }),
        ("30% of the messages lost", Setup { loss: 0.3, ..usual }),
    ];
    for (name, setup) in ways {
        let (mut model, _) = started(setup);
        let calls = model.platform.calls;
        model.run(Duration::from_secs(30));
        let mut worst = 0.0_f64;
        for n in 0..20 {
            let version = model.write("EnginePool", "pool-0", pool(5000 + n));
            model.run(Duration::from_secs(15));
            worst = worst.max(model.everywhere(version).unwrap_or(f64::INFINITY));
        }
        let watching = model.watching();
        println!("{name:<35}  {:>14}  {:>19}  {watching:>12}  {worst:>7.2}", calls.lists, calls.peak);
    }
}

fn lease_calls() {
    let hour = Duration::from_secs(3600);
    let step = Duration::from_millis(100);
    let start = Duration::from_secs(100);
    let mut shelf = LeaseStore::default();
    let mut both = [Process::new("a", 1, start), Process::new("b", 2, start)];
    for i in 0..(hour.as_millis() / step.as_millis()) as u32 {
        both.iter_mut().for_each(|p| p.step(start + step * i, &mut shelf, step, 0.0));
    }
    let lives = hour.as_secs_f64() / TTL.as_secs_f64();
    let (reads, writes) = shelf.calls;
    println!(
        "\nplatform calls of one lease with a holder and one candidate, for each time that a write holds"
    );
    println!("reads {:.2}, writes {:.2}", reads as f64 / lives, writes as f64 / lives);
}

fn rolling_restart() {
    println!("\nevery router restarted once, one each 30 s");
    println!("routers  lists a restart  watches a restart  worst s until it serves");
    for routers in [8, 22] {
        let (mut model, _) = started(Setup::of(routers));
        let calls = model.platform.calls;
        let mut worst = 0.0_f64;
        for i in 0..routers {
            model.kill(i);
            model.run(Duration::from_secs(5));
            model.start(i);
            let took = model.settle(Duration::from_secs(60)).expect("it serves");
            worst = worst.max(took.as_secs_f64());
            model.run(Duration::from_secs(25));
        }
        println!(
            "{routers:>7}  {:>15.2}  {:>17.2}  {worst:>23.1}",
            (model.platform.calls.lists - calls.lists) as f64 / routers as f64,
            (model.platform.calls.watches - calls.watches) as f64 / routers as f64,
        );
    }
}

fn engine(n: u64, version: u64) -> AnyObject {
    let labels = [("role".into(), "model".into()), ("rack".into(), format!("rack-{}", n / 40))].into();
    let metadata = Meta {
        name: format!("engine-{n}"),
        labels,
        resource_version: version.to_string(),
        writer_nonce: format!("{n:016x}"),
    };
    let address = format!("10.{}.{}.{}:8000", n / 65536, n / 256 % 256, n % 256);
    let spec =
        serde_json::json!({ "address": address, "dataCentre": format!("dc-{}", n % 15), "capacity": 64 });
    Object { kind: "Engine".into(), metadata, spec }
}

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 4096
}

fn time_each<T>(times: u32, mut work: impl FnMut(u32) -> T) -> f64 {
    let start = Instant::now();
    for i in 0..times {
        black_box(work(i));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

fn one_store() {
    println!("\none router's store at the target: {TARGET_OBJECTS} objects");
    let before = resident();
    let items = (0..TARGET_OBJECTS).map(|n| engine(n, n + 1)).collect();
    let mut store = Store::default();
    let start = Instant::now();
    store.apply_list(List { version: TARGET_OBJECTS, items }).expect("it is new");
    println!("take a whole list            {:>10.1} ms", start.elapsed().as_secs_f64() * 1e3);
    println!("resident memory added        {:>10.1} MB", (resident().saturating_sub(before)) as f64 / 1e6);
    let bytes = |o: &std::sync::Arc<AnyObject>| serde_json::to_vec(o.as_ref()).map_or(0, |b| b.len());
    let json: usize = store.in_force().iter().map(bytes).sum();
    println!("objects as JSON              {:>10.1} MB", json as f64 / 1e6);
    let event = time_each(10_000, |i| {
        let version = TARGET_OBJECTS + 1 + u64::from(i);
        let object = engine(u64::from(i), version);
        store.apply_event(Event { version, deleted: false, object })
    });
    println!("take one change of a watch   {event:>10.1} us");
    let mut peer = store.clone();
    let since = store.version();
    let object = engine(7, since + 1);
    store.apply_event(Event { version: since + 1, deleted: false, object }).expect("it is new");
    let encode = time_each(10_000, |_| store.delta(since, since, false, 1 << 20));
    println!("make a delta of one change   {encode:>10.1} us");
    let delta = store.delta(since, since, false, 1 << 20);
    let start = Instant::now();
    peer.apply_delta(delta).expect("it fits");
    println!("take a delta of one change   {:>10.1} us", start.elapsed().as_secs_f64() * 1e6);
    let object = engine(7, 1);
    println!("validate one object          {:>10.1} us", time_each(10_000, |_| check::check(&object)));
    let objects = store.in_force();
    let compile = time_each(5, |i| Catalog::compile(u64::from(i), &objects));
    println!("compile the catalog          {:>10.1} ms", compile / 1e3);
}

fn main() {
    println!("watches of a data centre of 1, 2, 8, 22, 32, 330, 1024 routers");
    println!("{:?}", [1, 2, 8, 22, 32, 330, 1024].map(holder::watch_count));
    // First, while freed memory does not yet hide what the store takes.
    one_store();
    start_up();
    changes();
    other_ways();
    rolling_restart();
    lease_calls();
}
