//! `/services/<name>/…`: routes a call to a plain service.

use bytes::Bytes;
use http::Request;

use super::{ATTEMPTS, Gateway, relay::relay};
use crate::{
    client::Failure,
    error::{Fault, Kind},
    http::Reply,
};

impl Gateway {
    pub(super) async fn service(&self, req: Request<Bytes>) -> Result<Reply, Fault> {
        let rest = req.uri().path().trim_start_matches("/services/").to_owned();
        let (name, tail) = rest.split_once('/').unwrap_or((&rest, ""));
        let cat = self.catalog();
        let service = cat
            .service(name)
            .ok_or_else(|| Fault::new(Kind::UnknownService, format!("no service {name:?}")))?;
        for key in service.ranking.top(rand::random()).iter().take(ATTEMPTS) {
            let engine = cat.engine(key);
            match self.send(engine, &format!("/{tail}"), &req, "").await {
                Ok(res) => return Ok(relay(res, None)),
                Err(Failure::Connect) => self.metrics.retry("connect_failed"),
                Err(Failure::Broken) => {
                    return Err(Fault::new(Kind::EngineFailed, "the backend server broke off"));
                }
            }
        }
        Err(Fault::new(Kind::NoEngine, format!("no backend server of {name} can take the request")))
    }
}
