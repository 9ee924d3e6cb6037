//! One task for each call that the follower asks for.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::FollowHandle;
use crate::{
    link::Links,
    objects::{NextEvent, OpenedWatch, Version},
    schema::{
        configuration::{Delta, Fetch},
        link::frame::Body,
    },
};

const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// A watch on which nothing came for so long is opened anew, as its connection may have died without a packet: half of the time
/// within which a change is in force everywhere.
const WATCH_IDLE: Duration = Duration::from_secs(6);

pub(super) async fn list(shared: Arc<FollowHandle>) {
    let list = match shared.platform.list().await {
        Ok(list) => Some(list),
        Err(e) => {
            spdlog::warn!("could not list the configuration: {e:#}");
            None
        }
    };
    // Taking a whole list takes tens of milliseconds in a large fleet, as may the changes of a peer.
    let take = move || shared.with(|f, now, rng| f.listed(now, list, rng));
    let _ = tokio::task::spawn_blocking(take).await;
}

pub(super) async fn watch(shared: Arc<FollowHandle>, from: Version) {
    let mut open = match shared.platform.watch(from).await {
        Ok(OpenedWatch::Open(open)) => open,
        Ok(OpenedWatch::Expired) => return shared.note(|f, now, _| f.watch_expired(now)),
        Err(e) => {
            spdlog::warn!("could not watch the configuration: {e:#}");
            return shared.note(|f, now, rng| f.watch_ended(now, rng));
        }
    };
    shared.note(|f, now, _| f.watch_opened(now));
    loop {
        match open.next_within(WATCH_IDLE).await {
            Ok(NextEvent::Changed(event)) => shared.with(|f, now, _| f.watch_event(now, event)),
            Ok(NextEvent::Ended) => break,
            Ok(NextEvent::Idle) => {
                open.close();
                return shared.note(|f, now, _| f.watch_idle(now));
            }
            Err(e) => {
                spdlog::warn!("the configuration watch broke: {e:#}");
                break;
            }
        }
    }
    open.close();
    shared.note(|f, now, rng| f.watch_ended(now, rng));
}

pub(super) async fn fetch_from(shared: Arc<FollowHandle>, peer: Arc<str>, fetch: Fetch) {
    let addr = shared.state().peers.get(&peer).map(|p| p.peer_addr);
    let delta = match addr {
        Some(addr) => call(&shared.links, addr, fetch).await,
        None => None,
    };
    let take = move || shared.with(|f, now, rng| f.fetched(now, &peer, delta, rng));
    let _ = tokio::task::spawn_blocking(take).await;
}

pub(super) async fn call(links: &Links, addr: SocketAddr, fetch: Fetch) -> Option<Delta> {
    match links.call(addr, Body::Fetch(fetch), FETCH_TIMEOUT).await {
        Ok(Body::Delta(delta)) => Some(delta),
        Ok(_) => None,
        Err(e) => {
            spdlog::debug!("could not fetch the configuration: {e:#}");
            None
        }
    }
}
