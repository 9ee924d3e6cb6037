//! `/services/<name>/…`: routes a call to a plain service.

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    Gateway,
    ask::Ask,
    attempt::{Backends, Found, Queued, Unfound},
    claim::call::{Answer, Claim},
    relay::relay,
};
use crate::{
    catalog::{Catalog, Engine, Id, Service},
    claim::{self, AttemptId, ContentDigest, KeyDigest},
    client::Failure,
    error::{ErrorKind, RequestError},
    http::Reply,
    util::now,
};

/// Headers of the caller that a backend server gets.
const FORWARDED: [&str; 4] = ["accept", "content-type", "idempotency-key", "x-workspace"];

impl Gateway {
    pub(super) async fn service(&self, req: Request<Bytes>, id: &str) -> Result<Reply, RequestError> {
        let path = req.uri().path();
        let rest = path.strip_prefix("/services/").unwrap_or(path);
        let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let cat = self.catalog();
        let service = cat
            .service(name)
            .ok_or_else(|| RequestError::new(ErrorKind::UnknownService, format!("no service {name:?}")))?;
        let path = match req.uri().query() {
            Some(query) => format!("/{tail}?{query}"),
            None => format!("/{tail}"),
        };
        let ask = Ask::call(id, req.headers(), &path, req.body(), now())?;
        if !cat.has_workspace(&ask.workspace) {
            return Err(RequestError::new(
                ErrorKind::UnknownWorkspace,
                format!("no workspace {:?}", ask.workspace),
            ));
        }
        let entered = self.enter(&cat, &ask)?;
        let queue = self.admission.queue(&format!("service/{name}"));
        let idempotent = may_repeat(service, req.method(), &format!("/{tail}"));
        let servers = Servers { gateway: self, cat: &cat, service, req: &req, path: &path, idempotent };
        if idempotent {
            let started = self.attempt(&cat, &ask, &queue, &servers).await?;
            return Ok(relay(started, entered));
        }
        let Some(key) = &ask.key else {
            if service.require_key {
                return Err(RequestError::new(ErrorKind::KeyRequired, ErrorKind::KeyRequired.answer().about));
            }
            let started = self.attempt(&cat, &ask, &queue, &servers).await?;
            return Ok(relay(started, entered));
        };
        let wanted = claim::ClaimRequest {
            key: KeyDigest::new(&ask.workspace, name, key),
            content: ContentDigest::new(req.method().as_str(), &path, req.body()),
            attempt: AttemptId(rand::random()),
            lookup_only: false,
        };
        let claim = match Claim::ask(&self.claims, key, wanted, ask.deadline.saturating_sub(now())).await? {
            Answer::Replay(reply) => return Ok(reply),
            Answer::Run(claim) => claim.dispatch(),
        };
        match self.attempt(&cat, &ask, &queue, &servers).await {
            Ok(started) => Ok(claim.relay(started, entered)),
            Err(fault) => Err(claim.fail(fault)),
        }
    }
}

/// Whether a call may run twice.
///
/// A booking on a path that nobody has listed would otherwise be made twice when its connection breaks, so a method
/// that is not idempotent by its definition is repeated only where the service's configuration allows it. A path
/// that a backend server may read differently than it stands here, such as an escaped one, could hide a call that may
/// not be repeated, and is not repeated either.
fn may_repeat(service: &Service, method: &Method, path: &str) -> bool {
    if service.non_idempotent.iter().any(|prefix| path.starts_with(&**prefix)) {
        return false;
    }
    let plain = !path.contains('%') && !path.contains("//") && !path.contains("/.");
    match *method {
        Method::GET | Method::HEAD | Method::OPTIONS => true,
        Method::PUT | Method::DELETE => plain,
        Method::POST | Method::PATCH => plain && service.idempotent.iter().any(|root| lies_under(path, root)),
        _ => false,
    }
}

/// Whether `path` is `root` or lies under it. A permission for `/cards` is none for `/cardsets`.
fn lies_under(path: &str, root: &str) -> bool {
    let rest = path.strip_prefix(root.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The backend servers of a service, for one call.
struct Servers<'a> {
    gateway: &'a Gateway,
    cat: &'a Catalog,
    service: &'a Service,
    req: &'a Request<Bytes>,
    path: &'a str,
    idempotent: bool,
}

impl Backends for Servers<'_> {
    async fn find(&self, exclude: &[Id], _: Queued) -> Result<Found, Unfound> {
        let top = self.service.ranking.top(rand::random());
        let engine = top.iter().find(|key| !exclude.contains(&self.cat.engine(*key).id));
        engine.map(|engine| Found { engine, slot: None, hint: None, router: None }).ok_or(Unfound::NoneInUse)
    }

    async fn send(&self, engine: &Engine, request: &str) -> Result<Response<Incoming>, Failure> {
        let url = format!("http://{}{}", engine.addr, self.path);
        let mut builder =
            Request::builder().method(self.req.method()).uri(url).header("x-request-id", request);
        for name in FORWARDED {
            if let Some(value) = self.req.headers().get(name) {
                builder = builder.header(name, value);
            }
        }
        let out = builder.body(Full::new(self.req.body().clone())).map_err(|_| Failure::Connect)?;
        self.gateway.client.send(out).await
    }

    fn idempotent(&self) -> bool {
        self.idempotent
    }
}
