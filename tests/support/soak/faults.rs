//! Faults from outside, drawn by a seed and played one after the other with overlaps.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cranberrytally::standin::gate::Mode;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use tokio::task::JoinSet;

use super::{What, engine::Engines, hosts::Hosts, store::Store};

/// Pause between the starts of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 300..1_200;
/// Length of a fault, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..2_500;

/// How long the store is away for long.
const LONG: Duration = Duration::from_secs(5);
/// How long the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(300);
/// Pause before each thing that is written again, in milliseconds.
const WRITES_AGAIN_MS: std::ops::Range<u64> = 50..500;

/// What happens.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A host is killed and starts again.
    KillHost,
    /// All hosts are killed at once and start again.
    KillHosts,
    /// A host is suspended.
    FreezeHost,
    /// A host is told to stop.
    StopHost,
    /// A host's settings file is said to have changed.
    Reload,
    /// The store accepts calls and answers none.
    StoreSilent,
    /// The store refuses connections.
    StoreDown,
    /// The store refuses calls.
    StoreBusy,
    /// A backend server dies.
    EngineCrash,
    /// A backend server accepts connections and says nothing.
    EngineStall,
    /// A backend server leaves as planned.
    EngineLeave,
    /// All backend servers refuse for lack of room.
    EnginesFull,
    /// Answers are lost after their requests have run.
    AnswersLost,
    /// The store answers nobody for long.
    StoreAway,
    /// All backend servers turn some requests away and ask for pauses.
    EnginesPause,
    /// The store comes back from a copy; what was written since is written again.
    StoreRestored,
    /// The same, and it answers as it was before as well for a moment.
    StoreInTwoEpochs,
    /// Calls that wait at the store are never answered, on connections that live.
    WatchesDeaf,
}

impl Fault {
    const ALL: [Fault; 13] = [
        Fault::KillHost,
        Fault::KillHosts,
        Fault::FreezeHost,
        Fault::StopHost,
        Fault::Reload,
        Fault::StoreSilent,
        Fault::StoreDown,
        Fault::StoreBusy,
        Fault::EngineCrash,
        Fault::EngineStall,
        Fault::EngineLeave,
        Fault::EnginesFull,
        Fault::AnswersLost,
    ];
    /// Those of runs in which the store is restored as well. Servers leave meanwhile.
    const WITH_RESTORES: [Fault; 12] = [
        Fault::KillHost,
        Fault::FreezeHost,
        Fault::StopHost,
        Fault::StoreBusy,
        Fault::EngineLeave,
        Fault::EngineLeave,
        Fault::EngineLeave,
        Fault::EnginesPause,
        Fault::StoreAway,
        Fault::StoreRestored,
        Fault::StoreRestored,
        Fault::StoreInTwoEpochs,
    ];

    /// Those of runs in which the configuration changes.
    const WITH_CHANGES: [Fault; 12] = [
        Fault::KillHost,
        Fault::KillHosts,
        Fault::FreezeHost,
        Fault::StopHost,
        Fault::StoreSilent,
        Fault::StoreDown,
        Fault::StoreBusy,
        Fault::StoreRestored,
        Fault::StoreInTwoEpochs,
        Fault::WatchesDeaf,
        Fault::WatchesDeaf,
        Fault::WatchesDeaf,
    ];

    fn of(what: What) -> &'static [Fault] {
        match what {
            What::Failures => &Fault::ALL,
            What::Restores => &Fault::WITH_RESTORES,
            What::Changes => &Fault::WITH_CHANGES,
        }
    }

    /// Whether it concerns one host at a time.
    fn takes_host(self) -> bool {
        matches!(
            self,
            Fault::KillHost | Fault::KillHosts | Fault::FreezeHost | Fault::StopHost | Fault::Reload
        )
    }

    /// Whether it concerns the store.
    fn takes_store(self) -> bool {
        matches!(
            self,
            Fault::StoreSilent
                | Fault::StoreDown
                | Fault::StoreBusy
                | Fault::StoreAway
                | Fault::StoreRestored
                | Fault::StoreInTwoEpochs
                | Fault::WatchesDeaf
        )
    }
}

/// Plays so many faults and waits for their ends; returns what was played. Faults of hosts don't overlap each other, nor
/// do those of the store or of the backend servers: what is asked of each is then clear.
pub async fn play(
    count: usize,
    what: What,
    rng: &mut StdRng,
    hosts: &Arc<Hosts>,
    engines: &Arc<Engines>,
    store: &Store,
) -> Vec<String> {
    let lanes: [Arc<tokio::sync::Mutex<()>>; 3] = Default::default();
    let (mut tasks, mut played) = (JoinSet::new(), Vec::new());
    for _ in 0..count {
        let faults = Fault::of(what);
        let fault = faults[rng.random_range(0..faults.len())];
        let (n, length) =
            (rng.random_range(0..hosts.len()), Duration::from_millis(rng.random_range(LENGTH_MS)));
        let lane = lanes[if fault.takes_host() {
            0
        } else if fault.takes_store() {
            1
        } else {
            2
        }]
        .clone();
        let (hosts, engines, store) = (hosts.clone(), engines.clone(), store.clone());
        played.push(format!("{fault:?} {n} {} ms", length.as_millis()));
        let seed = if what == What::Failures { 0 } else { rng.random() };
        tasks.spawn(async move {
            let _alone = lane.lock().await;
            let from = Instant::now();
            match fault {
                Fault::StoreRestored | Fault::StoreInTwoEpochs => {
                    let both = matches!(fault, Fault::StoreInTwoEpochs);
                    restore(&store, &engines, length, both, StdRng::seed_from_u64(seed)).await;
                }
                _ => strike(fault, n, length, &hosts, &engines, &store).await,
            }
            if matches!(fault, Fault::StoreSilent | Fault::StoreDown | Fault::StoreBusy | Fault::StoreAway) {
                engines.note_store(from);
            }
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
    }
    while let Some(done) = tasks.join_next().await {
        done.unwrap();
    }
    played
}

async fn strike(fault: Fault, n: usize, length: Duration, hosts: &Hosts, engines: &Engines, store: &Store) {
    match fault {
        Fault::KillHost => hosts.kill(n, length).await,
        Fault::KillHosts => hosts.kill_all(length).await,
        Fault::FreezeHost => hosts.freeze(n, length).await,
        Fault::StopHost => hosts.stop(n).await,
        Fault::Reload => hosts.reload(n),
        Fault::StoreSilent => gate(store, Mode::Stall, length).await,
        Fault::StoreDown => gate(store, Mode::Refuse, length).await,
        Fault::StoreAway => gate(store, Mode::Stall, LONG).await,
        Fault::EnginesPause => engines.ask_pauses(length).await,
        Fault::StoreBusy => {
            store.set_busy(true);
            tokio::time::sleep(length).await;
            store.set_busy(false);
        }
        Fault::WatchesDeaf => {
            store.set_watches_unanswered(true);
            tokio::time::sleep(length).await;
            store.set_watches_unanswered(false);
        }
        Fault::EngineCrash => engines.crash(n).await,
        Fault::EngineStall => engines.stall(n, length).await,
        Fault::EngineLeave => engines.leave(n).await,
        Fault::EnginesFull => engines.be_full(length).await,
        Fault::AnswersLost => engines.lose_answers(length).await,
        Fault::StoreRestored | Fault::StoreInTwoEpochs => {
            unreachable!("it draws the order of what is written again")
        }
    }
}

/// The store goes on for a while, is away for a moment, and comes back from a copy of before. What callers of the store had
/// written since is written again, in another order and not at once, but for what the hosts had written.
async fn restore(store: &Store, engines: &Engines, length: Duration, both: bool, mut rng: StdRng) {
    let backup = store.backup();
    tokio::time::sleep(length).await;
    let from = Instant::now();
    store.set_gate(Mode::Refuse).await;
    tokio::time::sleep(AWAY).await;
    let before = store.backup();
    let mut undone = store.restore(&backup);
    store.answer_also_from(both.then_some(before));
    store.set_gate(Mode::Open).await;
    undone.retain(|(kind, ..)| kind != "hosts");
    undone.shuffle(&mut rng);
    for write in undone {
        tokio::time::sleep(Duration::from_millis(rng.random_range(WRITES_AGAIN_MS))).await;
        store.write_again(&backup, write);
    }
    store.answer_also_from(None);
    engines.note_store(from);
}

async fn gate(store: &Store, mode: Mode, length: Duration) {
    store.set_gate(mode).await;
    tokio::time::sleep(length).await;
    store.set_gate(Mode::Open).await;
}
