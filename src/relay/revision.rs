//! Revisions of the store across its restores.
//!
//! A store that is restored from a backup goes back to an earlier revision and reuses the revision numbers after it for
//! other changes. It counts its restores as epochs: a number is meaningful only together with its epoch, and every
//! revision of a later epoch is later than all revisions of earlier epochs.

use crate::schema::fleet;

/// Number of restores that the store has counted.
pub type Epoch = u64;

/// Revision of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Epoch in which the store assigned the number; compared first.
    pub epoch: Epoch,
    /// Revision number; 0 before anything is known.
    pub number: u64,
}

impl Revision {
    /// Revision assigned to state from a stale read. The store's copy is some seconds old, and after a restore it may
    /// belong to the previous epoch, under higher numbers. So it counts as older than any other state.
    pub const STALE_READ: Self = Self { epoch: 0, number: 1 };

    /// Later than any other revision.
    pub const LATEST: Self = Self { epoch: Epoch::MAX, number: u64::MAX };

    /// Creates a revision from an epoch and a number.
    pub fn new(epoch: Epoch, number: u64) -> Self {
        Self { epoch, number }
    }

    /// Whether anything is known.
    pub fn is_known(self) -> bool {
        self.number > 0
    }
}

impl fleet::Backends {
    /// Revision of the store as of which the state is known.
    pub fn as_of(&self) -> Revision {
        Revision::new(self.epoch, self.revision)
    }
}

impl fleet::BackendChanges {
    /// Revision of the store that the changes lead to.
    pub fn as_of(&self) -> Revision {
        Revision::new(self.epoch, self.revision)
    }
}

impl fleet::Evacuations {
    /// Revision of the store as of which the state is known.
    pub fn as_of(&self) -> Revision {
        Revision::new(self.epoch, self.revision)
    }
}

impl fleet::Fetch {
    /// Revision of the requesting host's backend servers.
    pub fn backends_as_of(&self) -> Revision {
        Revision::new(self.backends_epoch, self.backends)
    }
}

impl fleet::Beat {
    /// Revision of the sender's backend servers.
    pub fn backends_as_of(&self) -> Revision {
        Revision::new(self.backends_epoch, self.backends)
    }
}

/// Result of comparing the epoch of an answer with the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochCheck {
    /// It is the current epoch.
    Current,
    /// It is a later epoch, which is current from now on.
    Newer,
    /// It is a later epoch that was seen for the first time; asking the store again confirms it.
    Unconfirmed,
    /// It is an earlier epoch, or a later one that differs from the unconfirmed one; the answer must not be used.
    Rejected,
    /// It is an earlier epoch that the store has answered with so often that the current one must be wrong; it is
    /// current from now on.
    RolledBack,
}

impl EpochCheck {
    /// The results that are counted.
    pub const COUNTED: [EpochCheck; 4] =
        [EpochCheck::Newer, EpochCheck::Unconfirmed, EpochCheck::Rejected, EpochCheck::RolledBack];

    /// Name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            EpochCheck::Current => "known",
            EpochCheck::Newer => "later",
            EpochCheck::Unconfirmed => "unconfirmed",
            EpochCheck::Rejected => "odd",
            EpochCheck::RolledBack => "earlier",
        }
    }
}

/// Tracks the store's current epoch. A later epoch is accepted only after two answers have carried it: accepted at
/// once, a single wrong number would hide everything that the store reports afterwards.
#[derive(Clone, Copy, Debug, Default)]
pub struct EpochTracker {
    current: Option<Epoch>,
    candidate: Option<Epoch>,
    /// An earlier epoch, and the number of consecutive answers that carried it.
    rollback: Option<(Epoch, u32)>,
    /// An epoch that was current and proved not to be the store's.
    invalid: Option<Epoch>,
}

/// Consecutive answers with the same earlier epoch after which the current one is considered wrong. After a restore as
/// many answers of the previous epoch may arrive late as calls were in flight.
const ROLLBACK_ANSWERS: u32 = 8;
/// Maximum number of epochs by which another host may be ahead; a higher one is not genuine.
const MAX_EPOCH_LEAD: Epoch = 16;

impl EpochTracker {
    /// The current epoch; 0 before any is known.
    pub fn current(&self) -> Epoch {
        self.current.unwrap_or_default()
    }

    /// Processes the epoch of an answer of the store.
    pub fn observe(&mut self, epoch: Epoch) -> EpochCheck {
        let Some(current) = self.current else {
            self.adopt(epoch);
            return EpochCheck::Newer;
        };
        if epoch < current {
            return self.observe_earlier(current, epoch);
        }
        self.rollback = None;
        if epoch == current {
            return EpochCheck::Current;
        }
        if self.candidate == Some(epoch) {
            self.adopt(epoch);
            return EpochCheck::Newer;
        }
        match self.candidate.replace(epoch) {
            None => EpochCheck::Unconfirmed,
            Some(_) => EpochCheck::Rejected,
        }
    }

    /// Makes an epoch the current one.
    fn adopt(&mut self, epoch: Epoch) {
        *self = Self {
            current: Some(epoch),
            invalid: self.invalid.filter(|invalid| epoch < *invalid),
            ..Self::default()
        };
    }

    /// Processes an earlier epoch, which becomes current after enough consecutive answers.
    fn observe_earlier(&mut self, current: Epoch, epoch: Epoch) -> EpochCheck {
        let before = self.rollback.filter(|(earlier, _)| *earlier == epoch).map_or(0, |(_, times)| times);
        if before + 1 < ROLLBACK_ANSWERS {
            self.rollback = Some((epoch, before + 1));
            return EpochCheck::Rejected;
        }
        *self = Self { current: Some(epoch), invalid: Some(current), ..Self::default() };
        EpochCheck::RolledBack
    }

    /// Whether an epoch reported by another host is plausible.
    pub fn is_plausible(&self, epoch: Epoch) -> bool {
        let is_possible = self.current.is_none_or(|current| epoch <= current.saturating_add(MAX_EPOCH_LEAD));
        is_possible && self.invalid.is_none_or(|invalid| epoch < invalid)
    }

    /// Processes the epoch that another host reports; returns whether it is later than the current one.
    pub fn observe_peer(&mut self, epoch: Epoch) -> bool {
        let later = self.is_plausible(epoch) && self.current.is_none_or(|current| epoch > current);
        if later {
            self.adopt(epoch);
        }
        later
    }
}
