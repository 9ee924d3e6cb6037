//! Chooses the routers that hold a watch on the platform.

use crate::util::hash;

/// Number of watches in a data centre of `members` routers.
///
/// Two, so that losing one leaves no gap, plus one each time the data centre grows by a factor of 32.
pub fn watch_count(members: usize) -> usize {
    members.min(2 + members.max(1).ilog2() as usize / 5)
}

/// Whether `me` is a holder in its data centre, whose live routers, including `me`, are `members`.
///
/// Uses rendezvous hashing: routers with nearly equal member lists choose nearly equal holders, and a holder that dies
/// is replaced by the next in rank without moving the others.
pub fn holds<'a>(me: &str, members: impl IntoIterator<Item = &'a str>) -> bool {
    let own_rank = rank(me);
    let (mut ahead, mut total) = (0, 0);
    for name in members {
        total += 1;
        ahead += usize::from(name != me && rank(name) < own_rank);
    }
    ahead < watch_count(total)
}

fn rank(name: &str) -> (u64, &str) {
    (hash(("watch", name)), name)
}
