//! `GET /v1/entry`: which routers a caller should use.

use super::{Gateway, read};
use crate::{
    entry::{self, MOST, Query},
    error::{Fault, Kind},
    http::Reply,
};

impl Gateway {
    pub(super) fn entry(&self, text: &str) -> Result<Reply, Fault> {
        let query = Query::parse(text, &self.me, rand::random())
            .map_err(|e| Fault::new(Kind::BadRequest, e.to_string()))?;
        let list = entry::order(&read(&self.routers), &query, MOST);
        let addresses: Vec<_> = list.iter().map(|r| r.addr.to_string()).collect();
        let keep_s = self.entry_keep.as_secs();
        Ok(Reply::json(200, &serde_json::json!({ "addresses": addresses, "keep_s": keep_s })))
    }
}
