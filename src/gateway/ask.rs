//! What a request asks, from its head.

use std::sync::Arc;

use http::HeaderMap;

use crate::{
    error::{Fault, Kind},
    place::{bound::Work, work::Estimator},
    util::random_id,
};

/// The fields of a chat request that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) workspace: Arc<str>,
    pub(crate) chat: Arc<str>,
    pub(crate) model: Arc<str>,
    pub(crate) hint: Option<Arc<str>>,
    /// Expected tokens, prompt and output.
    pub(crate) work: Work,
}

impl Ask {
    /// Reads the head and the body of a chat request.
    ///
    /// # Errors
    /// When the body is no JSON object.
    pub(crate) fn chat(headers: &HeaderMap, body: &[u8]) -> Result<Self, Fault> {
        let size = body.len();
        let body: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)
            .map_err(|e| Fault::new(Kind::BadRequest, format!("the body is no JSON object: {e}")))?;
        let max_tokens = body.get("max_tokens").and_then(|n| n.as_u64()).map(|n| n as u32);
        Ok(Self {
            workspace: header(headers, "x-workspace").unwrap_or_default().into(),
            chat: header(headers, "x-chat").map_or_else(random_id, str::to_owned).into(),
            model: body.get("model").and_then(|m| m.as_str()).unwrap_or_default().into(),
            hint: header(headers, "x-placement-hint").map(Into::into),
            work: Estimator::default().expect("", "", size, max_tokens),
        })
    }
}

/// A header's value, if it is text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
