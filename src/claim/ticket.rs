//! Tickets: keys that one start of one router alone may run.
//!
//! A key `ticket.rest` names its authority in itself. No other router ever grants it, whatever the platform or
//! the membership says, so that the router it names may grant it from memory while the platform is out: a key
//! that this start has not seen has run nowhere.

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};

use crate::{schema::claim::KeyTicket, util::Instant};

const KEY_CONTEXT: &str = "cranberrytally key ticket 1";
const MAC: usize = 16;
const PREFIX: &str = "kt1-";
/// How long a caller may start new keys under a ticket.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// Signs and reads tickets with a key derived from the fleet's shared key.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TicketKey")
    }
}

impl TicketKey {
    /// Derives the key.
    pub fn new(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }

    /// Text of a ticket; a caller makes a key of it by adding a dot and text of its own.
    pub fn sign(&self, ticket: &KeyTicket) -> String {
        let body = postcard::to_stdvec(ticket).unwrap_or_default();
        let mut bytes = self.mac(&body).to_vec();
        bytes.extend_from_slice(&body);
        format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
    }

    /// The ticket of an idempotency key; `None` for a key of the caller's own making.
    pub fn verified_ticket(&self, key: &str) -> Option<KeyTicket> {
        let (text, _) = key.strip_prefix(PREFIX)?.split_once('.')?;
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (tag, body) = bytes.split_at_checked(MAC)?;
        // `blake3::Hash` compares in constant time.
        if blake3::hash(tag) != blake3::hash(&self.mac(body)) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }

    fn mac(&self, body: &[u8]) -> [u8; MAC] {
        let mut out = [0; MAC];
        blake3::Hasher::new_keyed(&self.0).update(body).finalize_xof().fill(&mut out);
        out
    }
}

/// Whether new keys may still be started under a ticket of this start, by its own clock.
pub fn accepts_new_keys(ticket: &KeyTicket, now: Instant) -> bool {
    let age = now.saturating_sub(Duration::from_millis(ticket.made_ms));
    age < TICKET_LIFETIME
}
