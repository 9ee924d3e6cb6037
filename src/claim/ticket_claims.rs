//! Claims under this process's own tickets, on which this process alone decides.
//!
//! A key that names this process and is not in its memory has not run anywhere, because no other router ever grants it.
//! The claim is still stored in the key's shard before it is granted, so that it survives the router. Only if
//! that fails is it granted from memory.

use std::time::Duration;

use super::{AttemptId, ClaimRequest, Clock, Entry, KeyDigest, Record, Verdict};
use crate::util::{Instant, Map};

/// Upper bound on the claims in memory; above it new keys are answered as unavailable.
const MAX_CLAIMS: usize = 200_000;
/// Time for which a claim stays in memory after its ticket has expired; later requests go to the shard.
const RETENTION_AFTER_EXPIRY: Duration = Duration::from_secs(3600);

/// Next step in answering a claim request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Return the verdict.
    Answer(Verdict),
    /// Store the claim in its shard, then call [`TicketClaims::apply_shard_verdict`].
    Record,
    /// Look the key up in its shard without granting it: the ticket has expired and the key is not in memory.
    Lookup,
}

#[derive(Clone, Debug)]
struct Slot {
    entry: Entry,
    granted: bool,
    inserted_at: Instant,
}

/// Claims under the tickets of one process of a router.
#[derive(Debug, Default)]
pub struct TicketClaims {
    slots: Map<KeyDigest, Slot>,
    released: Map<AttemptId, Instant>,
    from_memory: u64,
    closed: bool,
}

impl TicketClaims {
    /// Handles a claim request; `accepts_new_keys` says whether the key's ticket still accepts new keys.
    pub fn request_claim(&mut self, clock: Clock, ask: &ClaimRequest, accepts_new_keys: bool) -> Step {
        if self.released.contains_key(&ask.attempt) {
            return Step::Answer(Verdict::Unavailable);
        }
        match self.slots.get(&ask.key) {
            Some(slot) if slot.entry.attempt == ask.attempt && slot.entry.record.is_none() => {
                if slot.granted { Step::Answer(Verdict::Granted) } else { Step::Record }
            }
            Some(slot) => Step::Answer(slot.entry.verdict(ask.content, clock.wall_ms)),
            None if !accepts_new_keys => Step::Lookup,
            None if self.slots.len() >= MAX_CLAIMS => Step::Answer(Verdict::Unavailable),
            None => {
                let entry = Entry {
                    content: ask.content,
                    attempt: ask.attempt,
                    claimed_at_ms: clock.wall_ms,
                    record: None,
                };
                self.slots.insert(ask.key, Slot { entry, granted: false, inserted_at: clock.now });
                Step::Record
            }
        }
    }

    /// Decides on a claim after its shard has answered with `shard_verdict`. A claim that could not be stored is granted
    /// from memory, unless this process is closed: no other router has granted the key or ever will.
    pub fn apply_shard_verdict(&mut self, ask: &ClaimRequest, shard_verdict: Verdict) -> Verdict {
        let Some(slot) = self.slots.get_mut(&ask.key) else { return Verdict::Unavailable };
        if slot.entry.attempt != ask.attempt || slot.entry.record.is_some() {
            return Verdict::Unavailable;
        }
        if shard_verdict != Verdict::Granted {
            if self.closed {
                self.slots.remove(&ask.key);
                return shard_verdict;
            }
            self.from_memory += 1;
        }
        slot.granted = true;
        Verdict::Granted
    }

    /// Stops granting from memory, before a planned shutdown. Returns whether this process never did: then each key that
    /// it granted is stored in its shard, and any router may decide on its tickets' keys as on any other key.
    pub fn close(&mut self) -> bool {
        self.closed = true;
        self.from_memory == 0
    }

    /// Number of claims granted from memory so far.
    pub fn from_memory(&self) -> u64 {
        self.from_memory
    }

    /// Stores the result of a granted attempt.
    pub fn finish(&mut self, key: KeyDigest, attempt: AttemptId, record: Record) {
        if let Some(slot) = self.slots.get_mut(&key)
            && slot.entry.attempt == attempt
        {
            slot.entry.record = Some(record);
        }
    }

    /// Releases the claim of an attempt that has not run and never will.
    pub fn release(&mut self, clock: Clock, key: KeyDigest, attempt: AttemptId) {
        self.released.insert(attempt, clock.now);
        if self.slots.get(&key).is_some_and(|s| s.entry.attempt == attempt && s.entry.record.is_none()) {
            self.slots.remove(&key);
        }
    }

    /// Removes claims whose tickets expired more than `RETENTION_AFTER_EXPIRY` ago.
    pub fn evict_expired(&mut self, clock: Clock) {
        let retention = super::ticket::TICKET_LIFETIME + RETENTION_AFTER_EXPIRY;
        self.slots.retain(|_, slot| clock.now < slot.inserted_at + retention);
        self.released.retain(|_, at| clock.now < *at + retention);
    }
}
