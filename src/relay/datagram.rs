//! Beats as bytes, and which bytes are believed.
//!
//! Whoever reaches the port can send anything. What can't be a beat of a host of this fleet is dropped, counted by reason,
//! and changes nothing.

use crate::schema::fleet::Beat;

/// Largest beat within a data centre, in bytes: one packet of a common link.
const MOST_OWN: usize = 1_400;
/// Largest datagram, in bytes. Summaries of data centres take up to two packets: their loads are all that the others know.
pub const MOST_BYTES: usize = 2 * MOST_OWN;
/// How far another host's clock may be ahead of this one's, in milliseconds. A later start would hide all that the host at
/// that address tells from then on.
const MOST_AHEAD_MS: u64 = 3_600_000;
/// Least time between two beats of a host, in milliseconds; a higher number than its time allows would hide its next ones.
const LEAST_INTERVAL_MS: u64 = 5;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is larger than any that is sent.
    Size,
    /// Its bytes are no beat.
    Garbage,
    /// It tells of a start or a number that can't have come yet.
    Future,
    /// It has come before, or later than a newer one.
    Old,
}

impl DropReason {
    /// Every reason.
    pub const ALL: [DropReason; 4] =
        [DropReason::Size, DropReason::Garbage, DropReason::Future, DropReason::Old];

    /// Name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Size => "size",
            DropReason::Garbage => "garbage",
            DropReason::Future => "future",
            DropReason::Old => "old",
        }
    }
}

/// Reads a datagram that comes at `wall_ms`, in milliseconds since 1970.
///
/// # Errors
/// Why it is not believed.
pub fn decode(buf: &[u8], wall_ms: u64) -> Result<Beat, DropReason> {
    if buf.len() > MOST_BYTES {
        return Err(DropReason::Size);
    }
    let Ok((beat, rest)) = postcard::take_from_bytes::<Beat>(buf) else { return Err(DropReason::Garbage) };
    if !rest.is_empty() {
        return Err(DropReason::Garbage);
    }
    let latest = wall_ms.saturating_add(MOST_AHEAD_MS);
    let most = latest.saturating_sub(beat.start) / LEAST_INTERVAL_MS;
    if beat.start > latest || beat.number > most {
        return Err(DropReason::Future);
    }
    Ok(beat)
}

/// Writes a beat, without some of what it tells where that is too long for a datagram.
///
/// # Errors
/// When it has no form in bytes.
pub fn encode(beat: &Beat) -> postcard::Result<Vec<u8>> {
    let mut beat = beat.clone();
    let most = if beat.centre.is_some() { MOST_BYTES } else { MOST_OWN };
    loop {
        let buf = postcard::to_allocvec(&beat)?;
        if buf.len() <= most || !shorten(&mut beat) {
            return Ok(buf);
        }
    }
}

/// Leaves something out; returns whether there was anything. Members come again in the next full beat.
fn shorten(beat: &mut Beat) -> bool {
    let of_centre = |beat: &mut Beat| beat.centre.as_mut().is_some_and(|c| halve(&mut c.in_progress));
    beat.members.pop().is_some() || halve(&mut beat.in_progress) || halve(&mut beat.held) || of_centre(beat)
}

fn halve<T>(list: &mut Vec<T>) -> bool {
    let before = list.len();
    list.truncate(before / 2);
    before > 0
}
