//! Resume tokens: signed tokens with which a caller resumes a stream at any router after its router failed.

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};

use crate::schema::stream::ResumeToken;

const KEY_CONTEXT: &str = "cranberrytally resume token 1";
const MAC_LEN: usize = 32;

/// Why a token is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadToken {
    /// The token was not signed by a router of this fleet.
    Forged,
    /// The token has expired.
    Expired,
}

/// Signs and verifies tokens with a key derived from the fleet's shared key.
#[derive(Clone)]
pub struct TokenKey([u8; 32]);

impl std::fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenKey")
    }
}

impl TokenKey {
    /// Derives the key from the fleet's shared key.
    pub fn new(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }

    /// Signs a token and encodes it for a header.
    pub fn sign(&self, token: &ResumeToken) -> String {
        let body = postcard::to_stdvec(token).unwrap_or_default();
        let mut bytes = blake3::keyed_hash(&self.0, &body).as_bytes().to_vec();
        bytes.extend_from_slice(&body);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies and decodes a token.
    ///
    /// # Errors
    /// When the token is forged or has expired at `now_ms`.
    pub fn verify(&self, text: &str, now_ms: u64) -> Result<ResumeToken, BadToken> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| BadToken::Forged)?;
        let (tag, body) = bytes.split_at_checked(MAC_LEN).ok_or(BadToken::Forged)?;
        let tag: [u8; MAC_LEN] = tag.try_into().map_err(|_| BadToken::Forged)?;
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(&self.0, body) != blake3::Hash::from_bytes(tag) {
            return Err(BadToken::Forged);
        }
        let token: ResumeToken = postcard::from_bytes(body).map_err(|_| BadToken::Forged)?;
        if token.expires_ms < now_ms {
            return Err(BadToken::Expired);
        }
        Ok(token)
    }
}
