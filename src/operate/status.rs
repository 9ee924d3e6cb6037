//! What a router tells operators of itself and of the others.

use std::net::SocketAddr;

use crate::{
    entry::Router,
    follow::{FollowHandle, Peer},
    revision::{Bad, State},
};

/// A router as another sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RouterStatus {
    /// Name.
    pub name: String,
    /// Data centre in which it stands.
    pub data_centre: String,
    /// Where callers and operators reach it, if that is known.
    pub address: Option<SocketAddr>,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// This router.
    pub router: RouterStatus,
    /// Its configuration.
    pub configuration: State,
    /// Objects that are not valid.
    pub bad: Vec<Bad>,
    /// The other live routers that it knows.
    pub routers: Vec<RouterStatus>,
}

impl Status {
    pub(super) fn of(me: &Router, leaving: bool, follow: &FollowHandle) -> Self {
        let (configuration, bad) = follow.status();
        let router = RouterStatus {
            name: me.name.to_string(),
            data_centre: me.data_centre.to_string(),
            address: Some(me.addr),
            leaving,
        };
        Self { router, configuration, bad, routers: follow.peers().iter().map(RouterStatus::from).collect() }
    }
}

impl From<&Peer> for RouterStatus {
    fn from(peer: &Peer) -> Self {
        Self {
            name: peer.name.to_string(),
            data_centre: peer.data_centre.to_string(),
            address: peer.addr,
            leaving: peer.leaving,
        }
    }
}
