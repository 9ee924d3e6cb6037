//! Keeps account of the streams that this host passes on, and decides where one goes on that broke off or that a caller
//! takes up.

use std::sync::Arc;

use super::{
    Relay, State, Wire,
    backends::{BackendKey, entry::usable_addr, versions},
    confirm::Topic,
    exchange::OriginTraffic,
    origins::{Continuation, Discontinued, StreamKey, questions::Certainty},
    request::Request,
    routes::Routes,
};
use crate::{
    error::ErrorKind,
    logs::lines::{Level, line},
    metrics::{Counter, Gauge},
    schema::fleet::Backend,
    util::{Instant, now},
};

impl Discontinued {
    /// The kind of error that a caller gets who takes up such a stream. Where servers of the version exist, the choice among
    /// them has a kind of its own.
    fn error_kind(self) -> ErrorKind {
        match self {
            Discontinued::Gone | Discontinued::NotEligible => ErrorKind::StreamVersionGone,
            Discontinued::Unknown
            | Discontinued::Unconfirmed
            | Discontinued::Conflicting
            | Discontinued::OtherService => ErrorKind::StreamVersionUnknown,
        }
    }
}

impl<W: Wire> Relay<W> {
    /// Decides at which service and version the stream goes on that a request takes up.
    ///
    /// # Errors
    /// The kind of error if it must not go on.
    pub(crate) async fn find_continuation(&self, req: &Request) -> Result<Continuation, ErrorKind> {
        let taken_up = now();
        let (stream, services) = (stream_key(req), req.route.services());
        let is_unknown = |stream: &StreamKey| self.state().origins.known(*stream).is_none();
        let certainty = match stream.filter(is_unknown) {
            Some(stream) => self.ask_about(stream, &services).await,
            None => Certainty::Unsure,
        };
        let locate = || {
            let (state, now) = (self.state(), now());
            let is_read = state.versions_read.began_since(taken_up) && state.lists_all_versions(now);
            state.origins.continuation(now, stream, &services, is_read, certainty)
        };
        let mut found = locate();
        if found == Err(Discontinued::Unconfirmed) {
            self.await_versions(taken_up).await;
            found = locate();
        }
        if found == Err(Discontinued::Unknown) && stream.is_some_and(|stream| is_unknown(&stream)) {
            self.await_saved().await;
            found = locate();
        }
        if let (Ok(at), Some(stream)) = (&found, stream)
            && is_unknown(&stream)
        {
            self.record_assumed(req, at, certainty);
        }
        found.map_err(|reason| {
            self.record_discontinued(req, reason);
            reason.error_kind()
        })
    }

    /// Counts and logs a stream that goes on though no host knows it, with what that relies on.
    fn record_assumed(&self, req: &Request, at: &Continuation, certainty: Certainty) {
        self.metrics.add(Counter::RelayOrigins, OriginTraffic::Assumed.as_str(), 1);
        let (state, now) = (self.state(), now());
        let list_age = state.confirmations.age(now, Topic::Backends);
        let seen_for = state.origins.seen_for(now);
        let is_alone = state.peers.is_alone(now);
        drop(state);
        self.log_request(Level::Notable, "stream_assumed", req, |l| {
            let l = l.text("service", &at.service).text("server_version", &at.version);
            let l = l.text("first_attempt", req.stream_id()).text("others", certainty.as_str());
            let l = l.flag("alone", is_alone).ms("list_age_ms", list_age).ms("seen_ms", seen_for);
            l.ms("after_ms", now - req.arrived)
        });
    }

    /// Records that the caller of a request gets events from a server.
    pub(crate) fn begin_stream(&self, req: &Request, key: BackendKey) {
        let mut state = self.state();
        let (Some(stream), Some(at)) = (stream_key(req), state.running_at(key)) else { return };
        if let Some(version) = state.origins.begin(stream, &at, req.route.services().len()) {
            self.tell_streams(&mut state, [(stream, version)]);
        }
    }

    /// Records that the caller of a request has its whole stream.
    pub(crate) fn end_stream(&self, req: &Request) {
        if let Some(stream) = stream_key(req) {
            self.state().origins.end(stream);
        }
    }

    /// Service and version of a server that begins a stream.
    pub(crate) fn origin_of(&self, key: BackendKey) -> Option<Continuation> {
        self.state().running_at(key)
    }

    /// Counts and logs a stream that does not go on.
    pub(crate) fn record_discontinued(&self, req: &Request, reason: Discontinued) {
        self.metrics.add(Counter::RelayStreamsStopped, reason.as_str(), 1);
        self.log_request(Level::Notable, "stream_stopped", req, |l| {
            let l = l.text("reason", reason.as_str()).text("service", &req.service);
            l.text("first_attempt", req.stream_id()).ms("after_ms", now() - req.arrived)
        });
    }

    /// Counts and logs a stream for which no server of its version can be chosen.
    pub(crate) fn record_no_server(&self, req: &Request, kind: ErrorKind) {
        let is_gone = kind == ErrorKind::StreamVersionGone;
        self.record_discontinued(req, if is_gone { Discontinued::Gone } else { Discontinued::NotEligible });
    }

    /// Takes account of the routes of a new configuration. Streams of routes that lead to other services than before are told
    /// to other hosts, which would take them for streams of the new ones.
    pub(super) fn observe_routes(&self, state: &mut State, old: Option<&Routes>, new: &Routes) {
        state.origins.set_timeout(new.longest_stream());
        let Some(old) = old else { return };
        let (now, lifetime) = (now(), state.origins.lifetime());
        let doubtful = state.rerouted.observe(now, lifetime, old, new);
        if !doubtful.is_empty() {
            state.origins.doubt(now, doubtful.iter().map(|service| &**service));
            self.tell_open_streams(state);
        }
    }

    /// Notes which versions the servers have that are known now, and those whose entries are given; logs changes.
    pub(super) fn observe_versions<'a>(
        &self,
        state: &mut State,
        now: Instant,
        entries: impl Iterator<Item = &'a Backend>,
    ) {
        let entries: Vec<_> = entries.filter_map(version_of).collect();
        let servers = state.backends.iter().map(|(_, b)| (&b.service, &b.version));
        let told = entries.iter().map(|(service, version)| (service, version));
        let changed = state.origins.observe(now, servers.chain(told));
        for service in &changed {
            let names: Vec<_> = state.origins.served().versions(service).map(|v| &**v).collect();
            line(Level::Notable, "versions", |l| {
                l.text("service", service)
                    .text("versions", &names.join(" "))
                    .number("count", names.len() as u64)
            });
        }
        if changed.is_empty() {
            return;
        }
        self.tell_open_streams(state);
        for (service, count) in state.origins.served().counts() {
            self.metrics.set(Gauge::RelayVersions, service.clone(), count as f64);
        }
    }

    /// Tells other hosts of the streams that this host has open and that may be of several versions.
    fn tell_open_streams(&self, state: &mut State) {
        let open: Vec<_> = state.origins.open_here().collect();
        self.tell_streams(state, open);
    }
}

impl State {
    /// Whether a list of servers has all versions that serve, together with those that this host has seen.
    fn lists_all_versions(&self, now: Instant) -> bool {
        self.entries_missing_until <= now || self.origins.has_seen_all(now)
    }

    /// Service and version of a server.
    fn running_at(&self, key: BackendKey) -> Option<Continuation> {
        let b = self.backends.get(key)?;
        Some(Continuation { service: b.service.clone(), version: b.version.clone() })
    }
}

/// Service and version that an entry tells, if it names a server.
fn version_of(entry: &Backend) -> Option<(Arc<str>, Arc<str>)> {
    usable_addr(entry).is_ok().then(|| (entry.service.as_str().into(), versions::bounded(&entry.version)))
}

/// Identifies the stream that a request begins or takes up; `None` if its caller does not name the latter.
fn stream_key(req: &Request) -> Option<StreamKey> {
    let workspace = req.caller.as_ref().map_or("", |caller| &*caller.workspace);
    StreamKey::new(workspace, req.stream_id())
}
