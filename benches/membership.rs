//! `cargo bench --bench membership`: control traffic, CPU, memory and times to agree, by size of the fleet.
//!
//! `cargo bench --bench membership -- 330` runs one size, `-- 330 routers` one part of it; the parts are `traffic`,
//! `spread`, `engines` and `routers`.

use std::{fs, time::Duration};

use cranberrytally::{member::Status, probe::PROBE_WIRE_BYTES, probe::State};

#[path = "membership/fleet.rs"]
mod fleet;

use fleet::{Fleet, Shape};

const WARM_UP: Duration = Duration::from_secs(40);
const MEASURE: Duration = Duration::from_secs(60);
/// 28,000 changes of configuration a day.
const CHANGE: Duration = Duration::from_millis(3_086);
const LIMIT: Duration = Duration::from_secs(200);
const PARTS: [&str; 4] = ["traffic", "spread", "engines", "routers"];
const PAGE: usize = 4096;

fn shape(routers: usize) -> Shape {
    let engines = 11_000 * routers / 330;
    match routers {
        0..=22 => Shape::new(routers, 3, 1, engines),
        23..=100 => Shape::new(routers, 6, 2, engines),
        _ => Shape::new(routers, 15, 4, engines),
    }
}

fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * PAGE
}

struct Seconds(Vec<f64>);

impl Seconds {
    fn add(&mut self, time: Option<Duration>) {
        self.0.push(time.map_or(f64::INFINITY, |t| t.as_secs_f64()));
    }

    fn show(&mut self) -> String {
        self.0.sort_by(f64::total_cmp);
        let median = self.0.get(self.0.len() / 2).copied().unwrap_or(f64::NAN);
        let worst = self.0.last().copied().unwrap_or(f64::NAN);
        format!("{median:.1}/{worst:.1}")
    }
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![8, 22, 100, 330] } else { sizes };
    println!(
        "5% loss; a configuration change every {CHANGE:?}; bytes with headers of IP, UDP and TCP; s as median/worst"
    );
    let parts: Vec<_> = std::env::args().skip(1).filter(|a| PARTS.contains(&a.as_str())).collect();
    let runs = |part: &str| parts.is_empty() || parts.iter().any(|p| p == part);
    for n in sizes {
        measure(n, &runs);
    }
}

fn measure(n: usize, runs: &impl Fn(&str) -> bool) {
    let before = resident();
    let mut f = Fleet::new(shape(n));
    f.put_in_force_everywhere(1);
    let joined = f.wait(LIMIT, Fleet::agrees);
    f.run(WARM_UP);
    let memory = resident().saturating_sub(before) / n;
    println!("\n{n} routers, {} data centres, {} engines", f.shape.centres, f.shape.engines);
    println!("  all members known after a start of all at once   {:.1} s", secs(joined));
    println!("  resident memory per router                       {:.2} MB", memory as f64 / 1e6);
    let mut version = 1;
    if runs("traffic") {
        version = traffic(&mut f, n);
    }
    if runs("spread") {
        spread(&mut f, &mut version);
    }
    if runs("engines") {
        engines(&mut f);
    }
    if runs("routers") {
        routers(&mut f);
    }
}

fn secs(t: Option<Duration>) -> f64 {
    t.map_or(f64::INFINITY, |t| t.as_secs_f64())
}

fn traffic(f: &mut Fleet, n: usize) -> u64 {
    let start = f.now;
    for node in &mut f.nodes {
        node.cpu = Duration::ZERO;
        (node.received, node.received_bytes, node.probes) = (0, 0, 0);
    }
    let before: Vec<_> = f.running().map(|(_, m)| m.counts()).collect();
    let mut version = 1;
    while f.now < start + MEASURE {
        version += 1;
        f.put_in_force(version as usize % n, version);
        f.run(CHANGE);
    }
    let time = (f.now - start).as_secs_f64();
    let per = |total: u64| total as f64 / time / n as f64;
    let after: Vec<_> = f.running().map(|(_, m)| m.counts()).collect();
    let sum = |get: fn(&cranberrytally::member::Counts) -> u64| {
        after.iter().map(get).sum::<u64>() - before.iter().map(get).sum::<u64>()
    };
    let worst = |list: Vec<f64>| list.into_iter().fold(0.0, f64::max);
    let sent = per(sum(|c| c.sent_bytes));
    let most =
        worst(after.iter().zip(&before).map(|(a, b)| (a.sent_bytes - b.sent_bytes) as f64 / time).collect());
    let received = per(f.nodes.iter().map(|x| x.received_bytes).sum());
    let probes = per(f.nodes.iter().map(|x| x.probes).sum());
    let most_probes = worst(f.nodes.iter().map(|x| x.probes as f64 / time).collect());
    let cpu = worst(f.nodes.iter().map(|x| x.cpu.as_secs_f64() / time * 100.0).collect());
    let mean_cpu = f.nodes.iter().map(|x| x.cpu.as_secs_f64()).sum::<f64>() / time / n as f64 * 100.0;
    let window = f.nodes.iter().map(|x| x.worst_window).max().unwrap_or(0);
    let probe_bytes = probes * PROBE_WIRE_BYTES as f64;
    println!("  gossip sent, bytes/s mean and worst router       {sent:.0} {most:.0}");
    println!("  gossip received, bytes/s mean                    {received:.0}");
    println!(
        "  most gossip bytes in any one second (budget)     {window} ({})",
        f.shape.member.bytes_per_second
    );
    println!(
        "  packets/s sent and received, mean                {:.1} {:.1}",
        per(sum(|c| c.sent)),
        per(f.nodes.iter().map(|x| x.received).sum())
    );
    println!(
        "  probes/s mean and worst; bytes/s mean (both ways) {probes:.1} {most_probes:.1} {probe_bytes:.0}"
    );
    println!("  control in all, bytes/s mean (sent and received) {:.0}", sent + received + probe_bytes);
    println!("  CPU, % of a core mean and worst router           {mean_cpu:.3} {cpu:.3}");
    println!(
        "  parts deferred, datagrams withheld per router/s  {:.2} {:.2}",
        per(sum(|c| c.deferred)),
        per(sum(|c| c.withheld))
    );
    println!(
        "  false suspicions, false deaths in {time:.0} s          {} {}",
        sum(|c| c.suspicions),
        sum(|c| c.deaths)
    );
    version
}

fn spread(f: &mut Fleet, version: &mut u64) {
    let mut times = Seconds(Vec::new());
    let n = f.nodes.len();
    for i in 0..12 {
        *version += 1;
        let v = *version;
        f.put_in_force(i * 31 % n, v);
        times.add(f.wait(LIMIT, |f| f.all_in_force(v)));
        f.run(Duration::from_millis(700));
    }
    println!("  version from one router in force everywhere      {} s", times.show());
}

fn engines(f: &mut Fleet) {
    let (mut near, mut all, mut leaving, mut gone) =
        (Seconds(Vec::new()), Seconds(Vec::new()), Seconds(Vec::new()), Seconds(Vec::new()));
    let count = f.engines.len();
    for i in 0..8 {
        let e = i * 37 % count;
        f.engines[e].up = false;
        let start = f.now;
        let first = f.wait(LIMIT, |f| f.near_see(e, State::Down));
        near.add(first);
        let rest = f.wait(LIMIT, |f| f.all_see(e, State::Down));
        all.add(rest.map(|_| f.now - start));
        f.engines[e].up = true;
        f.run(Duration::from_secs(8));
        let e = (i * 37 + 11) % count;
        f.engines[e].leaving = true;
        let start = f.now;
        leaving.add(f.wait(LIMIT, |f| f.near_see(e, State::Leaving)));
        let rest = f.wait(LIMIT, |f| f.all_see(e, State::Leaving));
        gone.add(rest.map(|_| f.now - start));
    }
    println!("  dead engine (silent) known in its data centre    {} s", near.show());
    println!("  dead engine known everywhere                     {} s", all.show());
    println!("  leaving engine known in its data centre          {} s", leaving.show());
    println!("  leaving engine known everywhere                  {} s", gone.show());
}

fn routers(f: &mut Fleet) {
    let mut times = Seconds(Vec::new());
    let n = f.nodes.len();
    for i in 0..4 {
        let victim = (i * 53 + 5) % n;
        let name = f.nodes[victim].record.name.clone();
        f.kill(victim);
        times.add(f.wait(LIMIT, |f| f.all_hold(&name, |r| r.status == Status::Dead)));
        f.start(victim);
        let now = f.now;
        f.m(victim).set_in_force(now, 2);
        f.wait(LIMIT, Fleet::agrees);
    }
    println!("  dead router known everywhere                     {} s", times.show());
}
