//! Publishes and handles the notes that gossip carries for other modules.

use std::sync::Arc;

use super::Shared;
use crate::{catalog::Id, member::Topic, place::bound::LoadDigest, schema::suspect, util::now};

/// Ticks between notes of suspect content.
const SUSPECT_NOTE_INTERVAL_TICKS: u64 = 20;

impl Shared {
    /// Publishes the load of this router's engines and, less often, its suspect content.
    pub(super) fn publish_notes(&self, ticks: u64) {
        let loads: Vec<_> = self
            .gateway
            .load_digests()
            .into_iter()
            .map(|(p, d)| (p.0, d.work, d.running, d.capacity))
            .collect();
        if !loads.is_empty() {
            self.publish(Topic::Load, encode_fitting(&loads, Topic::Load.max_payload_bytes()));
        }
        if ticks.is_multiple_of(SUSPECT_NOTE_INTERVAL_TICKS) {
            let digest = self.gateway.suspects_digest(Topic::Suspects.max_payload_bytes());
            if !digest.entries.is_empty() {
                self.publish(Topic::Suspects, postcard::to_stdvec(&digest).unwrap_or_default());
            }
        }
    }

    fn publish(&self, topic: Topic, payload: Vec<u8>) {
        if let Some(Err(e)) = self.with(|m| m.publish(now(), topic, payload)) {
            spdlog::warn!("did not publish a note larger than {} bytes", e.max_payload_bytes);
        }
    }

    /// Passes a received note to the module of its topic.
    pub(super) fn handle_note(&self, topic: Topic, origin: &Arc<str>, payload: &[u8]) {
        match topic {
            Topic::Load => {
                let loads: Vec<(u64, u64, u32, u64)> = postcard::from_bytes(payload).unwrap_or_default();
                for (pool, work, running, capacity) in loads {
                    let digest = LoadDigest { work, running, capacity };
                    self.gateway.record_load_digest(Id::of(origin), Id(pool), digest, now());
                }
            }
            Topic::Suspects => {
                if let Ok(digest) = postcard::from_bytes::<suspect::Digest>(payload) {
                    self.gateway.merge_suspects(&digest);
                }
            }
            Topic::Engines => {}
        }
    }
}

/// Encodes as many of the first pools as fit `max_payload_bytes`.
fn encode_fitting(loads: &[(u64, u64, u32, u64)], max_payload_bytes: usize) -> Vec<u8> {
    let mut count = loads.len();
    loop {
        let bytes = postcard::to_stdvec(&loads[..count]).unwrap_or_default();
        if bytes.len() <= max_payload_bytes || count == 0 {
            return bytes;
        }
        count -= 1;
    }
}
