//! Polls the seeds from the settings for their versions until the membership has found the other routers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;

use super::{FollowHandle, Peer, tasks::fetch_delta};
use crate::schema::{
    configuration::Fetch,
    link::{Ping, frame::Body},
};

const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// A fetch that starts at this version and position returns the peer's version without objects.
const PAST_NEWEST: u64 = u64::MAX;

/// Polls all seeds until [`FollowHandle::set_peers`] is called.
///
/// This serves a router that restarts while the platform is down: gossip needs time to find the members, whereas one
/// response from a seed gives the fleet's version immediately. A seed that has responded once stays in the list of
/// peers. If a late response removed it, `apply --wait` would briefly not wait for that router and report success too
/// early.
pub(super) async fn poll(shared: Arc<FollowHandle>, seeds: Vec<SocketAddr>) {
    let mut responded = BTreeMap::new();
    while !seeds.is_empty() && !shared.state().has_members {
        let answers = join_all(seeds.iter().map(|seed| query_seed(&shared, *seed))).await;
        let answered: Vec<_> = answers.into_iter().flatten().collect();
        responded.extend(answered.iter().map(|(peer, _)| (peer.name.clone(), peer.clone())));
        let peers = responded.values().cloned().collect();
        {
            let mut state = shared.state();
            if state.has_members {
                return;
            }
            shared.replace_peers(&mut state, peers);
        }
        for (peer, version) in answered {
            shared.record_peer_version(&peer.name, version);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Queries the router at a seed's address for its name and the version that it serves.
async fn query_seed(shared: &FollowHandle, seed: SocketAddr) -> Option<(Peer, u64)> {
    let Ok(Body::Pong(pong)) = shared.links.call(seed, Body::Ping(Ping {}), POLL_INTERVAL).await else {
        return None;
    };
    let fetch = Fetch { since: PAST_NEWEST, cursor: PAST_NEWEST, whole: false };
    let delta = fetch_delta(&shared.links, seed, fetch).await?;
    let peer = Peer {
        name: pong.name.into(),
        data_centre: pong.data_centre.into(),
        addr: pong.address.parse().ok(),
        peer_addr: seed,
        leaving: false,
    };
    Some((peer, delta.version))
}
