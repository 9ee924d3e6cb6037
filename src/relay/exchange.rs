//! Tells a few other hosts which version began a stream, and asks them about streams that this host does not know.
//!
//! A host that is killed takes its knowledge with it, and a caller takes its stream up at any other one. So each first event
//! is told to a few hosts, which any host can compute from the stream's key. Nothing is told while only one version of a
//! service may have begun streams that are still open; once there is another one, each host tells of those that it has. One host,
//! in a large fleet one of each data centre, is told of all streams and saves them in the store, in case all hosts are killed.

use std::{net::SocketAddr, time::Duration};

use super::{
    Relay, State, Wire,
    confirm::Topic,
    origins::{StreamKey, VersionTag, questions::Certainty, service_tag},
    peers::replicas::Replica,
};
use crate::{
    metrics::Counter,
    objects::bucket::TokenBucket,
    schema::fleet::{AskedStream, StreamOrigin, StreamOrigins, UnknownStream},
    util::{Instant, Map, now},
};

/// Minimum number of hosts that are told of a stream.
const MIN_COPIES: usize = 2;
/// Maximum number of hosts that are told of a stream, and the number that are asked about one.
pub const MAX_COPIES: usize = 8;
/// Size of what one host is told of one stream, in bytes.
const COPY_BYTES: f64 = 15.0;
/// Bytes per second that may be spent on more copies than the minimum, and those that may be saved up.
const EXTRA_BYTES_PER_SECOND: f64 = 1_000.0;
const MAX_SAVED_BYTES: f64 = 4_000.0;
/// Maximum number of streams in a datagram, so that it fits into one packet.
const MAX_IN_DATAGRAM: usize = 64;
/// Maximum number of streams that wait to be told; more can only come in a moment without a sender.
const MAX_QUEUED: usize = 8_192;
/// How long a question waits for answers before it is asked again, and how often it is asked. An answer takes some
/// milliseconds, and a caller waits for it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
const MAX_ROUNDS: u32 = 2;

/// Traffic about streams; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginTraffic {
    /// A host was told which version began a stream.
    Told,
    /// This host was told so.
    Heard,
    /// A host was asked about a stream.
    Asked,
    /// This host was asked about a stream that it knows.
    Answered,
    /// This host was asked about a stream that it does not know.
    NotKnown,
    /// A stream was not told, since too many were waiting.
    Dropped,
    /// A stream is not saved in the store, since too many began.
    Unsaved,
    /// A stream goes on that no host knows, since only one version can have begun it.
    Assumed,
}

impl OriginTraffic {
    /// Every kind.
    pub const ALL: [OriginTraffic; 8] = [
        OriginTraffic::Told,
        OriginTraffic::Heard,
        OriginTraffic::Asked,
        OriginTraffic::Answered,
        OriginTraffic::NotKnown,
        OriginTraffic::Dropped,
        OriginTraffic::Unsaved,
        OriginTraffic::Assumed,
    ];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            OriginTraffic::Told => "told",
            OriginTraffic::Heard => "heard",
            OriginTraffic::Asked => "asked",
            OriginTraffic::Answered => "answered",
            OriginTraffic::NotKnown => "not_known",
            OriginTraffic::Dropped => "dropped",
            OriginTraffic::Unsaved => "unsaved",
            OriginTraffic::Assumed => "assumed",
        }
    }
}

/// What is to be sent to other hosts about streams.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// Streams to be told to the hosts that remember them.
    streams: Vec<(StreamKey, VersionTag)>,
    /// Messages by receiver.
    messages: Map<SocketAddr, StreamOrigins>,
    /// What may be spent on more copies than the minimum, in bytes.
    extra: TokenBucket,
}

impl Default for Outbox {
    fn default() -> Self {
        let extra = TokenBucket::new(EXTRA_BYTES_PER_SECOND, MAX_SAVED_BYTES);
        Self { streams: Vec::new(), messages: Map::default(), extra }
    }
}

impl<W: Wire> Relay<W> {
    /// Queues streams to be told to the hosts that remember them, and to be saved in the store.
    pub(super) fn tell_streams(
        &self,
        state: &mut State,
        streams: impl IntoIterator<Item = (StreamKey, VersionTag)>,
    ) {
        for (stream, version) in streams {
            self.add_unsaved(state, stream, version);
            state.outbox.streams.push((stream, version));
        }
        let outbox = &mut state.outbox;
        let excess = outbox.streams.len().saturating_sub(MAX_QUEUED);
        if excess > 0 {
            outbox.streams.drain(..excess);
            self.metrics.add(Counter::RelayOrigins, OriginTraffic::Dropped.as_str(), excess as u64);
        }
        if !outbox.streams.is_empty() {
            self.messages_due.notify_one();
        }
    }

    /// Asks other hosts about a stream of one of `services`. Returns what they say if none of them knows it; if one does,
    /// this host knows it then.
    pub(super) async fn ask_about(&self, stream: StreamKey, services: &[&str]) -> Certainty {
        let service = if let [service] = services { service_tag(service) } else { 0 };
        let replicas = {
            let mut state = self.state();
            let replicas = state.peers.replicas(now(), stream.0, MAX_COPIES);
            let alive = replicas.iter().filter(|replica| replica.alive).map(|replica| replica.addr);
            state.questions.ask(stream, alive);
            replicas
        };
        for round in 0..MAX_ROUNDS {
            self.send_question(stream, service, &replicas, round);
            if tokio::time::timeout(ANSWER_TIMEOUT, self.answered(stream)).await.is_ok() {
                break;
            }
        }
        self.state().questions.close(stream)
    }

    /// Queues a question: first to all hosts, then to those that have not answered.
    fn send_question(&self, stream: StreamKey, service: u32, replicas: &[Replica], round: u32) {
        let mut state = self.state();
        let waits_for = state.questions.waits_for(stream).to_vec();
        let is_asked = |replica: &&Replica| round == 0 || waits_for.contains(&replica.addr);
        for replica in replicas.iter().filter(is_asked) {
            let message = state.outbox.messages.entry(replica.addr).or_default();
            message.asked.push(AskedStream { stream: stream.0, service });
            self.metrics.add(Counter::RelayOrigins, OriginTraffic::Asked.as_str(), 1);
        }
        drop(state);
        self.messages_due.notify_one();
    }

    /// Waits until this host knows a stream, or all hosts that were asked have answered.
    async fn answered(&self, stream: StreamKey) {
        loop {
            let heard = self.origin_heard.notified();
            tokio::pin!(heard);
            heard.as_mut().enable();
            {
                let state = self.state();
                if state.origins.known(stream).is_some() || state.questions.waits_for(stream).is_empty() {
                    return;
                }
            }
            heard.await;
        }
    }

    /// Processes what another host tells or asks about streams.
    pub(crate) fn receive_origins(&self, from: SocketAddr, message: &StreamOrigins) {
        let now = now();
        let mut state = self.state();
        let state = &mut *state;
        for told in &message.told {
            state.origins.hear(StreamKey(told.stream), told.version);
            self.add_unsaved(state, StreamKey(told.stream), told.version);
        }
        for unknown in &message.unknown {
            state.questions.hear(from, StreamKey(unknown.stream), Certainty::from_wire(unknown.version));
        }
        let list_is_current = state.list_is_current(now, self.cfg.in_force);
        for asked in &message.asked {
            let stream = StreamKey(asked.stream);
            let message = state.outbox.messages.entry(from).or_default();
            let traffic = match state.origins.version_of(stream) {
                Some(version) => {
                    message.told.push(StreamOrigin { stream: stream.0, version });
                    OriginTraffic::Answered
                }
                None => {
                    let certainty = state.origins.certainty(now, asked.service, list_is_current);
                    message.unknown.push(UnknownStream { stream: stream.0, version: certainty.to_wire() });
                    OriginTraffic::NotKnown
                }
            };
            self.metrics.add(Counter::RelayOrigins, traffic.as_str(), 1);
        }
        if !message.asked.is_empty() {
            self.messages_due.notify_one();
        }
        if !message.told.is_empty() || !message.unknown.is_empty() {
            let heard = message.told.len() as u64;
            self.metrics.add(Counter::RelayOrigins, OriginTraffic::Heard.as_str(), heard);
            self.origin_heard.notify_waiters();
        }
    }

    /// Takes the messages that are due, with their receivers.
    pub(crate) fn take_origin_messages(&self) -> Vec<(SocketAddr, StreamOrigins)> {
        let now = now();
        let mut state = self.state();
        let State { outbox, peers, saver, .. } = &mut *state;
        let saver = Some(*saver).filter(|saver| *saver != self.cfg.peer_addr);
        for (stream, version) in std::mem::take(&mut outbox.streams) {
            let replicas =
                peers.replicas(now, stream.0, MAX_COPIES).into_iter().filter(|replica| replica.alive);
            let mut untold = saver;
            let mut tell = |to: SocketAddr| {
                let message = outbox.messages.entry(to).or_default();
                message.told.push(StreamOrigin { stream: stream.0, version });
                self.metrics.add(Counter::RelayOrigins, OriginTraffic::Told.as_str(), 1);
            };
            for (copies, replica) in replicas.enumerate() {
                if copies >= MIN_COPIES && !outbox.extra.take_many(now, COPY_BYTES) {
                    break;
                }
                untold = untold.filter(|saver| *saver != replica.addr);
                tell(replica.addr);
            }
            untold.into_iter().for_each(tell);
        }
        let messages = std::mem::take(&mut outbox.messages);
        messages.into_iter().flat_map(|(to, message)| split(message).map(move |part| (to, part))).collect()
    }
}

impl State {
    /// Whether the list of servers was confirmed as the newest within `max_age`.
    pub(super) fn list_is_current(&self, now: Instant, max_age: Duration) -> bool {
        self.confirmations.age(now, Topic::Backends) <= max_age
    }
}

/// Splits a message into parts that fit into a datagram.
fn split(message: StreamOrigins) -> impl Iterator<Item = StreamOrigins> {
    let StreamOrigins { told, asked, unknown, .. } = message;
    let told = parts(&told, |told| StreamOrigins { told, ..StreamOrigins::default() });
    let asked = parts(&asked, |asked| StreamOrigins { asked, ..StreamOrigins::default() });
    let unknown = parts(&unknown, |unknown| StreamOrigins { unknown, ..StreamOrigins::default() });
    told.into_iter().chain(asked).chain(unknown)
}

/// Messages with one list in parts.
fn parts<T: Clone>(list: &[T], message: impl Fn(Vec<T>) -> StreamOrigins) -> Vec<StreamOrigins> {
    list.chunks(MAX_IN_DATAGRAM).map(|part| message(part.to_vec())).collect()
}
