//! Tests how hosts track evacuated data centres, and where they send requests meanwhile.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::Duration;

use cranberrytally::{
    relay::{
        datagram,
        evacuations::{Change, Evacuations, Update},
        revision::Revision,
    },
    schema::fleet,
};
use proptest::prelude::*;
use relay_support::rev;
use wire::{Host, ScriptStep, Server, header, ok, request, status};

const NOW: Duration = Duration::from_secs(100);

fn evacuations(revision: u64, data_centres: &[&str]) -> fleet::Evacuations {
    let data_centres = data_centres.iter().map(|d| d.to_string()).collect();
    fleet::Evacuations { revision, data_centres, ..fleet::Evacuations::default() }
}

fn changed(revision: u64, data_centre: &str, evacuated: bool) -> Update {
    Update::Changes { revision: rev(revision), changes: vec![(data_centre.into(), evacuated)] }
}

/// An operator evacuates a data centre. An outdated set that a host receives late from a neighbour must not undo a
/// newer change.
#[test]
fn the_later_revision_wins_whatever_its_source() {
    let mut known = Evacuations::default();
    assert!(!known.is_known());
    assert_eq!(known.snapshot(NOW), None);

    let added = known.update(NOW, &changed(5, "b", true));
    let late = known.merge(NOW, &evacuations(4, &[]));
    let same = known.merge(NOW, &evacuations(5, &["a"]));

    assert_eq!(added, [Change::Evacuated("b".into())]);
    assert_eq!((late, same), (Vec::new(), Vec::new()));
    assert!(known.contains("b") && !known.contains("a"));
    assert_eq!(known.snapshot(NOW), Some(evacuations(5, &["b"])));
    assert_eq!(known.merge(NOW, &evacuations(7, &["a"])).len(), 2);
    assert!(known.contains("a") && !known.contains("b"));
}

/// Guards against heartbeats that no host receives any more because another writer's names, long or many, are among the evacuated
/// data centres; those of real ones are still told.
#[test]
fn odd_names_do_not_keep_heartbeats_from_other_hosts() {
    let long = ["x".repeat(100_000), "y".repeat(1_400)];
    let many: Vec<_> = (0..500).map(|i| format!("another-writer-{i}")).collect();
    for odd in [&long[..], &many] {
        let names: Vec<_> = odd.iter().map(|name| &**name).chain(["akl-a", "akl-b"]).collect();
        let mut known = Evacuations::default();
        known.update(NOW, &Update::List(evacuations(5, &names)));
        known.update(NOW, &Update::List(fleet::Evacuations { epoch: 1, ..evacuations(6, &names[1..]) }));

        let beat = fleet::Beat { start: 1_000, evacuations: known.snapshot(NOW), ..fleet::Beat::default() };
        let message = datagram::encode(&beat).unwrap();

        assert!(known.contains("akl-a") && known.contains(names[0]));
        assert!(message.len() <= 1_000, "{} bytes, with room for the rest of a heartbeat", message.len());
        let told = datagram::decode(&message, 1_000).unwrap().evacuations.unwrap();
        assert!(["akl-a", "akl-b"].iter().all(|name| told.data_centres.iter().any(|told| told == name)));
    }
}

proptest! {
    /// Hosts receive the store's updates in any order, some twice and some never, from the store and from each other.
    /// Each host holds the set of the latest revision that it has received, never a mixture.
    #[test]
    fn each_host_holds_the_set_of_one_revision(
        changes in prop::collection::vec((0..3_usize, any::<bool>()), 1..20),
        deliveries in prop::collection::vec((0..4_usize, 0..20_usize, any::<bool>()), 0..80),
    ) {
        let names = ["a", "b", "c"];
        let mut store = vec![evacuations(1, &[])];
        for (i, (name, evacuated)) in changes.iter().enumerate() {
            let mut next = store[i].clone();
            next.revision += 1;
            next.data_centres.retain(|d| d != names[*name]);
            if *evacuated {
                next.data_centres.push(names[*name].into());
            }
            store.push(next);
        }
        let mut hosts = vec![Evacuations::default(); 4];
        for (host, revision, from_store) in deliveries {
            let received = if from_store {
                Some(store[revision % store.len()].clone())
            } else {
                hosts[revision % 4].snapshot(NOW)
            };
            if let Some(received) = received {
                hosts[host].merge(NOW, &received);
            }
            for host in hosts.iter().filter(|h| h.is_known()) {
                let expected = &store[host.revision().number as usize - 1];
                for name in names {
                    prop_assert_eq!(host.contains(name), expected.data_centres.iter().any(|d| d == name));
                }
            }
        }
    }
}

/// The nearest data centre is evacuated although its servers are idle. Callers must be served by the other data centre
/// from then on, and by the near one again once it is taken back.
#[tokio::test]
async fn an_evacuated_data_centre_gets_no_new_requests() {
    let near = Server::start("near", vec![ScriptStep::Write(ok("near")); 4]).await;
    let far = Server::start("far", vec![ScriptStep::Write(ok("far")); 4]).await;
    let host = Host::with_servers(&[&near, &far]).await;

    let before = host.call(&request("/safe/1", "")).await;
    host.relay.update_evacuations(&changed(5, "a", true), "test");
    let during = [host.call(&request("/safe/2", "")).await, host.call(&request("/unsafe/3", "")).await];
    host.relay.update_evacuations(&changed(6, "a", false), "test");
    let after = host.call(&request("/safe/4", "")).await;

    assert!(before.ends_with("near") && after.ends_with("near"), "{before} {after}");
    assert!(during.iter().all(|answer| answer.ends_with("far")), "{during:?}");
    assert_eq!(near.requests().len(), 2);
}

/// The only other server is in an evacuated data centre. A request that fails at the first server must not be retried
/// there.
#[tokio::test]
async fn a_retry_avoids_an_evacuated_data_centre() {
    let near = Server::start("near", vec![ScriptStep::WriteAndReset(String::new()); 4]).await;
    let far = Server::start("far", vec![ScriptStep::Write(ok("far")); 4]).await;
    let host = Host::with_servers(&[&near, &far]).await;
    host.relay.update_evacuations(&changed(5, "b", true), "test");

    let answer = host.call(&request("/safe/1", "")).await;

    assert_ne!(status(&answer), 200, "{answer}");
    assert_eq!(far.requests().len(), 0);
}

/// All data centres with servers of a service are evacuated at once. Callers must get an immediate refusal that says
/// that nothing ran and when to retry, and no server may be asked.
#[tokio::test]
async fn requests_for_a_fully_evacuated_service_are_refused() {
    let near = Server::start("near", vec![ScriptStep::Write(ok("near")); 2]).await;
    let host = Host::with_servers(&[&near]).await;
    host.relay.update_evacuations(&changed(5, "a", true), "test");

    let answer = host.call(&request("/unsafe/1", "")).await;

    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("evacuated"), "{answer}");
    let after: f64 = header(&answer, "retry-after").unwrap().parse().unwrap();
    assert!(after > 0.2, "{after}");
    assert_eq!(near.requests().len(), 0);
}

/// The store is restored to a state before an operator evacuated a data centre. Guards against requests that go there
/// again until the evacuation is written anew.
#[test]
fn an_evacuation_missing_from_a_restored_store_stays_in_force() {
    let restored = |revision, data_centres: &[&str]| fleet::Evacuations {
        epoch: 2,
        ..evacuations(revision, data_centres)
    };
    let later = |seconds| NOW + Duration::from_secs(seconds);
    let after_restore = || {
        let mut known = Evacuations::default();
        known.merge(NOW, &evacuations(9, &["a", "b"]));
        let changes = known.merge(later(1), &restored(4, &["a"]));
        assert_eq!(changes, []);
        known
    };
    let (mut rewritten, mut ended, mut forgotten, mut starting) =
        (after_restore(), after_restore(), after_restore(), Evacuations::default());

    let changed = |number, evacuated| Update::Changes {
        revision: Revision::new(2, number),
        changes: vec![("b".into(), evacuated)],
    };
    starting.merge(later(21), &after_restore().snapshot(later(21)).unwrap());
    let again = rewritten.update(later(5), &changed(5, true));
    let taken_back = ended.update(later(5), &changed(5, false));
    let expired = forgotten.expire(later(32));

    assert!(starting.contains("a") && starting.contains("b"), "a starting host receives both");
    assert_eq!(starting.expire(later(32)), [Change::TakenBack("b".into())]);
    assert_eq!((again, rewritten.expire(later(60))), (Vec::new(), Vec::new()));
    assert_eq!(
        (taken_back, expired),
        (vec![Change::TakenBack("b".into())], vec![Change::TakenBack("b".into())])
    );
    assert!(
        rewritten.contains("b")
            && !ended.contains("b")
            && !forgotten.contains("b")
            && forgotten.contains("a")
    );
}
