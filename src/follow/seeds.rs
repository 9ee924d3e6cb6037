//! Asks the settings' seeds for their versions until the membership knows the other routers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;

use super::{FollowHandle, Peer, tasks::call};
use crate::schema::{
    configuration::Fetch,
    link::{Ping, frame::Body},
};

const PERIOD: Duration = Duration::from_secs(1);
/// A fetch from here on gives a version without any object.
const NOTHING: u64 = u64::MAX;

/// Asks all seeds, again and again, until [`FollowHandle::set_peers`] is called.
///
/// Guards against a restart while the platform is down: gossip takes a while to tell who is there, and an answer of one
/// seed tells the fleet's version at once. A seed that answered once stays listed: were one that is late this time left
/// out, `apply --wait` would for a moment not wait for it and still report success.
pub(super) async fn ask(shared: Arc<FollowHandle>, seeds: Vec<SocketAddr>) {
    let mut known = BTreeMap::new();
    while !seeds.is_empty() && !shared.state().has_members {
        let answers = join_all(seeds.iter().map(|seed| version_of(&shared, *seed))).await;
        let answered: Vec<_> = answers.into_iter().flatten().collect();
        known.extend(answered.iter().map(|(peer, _)| (peer.name.clone(), peer.clone())));
        let peers = known.values().cloned().collect();
        {
            let mut state = shared.state();
            if state.has_members {
                return;
            }
            shared.take_peers(&mut state, peers);
        }
        for (peer, version) in answered {
            shared.record_peer_version(&peer.name, version);
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// Who answers at a seed's address, and the version that it serves.
async fn version_of(shared: &FollowHandle, seed: SocketAddr) -> Option<(Peer, u64)> {
    let Ok(Body::Pong(pong)) = shared.links.call(seed, Body::Ping(Ping {}), PERIOD).await else {
        return None;
    };
    let fetch = Fetch { since: NOTHING, cursor: NOTHING, whole: false };
    let delta = call(&shared.links, seed, fetch).await?;
    let peer = Peer {
        name: pong.name.into(),
        data_centre: pong.data_centre.into(),
        addr: pong.address.parse().ok(),
        peer_addr: seed,
        leaving: false,
    };
    Some((peer, delta.version))
}
