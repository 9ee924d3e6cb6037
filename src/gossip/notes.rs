//! Bytes that other modules have carried to the other routers.

use std::sync::Arc;

use super::Shared;
use crate::{catalog::Id, member::Topic, place::bound::LoadDigest, schema::suspect, util::now};

/// Ticks between two notes of known suspects.
const SUSPECT_TICKS: u64 = 20;

impl Shared {
    pub(super) fn publish_notes(&self, ticks: u64) {
        let loads: Vec<_> =
            self.gateway.digests().into_iter().map(|(p, d)| (p.0, d.work, d.running, d.capacity)).collect();
        if !loads.is_empty() {
            self.publish(Topic::Load, fitting(&loads, Topic::Load.bound()));
        }
        if ticks.is_multiple_of(SUSPECT_TICKS) {
            let digest = self.gateway.suspects(Topic::Suspects.bound());
            if !digest.entries.is_empty() {
                self.publish(Topic::Suspects, postcard::to_stdvec(&digest).unwrap_or_default());
            }
        }
    }

    fn publish(&self, topic: Topic, payload: Vec<u8>) {
        if let Some(Err(e)) = self.with(|m| m.publish(now(), topic, payload)) {
            spdlog::warn!("a note of more than {} bytes was not published", e.bound);
        }
    }

    pub(super) fn take_note(&self, topic: Topic, origin: &Arc<str>, payload: &[u8]) {
        match topic {
            Topic::Load => {
                let loads: Vec<(u64, u64, u32, u64)> = postcard::from_bytes(payload).unwrap_or_default();
                for (pool, work, running, capacity) in loads {
                    let digest = LoadDigest { work, running, capacity };
                    self.gateway.note_digest(Id::of(origin), Id(pool), digest, now());
                }
            }
            Topic::Suspects => {
                if let Ok(digest) = postcard::from_bytes::<suspect::Digest>(payload) {
                    self.gateway.note_suspects(&digest);
                }
            }
            Topic::Engines => {}
        }
    }
}

/// The first pools that fit the bound.
fn fitting(loads: &[(u64, u64, u32, u64)], bound: usize) -> Vec<u8> {
    let mut most = loads.len();
    loop {
        let bytes = postcard::to_stdvec(&loads[..most]).unwrap_or_default();
        if bytes.len() <= bound || most == 0 {
            return bytes;
        }
        most -= 1;
    }
}
