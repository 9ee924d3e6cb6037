//! Placement hints: signed tokens, stored by callers, that say which engines cache a chat's context.
//!
//! Routers keep no table of chats. A hint that is missing, forged, outdated or issued for another chat only costs
//! cache reuse.

use std::sync::Arc;

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};

use crate::{engine::ChatId, schema::placement as raw};

const KEY_CONTEXT: &str = "cranberrytally placement hint 1";
const VERSION: u32 = 1;
const MAC_LEN: usize = 16;
/// Longer hints are rejected without decoding, so that a caller can't burn router CPU.
const MAX_ENCODED_LEN: usize = 1024;
/// Maximum number of copies in a hint: the engine that answered last and, if the chat moved, the one before.
pub const MAX_COPIES: usize = 2;

/// A copy of a chat's context in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedCopy {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Random number that the engine chose when its process started.
    pub start: u64,
    /// Tokens cached.
    pub tokens: u32,
}

/// Home data centre of a chat and the engines that cache its context.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// Data centre in which the chat was first placed; every router starts the search for an engine there.
    pub home: Arc<str>,
    /// Cached copies, the most recent (and so the longest) first.
    pub copies: Vec<CachedCopy>,
}

impl Hint {
    /// Adds `copy`, made by the latest answer, at the front and drops the copies beyond [`MAX_COPIES`].
    pub fn with_copy(mut self, copy: CachedCopy) -> Self {
        self.copies.retain(|c| c.engine != copy.engine);
        self.copies.insert(0, copy);
        self.copies.truncate(MAX_COPIES);
        self
    }
}

/// Key that authenticates hints.
#[derive(Clone)]
pub struct HintKey([u8; 32]);

impl std::fmt::Debug for HintKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HintKey")
    }
}

impl HintKey {
    /// Derives the key from the fleet's shared key.
    pub fn new(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }

    /// Encodes and signs a hint for `chat`.
    pub fn sign(&self, chat: ChatId<'_>, hint: &Hint) -> String {
        let copies = hint.copies.iter().map(|c| raw::Copy {
            engine: c.engine.to_string(),
            start: c.start,
            tokens: c.tokens,
        });
        let raw = raw::Hint { version: VERSION, home: hint.home.to_string(), copies: copies.collect() };
        let mut buf = postcard::to_stdvec(&raw).unwrap_or_default();
        let tag = self.mac(chat, &buf);
        buf.extend_from_slice(&tag.as_bytes()[..MAC_LEN]);
        URL_SAFE_NO_PAD.encode(buf)
    }

    /// Verifies and decodes a hint for `chat`; `None` if it is forged, of another version, or for another chat or
    /// workspace.
    pub fn verify(&self, chat: ChatId<'_>, text: &str) -> Option<Hint> {
        if text.len() > MAX_ENCODED_LEN {
            return None;
        }
        let buf = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (body, tag) = buf.split_at_checked(buf.len().checked_sub(MAC_LEN)?)?;
        // Hashing both tags makes the comparison time independent of the expected tag.
        if blake3::hash(&self.mac(chat, body).as_bytes()[..MAC_LEN]) != blake3::hash(tag) {
            return None;
        }
        let raw: raw::Hint = postcard::from_bytes(body).ok()?;
        if raw.version != VERSION {
            return None;
        }
        let copies = raw.copies.into_iter().take(MAX_COPIES).map(|c| CachedCopy {
            engine: c.engine.into(),
            start: c.start,
            tokens: c.tokens,
        });
        Some(Hint { home: raw.home.into(), copies: copies.collect() })
    }

    fn mac(&self, id: ChatId<'_>, body: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        // Length prefixes make the encoding of the two names unambiguous.
        for name in [id.workspace, id.chat] {
            hasher.update(&(name.len() as u64).to_le_bytes()).update(name.as_bytes());
        }
        hasher.update(body);
        hasher.finalize()
    }
}
