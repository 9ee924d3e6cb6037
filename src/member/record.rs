//! State of one member and which of two states is newer.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    schema::membership as raw,
    util::{Instant, hash},
};

/// Longest name of a router, data centre or region, in bytes; keeps every record well within a datagram.
pub const NAME_BYTES: usize = 64;

/// Bits of an incarnation that tell refutations apart but hardly starts: about a second's worth of milliseconds.
///
/// Suspicion and refutation stay within a data centre. If each refutation changed what the tables' hashes are made
/// of, a burst of false suspicions would set the whole fleet to compare tables and the news of it would crowd out the
/// refutations themselves.
const START_BITS: u32 = 10;

/// What is known of a member, from weak to strong within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// It answers.
    Alive,
    /// It is shutting down and takes no new callers.
    Leaving,
    /// It has not answered and may refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it stops.
    Left,
}

impl Status {
    /// Whether the member is gone.
    pub fn gone(self) -> bool {
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

/// A router as the others know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Where routers reach it.
    pub peer: SocketAddr,
    /// Rises with each change that the member itself makes; starts at its start time, in milliseconds.
    pub incarnation: u64,
    /// Status.
    pub status: Status,
    /// Whether it has a configuration in force and serves.
    pub ready: bool,
}

impl Record {
    /// Reads a record from a datagram; `None` when a field can't be meant.
    pub fn from_raw(raw: &raw::Record) -> Option<Self> {
        let names = [&raw.name, &raw.data_centre, &raw.region];
        if raw.name.is_empty() || names.iter().any(|n| n.len() > NAME_BYTES) {
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

    /// The record as a datagram carries it.
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

    /// Whether this tells more than `old` of the same name.
    pub fn beats(&self, old: &Record) -> bool {
        (self.incarnation, self.status) > (old.incarnation, old.status)
    }

    /// Part of the table's hash: what other data centres need to know.
    pub fn digest(&self) -> u32 {
        let status = if self.status == Status::Leaving { 1u8 } else { 0 };
        hash((&*self.name, self.incarnation >> START_BITS, status, self.ready)) as u32
    }

    /// Whether a newer record tells other data centres nothing that they don't know from this one, as when a suspect
    /// has refuted.
    pub fn same_for_remote(&self, new: &Record) -> bool {
        !self.status.gone() && !new.status.gone() && self.digest() == new.digest()
    }
}

/// A member of the table.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its record.
    pub record: Record,
    /// Configuration version it had in force when it was last heard.
    pub in_force: u64,
    /// Number of its last datagram in this incarnation.
    pub(super) seq: (u64, u64),
    /// When suspicion turns into death.
    pub(super) suspect_until: Option<Instant>,
    /// When it was found gone.
    pub(super) gone_at: Option<Instant>,
    /// Changes of this router's reports that it has acknowledged.
    pub(super) acked: u64,
}

impl Member {
    pub(super) fn new(record: Record) -> Self {
        Self { record, in_force: 0, seq: (0, 0), suspect_until: None, gone_at: None, acked: 0 }
    }
}
