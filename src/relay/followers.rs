//! Which hosts of a data centre follow the store.
//!
//! Each call to the store costs, also one that is refused, and a change costs one for each host that waits for it. So a few
//! hosts of each data centre follow the store and tell the others. Each host decides by itself, from what its neighbours
//! tell of their contact: the first hosts in a fixed order follow, the next ones step in where those are missing.

use std::time::Duration;

use crate::util::Instant;

/// Hosts that follow the store in the whole fleet at least: one may be lost while another is cut off, and what a data centre
/// misses for a moment the others tell it.
const AT_LEAST: usize = 4;
/// How long too few must have followed for one host more to step in; for so many more it takes their square times as long.
/// Against an outage of the store, in which everybody who steps in finds nothing, at the price of a call.
const PATIENCE: Duration = Duration::from_secs(2);

/// What a host has to do with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FollowState {
    /// It leaves the store to others.
    #[default]
    Idle,
    /// It follows the store.
    Follows,
    /// It calls the store and gets no answer.
    Lost,
}

impl FollowState {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            FollowState::Idle => "idle",
            FollowState::Follows => "follows",
            FollowState::Lost => "lost",
        }
    }
}

/// A host of the own data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Its place in the order, the highest first.
    pub rank: u64,
    /// Its contact.
    pub contact: FollowState,
}

/// Hosts of each data centre that shall follow the store.
pub fn followers_per_data_centre(data_centres: usize) -> usize {
    AT_LEAST.div_ceil(data_centres.max(1))
}

/// Decides whether this host follows the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerElection {
    /// Since when too few have followed.
    short_since: Option<Instant>,
}

impl FollowerElection {
    /// Whether this host shall follow, as one of `followers_per_data_centre`.
    pub fn decide(
        &mut self,
        now: Instant,
        me: Neighbour,
        near: impl IntoIterator<Item = Neighbour>,
        wanted: usize,
    ) -> bool {
        let (mut follow, mut follow_before, mut idle_before, mut lost) = (0, 0, 0, 0);
        for host in near {
            let before = usize::from(host.rank > me.rank);
            match host.contact {
                FollowState::Follows => {
                    follow += 1;
                    follow_before += before;
                }
                FollowState::Idle => idle_before += before,
                FollowState::Lost => lost += 1,
            }
        }
        let short = wanted.saturating_sub(follow);
        if short == 0 {
            self.short_since = None;
        }
        match me.contact {
            FollowState::Follows => follow_before < wanted,
            FollowState::Lost => short > 0,
            FollowState::Idle if short == 0 => false,
            FollowState::Idle => {
                let since = *self.short_since.get_or_insert(now);
                // The first that loses the store is replaced at once: it may be cut off alone.
                let before = idle_before + usize::saturating_sub(lost, 1);
                before < short + more(now.saturating_sub(since))
            }
        }
    }
}

/// Hosts beside the missing ones that may step in after so long.
fn more(short_for: Duration) -> usize {
    let waits = short_for.as_secs_f64() / PATIENCE.as_secs_f64();
    waits.sqrt() as usize
}
