//! Bounds the connections to a host's ports, so that descriptors and memory are left for everything else.
//!
//! At the bound the connection that has been idle for the longest time gives way to a new one, then the one that has stood
//! still for the longest time in the middle of a request or an answer, then the one whose body has been arriving for the longest
//! time. If all others are in use, the new one waits until one of them has its answer.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{sync::Notify, time::timeout};

use super::inbound::head_timer::{HeadWait, Rest};
use crate::{
    bodies::GIVE_WAY_TIME,
    util::{Instant, Map, lock, now},
};

/// Maximum time for which a new connection waits at the bound. Those that stood still when it came give way by then.
const WAIT_TIME: Duration = GIVE_WAY_TIME;
/// Interval at which it looks for a connection that rests.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Part of the connections that may wait at a time.
const WAITING_FRACTION: usize = 8;

/// Connections to one port, or to some that share a bound.
#[derive(Clone, Debug)]
pub struct Connections {
    limit: usize,
    open: Arc<Mutex<Open>>,
    freed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Open {
    /// Number of the next connection.
    next: u64,
    connections: Map<u64, Known>,
    /// Number of connections that wait to be admitted.
    waiting: usize,
    /// How many of the others are yet to be closed for them once they have their answer.
    owed: usize,
}

#[derive(Debug)]
struct Known {
    wait: Arc<Mutex<HeadWait>>,
    gives_way: Arc<Notify>,
}

/// How a new connection was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Below the bound.
    Free,
    /// Another one gives way, which rested like this.
    InPlaceOf(Rest),
    /// All others are in use.
    Refused,
}

impl Connections {
    /// Allows this many connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, open: Arc::default(), freed: Arc::default() }
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        lock(&self.open).connections.len()
    }

    /// Admits a connection with this state, and lets another one give way at the bound.
    pub fn admit(&self, wait: Arc<Mutex<HeadWait>>, now: Instant) -> (Admission, Option<Connection>) {
        let mut open = lock(&self.open);
        let admission = match open.connections.len() < self.limit {
            true => Admission::Free,
            false => open.make_room(now),
        };
        if admission == Admission::Refused {
            return (admission, None);
        }
        let id = open.next;
        open.next += 1;
        let gives_way = Arc::new(Notify::new());
        open.connections.insert(id, Known { wait, gives_way: gives_way.clone() });
        let (open, freed) = (self.open.clone(), self.freed.clone());
        (admission, Some(Connection { open, freed, id, gives_way }))
    }

    /// Admits a connection as [`Self::admit`] does, and waits at the bound until that is possible, unless many wait.
    pub async fn admit_soon(&self, wait: &Arc<Mutex<HeadWait>>) -> (Admission, Option<Connection>) {
        let admitted = self.admit(wait.clone(), now());
        if admitted.0 != Admission::Refused
            || lock(&self.open).waiting >= self.limit.div_ceil(WAITING_FRACTION)
        {
            return admitted;
        }
        let _waiting = Waiting::begin(&self.open);
        let until = now() + WAIT_TIME;
        loop {
            let _ = timeout(WAIT_POLL_INTERVAL, self.freed.notified()).await;
            let admitted = self.admit(wait.clone(), now());
            if admitted.0 != Admission::Refused || now() >= until {
                return admitted;
            }
        }
    }

    /// Whether a connection that has its answer is to be closed for one that waits.
    pub fn is_awaited(&self) -> bool {
        let mut open = lock(&self.open);
        let is_awaited = open.owed > 0;
        open.owed = open.owed.saturating_sub(1);
        is_awaited
    }
}

/// Counts a connection as waiting until it is dropped.
struct Waiting<'a>(&'a Mutex<Open>);

impl<'a> Waiting<'a> {
    fn begin(connections: &'a Mutex<Open>) -> Self {
        let mut open = lock(connections);
        open.waiting += 1;
        open.owed += 1;
        drop(open);
        Self(connections)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut open = lock(self.0);
        open.waiting -= 1;
        open.owed = open.owed.min(open.waiting);
    }
}

impl Open {
    fn make_room(&mut self, now: Instant) -> Admission {
        let resting = self.connections.iter().filter_map(|(id, known)| {
            let (rest, since) = lock(&known.wait).rest(now)?;
            Some((rest, since, *id))
        });
        let Some((rest, _, id)) = resting.min() else { return Admission::Refused };
        if let Some(known) = self.connections.remove(&id) {
            known.gives_way.notify_one();
        }
        Admission::InPlaceOf(rest)
    }
}

/// A connection that counts until it is dropped or gives way.
#[derive(Debug)]
pub struct Connection {
    open: Arc<Mutex<Open>>,
    freed: Arc<Notify>,
    id: u64,
    gives_way: Arc<Notify>,
}

impl Connection {
    /// Waits until the connection has to give way to a new one and still rests. One that has been used again meanwhile counts
    /// again, beyond the bound.
    pub async fn given_way(&self, wait: &Arc<Mutex<HeadWait>>) {
        loop {
            self.gives_way.notified().await;
            if lock(wait).rest(now()).is_some() {
                return;
            }
            let known = Known { wait: wait.clone(), gives_way: self.gives_way.clone() };
            lock(&self.open).connections.insert(self.id, known);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if lock(&self.open).connections.remove(&self.id).is_some() {
            self.freed.notify_one();
        }
    }
}
