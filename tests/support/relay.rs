//! Fixtures of relaying hosts.

use std::time::Duration;

use cranberrytally::{
    relay::{RelayConfig, budget::BudgetConfig, leave::LeaveConfig, place::Bound},
    schema::fleet::Member,
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
    }
}
