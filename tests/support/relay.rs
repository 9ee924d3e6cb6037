//! Fixtures of relaying hosts. Each test uses a part of them.

#![allow(dead_code)]

use std::time::Duration;

use cranberrytally::{
    relay::{RelayConfig, budget::BudgetConfig, leave::LeaveConfig, place::Bound, revision::Revision},
    schema::fleet::{Backend, Member},
};

/// Settings of a host that knows no other.
pub fn relay_config(name: &str) -> RelayConfig {
    let addr = "127.0.0.1:1".parse().unwrap();
    RelayConfig {
        me: Member {
            name: name.into(),
            callers: "127.0.0.1:2".into(),
            peers: "127.0.0.1:1".into(),
            data_centre: "a".into(),
        },
        peer_addr: addr,
        seeds: Vec::new(),
        budget: BudgetConfig::default(),
        bound: Bound::default(),
        leave: LeaveConfig { grace: Duration::from_secs(8), outlive: Duration::from_secs(3) },
        evacuates: false,
    }
}

/// A backend server of the service `s` as the store lists it; its start is not told.
pub fn listed(id: &str, leaving: bool) -> Backend {
    let addr = format!("10.0.0.1:{}", 1_000 + id.len());
    let (service, data_centre) = ("s".into(), "a".into());
    Backend { id: id.into(), service, addr, data_centre, slots: 6, leaving, ..Backend::default() }
}

/// A revision of a store that was never restored and tells no epoch.
pub fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}
