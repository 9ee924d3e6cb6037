//! Evacuated data centres: what hosts know of them, and what they send there.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::Duration;

use cranberrytally::{
    relay::{
        evacuations::{Change, Evacuations, Update},
        revision::Revision,
    },
    schema::fleet,
};
use proptest::prelude::*;
use relay_support::rev;
use wire::{Act, Host, Server, header, ok, request, status};

const NOW: Duration = Duration::from_secs(100);

fn told(revision: u64, data_centres: &[&str]) -> fleet::Evacuations {
    let data_centres = data_centres.iter().map(|d| d.to_string()).collect();
    fleet::Evacuations { revision, data_centres, ..fleet::Evacuations::default() }
}

fn changed(revision: u64, data_centre: &str, evacuated: bool) -> Update {
    Update::Changes { revision: rev(revision), changes: vec![(data_centre.into(), evacuated)] }
}

/// An operator evacuates a data centre. A host that hears of it late from a neighbour must not take back what a newer word
/// has begun or ended.
#[test]
fn the_later_word_holds_whoever_tells_it() {
    let mut known = Evacuations::default();
    assert!(!known.is_known());
    assert_eq!(known.snapshot(NOW), None);

    let begun = known.update(NOW, &changed(5, "b", true));
    let late = known.merge(NOW, &told(4, &[]));
    let same = known.merge(NOW, &told(5, &["a"]));

    assert_eq!(begun, [Change::Evacuated("b".into())]);
    assert_eq!((late, same), (Vec::new(), Vec::new()));
    assert!(known.contains("b") && !known.contains("a"));
    assert_eq!(known.snapshot(NOW), Some(told(5, &["b"])));
    assert_eq!(known.merge(NOW, &told(7, &["a"])).len(), 2);
    assert!(known.contains("a") && !known.contains("b"));
}

proptest! {
    /// Hosts hear the store's word in any order, some of it twice and some never, from followers and from each other. Each of
    /// them holds the set of the latest revision that it heard of, never a mixture.
    #[test]
    fn each_host_holds_the_set_of_one_revision(
        changes in prop::collection::vec((0..3_usize, any::<bool>()), 1..20),
        heard in prop::collection::vec((0..4_usize, 0..20_usize, any::<bool>()), 0..80),
    ) {
        let names = ["a", "b", "c"];
        let mut store = vec![told(1, &[])];
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
        for (host, revision, from_store) in heard {
            let word = if from_store {
                Some(store[revision % store.len()].clone())
            } else {
                hosts[revision % 4].snapshot(NOW)
            };
            if let Some(word) = word {
                hosts[host].merge(NOW, &word);
            }
            for host in hosts.iter().filter(|h| h.is_known()) {
                let want = &store[host.revision().number as usize - 1];
                for name in names {
                    prop_assert_eq!(host.contains(name), want.data_centres.iter().any(|d| d == name));
                }
            }
        }
    }
}

/// A data centre is evacuated while its servers are the nearest and idle. Callers of the host there must be served by the other
/// data centre from then on, and by the near one again once it is taken back.
#[tokio::test]
async fn nothing_new_goes_to_an_evacuated_data_centre() {
    let near = Server::start("near", vec![Act::Write(ok("near")); 4]).await;
    let far = Server::start("far", vec![Act::Write(ok("far")); 4]).await;
    let host = Host::with(&[&near, &far]).await;

    let before = host.call(&request("/safe/1", "")).await;
    host.relay.update_evacuations(&changed(5, "a", true), "test");
    let during = [host.call(&request("/safe/2", "")).await, host.call(&request("/unsafe/3", "")).await];
    host.relay.update_evacuations(&changed(6, "a", false), "test");
    let after = host.call(&request("/safe/4", "")).await;

    assert!(before.ends_with("near") && after.ends_with("near"), "{before} {after}");
    assert!(during.iter().all(|answer| answer.ends_with("far")), "{during:?}");
    assert_eq!(near.seen().len(), 2);
}

/// A server in an evacuated data centre is the only other one. A request that fails at the first server must not be repeated
/// there.
#[tokio::test]
async fn a_retry_goes_to_no_evacuated_data_centre() {
    let near = Server::start("near", vec![Act::WriteAndReset(String::new()); 4]).await;
    let far = Server::start("far", vec![Act::Write(ok("far")); 4]).await;
    let host = Host::with(&[&near, &far]).await;
    host.relay.update_evacuations(&changed(5, "b", true), "test");

    let answer = host.call(&request("/safe/1", "")).await;

    assert_ne!(status(&answer), 200, "{answer}");
    assert_eq!(far.seen().len(), 0);
}

/// All data centres with servers of a service are evacuated at once. Callers must hear at once that nothing ran and when to
/// come back, and no server may be asked.
#[tokio::test]
async fn a_service_that_is_evacuated_whole_is_refused() {
    let near = Server::start("near", vec![Act::Write(ok("near")); 2]).await;
    let host = Host::with(&[&near]).await;
    host.relay.update_evacuations(&changed(5, "a", true), "test");

    let answer = host.call(&request("/unsafe/1", "")).await;

    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("evacuated"), "{answer}");
    let after: f64 = header(&answer, "retry-after").unwrap().parse().unwrap();
    assert!(after > 0.2, "{after}");
    assert_eq!(near.seen().len(), 0);
}

/// A store that was restored after an operator evacuated a data centre: requests went there again until it was written anew.
#[test]
fn an_evacuation_that_a_restored_store_has_lost_stays_in_force() {
    let restored =
        |revision, data_centres: &[&str]| fleet::Evacuations { epoch: 2, ..told(revision, data_centres) };
    let later = |seconds| NOW + Duration::from_secs(seconds);
    let lost = || {
        let mut known = Evacuations::default();
        known.merge(NOW, &told(9, &["a", "b"]));
        let changes = known.merge(later(1), &restored(4, &["a"]));
        assert_eq!(changes, []);
        known
    };
    let (mut written, mut ended, mut forgotten, mut starts) =
        (lost(), lost(), lost(), Evacuations::default());

    let changed = |number, evacuated| Update::Changes {
        revision: Revision::new(2, number),
        changes: vec![("b".into(), evacuated)],
    };
    starts.merge(later(21), &lost().snapshot(later(21)).unwrap());
    let again = written.update(later(5), &changed(5, true));
    let taken_back = ended.update(later(5), &changed(5, false));
    let expired = forgotten.expire(later(32));

    assert!(starts.contains("a") && starts.contains("b"), "a host that starts is told");
    assert_eq!(starts.expire(later(32)), [Change::TakenBack("b".into())]);
    assert_eq!((again, written.expire(later(60))), (Vec::new(), Vec::new()));
    assert_eq!(
        (taken_back, expired),
        (vec![Change::TakenBack("b".into())], vec![Change::TakenBack("b".into())])
    );
    assert!(
        written.contains("b") && !ended.contains("b") && !forgotten.contains("b") && forgotten.contains("a")
    );
}
