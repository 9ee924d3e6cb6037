//! Revisions of the store across its restores.
//!
//! A store that is restored from a copy goes back to an earlier revision and gives the numbers after it out again, for other
//! changes. It counts its restores: a number means something only together with that epoch, and all revisions of a later
//! epoch are later than those of one before.

use crate::schema::fleet;

/// How often the store was restored, as it counts.
pub type Epoch = u64;

/// Revision of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Epoch in which the store gave the number; compared first.
    pub epoch: Epoch,
    /// The number; 0 before anything is known.
    pub number: u64,
}

impl Revision {
    /// Revision of what was read in a copy of the store. A copy is some seconds old, and after a restore it may be of the epoch
    /// before, under higher numbers: what anybody has read since is later.
    pub const STALE_READ: Self = Self { epoch: 0, number: 1 };

    /// Later than any.
    pub const LATEST: Self = Self { epoch: Epoch::MAX, number: u64::MAX };

    /// A revision of an epoch.
    pub fn new(epoch: Epoch, number: u64) -> Self {
        Self { epoch, number }
    }

    /// Whether anything is known.
    pub fn is_known(self) -> bool {
        self.number > 0
    }
}

impl fleet::Backends {
    /// Revision of the store as of which it tells.
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
    /// Revision of the store as of which it tells.
    pub fn as_of(&self) -> Revision {
        Revision::new(self.epoch, self.revision)
    }
}

impl fleet::Fetch {
    /// Revision of the asker's backend servers.
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

/// What an answer's epoch means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochCheck {
    /// It is the one that is known.
    Known,
    /// A later one, which is known from now on.
    Later,
    /// A later one that was told for the first time; asking again settles it.
    Unconfirmed,
    /// An earlier one, or a later one that differs from the one told before: the answer is not to be used.
    Odd,
    /// An earlier one that the store has told for so long that the known one must be wrong; it is known from now on.
    Earlier,
}

impl EpochCheck {
    /// Every meaning that is counted.
    pub const COUNTED: [EpochCheck; 4] =
        [EpochCheck::Later, EpochCheck::Unconfirmed, EpochCheck::Odd, EpochCheck::Earlier];

    /// Name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            EpochCheck::Known => "known",
            EpochCheck::Later => "later",
            EpochCheck::Unconfirmed => "unconfirmed",
            EpochCheck::Odd => "odd",
            EpochCheck::Earlier => "earlier",
        }
    }
}

/// The store's epoch as far as it is known. Taken for true at once, a single wrong number would hide all that the store tells
/// from then on, so that a later one counts once it was told twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct EpochTracker {
    known: Option<Epoch>,
    told: Option<Epoch>,
    /// An earlier one, and how many answers in a row have told it.
    earlier: Option<(Epoch, u32)>,
    /// One that was known and is not the store's.
    wrong: Option<Epoch>,
}

/// Answers in a row of the same earlier epoch after which the known one is wrong. After a restore some may come late: as many as
/// there are calls under way.
const EARLIER: u32 = 8;
/// Restores that other hosts may be ahead by; a higher number from them is made up.
const MOST_AHEAD: Epoch = 16;

impl EpochTracker {
    /// The epoch that is known; 0 before any is.
    pub fn known(&self) -> Epoch {
        self.known.unwrap_or_default()
    }

    /// Takes in the epoch that an answer of the store tells.
    pub fn hear(&mut self, epoch: Epoch) -> EpochCheck {
        let Some(known) = self.known else {
            self.know(epoch);
            return EpochCheck::Later;
        };
        if epoch < known {
            return self.hear_earlier(known, epoch);
        }
        self.earlier = None;
        if epoch == known {
            return EpochCheck::Known;
        }
        if self.told == Some(epoch) {
            self.know(epoch);
            return EpochCheck::Later;
        }
        match self.told.replace(epoch) {
            None => EpochCheck::Unconfirmed,
            Some(_) => EpochCheck::Odd,
        }
    }

    fn know(&mut self, epoch: Epoch) {
        *self =
            Self { known: Some(epoch), wrong: self.wrong.filter(|wrong| epoch < *wrong), ..Self::default() };
    }

    fn hear_earlier(&mut self, known: Epoch, epoch: Epoch) -> EpochCheck {
        let before = self.earlier.filter(|(earlier, _)| *earlier == epoch).map_or(0, |(_, times)| times);
        if before + 1 < EARLIER {
            self.earlier = Some((epoch, before + 1));
            return EpochCheck::Odd;
        }
        *self = Self { known: Some(epoch), wrong: Some(known), ..Self::default() };
        EpochCheck::Earlier
    }

    /// Whether what another host knows as of an epoch may be true.
    pub fn trusts(&self, epoch: Epoch) -> bool {
        let is_possible = self.known.is_none_or(|known| epoch <= known.saturating_add(MOST_AHEAD));
        is_possible && self.wrong.is_none_or(|wrong| epoch < wrong)
    }

    /// Takes in the epoch that another host knows; returns whether it is later.
    pub fn hear_host(&mut self, epoch: Epoch) -> bool {
        let later = self.trusts(epoch) && self.known.is_none_or(|known| epoch > known);
        if later {
            self.know(epoch);
        }
        later
    }
}
