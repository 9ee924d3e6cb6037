//! Claims under this router's own tickets: this start of this router alone decides on them.
//!
//! A key that names this start and is not in this memory has run nowhere, since no other router ever grants it.
//! The claim is still recorded in the key's shard before it is granted, so that its record outlives the router;
//! only when that fails is it granted from memory.

use std::time::Duration;

use super::{AttemptId, ClaimRequest, Clock, Entry, KeyDigest, Record, Verdict};
use crate::util::{Instant, Map};

/// Claims that are kept at most.
const MAX: usize = 200_000;
/// How long a claim is kept after its ticket has run out; later asks go to the shard.
const KEEP: Duration = Duration::from_secs(3600);

/// What to do with an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Answer it.
    Answer(Verdict),
    /// Have the claim recorded in its shard, then call [`TicketClaims::apply_shard_verdict`].
    Record,
    /// The ticket has run out and the key is not in memory: look in the shard; it is granted no more.
    Lookup,
}

#[derive(Clone, Debug)]
struct Slot {
    entry: Entry,
    granted: bool,
    since: Instant,
}

/// Claims under the tickets of one start of a router.
#[derive(Debug, Default)]
pub struct TicketClaims {
    slots: Map<KeyDigest, Slot>,
    refused: Map<AttemptId, Instant>,
    from_memory: u64,
    closed: bool,
}

impl TicketClaims {
    /// Asks for a claim; `fresh` tells whether its ticket may still start new keys.
    pub fn ask(&mut self, clock: Clock, ask: &ClaimRequest, fresh: bool) -> Step {
        if self.refused.contains_key(&ask.attempt) {
            return Step::Answer(Verdict::Unavailable);
        }
        match self.slots.get(&ask.key) {
            Some(slot) if slot.entry.attempt == ask.attempt && slot.entry.record.is_none() => {
                if slot.granted { Step::Answer(Verdict::Granted) } else { Step::Record }
            }
            Some(slot) => Step::Answer(slot.entry.verdict(ask.content, clock.wall_ms)),
            None if !fresh => Step::Lookup,
            None if self.slots.len() >= MAX => Step::Answer(Verdict::Unavailable),
            None => {
                let entry =
                    Entry { content: ask.content, attempt: ask.attempt, at_ms: clock.wall_ms, record: None };
                self.slots.insert(ask.key, Slot { entry, granted: false, since: clock.now });
                Step::Record
            }
        }
    }

    /// Verdict after the shard was asked to record the claim and said `shard`: a claim that could not be recorded is
    /// granted from memory, because no other router can have granted the key or ever will.
    pub fn apply_shard_verdict(&mut self, ask: &ClaimRequest, shard: Verdict) -> Verdict {
        let Some(slot) = self.slots.get_mut(&ask.key) else { return Verdict::Unavailable };
        if slot.entry.attempt != ask.attempt || slot.entry.record.is_some() {
            return Verdict::Unavailable;
        }
        if shard != Verdict::Granted {
            if self.closed {
                self.slots.remove(&ask.key);
                return shard;
            }
            self.from_memory += 1;
        }
        slot.granted = true;
        Verdict::Granted
    }

    /// Stops granting from memory, before a planned stop. Returns whether this start never did: then each key that it
    /// granted is in its shard, and any router may decide on its tickets' keys as on callers' own.
    pub fn close(&mut self) -> bool {
        self.closed = true;
        self.from_memory == 0
    }

    /// Claims granted from memory so far.
    pub fn from_memory(&self) -> u64 {
        self.from_memory
    }

    /// Keeps what became of a granted attempt.
    pub fn finish(&mut self, key: KeyDigest, attempt: AttemptId, record: Record) {
        if let Some(slot) = self.slots.get_mut(&key)
            && slot.entry.attempt == attempt
        {
            slot.entry.record = Some(record);
        }
    }

    /// Takes back the right of an attempt that has not run and never will.
    pub fn release(&mut self, clock: Clock, key: KeyDigest, attempt: AttemptId) {
        self.refused.insert(attempt, clock.now);
        if self.slots.get(&key).is_some_and(|s| s.entry.attempt == attempt && s.entry.record.is_none()) {
            self.slots.remove(&key);
        }
    }

    /// Removes claims whose tickets ran out long ago.
    pub fn evict_expired(&mut self, clock: Clock) {
        let keep = super::ticket::TICKET_LIFETIME + KEEP;
        self.slots.retain(|_, slot| clock.now < slot.since + keep);
        self.refused.retain(|_, at| clock.now < *at + keep);
    }
}
