//! Whose an entry of the store is: a start's own, a later or earlier one's of the same server, or another writer's.

use std::{cmp::Ordering, net::SocketAddr};

use super::Backend;
use crate::schema::fleet;

/// How an entry compares with the start that is known under its identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Entry {
    /// It tells of the same start.
    Same,
    /// The server has started again.
    Later,
    /// It tells of a start before.
    Earlier,
    /// Somebody else wrote it.
    Foreign,
}

impl Backend {
    /// How an entry under the same identifier compares with this start.
    pub(super) fn compare(&self, item: &fleet::Backend) -> Entry {
        let own = item.addr.parse() == Ok(self.addr) && item.service == *self.service;
        match item.born.cmp(&self.born) {
            // A server that has told its start always tells it.
            _ if item.born == 0 && self.born > 0 => Entry::Foreign,
            Ordering::Less => Entry::Earlier,
            Ordering::Greater if item.addr.parse::<SocketAddr>().is_ok() => Entry::Later,
            Ordering::Equal if own => Entry::Same,
            _ => Entry::Foreign,
        }
    }
}
