//! Elects the hosts of each data centre that follow the store.
//!
//! Every call to the store has a cost, even a refused one, and each change costs one call per pending watch. So only a
//! few hosts of each data centre follow the store and pass changes on to the others. Each host decides locally, from
//! the follow states in its neighbours' heartbeats: the highest-ranked hosts follow, and the next in rank step in when
//! some of them are missing.

use std::time::Duration;

use crate::util::Instant;

/// Minimum number of followers in the whole fleet. One may fail while another is partitioned; a data centre that misses
/// a change for a moment receives it from the other data centres.
const MIN_FOLLOWERS: usize = 4;
/// How long followers must have been missing before one additional host steps in; n additional hosts step in after n²
/// times as long. During an outage of the store every host that steps in fails, and each attempt costs a call.
const STEP_IN_INTERVAL: Duration = Duration::from_secs(2);

/// Whether a host follows the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FollowState {
    /// It does not follow the store and relies on other hosts.
    #[default]
    Idle,
    /// It follows the store.
    Follows,
    /// It tries to follow the store but gets no answer.
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

/// A host of this host's data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Its rank; the highest is preferred.
    pub rank: u64,
    /// Its follow state.
    pub contact: FollowState,
}

/// Number of hosts per data centre that should follow the store.
pub fn followers_per_data_centre(data_centres: usize) -> usize {
    MIN_FOLLOWERS.div_ceil(data_centres.max(1))
}

/// Decides whether this host follows the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerElection {
    /// Since when there have been too few followers.
    missing_since: Option<Instant>,
}

impl FollowerElection {
    /// Returns whether this host should follow the store, given its neighbours and the target number of followers.
    pub fn decide(
        &mut self,
        now: Instant,
        me: Neighbour,
        near: impl IntoIterator<Item = Neighbour>,
        target: usize,
    ) -> bool {
        let (mut following, mut following_before, mut idle_before, mut lost) = (0, 0, 0, 0);
        for host in near {
            let before = usize::from(host.rank > me.rank);
            match host.contact {
                FollowState::Follows => {
                    following += 1;
                    following_before += before;
                }
                FollowState::Idle => idle_before += before,
                FollowState::Lost => lost += 1,
            }
        }
        let missing = target.saturating_sub(following);
        if missing == 0 {
            self.missing_since = None;
        }
        match me.contact {
            FollowState::Follows => following_before < target,
            FollowState::Lost => missing > 0,
            FollowState::Idle if missing == 0 => false,
            FollowState::Idle => {
                let since = *self.missing_since.get_or_insert(now);
                // The first host that loses the store is replaced at once: it may be the only one that is cut off.
                let before = idle_before + usize::saturating_sub(lost, 1);
                before < missing + extra_followers(now.saturating_sub(since))
            }
        }
    }
}

/// Additional hosts that may step in after followers have been missing for the given time.
fn extra_followers(missing_for: Duration) -> usize {
    let intervals = missing_for.as_secs_f64() / STEP_IN_INTERVAL.as_secs_f64();
    intervals.sqrt() as usize
}
