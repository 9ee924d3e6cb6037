//! `GET /v1/entry`: lists the routers that a caller should use.

use std::net::SocketAddr;

use super::{Gateway, read};
use crate::{
    engine::ChatId,
    entry::{self, MAX_ROUTERS, Query},
    error::{ErrorKind, RequestError},
    http::Reply,
    place::search,
    util::now,
};

impl Gateway {
    /// Answers an entry query.
    pub(super) fn entry(&self, text: &str) -> Result<Reply, RequestError> {
        let query = Query::parse(text, &self.me, rand::random())
            .map_err(|e| RequestError::new(ErrorKind::BadRequest, e.to_string()))?;
        let mut list = entry::rank_routers(&read(&self.routers), &query, MAX_ROUTERS);
        let owner = self.first_owner(&query);
        if let Some(at) = list.iter().position(|r| Some(r.addr) == owner) {
            list[..=at].rotate_right(1);
        }
        let addresses: Vec<_> = list.iter().map(|r| r.addr.to_string()).collect();
        let keep_s = self.entry_ttl.as_secs();
        Ok(Reply::json(200, &serde_json::json!({ "addresses": addresses, "keep_s": keep_s })))
    }

    /// Address of the router that owns the first-choice engine of the query's chat. A caller that connects to that
    /// router saves the reservation at another router for its first request.
    fn first_owner(&self, query: &Query) -> Option<SocketAddr> {
        if query.data_centre != self.me.data_centre {
            return None;
        }
        let chat = ChatId { workspace: query.workspace.as_deref()?, chat: query.key.as_deref()? };
        let cat = self.catalog();
        let pool = cat.pool(chat.workspace, query.model.as_deref().unwrap_or_default()).ok()?;
        let mut placer = self.placement.placer();
        search::first_owner(&mut placer, &cat, pool, chat.hash(), now())
            .map(|m| m.addr)
            .or(Some(self.me.addr))
    }
}
