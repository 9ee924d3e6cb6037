//! Life cycles of routers and backend servers as types: an invalid transition does not compile.

use std::time::Duration;

use crate::util::Instant;

/// State of a router that has no configuration yet; it is not advertised to callers.
#[derive(Clone, Copy, Debug)]
pub struct Starting(());

/// State of a router that is advertised to callers and serves requests.
#[derive(Clone, Copy, Debug)]
pub struct Serving(());

/// State of a router that is no longer advertised. It accepts requests until the last entry answer that names it has
/// expired.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// Expiry of the last entry answer that names this router.
    answers_until: Instant,
    /// Time at which the router stops even if requests are in progress.
    deadline: Instant,
}

/// State of a router that may close its sockets.
#[derive(Clone, Copy, Debug)]
pub struct Stopped {
    /// Requests that were still in progress at the deadline.
    pub cut: usize,
}

/// A router in one state of its life cycle.
#[derive(Clone, Copy, Debug)]
pub struct Router<S> {
    state: S,
}

/// Time limits for the shutdown of a router.
#[derive(Clone, Copy, Debug)]
pub struct DrainConfig {
    /// How long callers cache an entry answer.
    pub answer_keep: Duration,
    /// How long other routers may still advertise this router after it started to leave.
    pub propagation_time: Duration,
    /// Time limit for requests in progress after the last entry answer has expired.
    pub timeout: Duration,
}

impl Default for Router<Starting> {
    fn default() -> Self {
        Self { state: Starting(()) }
    }
}

impl Router<Starting> {
    /// Starts to serve once a configuration is in force.
    ///
    /// # Errors
    /// The unchanged router if there is no configuration yet.
    pub fn serve(self, version: u64) -> Result<Router<Serving>, Self> {
        if version == 0 {
            return Err(self);
        }
        Ok(Router { state: Serving(()) })
    }

    /// Stops a router that was never advertised.
    pub fn stop(self) -> Router<Stopped> {
        Router { state: Stopped { cut: 0 } }
    }
}

impl Router<Serving> {
    /// Starts to leave: the router is no longer advertised.
    pub fn leave(self, now: Instant, cfg: DrainConfig) -> Router<Leaving> {
        let answers_until = now + cfg.propagation_time + cfg.answer_keep;
        Router { state: Leaving { answers_until, deadline: answers_until + cfg.timeout } }
    }
}

impl Router<Leaving> {
    /// Whether the router still accepts new requests.
    ///
    /// Without this limit, callers that reuse their connections would keep the router busy until the deadline, which
    /// would cut their last requests.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        now < self.state.answers_until
    }

    /// Stops once all entry answers that name this router have expired and no request is running, or at the deadline.
    ///
    /// A router that only waited for its running requests could stop between two of them and would refuse callers
    /// that still have its address.
    ///
    /// # Errors
    /// The unchanged router while it must keep running.
    pub fn stop(self, now: Instant, running: usize) -> Result<Router<Stopped>, Self> {
        let done = now >= self.state.answers_until && running == 0;
        if done || now >= self.state.deadline {
            return Ok(Router { state: Stopped { cut: running } });
        }
        Err(self)
    }
}

impl Router<Stopped> {
    /// Ends the life cycle; returns the number of requests that were cut.
    pub fn close(self) -> usize {
        self.state.cut
    }
}

/// State of a backend server that is configured but has not responded yet.
#[derive(Clone, Copy, Debug)]
pub struct Joining(());

/// State of a backend server that accepts work.
#[derive(Clone, Copy, Debug)]
pub struct Live {
    start: u64,
}

/// State of a backend server that accepts no new work and finishes its running work.
#[derive(Clone, Copy, Debug)]
pub struct Draining {
    start: u64,
}

/// State of a backend server that does not respond.
#[derive(Clone, Copy, Debug)]
pub struct Down(());

/// A backend server in one state of its life cycle.
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
    /// The server responded; `start` identifies its process.
    pub fn go_live(self, start: u64) -> Backend<Live> {
        Backend { state: Live { start } }
    }

    /// The server does not respond.
    pub fn go_down(self) -> Backend<Down> {
        Backend { state: Down(()) }
    }
}

impl Backend<Live> {
    /// The server started to leave.
    pub fn drain(self) -> Backend<Draining> {
        Backend { state: Draining { start: self.state.start } }
    }

    /// The server no longer responds.
    pub fn go_down(self) -> Backend<Down> {
        Backend { state: Down(()) }
    }
}

impl Backend<Draining> {
    /// The server responded with a different start, so it was replaced or restarted and accepts work again.
    ///
    /// # Errors
    /// The unchanged server if the start is that of the draining process: a late response must not make it live again.
    pub fn restart(self, start: u64) -> Result<Backend<Live>, Self> {
        if start == self.state.start {
            return Err(self);
        }
        Ok(Backend { state: Live { start } })
    }

    /// The server is no longer reported as leaving, for example because an operator removed a label.
    pub fn cancel_drain(self) -> Backend<Live> {
        Backend { state: Live { start: self.state.start } }
    }

    /// The server no longer responds.
    pub fn go_down(self) -> Backend<Down> {
        Backend { state: Down(()) }
    }
}

impl Backend<Down> {
    /// The server responds again.
    pub fn go_live(self, start: u64) -> Backend<Live> {
        Backend { state: Live { start } }
    }
}

/// A backend server in any state, for collections of servers.
#[derive(Clone, Copy, Debug)]
pub enum AnyBackend {
    /// Has not responded yet.
    Joining(Backend<Joining>),
    /// Accepts work.
    Live(Backend<Live>),
    /// Accepts no new work.
    Draining(Backend<Draining>),
    /// Does not respond.
    Down(Backend<Down>),
}

impl Default for AnyBackend {
    fn default() -> Self {
        AnyBackend::Joining(Backend::default())
    }
}

impl AnyBackend {
    /// The server responded with this start.
    pub fn go_live(self, start: u64) -> Self {
        AnyBackend::Live(match self {
            AnyBackend::Joining(b) => b.go_live(start),
            AnyBackend::Live(_) => Backend { state: Live { start } },
            AnyBackend::Draining(b) => b.restart(start).unwrap_or_else(Backend::cancel_drain),
            AnyBackend::Down(b) => b.go_live(start),
        })
    }

    /// The server with this start accepts no new work.
    pub fn drain(self, start: u64) -> Self {
        match self.go_live(start) {
            AnyBackend::Live(b) => AnyBackend::Draining(b.drain()),
            other => other,
        }
    }

    /// The server does not respond.
    pub fn go_down(self) -> Self {
        AnyBackend::Down(match self {
            AnyBackend::Joining(b) => b.go_down(),
            AnyBackend::Live(b) => b.go_down(),
            AnyBackend::Draining(b) => b.go_down(),
            AnyBackend::Down(b) => b,
        })
    }
}
