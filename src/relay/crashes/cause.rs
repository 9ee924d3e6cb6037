//! Possible causes of crashes: the whole content of a request, and each shared part of its prompt.

use std::fmt;

use crate::{
    relay::{
        place::shared,
        request::{Part, Request},
    },
    util::hash,
};

/// Maximum number of parts of a request that are considered. Longer prompts are not sent by callers that keep within the
/// usual limit on headers.
const MAX_PARTS: usize = 64;

/// Identifies a possible cause. A part is the same cause only for one workspace, service and model, so that no workspace
/// can name another one's parts. The hash is cryptographic, so that none can craft the key of another one's part either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CauseKey(pub u64);

impl fmt::Display for CauseKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The possible causes in one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Causes {
    /// The whole content; `None` where only parts are of interest.
    pub content: Option<CauseKey>,
    /// The shared parts of the prompt, in order.
    pub parts: Vec<CauseKey>,
    /// Hash of the service.
    pub service: u32,
    /// Hash of the workspace, the service and the model. The hosts that collect what is known of a cause depend on it.
    pub scope: u64,
}

impl Causes {
    /// The parts of a request without its content.
    pub fn parts_of(req: &Request) -> Self {
        let workspace = req.caller.as_ref().map_or("", |caller| &*caller.workspace);
        let mut scope = blake3::Hasher::new();
        for name in [workspace, &*req.service, &*req.model] {
            scope.update(&(name.len() as u64).to_le_bytes()).update(name.as_bytes());
        }
        let key = |id: u64| CauseKey(first_bytes(scope.clone().update(&id.to_le_bytes())));
        Self {
            content: None,
            parts: shared(&req.parts).iter().take(MAX_PARTS).map(|part| key(part.id)).collect(),
            service: service_hash(&req.service),
            scope: first_bytes(&scope),
        }
    }

    /// The shared parts of a request's prompt, each with its key.
    pub fn named_parts(req: &Request) -> impl Iterator<Item = (&Part, CauseKey)> {
        shared(&req.parts).iter().zip(Self::parts_of(req).parts)
    }

    /// The content and the parts of a request.
    pub fn of(req: &Request) -> Self {
        Self { content: Some(CauseKey(req.fingerprint())), ..Self::parts_of(req) }
    }

    /// All keys.
    pub fn iter(&self) -> impl Iterator<Item = CauseKey> {
        self.content.into_iter().chain(self.parts.iter().copied())
    }

    /// Whether this key is among them.
    pub fn contains(&self, key: CauseKey) -> bool {
        self.iter().any(|other| other == key)
    }
}

/// Hash of a service's name.
pub fn service_hash(service: &str) -> u32 {
    hash(service) as u32
}

fn first_bytes(hasher: &blake3::Hasher) -> u64 {
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
