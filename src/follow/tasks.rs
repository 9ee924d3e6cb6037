//! Tasks that perform the follower's calls to the platform and to peers.

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
/// A watch without events for this long is reopened, since its connection may have died without a packet. It is half
/// the time within which a change must be in force on all routers.
const WATCH_IDLE: Duration = Duration::from_secs(6);

pub(super) async fn list(shared: Arc<FollowHandle>) {
    let list = match shared.platform.list().await {
        Ok(list) => Some(list),
        Err(e) => {
            spdlog::warn!("could not list the configuration: {e:#}");
            None
        }
    };
    // Processing the list takes tens of milliseconds in a large fleet, which would block an async worker thread.
    let process = move || shared.process_input(|f, now, rng| f.listed(now, list, rng));
    let _ = tokio::task::spawn_blocking(process).await;
}

pub(super) async fn watch(shared: Arc<FollowHandle>, from: Version) {
    let mut watch = match shared.platform.watch(from).await {
        Ok(OpenedWatch::Open(watch)) => watch,
        Ok(OpenedWatch::Expired) => return shared.process_update(|f, now, _| f.watch_expired(now)),
        Err(e) => {
            spdlog::warn!("could not watch the configuration: {e:#}");
            return shared.process_update(|f, now, rng| f.watch_ended(now, rng));
        }
    };
    shared.process_update(|f, now, _| f.watch_opened(now));
    loop {
        match watch.next_within(WATCH_IDLE).await {
            Ok(NextEvent::Changed(event)) => shared.process_input(|f, now, _| f.watch_event(now, event)),
            Ok(NextEvent::Ended) => break,
            Ok(NextEvent::Idle) => {
                watch.close();
                return shared.process_update(|f, now, _| f.watch_idle(now));
            }
            Err(e) => {
                spdlog::warn!("the configuration watch failed: {e:#}");
                break;
            }
        }
    }
    watch.close();
    shared.process_update(|f, now, rng| f.watch_ended(now, rng));
}

pub(super) async fn fetch_from(shared: Arc<FollowHandle>, peer: Arc<str>, fetch: Fetch) {
    let addr = shared.state().peers.get(&peer).map(|p| p.peer_addr);
    let delta = match addr {
        Some(addr) => fetch_delta(&shared.links, addr, fetch).await,
        None => None,
    };
    // Merging the changes may take as long as processing a list.
    let process = move || shared.process_input(|f, now, rng| f.fetched(now, &peer, delta, rng));
    let _ = tokio::task::spawn_blocking(process).await;
}

pub(super) async fn fetch_delta(links: &Links, addr: SocketAddr, fetch: Fetch) -> Option<Delta> {
    match links.call(addr, Body::Fetch(fetch), FETCH_TIMEOUT).await {
        Ok(Body::Delta(delta)) => Some(delta),
        Ok(_) => None,
        Err(e) => {
            spdlog::debug!("could not fetch the configuration: {e:#}");
            None
        }
    }
}
