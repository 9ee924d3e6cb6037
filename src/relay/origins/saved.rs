//! Which versions began streams, in the parts in which they are saved in the platform's store.
//!
//! While several versions serve, the knowledge of streams has to outlive a kill of all hosts. The streams that begin within a
//! period make up a part, which is written again while its period lasts. A part is replaced once its streams are too old to be
//! taken up.

use std::{fmt::Write, time::Duration};

use serde::{Deserialize, Serialize};

use super::{StreamKey, VersionTag};
use crate::util::Map;

/// Number of parts. All but the current one together cover the lifetime of a stream. The more there are, the fewer
/// streams are written again with each new one.
pub const PARTS: u64 = 64;
/// Maximum number of streams in a part, which take 128 KiB.
const MAX_IN_PART: usize = 8_192;
/// Length of a stream's key in hexadecimal.
const KEY_DIGITS: usize = 16;

/// Streams that one version began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
struct Begun {
    version: VersionTag,
    /// Keys of the streams, in hexadecimal, one after the other.
    streams: String,
}

/// Streams as they are saved under one name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct SavedStreams {
    #[serde(default)]
    begun: Vec<Begun>,
}

impl SavedStreams {
    /// Packs streams with the versions that began them.
    pub fn pack(streams: &[(StreamKey, VersionTag)]) -> Self {
        let mut by_version: Map<VersionTag, String> = Map::default();
        for (stream, version) in streams {
            let keys = by_version.entry(*version).or_default();
            let _ = write!(keys, "{:0KEY_DIGITS$x}", stream.0);
        }
        Self { begun: by_version.into_iter().map(|(version, streams)| Begun { version, streams }).collect() }
    }

    /// The streams with the versions that began them. What another writer may have added and cannot be read is left out.
    pub fn unpack(&self) -> impl Iterator<Item = (StreamKey, VersionTag)> + '_ {
        let key = |digits: &[u8]| u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok();
        self.begun.iter().flat_map(move |begun| {
            let keys = begun.streams.as_bytes().chunks_exact(KEY_DIGITS);
            keys.filter_map(key).map(|key| (StreamKey(key), begun.version))
        })
    }
}

/// The current part, at a host that saves streams.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Number of the period, counted from 1970, so that another host, or one that has started again, goes on with the same parts.
    period: u64,
    streams: Vec<(StreamKey, VersionTag)>,
    has_unsaved: bool,
}

impl Part {
    /// Adds a stream at a time since 1970; `lifetime` is that of streams. Returns whether there was room for it.
    pub fn add(
        &mut self,
        since_1970: Duration,
        lifetime: Duration,
        stream: StreamKey,
        version: VersionTag,
    ) -> bool {
        let period = Self::period(since_1970, lifetime);
        if period != self.period && !self.has_unsaved {
            (self.period, self.streams) = (period, Vec::new());
        }
        let has_room = self.streams.len() < MAX_IN_PART;
        if has_room {
            self.streams.push((stream, version));
            self.has_unsaved = true;
        }
        has_room
    }

    /// The name and the streams to be saved, if some have been added.
    pub fn take_unsaved(&mut self, data_centre: &str) -> Option<(String, SavedStreams)> {
        let has_unsaved = std::mem::take(&mut self.has_unsaved);
        let name = || format!("{data_centre}-{}", self.period % PARTS);
        has_unsaved.then(|| (name(), SavedStreams::pack(&self.streams)))
    }

    /// Records that the streams could not be saved.
    pub fn note_failed(&mut self) {
        self.has_unsaved = true;
    }

    fn period(since_1970: Duration, lifetime: Duration) -> u64 {
        let length = lifetime / (PARTS as u32 - 1);
        (since_1970.as_millis() / length.as_millis().max(1)) as u64
    }
}
