//! Compares an entry of the store with the known incarnation of the server: the same, a later or an earlier one, or
//! written by another party.

use std::{cmp::Ordering, net::SocketAddr};

use super::Backend;
use crate::schema::fleet;

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
        let own = item.addr.parse() == Ok(self.addr) && item.service == *self.service;
        match item.born.cmp(&self.born) {
            // A server whose entries have a start time always writes it.
            _ if item.born == 0 && self.born > 0 => Comparison::Foreign,
            Ordering::Less => Comparison::Earlier,
            Ordering::Greater if item.addr.parse::<SocketAddr>().is_ok() => Comparison::Later,
            Ordering::Equal if own => Comparison::Same,
            _ => Comparison::Foreign,
        }
    }
}
