//! Faults from outside, drawn by a seed and played one after the other with overlaps.

use std::{sync::Arc, time::Duration};

use cranberrytally::standin::gate::Mode;
use rand::{Rng, rngs::StdRng};
use tokio::task::JoinSet;

use super::{engine::Engines, hosts::Hosts, store::Store};

/// Pause between the starts of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 300..1_200;
/// Length of a fault, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..2_500;

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

    /// Whether it concerns one host at a time.
    fn takes_host(self) -> bool {
        matches!(
            self,
            Fault::KillHost | Fault::KillHosts | Fault::FreezeHost | Fault::StopHost | Fault::Reload
        )
    }

    /// Whether it concerns the store.
    fn takes_store(self) -> bool {
        matches!(self, Fault::StoreSilent | Fault::StoreDown | Fault::StoreBusy)
    }
}

/// Plays so many faults and waits for their ends; returns what was played. Faults of hosts don't overlap each other, nor
/// do those of the store or of the backend servers: what is asked of each is then clear.
pub async fn play(
    count: usize,
    rng: &mut StdRng,
    hosts: &Arc<Hosts>,
    engines: &Arc<Engines>,
    store: &Store,
) -> Vec<String> {
    let lanes: [Arc<tokio::sync::Mutex<()>>; 3] = Default::default();
    let (mut tasks, mut played) = (JoinSet::new(), Vec::new());
    for _ in 0..count {
        let fault = Fault::ALL[rng.random_range(0..Fault::ALL.len())];
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
        tasks.spawn(async move {
            let _alone = lane.lock().await;
            strike(fault, n, length, &hosts, &engines, &store).await;
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
        Fault::StoreBusy => {
            store.set_busy(true);
            tokio::time::sleep(length).await;
            store.set_busy(false);
        }
        Fault::EngineCrash => engines.crash(n).await,
        Fault::EngineStall => engines.stall(n, length).await,
        Fault::EngineLeave => engines.leave(n).await,
        Fault::EnginesFull => engines.be_full(length).await,
        Fault::AnswersLost => engines.lose_answers(length).await,
    }
}

async fn gate(store: &Store, mode: Mode, length: Duration) {
    store.set_gate(mode).await;
    tokio::time::sleep(length).await;
    store.set_gate(Mode::Open).await;
}
