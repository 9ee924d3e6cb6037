//! Sizes, arrivals and changes of one run.

/// A tenfold surge of three workspaces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    pub from: f64,
    pub to: f64,
}

/// One run.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    pub name: &'static str,
    pub routers: usize,
    pub data_centres: usize,
    pub engines: usize,
    pub chats: u32,
    pub workspaces: usize,
    /// Requests a second for each engine, before a surge.
    pub rate: f64,
    /// Cached tokens that an engine holds, as a multiple of the tokens of its share of the chats.
    pub memory: f64,
    pub seconds: f64,
    /// Start of what is counted.
    pub warm: f64,
    pub surge: Option<Surge>,
    /// Share of the engines that are replaced over the run.
    pub replaced: f64,
    /// Share of the engines that flap over the run.
    pub flapping: f64,
    /// Whether a router is replaced in the middle of the run.
    pub restart: bool,
    /// Share of requests whose caller goes to the router that the last answer named.
    pub named: f64,
    /// Share of new chats whose caller goes to the router that the entry answer for the chat names first.
    pub entered: f64,
    /// Whether engines publish their evictions, late and with gaps.
    pub cache_events: bool,
    pub bound_milli: u32,
    pub seed: u64,
}

impl Setup {
    /// Either deployment of today.
    pub fn today() -> Self {
        Self {
            name: "today",
            routers: 8,
            data_centres: 3,
            engines: 9,
            chats: 11_000,
            workspaces: 10,
            rate: 3.55,
            memory: 2.0,
            seconds: 1_200.0,
            warm: 600.0,
            surge: None,
            replaced: 0.1,
            flapping: 0.25,
            restart: true,
            named: 0.9,
            entered: 0.0,
            cache_events: true,
            bound_milli: 1_250,
            seed: 7,
        }
    }

    /// One data centre of the target.
    pub fn target() -> Self {
        Self {
            name: "target",
            routers: 22,
            data_centres: 1,
            engines: 730,
            chats: 900_000,
            workspaces: 2_100,
            flapping: 0.05,
            ..Self::today()
        }
    }

    pub fn with_surge(mut self) -> Self {
        self.surge = Some(Surge { from: self.warm + 60.0, to: self.warm + 180.0 });
        self.seconds = self.warm + 300.0;
        self
    }

    pub fn without_changes(mut self) -> Self {
        (self.replaced, self.flapping, self.restart) = (0.0, 0.0, false);
        self
    }

    pub fn without_cache_events(mut self) -> Self {
        self.cache_events = false;
        self
    }

    pub fn with_named(mut self, named: f64) -> Self {
        self.named = named;
        self
    }

    pub fn with_entered(mut self, entered: f64) -> Self {
        self.entered = entered;
        self
    }

    /// Share of the arrivals of each workspace: three large ones of ten today, falling by rank at the target.
    pub fn weights(&self) -> Vec<f64> {
        match self.workspaces {
            ..=10 => (0..self.workspaces).map(|w| if w < 3 { 0.24 } else { 0.04 }).collect(),
            n => (0..n).map(|w| 1.0 / (w + 1) as f64).collect(),
        }
    }

    /// Workspaces that surge: a large and two small ones today, the three largest at the target.
    pub fn surging(&self) -> [usize; 3] {
        if self.workspaces <= 10 { [0, 5, 6] } else { [0, 1, 2] }
    }
}

/// A way to place chats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    RoundRobin,
    LeastLoaded,
    TwoChoices,
    Rendezvous,
    /// Knows every cache, load and engine at the moment; keeps no bound.
    AllKnowing,
    /// Hints, rendezvous and a bound on own counts scaled by the number of routers, overflow by two choices.
    Scaled,
    /// Hints, rendezvous and a bound by each router on its own share only.
    Shares,
    /// What the server runs: one owner an engine.
    Owners,
}

impl Policy {
    pub const ALL: [Policy; 8] = [
        Policy::RoundRobin,
        Policy::LeastLoaded,
        Policy::TwoChoices,
        Policy::Rendezvous,
        Policy::AllKnowing,
        Policy::Scaled,
        Policy::Shares,
        Policy::Owners,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Policy::RoundRobin => "round robin",
            Policy::LeastLoaded => "least loaded",
            Policy::TwoChoices => "two random choices",
            Policy::Rendezvous => "plain rendezvous",
            Policy::AllKnowing => "all-knowing, no bound",
            Policy::Scaled => "own counts, scaled",
            Policy::Shares => "own share only",
            Policy::Owners => "one owner an engine",
        }
    }
}
