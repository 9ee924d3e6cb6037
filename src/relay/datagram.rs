//! Encoding and validation of heartbeat datagrams.
//!
//! Anyone who reaches the port can send anything. A datagram that can't be a heartbeat of a host of this fleet is
//! dropped, counted by reason, and changes nothing.

use serde::de::DeserializeOwned;

use crate::schema::fleet::{Beat, CrashReports, Measurements, StreamOrigins};

/// Maximum size of a heartbeat within a data centre, in bytes: one packet on a common link.
const MAX_LOCAL_BYTES: usize = 1_400;
/// Maximum size of a datagram, in bytes. Heartbeats with a summary of a data centre may take two packets, since other
/// data centres learn its loads from nothing else.
pub const MAX_DATAGRAM_BYTES: usize = 2 * MAX_LOCAL_BYTES;
/// How far another host's clock may be ahead of this one's, in milliseconds. A start time further in the future would
/// make all later heartbeats from that address look outdated.
const MAX_CLOCK_SKEW_MS: u64 = 3_600_000;
/// Minimum interval between two heartbeats of a host, in milliseconds. A sequence number higher than the time since the
/// start allows would make the next heartbeats look outdated.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 5;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is larger than any datagram that a host sends.
    TooLarge,
    /// It can't be decoded as a heartbeat.
    Malformed,
    /// Its start time or sequence number lies in the future.
    Future,
    /// It is a duplicate, or older than one already received.
    Replayed,
}

impl DropReason {
    /// Every reason.
    pub const ALL: [DropReason; 4] =
        [DropReason::TooLarge, DropReason::Malformed, DropReason::Future, DropReason::Replayed];

    /// Name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::TooLarge => "size",
            DropReason::Malformed => "garbage",
            DropReason::Future => "future",
            DropReason::Replayed => "old",
        }
    }
}

/// A datagram of another host.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// A heartbeat.
    Beat(Box<Beat>),
    /// What a host tells or asks about streams.
    Origins(StreamOrigins),
    /// What a host tells of crashes of servers.
    Crashes(CrashReports),
    /// What a host measures.
    Measurements(Measurements),
}

/// Decodes any datagram that arrives at `wall_ms`, in milliseconds since 1970. The first field tells the kinds apart: the
/// start time of a heartbeat's sender is above 2.
///
/// # Errors
/// Returns why the datagram must be dropped.
pub fn decode_any(buf: &[u8], wall_ms: u64) -> Result<Datagram, DropReason> {
    match buf.first() {
        Some(0) => decode_message(buf).map(Datagram::Origins),
        Some(1) => decode_message(buf).map(Datagram::Crashes),
        Some(2) => decode_message(buf).map(Datagram::Measurements),
        _ => decode(buf, wall_ms).map(|beat| Datagram::Beat(Box::new(beat))),
    }
}

fn decode_message<T: DeserializeOwned>(buf: &[u8]) -> Result<T, DropReason> {
    if buf.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLarge);
    }
    match postcard::take_from_bytes(buf) {
        Ok((message, [])) => Ok(message),
        _ => Err(DropReason::Malformed),
    }
}

/// Decodes a heartbeat that arrives at `wall_ms`, in milliseconds since 1970.
///
/// # Errors
/// Returns why the datagram must be dropped.
pub fn decode(buf: &[u8], wall_ms: u64) -> Result<Beat, DropReason> {
    if buf.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLarge);
    }
    let Ok((beat, rest)) = postcard::take_from_bytes::<Beat>(buf) else { return Err(DropReason::Malformed) };
    if !rest.is_empty() {
        return Err(DropReason::Malformed);
    }
    let latest = wall_ms.saturating_add(MAX_CLOCK_SKEW_MS);
    let max_number = latest.saturating_sub(beat.start) / MIN_HEARTBEAT_INTERVAL_MS;
    if beat.start > latest || beat.number > max_number {
        return Err(DropReason::Future);
    }
    Ok(beat)
}

/// Encodes a heartbeat, leaving out a part of its lists if it is too long for a datagram.
///
/// # Errors
/// When it can't be serialized.
pub fn encode(beat: &Beat) -> postcard::Result<Vec<u8>> {
    let mut beat = beat.clone();
    let max_bytes = if beat.centre.is_some() { MAX_DATAGRAM_BYTES } else { MAX_LOCAL_BYTES };
    loop {
        let buf = postcard::to_allocvec(&beat)?;
        if buf.len() <= max_bytes || !shorten(&mut beat) {
            return Ok(buf);
        }
    }
}

/// Shortens one list of the heartbeat; returns whether there was anything to remove. Members are sent again in the next
/// full heartbeat.
fn shorten(beat: &mut Beat) -> bool {
    let of_centre = |beat: &mut Beat| beat.centre.as_mut().is_some_and(|c| halve(&mut c.in_progress));
    beat.members.pop().is_some() || halve(&mut beat.in_progress) || halve(&mut beat.held) || of_centre(beat)
}

fn halve<T>(list: &mut Vec<T>) -> bool {
    let before = list.len();
    list.truncate(before / 2);
    before > 0
}
