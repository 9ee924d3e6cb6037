//! Which hosts callers are told to use.

use std::net::SocketAddr;

use crate::util::hash;

/// Chooses at most so many addresses. Of more, each host that is asked tells a choice of its own, so that all get callers.
/// It keeps to its choice while the hosts stay the same, since callers
/// leave connections to a host that is missing from a newer answer.
pub fn choose(mut addresses: Vec<String>, asked: SocketAddr, most: usize) -> Vec<String> {
    if addresses.len() > most {
        addresses.sort_by_cached_key(|addr| hash((asked, addr)));
        addresses.truncate(most);
    }
    addresses.sort();
    addresses
}
