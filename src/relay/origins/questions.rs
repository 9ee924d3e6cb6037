//! Questions to other hosts about streams that this host does not know.

use std::net::SocketAddr;

use super::{StreamKey, VersionTag};
use crate::util::Map;

/// Maximum number of open questions. Those of callers that left while they were open are never closed.
const MAX_OPEN: usize = 4_096;

/// What other hosts say that do not know a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Certainty {
    /// None of them is certain.
    #[default]
    Unsure,
    /// Only this version can have begun it.
    Only(VersionTag),
    /// More than one version may have begun it.
    Several,
}

impl Certainty {
    /// Value in messages for [`Certainty::Several`]; 0 stands for [`Certainty::Unsure`].
    const SEVERAL: VersionTag = 1;

    /// Value in messages.
    pub fn to_wire(self) -> VersionTag {
        match self {
            Certainty::Unsure => 0,
            Certainty::Only(version) => version,
            Certainty::Several => Self::SEVERAL,
        }
    }

    /// Reads the value in a message.
    pub fn from_wire(value: VersionTag) -> Self {
        match value {
            0 => Certainty::Unsure,
            Self::SEVERAL => Certainty::Several,
            version => Certainty::Only(version),
        }
    }

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Certainty::Unsure => "unsure",
            Certainty::Only(_) => "only",
            Certainty::Several => "several",
        }
    }

    /// Combines what two hosts say. Hosts that name different versions make it uncertain.
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (Certainty::Unsure, certainty) | (certainty, Certainty::Unsure) => certainty,
            (Certainty::Only(a), Certainty::Only(b)) if a == b => self,
            _ => Certainty::Several,
        }
    }
}

/// A question that is open.
#[derive(Clone, Debug, Default)]
struct Question {
    /// Hosts that have not answered.
    waits_for: Vec<SocketAddr>,
    certainty: Certainty,
}

/// The open questions, by stream.
#[derive(Clone, Debug, Default)]
pub struct Questions {
    open: Map<StreamKey, Question>,
}

impl Questions {
    /// Opens a question to hosts that are expected to answer.
    pub fn ask(&mut self, stream: StreamKey, hosts: impl Iterator<Item = SocketAddr>) {
        if self.open.len() >= MAX_OPEN {
            self.open.clear();
        }
        self.open.insert(stream, Question { waits_for: hosts.collect(), certainty: Certainty::Unsure });
    }

    /// Takes in what a host says that does not know the stream.
    pub fn hear(&mut self, from: SocketAddr, stream: StreamKey, certainty: Certainty) {
        let Some(question) = self.open.get_mut(&stream) else { return };
        if let Some(at) = question.waits_for.iter().position(|host| *host == from) {
            question.waits_for.swap_remove(at);
            question.certainty = question.certainty.and(certainty);
        }
    }

    /// Hosts that have not answered yet.
    pub fn waits_for(&self, stream: StreamKey) -> &[SocketAddr] {
        self.open.get(&stream).map_or(&[], |question| &question.waits_for)
    }

    /// Ends a question; returns what the hosts said.
    pub fn close(&mut self, stream: StreamKey) -> Certainty {
        self.open.remove(&stream).unwrap_or_default().certainty
    }
}
