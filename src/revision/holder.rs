//! Which routers hold a watch on the platform.

use crate::util::hash;

/// Watches in a data centre of `members` routers.
///
/// Two, so that the loss of one leaves no gap; one more each time the data centre grows thirty-two-fold.
pub fn quota(members: usize) -> usize {
    members.min(2 + members.max(1).ilog2() as usize / 5)
}

/// Whether `me` is among the holders of its data centre, whose live routers, `me` included, are `members`.
///
/// Rendezvous hashing: routers with nearly equal lists choose nearly equal holders, and a holder that dies is replaced
/// by the next in rank without moving the others.
pub fn holds<'a>(me: &str, members: impl IntoIterator<Item = &'a str>) -> bool {
    let mine = rank(me);
    let (mut ahead, mut total) = (0, 0);
    for name in members {
        total += 1;
        ahead += usize::from(name != me && rank(name) < mine);
    }
    ahead < quota(total)
}

fn rank(name: &str) -> (u64, &str) {
    (hash(("watch", name)), name)
}
