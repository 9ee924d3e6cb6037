//! Running routers bring engine pools to their desired state, with stand-ins for the platform and the engines.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use cranberrytally::{
    catalog::AnyObject,
    config::Settings,
    objects::Platform,
    serve::RunningRouter,
    standin::{
        engine::{EngineStandin, Faults},
        outside::{StandinConfig, Standins, loopback_listener, settings},
    },
};

const TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn router(outside: &Standins, name: &str) -> RunningRouter {
    let listener = loopback_listener().unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let addr = listener.local_addr().unwrap();
    let text = settings(name, addr, any, outside.platform_addr(), &[]) + "orders: {loads_per_minute: 6000}\n";
    RunningRouter::start_on(&Settings::parse(&text).unwrap(), listener).unwrap()
}

/// Sets the desired models of the pool.
async fn set_models(outside: &Standins, models: &[&str]) {
    let platform = Platform::new(outside.platform_addr());
    let mut pool: AnyObject = platform.get("EnginePool", "models").await.unwrap().unwrap();
    pool.spec["models"] = serde_json::json!(models);
    pool.spec["checksFencing"] = serde_json::json!(true);
    outside.platform.put(pool).unwrap();
}

async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let waiting = async {
        while !done() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, waiting).await.is_ok(), "timed out waiting until {what}");
}

fn all_ordered(outside: &Standins, models: &[&str]) -> bool {
    let last = |e: &Arc<EngineStandin>| e.orders().last().map(|(_, order)| order.models.clone());
    outside.engines.iter().all(|e| last(e).is_some_and(|have| have == models))
}

/// The engines get a pool's model from one router. That router stops, and another takes over with a higher fencing token,
/// so that engines that check the number refuse late orders of the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pool_converges_across_a_change_of_lease_holder() {
    let outside = Standins::start(StandinConfig::default().with_engines(2)).await.unwrap();
    for engine in &outside.engines {
        engine.set_faults(Faults { checks_fencing: true, ..Faults::default() });
    }
    let first = router(&outside, "first");

    set_models(&outside, &["m@1"]).await;
    wait_until("the first version is ordered", || all_ordered(&outside, &["m@1"])).await;
    first.stop().await;
    let second = router(&outside, "second");
    set_models(&outside, &["m@2"]).await;
    wait_until("the second version is ordered", || all_ordered(&outside, &["m@2"])).await;

    for engine in &outside.engines {
        let orders = engine.orders();
        let numbers: BTreeSet<_> = orders.iter().map(|(fencing, _)| *fencing).collect();
        assert_eq!(numbers.len(), 2, "{orders:?}");
        assert!(orders.iter().is_sorted_by_key(|(fencing, _)| *fencing), "{orders:?}");
        let models: Vec<_> = orders.iter().map(|(_, order)| order.models.len()).collect();
        assert_eq!(
            models,
            [1, 2, 1],
            "the old version must be removed after the new one is loaded: {orders:?}"
        );
    }
    second.close();
    outside.close();
}
