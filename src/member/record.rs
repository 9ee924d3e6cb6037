//! Record of one member, and which of two records is newer.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    schema::membership as raw,
    util::{Instant, hash},
};

/// Maximum length of the name of a router, data centre or region, so that every record fits into a datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// Low bits of an incarnation that digests ignore. They distinguish refutations but rarely starts, since they cover
/// about one second of milliseconds.
///
/// Suspicions and refutations stay within a data centre. If each refutation changed the digests, a burst of false
/// suspicions would make the whole fleet compare tables, and that traffic would crowd out the refutations themselves.
const DIGEST_INCARNATION_SHIFT_BITS: u32 = 10;

/// Status of a member; within one incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// The member responds.
    Alive,
    /// The member is shutting down and accepts no new callers.
    Leaving,
    /// The member did not respond and may still refute.
    Suspect,
    /// The member did not refute in time.
    Dead,
    /// The member announced that it stops.
    Left,
}

impl Status {
    /// Whether the member is dead or has left.
    pub fn is_dead_or_left(self) -> bool {
        self >= Status::Dead
    }

    fn from_raw(n: u32) -> Option<Self> {
        Some(match n {
            0 => Status::Alive,
            1 => Status::Leaving,
            2 => Status::Suspect,
            3 => Status::Dead,
            4 => Status::Left,
            _ => return None,
        })
    }
}

/// Record of a router as gossip carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for other routers.
    pub peer: SocketAddr,
    /// Incarnation, which only the member itself increases; initially its start time in milliseconds.
    pub incarnation: u64,
    /// Status.
    pub status: Status,
    /// Whether it has a configuration in force and is ready to serve.
    pub ready: bool,
}

impl Record {
    /// Decodes a record of a datagram; `None` if a field is invalid.
    pub fn from_raw(raw: &raw::Record) -> Option<Self> {
        let names = [&raw.name, &raw.data_centre, &raw.region];
        if raw.name.is_empty() || names.iter().any(|n| n.len() > MAX_NAME_BYTES) {
            return None;
        }
        Some(Self {
            name: raw.name.as_str().into(),
            data_centre: raw.data_centre.as_str().into(),
            region: raw.region.as_str().into(),
            http: raw.http.parse().ok()?,
            peer: raw.peer.parse().ok()?,
            incarnation: raw.incarnation,
            status: Status::from_raw(raw.status)?,
            ready: raw.ready,
        })
    }

    /// Encodes the record for a datagram.
    pub fn to_raw(&self) -> raw::Record {
        raw::Record {
            name: self.name.to_string(),
            data_centre: self.data_centre.to_string(),
            region: self.region.to_string(),
            http: self.http.to_string(),
            peer: self.peer.to_string(),
            incarnation: self.incarnation,
            status: self.status as u32,
            ready: self.ready,
        }
    }

    /// Whether this record is newer than `old`, a record of the same member.
    pub fn is_newer_than(&self, old: &Record) -> bool {
        (self.incarnation, self.status) > (old.incarnation, old.status)
    }

    /// Hash of what other data centres need to know, for comparisons of tables.
    pub fn digest(&self) -> u32 {
        let status = if self.status == Status::Leaving { 1u8 } else { 0 };
        hash((&*self.name, self.incarnation >> DIGEST_INCARNATION_SHIFT_BITS, status, self.ready)) as u32
    }

    /// Whether a newer record contains nothing new for remote data centres, for example after a suspect has refuted.
    pub fn same_for_remote(&self, new: &Record) -> bool {
        !self.status.is_dead_or_left() && !new.status.is_dead_or_left() && self.digest() == new.digest()
    }
}

/// A member in the table.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest record.
    pub record: Record,
    /// Configuration version in force according to its last datagram.
    pub in_force: u64,
    /// Incarnation and sequence number of its last datagram.
    pub(super) last_seq: (u64, u64),
    /// When the suspicion expires and the member is declared dead.
    pub(super) suspect_until: Option<Instant>,
    /// When the member was recorded as dead or left.
    pub(super) dead_or_left_at: Option<Instant>,
    /// Last change of this router's reports that the member has acknowledged.
    pub(super) acked_change: u64,
}

impl Member {
    pub(super) fn new(record: Record) -> Self {
        Self {
            record,
            in_force: 0,
            last_seq: (0, 0),
            suspect_until: None,
            dead_or_left_at: None,
            acked_change: 0,
        }
    }
}
