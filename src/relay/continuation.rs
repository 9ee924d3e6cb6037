//! Keeps account of the streams that this host passes on, and decides where one goes on that broke off or that a caller
//! takes up.

use std::sync::Arc;

use super::{
    Relay, State, Wire,
    backends::BackendKey,
    confirm::Topic,
    origins::{Continuation, Discontinued, StreamKey},
    request::Request,
    routes::{CompiledRoute, Routes},
};
use crate::{
    error::ErrorKind,
    logs::lines::{Level, line},
    metrics::{Counter, Gauge},
    util::{Instant, now},
};

impl Discontinued {
    /// The kind of error that a caller gets who takes up such a stream. Where servers of the version exist, the choice among
    /// them has a kind of its own.
    fn error_kind(self) -> ErrorKind {
        match self {
            Discontinued::Gone | Discontinued::NotEligible => ErrorKind::StreamVersionGone,
            Discontinued::Unknown | Discontinued::Conflicting | Discontinued::OtherService => {
                ErrorKind::StreamVersionUnknown
            }
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Decides at which service and version the stream goes on that a request takes up.
    ///
    /// # Errors
    /// The kind of error if it must not go on.
    pub(crate) fn find_continuation(&self, req: &Request) -> Result<Continuation, ErrorKind> {
        let found = self.state().continuation(now(), req, self.cfg.in_force);
        found.map_err(|reason| {
            self.record_discontinued(req, reason);
            reason.error_kind()
        })
    }

    /// Records that the caller of a request gets events from a server.
    pub(crate) fn begin_stream(&self, req: &Request, key: BackendKey) {
        let mut state = self.state();
        let (Some(stream), Some(at)) = (stream_key(req), state.running_at(key)) else { return };
        state.origins.begin(stream, &at);
    }

    /// Records that the caller of a request has its whole stream.
    pub(crate) fn end_stream(&self, req: &Request) {
        if let Some(stream) = stream_key(req) {
            self.state().origins.end(stream);
        }
    }

    /// The version at which the stream of a server that broke off may go on.
    ///
    /// # Errors
    /// Why it must not.
    pub(crate) fn version_to_continue(&self, key: BackendKey) -> Result<Arc<str>, Discontinued> {
        let state = self.state();
        let at = state.running_at(key).filter(|at| state.origins.may_continue(at));
        at.map(|at| at.version).ok_or(Discontinued::Unknown)
    }

    /// Counts and logs a stream that does not go on.
    pub(crate) fn record_discontinued(&self, req: &Request, reason: Discontinued) {
        self.metrics.add(Counter::RelayStreamsStopped, reason.as_str(), 1);
        self.log_request(Level::Notable, "stream_stopped", req, |l| {
            let l = l.text("reason", reason.as_str()).text("service", &req.service);
            l.text("first_attempt", req.stream_id()).ms("after_ms", now() - req.arrived)
        });
    }

    /// Notes which versions the servers have that are known now, and logs changes.
    pub(super) fn observe_versions(&self, state: &mut State, now: Instant) {
        let servers = state.backends.iter().map(|(_, b)| (&b.service, &b.version));
        let changed = state.origins.observe(now, servers);
        for service in &changed {
            let names: Vec<_> = state.origins.served().versions(service).map(|v| &**v).collect();
            line(Level::Notable, "versions", |l| {
                l.text("service", service)
                    .text("versions", &names.join(" "))
                    .number("count", names.len() as u64)
            });
        }
        for (service, count) in state.origins.served().counts().filter(|_| !changed.is_empty()) {
            self.metrics.set_named(Gauge::RelayVersions, service, count as f64);
        }
    }
}

impl State {
    fn continuation(
        &self,
        now: Instant,
        req: &Request,
        max_list_age: Instant,
    ) -> Result<Continuation, Discontinued> {
        let list_is_current = self.confirmations.age(now, Topic::Backends) <= max_list_age;
        self.origins.continuation(stream_key(req), &req.route.services(), list_is_current)
    }

    /// Service and version of a server.
    fn running_at(&self, key: BackendKey) -> Option<Continuation> {
        let b = self.backends.get(key)?;
        Some(Continuation { service: b.service.clone(), version: b.version.clone() })
    }

    /// Takes account of the routes of a new configuration.
    pub(super) fn observe_routes(&mut self, now: Instant, old: Option<&Routes>, new: &Routes) {
        self.origins.set_timeout(new.longest_stream());
        let Some(old) = old else { return };
        for route in new.streams() {
            let before = old.streams().find(|r| is_same_route(r, route)).map(|r| r.services());
            let after = route.services();
            if let Some(before) = before.filter(|before| *before != after) {
                self.origins.record_reroute(now, before.into_iter().chain(after));
            }
        }
    }
}

fn is_same_route(a: &CompiledRoute, b: &CompiledRoute) -> bool {
    (&a.route.host, &a.route.prefix) == (&b.route.host, &b.route.prefix)
}

/// Identifies the stream that a request begins or takes up; `None` if its caller does not name the latter.
fn stream_key(req: &Request) -> Option<StreamKey> {
    let workspace = req.caller.as_ref().map_or("", |caller| &*caller.workspace);
    StreamKey::new(workspace, req.stream_id())
}
