//! Decides whether an entry of the store can be used, and compares it with the known incarnation of the server: the same, a
//! later or an earlier one, or written by another party.

use std::{cmp::Ordering, net::SocketAddr};

use super::Backend;
use crate::schema::fleet;

/// Maximum number of requests that a server runs concurrently. An entry with more would attract nearly all requests of its service,
/// and was written by another party.
const MAX_SLOTS: u32 = 100_000;
/// Maximum length of an identifier, a service and a data centre, in bytes. Hosts send these to each other.
pub(super) const MAX_NAME_BYTES: usize = 253;

/// Why an entry cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::relay) enum Unusable {
    /// Its address is not one that can be connected to.
    Address,
    /// It declares more slots than any server has.
    Slots,
    /// Its identifier, service or data centre is too long.
    Name,
}

impl Unusable {
    /// Description in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Unusable::Address => "invalid address",
            Unusable::Slots => "too many slots",
            Unusable::Name => "a name is too long",
        }
    }
}

/// The address of the server that an entry describes.
///
/// # Errors
/// When the entry cannot be used.
pub(in crate::relay) fn usable_addr(item: &fleet::Backend) -> Result<SocketAddr, Unusable> {
    let addr: SocketAddr = item.addr.parse().map_err(|_| Unusable::Address)?;
    if addr.port() == 0 || addr.ip().is_unspecified() || addr.ip().is_multicast() {
        return Err(Unusable::Address);
    }
    if item.slots > MAX_SLOTS {
        return Err(Unusable::Slots);
    }
    let is_long = |name: &String| name.len() > MAX_NAME_BYTES;
    if [&item.id, &item.service, &item.data_centre].into_iter().any(is_long) {
        return Err(Unusable::Name);
    }
    Ok(addr)
}

/// Result of comparing an entry with the incarnation known under its identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Comparison {
    /// It describes the same incarnation.
    Same,
    /// It describes a later incarnation: the server has restarted.
    Later,
    /// It describes an earlier incarnation.
    Earlier,
    /// It was written by another party.
    Foreign,
}

impl Backend {
    /// Compares an entry with the same identifier to this incarnation.
    pub(super) fn compare(&self, item: &fleet::Backend) -> Comparison {
        let addr = usable_addr(item);
        let own = addr == Ok(self.addr) && item.service == *self.service;
        match item.born.cmp(&self.born) {
            // A server whose entries have a start time always writes it, and one whose entries have none does not.
            _ if item.born == 0 && self.born > 0 && own && self.start_is_doubtful => Comparison::Same,
            _ if item.born == 0 && self.born > 0 => Comparison::Foreign,
            _ if item.born > 0 && self.born == 0 && !own => Comparison::Foreign,
            Ordering::Less => Comparison::Earlier,
            Ordering::Greater if addr.is_ok() => Comparison::Later,
            Ordering::Equal if own => Comparison::Same,
            _ => Comparison::Foreign,
        }
    }
}
