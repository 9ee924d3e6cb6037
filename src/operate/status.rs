//! Status report of a router for operators.

use std::net::SocketAddr;

use crate::{
    entry::Router,
    follow::{FollowHandle, Peer},
    revision::{Bad, State},
};

/// State of a router as reported by itself or by another router.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RouterStatus {
    /// Name.
    pub name: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Address for callers and operators, if it is known.
    pub address: Option<SocketAddr>,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Response body of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// This router.
    pub router: RouterStatus,
    /// State of its configuration.
    pub configuration: State,
    /// Objects that are not valid.
    pub bad: Vec<Bad>,
    /// The other live routers known to it.
    pub routers: Vec<RouterStatus>,
}

impl Status {
    pub(super) fn new(me: &Router, leaving: bool, follow: &FollowHandle) -> Self {
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
