//! Tickets: signed key prefixes that bind an idempotency key to one process of one router.
//!
//! A key `ticket.rest` names its authority, that process. No other router ever grants it, whatever the platform or the
//! membership says. The authority can therefore grant the key from memory during a platform outage: a key that it has
//! not seen has not run anywhere.

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};

use crate::{schema::claim::KeyTicket, util::Instant};

const KEY_CONTEXT: &str = "cranberrytally key ticket 1";
const MAC_BYTES: usize = 16;
const PREFIX: &str = "kt1-";
/// Time for which a caller may use new keys under a ticket.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// Signs and verifies tickets with a key derived from the fleet's shared key.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TicketKey")
    }
}

impl TicketKey {
    /// Derives the ticket key from the shared key.
    pub fn new(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }

    /// Signs and encodes a ticket. A caller forms a key by appending a dot and a text of its choice.
    pub fn sign(&self, ticket: &KeyTicket) -> String {
        let body = postcard::to_stdvec(ticket).unwrap_or_default();
        let mut bytes = self.mac(&body).to_vec();
        bytes.extend_from_slice(&body);
        format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Extracts and verifies the ticket of an idempotency key; `None` if it has no valid ticket.
    pub fn verified_ticket(&self, key: &str) -> Option<KeyTicket> {
        let (text, _) = key.strip_prefix(PREFIX)?.split_once('.')?;
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (tag, body) = bytes.split_at_checked(MAC_BYTES)?;
        // Comparing `blake3::Hash` values takes constant time.
        if blake3::hash(tag) != blake3::hash(&self.mac(body)) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }

    fn mac(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut out = [0; MAC_BYTES];
        blake3::Hasher::new_keyed(&self.0).update(body).finalize_xof().fill(&mut out);
        out
    }
}

/// Whether a ticket of this process still accepts new keys, by this process's own clock.
pub fn accepts_new_keys(ticket: &KeyTicket, now: Instant) -> bool {
    let age = now.saturating_sub(Duration::from_millis(ticket.made_ms));
    age < TICKET_LIFETIME
}
