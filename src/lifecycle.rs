//! Life cycles of routers and of backend servers as types: a step that is not allowed does not compile.

use std::time::Duration;

use crate::util::Instant;

/// A router that has no configuration yet and is not handed out.
#[derive(Clone, Copy, Debug)]
pub struct Starting(());

/// A router that is handed out and serves.
#[derive(Clone, Copy, Debug)]
pub struct Serving(());

/// A router that is no longer handed out. It serves whoever comes until the last answer that names it has expired.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// When the last answer that names it has expired.
    answers_until: Instant,
    /// When it stops even though requests are in progress.
    deadline: Instant,
}

/// A router that may close its sockets.
#[derive(Clone, Copy, Debug)]
pub struct Stopped {
    /// Requests that were still in progress at the deadline.
    pub cut: usize,
}

/// A router in one state of its life.
#[derive(Clone, Copy, Debug)]
pub struct Router<S> {
    state: S,
}

/// How long a router that leaves goes on.
#[derive(Clone, Copy, Debug)]
pub struct DrainConfig {
    /// How long callers keep an entry answer.
    pub answer_keep: Duration,
    /// How long other routers may hand this one out after it has begun to leave, until they have heard of it.
    pub propagation_time: Duration,
    /// Longest time from the expiry of the last answer to the end, for requests in progress.
    pub timeout: Duration,
}

impl Default for Router<Starting> {
    fn default() -> Self {
        Self { state: Starting(()) }
    }
}

impl Router<Starting> {
    /// Begins to serve once a configuration is in force.
    ///
    /// # Errors
    /// The router as it was, while there is none.
    pub fn serve(self, version: u64) -> Result<Router<Serving>, Self> {
        if version == 0 {
            return Err(self);
        }
        Ok(Router { state: Serving(()) })
    }

    /// Stops a router that was never handed out.
    pub fn stop(self) -> Router<Stopped> {
        Router { state: Stopped { cut: 0 } }
    }
}

impl Router<Serving> {
    /// Begins to leave.
    pub fn leave(self, now: Instant, cfg: DrainConfig) -> Router<Leaving> {
        let answers_until = now + cfg.propagation_time + cfg.answer_keep;
        Router { state: Leaving { answers_until, deadline: answers_until + cfg.timeout } }
    }
}

impl Router<Leaving> {
    /// Whether it still takes new requests.
    ///
    /// Callers that keep their connections and ask on would otherwise keep it busy until the deadline, where their
    /// last requests were cut.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        now < self.state.answers_until
    }

    /// Stops when no caller may come any more and none is being served, or at the deadline.
    ///
    /// A router that only waited for its requests to end would stop between two of them, and the callers that still
    /// hold its address would be refused.
    ///
    /// # Errors
    /// The router as it is, while it must go on.
    pub fn stop(self, now: Instant, running: usize) -> Result<Router<Stopped>, Self> {
        let done = now >= self.state.answers_until && running == 0;
        if done || now >= self.state.deadline {
            return Ok(Router { state: Stopped { cut: running } });
        }
        Err(self)
    }
}

impl Router<Stopped> {
    /// Ends the life; tells how many requests were cut.
    pub fn close(self) -> usize {
        self.state.cut
    }
}

/// A backend server that is configured and has not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct Joining(());

/// A backend server that takes work.
#[derive(Clone, Copy, Debug)]
pub struct Live {
    start: u64,
}

/// A backend server that takes no new work and finishes what it has.
#[derive(Clone, Copy, Debug)]
pub struct Draining {
    start: u64,
}

/// A backend server that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Down(());

/// A backend server in one state of its life.
#[derive(Clone, Copy, Debug)]
pub struct Backend<S> {
    state: S,
}

impl Default for Backend<Joining> {
    fn default() -> Self {
        Self { state: Joining(()) }
    }
}

impl Backend<Joining> {
    /// It has answered.
    pub fn go_live(self, start: u64) -> Backend<Live> {
        Backend { state: Live { start } }
    }

    /// It does not answer.
    pub fn go_down(self) -> Backend<Down> {
        Backend { state: Down(()) }
    }
}

impl Backend<Live> {
    /// It has begun to leave.
    pub fn drain(self) -> Backend<Draining> {
        Backend { state: Draining { start: self.state.start } }
    }

    /// It does not answer any more.
    pub fn go_down(self) -> Backend<Down> {
        Backend { state: Down(()) }
    }
}

impl Backend<Draining> {
    /// It answers from another start: it was replaced or restarted and takes work again.
    ///
    /// # Errors
    /// The server as it is, when the start is the one that leaves; a late answer must not bring it back.
    pub fn restart(self, start: u64) -> Result<Backend<Live>, Self> {
        if start == self.state.start {
            return Err(self);
        }
        Ok(Backend { state: Live { start } })
    }

    /// Nobody says any more that it leaves, as when an operator takes a label away.
    pub fn stay(self) -> Backend<Live> {
        Backend { state: Live { start: self.state.start } }
    }

    /// It does not answer any more.
    pub fn go_down(self) -> Backend<Down> {
        Backend { state: Down(()) }
    }
}

impl Backend<Down> {
    /// It answers again.
    pub fn go_live(self, start: u64) -> Backend<Live> {
        Backend { state: Live { start } }
    }
}

/// A backend server in whatever state, for tables that hold many.
#[derive(Clone, Copy, Debug)]
pub enum AnyBackend {
    /// Has not answered yet.
    Joining(Backend<Joining>),
    /// Takes work.
    Live(Backend<Live>),
    /// Takes no new work.
    Draining(Backend<Draining>),
    /// Does not answer.
    Down(Backend<Down>),
}

impl Default for AnyBackend {
    fn default() -> Self {
        AnyBackend::Joining(Backend::default())
    }
}

impl AnyBackend {
    /// It answers, from this start.
    pub fn go_live(self, start: u64) -> Self {
        AnyBackend::Live(match self {
            AnyBackend::Joining(b) => b.go_live(start),
            AnyBackend::Live(_) => Backend { state: Live { start } },
            AnyBackend::Draining(b) => b.restart(start).unwrap_or_else(Backend::stay),
            AnyBackend::Down(b) => b.go_live(start),
        })
    }

    /// It takes no new work.
    pub fn drain(self, start: u64) -> Self {
        match self.go_live(start) {
            AnyBackend::Live(b) => AnyBackend::Draining(b.drain()),
            other => other,
        }
    }

    /// It does not answer.
    pub fn go_down(self) -> Self {
        AnyBackend::Down(match self {
            AnyBackend::Joining(b) => b.go_down(),
            AnyBackend::Live(b) => b.go_down(),
            AnyBackend::Draining(b) => b.go_down(),
            AnyBackend::Down(b) => b,
        })
    }
}
