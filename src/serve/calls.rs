//! Handler for calls from other routers.

use std::sync::Arc;

use crate::{
    entry::Router,
    follow,
    gateway::Gateway,
    link::Serve,
    schema::link::{Pong, Refused, frame::Body},
};

/// Handles calls from other routers.
pub(super) struct CallHandler {
    pub(super) me: Router,
    pub(super) follow: Arc<follow::FollowHandle>,
    pub(super) gateway: Arc<Gateway>,
}

impl Serve for CallHandler {
    async fn serve(&self, body: Body) -> Body {
        match body {
            Body::Ping(_) => Body::Pong(self.pong()),
            Body::Fetch(fetch) => Body::Delta(self.follow.serve_fetch(fetch).await),
            Body::Claim(call) => Body::ClaimAnswer(self.gateway.serve_claim(call).await),
            body => self
                .gateway
                .serve_placement(&body)
                .or_else(|| self.gateway.serve_suspects(&body))
                .unwrap_or_else(unknown_call),
        }
    }
}

fn unknown_call() -> Body {
    Body::Refused(Refused { reason: "no such call".into() })
}

impl CallHandler {
    fn pong(&self) -> Pong {
        Pong {
            name: self.me.name.to_string(),
            data_centre: self.me.data_centre.to_string(),
            address: self.me.addr.to_string(),
        }
    }
}
