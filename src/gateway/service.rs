//! `/services/<name>/…`: routes calls to plain services.

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    Gateway,
    attempt::{Backends, ChosenBackend, FindError, MayQueue},
    claim::call::{ClaimOutcome, HeldClaim},
    relay::relay,
    request::RequestInfo,
};
use crate::{
    catalog::{Catalog, Engine, Id, Service},
    claim::{self, AttemptId, ContentDigest, KeyDigest},
    client::Failure,
    error::{ErrorKind, RequestError},
    http::Reply,
    util::now,
};

/// Request headers that are forwarded to the backend server.
const FORWARDED_HEADERS: [&str; 4] = ["accept", "content-type", "idempotency-key", "x-workspace"];

impl Gateway {
    /// Handles a call to a plain service.
    pub(super) async fn service(&self, req: Request<Bytes>, id: &str) -> Result<Reply, RequestError> {
        let path = req.uri().path();
        let rest = path.strip_prefix("/services/").unwrap_or(path);
        let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let cat = self.catalog();
        let service = cat.service(name).ok_or_else(|| {
            RequestError::new(ErrorKind::UnknownService, format!("service {name:?} is not configured"))
        })?;
        let path = match req.uri().query() {
            Some(query) => format!("/{tail}?{query}"),
            None => format!("/{tail}"),
        };
        let info = RequestInfo::call(id, req.headers(), &path, req.body(), now())?;
        if !cat.has_workspace(&info.workspace) {
            return Err(RequestError::new(
                ErrorKind::UnknownWorkspace,
                format!("workspace {:?} is not configured", info.workspace),
            ));
        }
        let in_flight = self.acquire_in_flight(&cat, &info)?;
        let queue = self.admission.queue(&format!("service/{name}"));
        let idempotent = is_idempotent(service, req.method(), &format!("/{tail}"));
        let backends =
            ServiceBackends { gateway: self, cat: &cat, service, req: &req, path: &path, idempotent };
        if idempotent {
            let started = self.run_attempts(&cat, &info, &queue, &backends).await?;
            return Ok(relay(started, in_flight));
        }
        let Some(key) = &info.key else {
            if service.require_key {
                return Err(RequestError::new(ErrorKind::KeyRequired, ErrorKind::KeyRequired.answer().about));
            }
            let started = self.run_attempts(&cat, &info, &queue, &backends).await?;
            return Ok(relay(started, in_flight));
        };
        let claim_req = claim::ClaimRequest {
            key: KeyDigest::new(&info.workspace, name, key),
            content: ContentDigest::new(req.method().as_str(), &path, req.body()),
            attempt: AttemptId(rand::random()),
            lookup_only: false,
        };
        let claim =
            match HeldClaim::acquire(&self.claims, key, claim_req, info.deadline.saturating_sub(now()))
                .await?
            {
                ClaimOutcome::Replay(reply) => return Ok(reply),
                ClaimOutcome::Run(claim) => claim.dispatch(),
            };
        match self.run_attempts(&cat, &info, &queue, &backends).await {
            Ok(started) => Ok(claim.relay(started, in_flight)),
            Err(error) => Err(claim.fail(error)),
        }
    }
}

/// Whether a call is idempotent, so that it may run twice.
///
/// Methods that are not idempotent by definition count as idempotent only on paths that the service's configuration
/// lists. Otherwise a booking on an unlisted path would be made twice when its connection fails. A path that a backend
/// server may interpret differently, such as an escaped one, could hide a non-idempotent call and counts as
/// non-idempotent too.
fn is_idempotent(service: &Service, method: &Method, path: &str) -> bool {
    if service.non_idempotent.iter().any(|prefix| path.starts_with(&**prefix)) {
        return false;
    }
    let unambiguous = !path.contains('%') && !path.contains("//") && !path.contains("/.");
    match *method {
        Method::GET | Method::HEAD | Method::OPTIONS => true,
        Method::PUT | Method::DELETE => unambiguous,
        Method::POST | Method::PATCH => {
            unambiguous && service.idempotent.iter().any(|root| is_under(path, root))
        }
        _ => false,
    }
}

/// Whether `path` equals `root` or is below it: `/cards/find` is below `/cards`, `/cardsets` is not.
fn is_under(path: &str, root: &str) -> bool {
    let rest = path.strip_prefix(root.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Backend servers of a service, for one call.
struct ServiceBackends<'a> {
    gateway: &'a Gateway,
    cat: &'a Catalog,
    service: &'a Service,
    req: &'a Request<Bytes>,
    path: &'a str,
    idempotent: bool,
}

impl Backends for ServiceBackends<'_> {
    async fn find(&self, exclude: &[Id], _: MayQueue) -> Result<ChosenBackend, FindError> {
        let ranked = self.service.ranking.top(rand::random());
        let engine = ranked.iter().find(|key| !exclude.contains(&self.cat.engine(*key).id));
        engine
            .map(|engine| ChosenBackend { engine, guard: None, hint: None, next_router: None })
            .ok_or(FindError::NoneAvailable)
    }

    async fn send(&self, engine: &Engine, attempt_id: &str) -> Result<Response<Incoming>, Failure> {
        let url = format!("http://{}{}", engine.addr, self.path);
        let mut builder =
            Request::builder().method(self.req.method()).uri(url).header("x-request-id", attempt_id);
        for name in FORWARDED_HEADERS {
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
