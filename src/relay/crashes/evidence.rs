//! Which requests were at a server without an event of their answers when it crashed.
//!
//! A connection that breaks is no crash by itself. The requests that break off at a server wait until it is confirmed that
//! the server has crashed: its port refuses connections, another host says so, or it has started again.

use std::time::Duration;

use super::{EVIDENCE_RETENTION, cause::Causes};
use crate::{
    relay::backends::Tag,
    util::{Instant, Map},
};

/// Maximum number of servers remembered. With more, those whose connections broke first are dropped.
const MAX_SERVERS: usize = 128;
/// Maximum number of requests remembered for a server, of this host and of the others.
const MAX_SUSPECTS: usize = 128;
/// How long after a break a crash may be confirmed. Later, the server may have ended for another reason.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(10);

/// A server whose connections broke.
#[derive(Clone, Debug)]
pub struct Crash {
    /// When a connection first broke, as far as is known here.
    pub at: Instant,
    /// Whether the server is known to have crashed.
    confirmed: bool,
    suspects: Vec<Causes>,
    /// This host's own suspects that the others have not been told of.
    untold: Vec<Causes>,
}

impl Crash {
    /// Requests that may have caused it.
    pub fn suspects(&self) -> &[Causes] {
        &self.suspects
    }

    /// Adds a request; returns whether it is new and there is room for it.
    fn add(&mut self, suspect: Causes) -> bool {
        let adds = self.suspects.len() < MAX_SUSPECTS && !self.suspects.contains(&suspect);
        if adds {
            self.suspects.push(suspect);
        }
        adds
    }
}

/// A request to tell other hosts of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Untold {
    /// The server that crashed.
    pub server: Tag,
    /// When it did.
    pub at: Instant,
    /// The request.
    pub suspect: Causes,
}

/// The servers that crashed lately, by their starts: one start crashes once, whoever saw it.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    servers: Map<Tag, Crash>,
}

impl Evidence {
    /// Records that a request broke off at a server before its answer had begun.
    pub fn record_broken(&mut self, now: Instant, server: Tag, suspect: Causes) {
        let crash = self.entry(now, server);
        if crash.add(suspect.clone()) {
            crash.untold.push(suspect);
        }
    }

    /// Records that a server has crashed; returns whether that is new.
    pub fn confirm(&mut self, now: Instant, server: Tag) -> bool {
        !std::mem::replace(&mut self.entry(now, server).confirmed, true)
    }

    /// Records that a server has started again. If connections to it broke shortly before, it had crashed.
    pub fn confirm_restarted(&mut self, now: Instant, server: Tag) -> bool {
        let broke = self.servers.get(&server).is_some_and(|crash| crash.at + CONFIRMATION_PERIOD > now);
        broke && self.confirm(now, server)
    }

    /// Records what another host tells of a crash; returns whether it is new.
    pub fn hear(&mut self, at: Instant, server: Tag, suspects: Vec<Causes>) -> bool {
        let crash = self.entry(at, server);
        crash.at = crash.at.min(at);
        let mut is_new = !std::mem::replace(&mut crash.confirmed, true);
        for suspect in suspects {
            is_new |= crash.add(suspect);
        }
        is_new
    }

    /// Whether a server is known to have crashed.
    pub fn is_confirmed(&self, server: Tag) -> bool {
        self.servers.get(&server).is_some_and(|crash| crash.confirmed)
    }

    /// Requests that may have caused the crash of a server.
    pub fn suspects(&self, server: Tag) -> &[Causes] {
        self.servers.get(&server).map_or(&[], |crash| &crash.suspects)
    }

    /// The crashes, in the order of their time.
    pub fn crashes(&self) -> Vec<(Tag, &Crash)> {
        let confirmed = self.servers.iter().filter(|(_, crash)| crash.confirmed);
        let mut crashes: Vec<_> = confirmed.map(|(tag, crash)| (*tag, crash)).collect();
        crashes.sort_by_key(|(tag, crash)| (crash.at, *tag));
        crashes
    }

    /// Takes what the other hosts have not been told, by server.
    pub fn take_untold(&mut self) -> Vec<Untold> {
        let mut all = Vec::new();
        for (server, crash) in self.servers.iter_mut().filter(|(_, crash)| crash.confirmed) {
            let at = crash.at;
            all.extend(crash.untold.drain(..).map(|suspect| Untold { server: *server, at, suspect }));
        }
        all.sort_by_key(|untold| untold.server);
        all
    }

    /// Whether there is something that the other hosts have not been told.
    pub fn has_untold(&self) -> bool {
        self.servers.values().any(|crash| crash.confirmed && !crash.untold.is_empty())
    }

    /// Drops what is too old to count, and breaks that were no crashes.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, crash| {
            let retention = if crash.confirmed { EVIDENCE_RETENTION } else { CONFIRMATION_PERIOD };
            crash.at + retention > now
        });
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Number of servers remembered.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    fn entry(&mut self, at: Instant, server: Tag) -> &mut Crash {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server) {
            let oldest = self.servers.iter().min_by_key(|(_, crash)| (crash.confirmed, crash.at));
            if let Some(oldest) = oldest.map(|(tag, _)| *tag) {
                self.servers.remove(&oldest);
            }
        }
        let new = Crash { at, confirmed: false, suspects: Vec::new(), untold: Vec::new() };
        self.servers.entry(server).or_insert(new)
    }
}
