//! Decisions of a host that cannot connect to backend servers: whether it is cut off, and how to connect.

#[path = "support/relay.rs"]
mod relay_support;

use std::{net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        backends::{BackendKey, Backends},
        reach::{CutOff, Reach, Way},
        revision::Revision,
    },
    schema::fleet::Backends as List,
};
use relay_support::listed;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Keys of three servers.
fn servers() -> [BackendKey; 3] {
    let mut backends = Backends::default();
    let items = ["a", "bb", "ccc"].map(|id| listed(id, false)).into();
    backends.apply_list(ms(0), &List { revision: 1, items, ..List::default() }, None);
    assert_eq!(backends.revision(), Revision::new(0, 1));
    let keys: Vec<_> = backends.iter().map(|(key, _)| key).collect();
    keys.try_into().unwrap()
}

fn helper(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_340))
}

/// A host that failed to connect to the first two servers.
fn cut_off(at: Duration) -> (Reach, [BackendKey; 3]) {
    let (mut reach, keys) = (Reach::default(), servers());
    keys[..2].iter().for_each(|key| reach.record_failure(at, *key));
    (reach, keys)
}

/// Guards against a host that takes the crash of one server for its own fault.
#[test]
fn one_unreached_server_is_no_cut() {
    let (mut reach, [first, ..]) = (Reach::default(), servers());

    reach.record_failure(ms(0), first);

    assert!(!reach.is_cut_off(ms(0)));
    assert_eq!(reach.way(ms(0), first), Way::Direct);
}

/// Guards against requests that each wait for a connection that cannot be established, and against a host that never
/// notices the end of the cut.
#[test]
fn a_cut_off_host_tries_a_server_directly_once_a_second() {
    let (mut reach, [first, _, other]) = cut_off(ms(0));

    let ways = [100, 999, 1_000, 1_001, 2_000].map(|at| reach.way(ms(at), first));

    assert_eq!(ways, [Way::Through, Way::Through, Way::Both, Way::Through, Way::Both]);
    assert_eq!(reach.way(ms(100), other), Way::Direct, "it was not tried yet");
}

/// Guards against a host that goes on through others after its own links are back.
#[test]
fn a_direct_connection_ends_the_cut() {
    let (mut reach, [first, second, _]) = cut_off(ms(0));
    let changed = reach.take_change(ms(0));

    reach.record_connected(first);

    assert_eq!(changed, Some(CutOff(true)));
    assert_eq!(reach.take_change(ms(1)), Some(CutOff(false)));
    assert_eq!(reach.take_change(ms(2)), None);
    assert_eq!(reach.way(ms(2), second), Way::Direct);
}

/// Guards against a host that takes servers that are down for a cut, and has other hosts try them again and again.
#[test]
fn a_server_that_two_other_hosts_cannot_reach_is_down() {
    let (mut reach, [first, ..]) = cut_off(ms(0));

    reach.record_confirmed(ms(10), first, helper(1));
    reach.record_confirmed(ms(20), first, helper(1));
    let after_one = reach.is_cut_off(ms(20));
    reach.record_confirmed(ms(30), first, helper(2));

    assert!(after_one, "one host may be cut off itself");
    assert!(!reach.is_cut_off(ms(30)));
    assert!(!reach.is_unreached(ms(30), first));
    assert!(reach.is_cut_off(ms(2_030)), "it is asked about again");
}

/// Guards against requests that ask one cut-off host after the other again.
#[test]
fn a_host_that_declined_is_not_asked_for_a_second() {
    let mut reach = Reach::default();

    reach.record_declined(ms(0), helper(1));

    assert!(!reach.may_help(ms(999), helper(1)));
    assert!(reach.may_help(ms(1_000), helper(1)));
    assert!(reach.may_help(ms(0), helper(2)));
}

/// Guards against a host without traffic that stays cut off by failures of long ago.
#[test]
fn failures_are_forgotten() {
    let (mut reach, [first, ..]) = cut_off(ms(0));

    reach.expire(ms(30_000));

    assert!(!reach.is_cut_off(ms(30_000)));
    assert_eq!(reach.way(ms(30_000), first), Way::Direct);
}
