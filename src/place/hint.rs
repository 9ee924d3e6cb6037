//! Placement hints, carried by callers: where a chat's context is cached.
//!
//! No router keeps a table of chats. A hint that is missing, forged, old or another chat's only costs reuse.

use std::sync::Arc;

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};

use crate::{engine::ChatId, schema::placement as raw};

const KEY_CONTEXT: &str = "cranberrytally placement hint 1";
const VERSION: u32 = 1;
const MAC: usize = 16;
/// Longer text is not decoded, so that a caller can't make routers work.
const MAX_TEXT: usize = 1024;
/// Copies named in a hint: the engine that answered last, and the one before when the chat moved.
pub const MAX_COPIES: usize = 2;

/// A copy of a chat's context in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedCopy {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Number that the engine drew when it started.
    pub start: u64,
    /// Tokens cached.
    pub tokens: u32,
}

/// Where a chat was first placed and where its context is cached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// Data centre in which the chat was first placed; its rank starts there on every router.
    pub home: Arc<str>,
    /// Copies, the fullest first.
    pub copies: Vec<CachedCopy>,
}

impl Hint {
    /// The hint after `copy` was made by an answer: it comes first, and the fullest other copy is kept.
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

    /// Encodes a hint for `chat`.
    pub fn seal(&self, chat: ChatId<'_>, hint: &Hint) -> String {
        let copies = hint.copies.iter().map(|c| raw::Copy {
            engine: c.engine.to_string(),
            start: c.start,
            tokens: c.tokens,
        });
        let raw = raw::Hint { version: VERSION, home: hint.home.to_string(), copies: copies.collect() };
        let mut buf = postcard::to_stdvec(&raw).unwrap_or_default();
        let tag = self.mac(chat, &buf);
        buf.extend_from_slice(&tag.as_bytes()[..MAC]);
        URL_SAFE_NO_PAD.encode(buf)
    }

    /// Decodes a hint of `chat`; `None` when it is forged, of another version or of another chat or workspace.
    pub fn open(&self, chat: ChatId<'_>, text: &str) -> Option<Hint> {
        if text.len() > MAX_TEXT {
            return None;
        }
        let buf = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (body, tag) = buf.split_at_checked(buf.len().checked_sub(MAC)?)?;
        // Comparing hashes instead of the tags leaks nothing about the right tag by its time.
        if blake3::hash(&self.mac(chat, body).as_bytes()[..MAC]) != blake3::hash(tag) {
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
        // With its length before each, no two pairs of names make the same bytes.
        for name in [id.workspace, id.chat] {
            hasher.update(&(name.len() as u64).to_le_bytes()).update(name.as_bytes());
        }
        hasher.update(body);
        hasher.finalize()
    }
}
