//! Bytes of a datagram: a keyed hash before the postcard encoding, never over the size bound.

use serde::Serialize;

use crate::schema::membership::Datagram;

/// Largest datagram, in bytes; passes every path unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes that IP and UDP add to a datagram; counted in the budget.
pub const IP_UDP_HEADER_BYTES: usize = 28;
pub(super) const MAC: usize = 16;
const KEY_CONTEXT: &str = "cranberrytally gossip 1";

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reject {
    /// Too short or too long to be one of ours.
    Size,
    /// Not made with the fleet's key.
    Stranger,
    /// Authentic, but can't be read; two versions of the program may be running.
    Garbage,
    /// Not newer than one of the same sender before.
    Replay,
}

impl Reject {
    /// Label of the counter.
    pub fn as_str(self) -> &'static str {
        match self {
            Reject::Size => "datagram_size",
            Reject::Stranger => "datagram_stranger",
            Reject::Garbage => "datagram_garbage",
            Reject::Replay => "datagram_replay",
        }
    }
}

/// Key of the datagrams, derived from the fleet's shared key.
#[derive(Clone)]
pub struct GossipKey([u8; 32]);

impl std::fmt::Debug for GossipKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("GossipKey")
    }
}

impl GossipKey {
    /// Derives the key.
    pub fn new(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }

    /// Encodes and authenticates a datagram.
    pub fn seal(&self, datagram: &Datagram) -> Vec<u8> {
        let mut buf = vec![0; MAC];
        buf = postcard::to_extend(datagram, buf).expect("every field can be encoded");
        let tag = self.tag(&buf[MAC..]);
        buf[..MAC].copy_from_slice(&tag);
        buf
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    /// Why it must be dropped.
    pub fn open(&self, bytes: &[u8]) -> Result<Datagram, Reject> {
        if bytes.len() <= MAC || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Reject::Size);
        }
        let (tag, body) = bytes.split_at(MAC);
        // `blake3::Hash` compares in constant time; a plain comparison would leak the tag byte by byte.
        if blake3::hash(&self.tag(body)) != blake3::hash(tag) {
            return Err(Reject::Stranger);
        }
        postcard::from_bytes(body).map_err(|_| Reject::Garbage)
    }

    fn tag(&self, body: &[u8]) -> [u8; MAC] {
        let mut tag = [0; MAC];
        let whole = blake3::keyed_hash(&self.0, body);
        tag.copy_from_slice(&whole.as_bytes()[..MAC]);
        tag
    }
}

/// Encoded size of a part.
pub(super) fn size(part: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(part, postcard::ser_flavors::Size::default())
        .unwrap_or(MAX_DATAGRAM_BYTES)
}
