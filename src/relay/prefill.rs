//! Prefill alongside streams: the uncached prompt tokens that this host has sent to a server and whose first events
//! have not arrived, and the delay to expect from them.
//!
//! A long prompt is prefilled in chunks between the tokens of the other requests of its server, so that a step takes
//! ten times as long and all events of its streams are late. Two long prompts at once, or one at a slow server, make
//! pauses that the routes don't allow. Tokens sent by other hosts are not known: they are prefilled before a message
//! about them would arrive.

use std::time::Duration;

use super::{
    backends::BackendKey,
    holders::Holders,
    pace::{self, Pace, Paces},
    place::{self, Candidate},
    request::{Part, prompt_tokens},
};
use crate::util::{Instant, Map};

/// Uncached tokens above which a prompt is prefilled in several chunks and delays streams.
const LONG_PROMPT_TOKENS: u32 = 2_048;
/// Fraction of the shortest allowed pause that prefill may take.
const MAX_PAUSE_FRACTION: f64 = 0.5;
/// Tokens that are added to each prompt, so that a server's pace also counts where nothing has to be prefilled.
const BASE_TOKENS: f64 = 200.0;
/// Wait for each request that finds all slots taken, in milliseconds: requests take a second or two, and 32 run at once.
const SLOT_WAIT_MS: f64 = 50.0;
/// Time for which prefilled tokens are remembered as the reason of a pause.
const ENDED_RETENTION: Duration = Duration::from_secs(1);

/// Tokens at a server.
#[derive(Clone, Copy, Debug, Default)]
struct Server {
    /// Tokens whose first events have not arrived, and the number of prompts.
    tokens: u64,
    prompts: u32,
    /// Tokens whose first events have arrived recently, and when the last one did.
    ended_tokens: u64,
    ended_at: Instant,
}

/// Tokens that servers are prefilling for this host.
#[derive(Clone, Debug, Default)]
pub struct Prefill {
    servers: Map<BackendKey, Server>,
}

impl Prefill {
    /// Counts a prompt that is sent to a server.
    pub fn begin(&mut self, key: BackendKey, uncached: u32) {
        let server = self.servers.entry(key).or_default();
        server.tokens += u64::from(uncached);
        server.prompts += 1;
    }

    /// Ends a prompt: its first event has arrived, or it has failed.
    pub fn end(&mut self, now: Instant, key: BackendKey, uncached: u32) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        server.tokens = server.tokens.saturating_sub(u64::from(uncached));
        server.prompts = server.prompts.saturating_sub(1);
        let is_recent = server.ended_at + ENDED_RETENTION > now;
        server.ended_tokens = if is_recent { server.ended_tokens } else { 0 } + u64::from(uncached);
        server.ended_at = now;
    }

    /// Tokens that are being prefilled at a server.
    pub fn tokens(&self, key: BackendKey) -> u64 {
        if self.servers.is_empty() {
            return 0;
        }
        self.servers.get(&key).map_or(0, |s| s.tokens)
    }

    /// Tokens that are being prefilled at a server, or were within the last second.
    pub fn recent_tokens(&self, now: Instant, key: BackendKey) -> u64 {
        let Some(server) = self.servers.get(&key) else { return 0 };
        let is_recent = server.ended_at + ENDED_RETENTION > now;
        server.tokens + if is_recent { server.ended_tokens } else { 0 }
    }

    /// Sets the delays to expect of the candidates for a prompt, if its service's servers report their pace.
    pub fn set_delays(
        &self,
        now: Instant,
        paces: &Paces,
        holders: &Holders,
        prompt: Prompt<'_>,
        candidates: &mut [Candidate],
    ) {
        if !paces.are_reported(now, prompt.service) {
            return;
        }
        let ms_per_token = paces.prefill_ms(prompt.service, 1.0);
        let (tokens, shared) = (prompt_tokens(prompt.parts), place::shared(prompt.parts));
        // Few servers hold any part, so that the others are not looked up for each part.
        let known_holders = holders.of_any(shared);
        for c in candidates {
            let holds_some = known_holders.contains(&c.key);
            let cached = if holds_some { holders.tokens(shared, c.key) } else { 0 };
            let work = Work {
                uncached: tokens.saturating_sub(cached),
                ahead: self.tokens(c.key),
                waiting: c.load + 1.0 - f64::from(c.slots),
                pace: paces.pace(now, c.tag),
            };
            c.delays = work.delays(ms_per_token, prompt.allowed_pause_ms);
        }
    }

    /// Drops servers without prompts.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, s| s.prompts > 0 || s.ended_at + ENDED_RETENTION > now);
    }
}

/// A prompt that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Service that it is for.
    pub service: &'a str,
    /// Its parts.
    pub parts: &'a [Part],
    /// Shortest pause between events that the service's routes allow, in milliseconds, if any limits it.
    pub allowed_pause_ms: Option<u32>,
}

/// What determines the delay of a prompt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Uncached tokens of the prompt.
    pub uncached: u32,
    /// Tokens that are prefilled before it.
    pub ahead: u64,
    /// Requests that wait for a slot before it, including this one.
    pub waiting: f64,
    /// Pace of the server.
    pub pace: Pace,
}

/// Delays to expect from a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Delays {
    /// Time to its first event, in milliseconds; 0 if nothing is known.
    pub first_event_ms: f64,
    /// Part of that time that the prompt would not take at a server of usual pace that is prefilling nothing else.
    pub avoidable_ms: f64,
    /// Whether it would delay the streams of the server by too much.
    pub delays_streams: bool,
    /// Whether the server is slow by its pace.
    pub slow: bool,
}

impl Work {
    /// The delays where servers prefill a token in `ms_per_token` and routes allow pauses of `allowed_pause_ms`, if they
    /// are limited.
    pub fn delays(&self, ms_per_token: f64, allowed_pause_ms: Option<u32>) -> Delays {
        let pace = self.pace.percent / pace::USUAL_PERCENT;
        let prefill_ms = (f64::from(self.uncached) + self.ahead as f64) * ms_per_token * pace;
        let wait_ms = self.waiting.max(0.0) * SLOT_WAIT_MS * pace;
        let exceeds = |ms: u32| prefill_ms >= f64::from(ms) * MAX_PAUSE_FRACTION;
        let own_tokens = f64::from(self.uncached) + BASE_TOKENS;
        let first_event_ms = (own_tokens + self.ahead as f64) * ms_per_token * pace + wait_ms;
        Delays {
            first_event_ms,
            avoidable_ms: first_event_ms - own_tokens * ms_per_token,
            delays_streams: self.uncached > LONG_PROMPT_TOKENS && allowed_pause_ms.is_some_and(exceeds),
            slow: self.pace.is_slow(),
        }
    }
}
