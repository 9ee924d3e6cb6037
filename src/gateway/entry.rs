//! `GET /v1/entry`: which routers a caller should use.

use super::{Gateway, read};
use crate::{
    entry::{self, Query},
    http::Reply,
};

const KEEP_S: u32 = 30;
const MOST: usize = 8;

impl Gateway {
    pub(super) fn entry(&self, text: &str) -> Reply {
        let field = |name: &str| text.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        let query = Query {
            data_centre: field("data_centre").map_or(self.me.data_centre.clone(), Into::into),
            region: field("region").map_or(self.me.region.clone(), Into::into),
            key: field("key").map(Into::into),
            salt: rand::random(),
        };
        let list = entry::order(&read(&self.routers), &query, MOST);
        let addresses: Vec<_> = list.iter().map(|r| r.addr.to_string()).collect();
        Reply::json(200, &serde_json::json!({ "addresses": addresses, "keep_s": KEEP_S }))
    }
}
