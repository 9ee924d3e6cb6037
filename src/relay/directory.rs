//! Selects the host addresses that are handed out to callers.

use std::net::SocketAddr;

use crate::util::hash;

/// Selects at most `most` addresses. If there are more, the selection depends on the host that is asked, so that
/// callers are spread over all hosts. It is stable while the set of hosts is unchanged, since callers drop their
/// connections to a host that is missing from a newer answer.
pub fn choose(mut addresses: Vec<String>, asked: SocketAddr, most: usize) -> Vec<String> {
    if addresses.len() > most {
        addresses.sort_by_cached_key(|addr| hash((asked, addr)));
        addresses.truncate(most);
    }
    addresses.sort();
    addresses
}
