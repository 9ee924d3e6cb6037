//! Encodes and authenticates datagrams: a keyed MAC followed by the postcard encoding, within the size limit.

use serde::Serialize;

use crate::schema::membership::Datagram;

/// Maximum size of a datagram; small enough to pass every path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Size of the IP and UDP headers of a datagram; they count towards the budget.
pub const IP_UDP_HEADER_BYTES: usize = 28;
pub(super) const MAC_BYTES: usize = 16;
const KEY_CONTEXT: &str = "cranberrytally gossip 1";

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reject {
    /// Shorter or longer than any valid datagram.
    Size,
    /// The MAC was not made with the fleet's key.
    InvalidMac,
    /// Authentic but not decodable; routers of different versions may be running.
    Malformed,
    /// Not newer than a previous datagram of the same sender.
    Replay,
}

impl Reject {
    /// Value of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Reject::Size => "datagram_size",
            Reject::InvalidMac => "datagram_stranger",
            Reject::Malformed => "datagram_garbage",
            Reject::Replay => "datagram_replay",
        }
    }
}

/// MAC key of the datagrams, derived from the fleet's shared key.
#[derive(Clone)]
pub struct GossipKey([u8; 32]);

impl std::fmt::Debug for GossipKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("GossipKey")
    }
}

impl GossipKey {
    /// Derives the key from the fleet's shared key.
    pub fn new(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }

    /// Encodes and authenticates a datagram.
    pub fn seal(&self, datagram: &Datagram) -> Vec<u8> {
        let mut buf = vec![0; MAC_BYTES];
        buf = postcard::to_extend(datagram, buf).expect("every field can be encoded");
        let tag = self.tag(&buf[MAC_BYTES..]);
        buf[..MAC_BYTES].copy_from_slice(&tag);
        buf
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    /// Why the datagram must be dropped.
    pub fn open(&self, bytes: &[u8]) -> Result<Datagram, Reject> {
        if bytes.len() <= MAC_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Reject::Size);
        }
        let (tag, body) = bytes.split_at(MAC_BYTES);
        // `blake3::Hash` compares in constant time; a plain comparison would leak the expected tag byte by byte.
        if blake3::hash(&self.tag(body)) != blake3::hash(tag) {
            return Err(Reject::InvalidMac);
        }
        postcard::from_bytes(body).map_err(|_| Reject::Malformed)
    }

    fn tag(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut tag = [0; MAC_BYTES];
        let full_hash = blake3::keyed_hash(&self.0, body);
        tag.copy_from_slice(&full_hash.as_bytes()[..MAC_BYTES]);
        tag
    }
}

/// Encoded size of a value in bytes.
pub(super) fn encoded_size(part: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(part, postcard::ser_flavors::Size::default())
        .unwrap_or(MAX_DATAGRAM_BYTES)
}
