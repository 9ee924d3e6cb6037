//! Parses the head and body of a request into the fields that routing needs.

use std::{sync::Arc, time::Duration};

use http::HeaderMap;

use crate::{
    admit::{Demand, Priority},
    engine::ChatId,
    error::{ErrorKind, RequestError},
    place::{bound::Work, work::Estimator},
    suspect::Fingerprint,
    util::{Instant, random_id},
};

/// Time for the whole answer if the request has no `x-deadline-ms` header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_PRIOR_ATTEMPTS: u64 = 1_000;
/// Maximum length of a header value other than the placement hint.
const MAX_HEADER_VALUE_BYTES: usize = 256;
const MAX_HINT_BYTES: usize = 4096;

/// Fields of a request that admission, placement and dispatch need.
#[derive(Clone, Debug)]
pub(crate) struct RequestInfo {
    /// Random ID of the request, returned with the answer.
    pub(crate) id: Arc<str>,
    pub(crate) workspace: Arc<str>,
    pub(crate) chat: Arc<str>,
    /// Requested model; empty for a call to a plain service.
    pub(crate) model: Arc<str>,
    pub(crate) hint: Option<Arc<str>>,
    /// Expected tokens, prompt plus output.
    pub(crate) work: Work,
    pub(crate) priority: Priority,
    /// Time by which the whole answer is due.
    pub(crate) deadline: Instant,
    /// Attempts made before the request reached this router.
    pub(crate) prior_attempts: u32,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) content: Fingerprint,
    /// Whether the request goes to a model engine rather than to a plain service.
    pub(crate) is_chat: bool,
}

impl RequestInfo {
    /// Parses a chat request.
    ///
    /// # Errors
    /// When a header has an invalid value or the body is not a JSON object.
    pub(crate) fn chat(
        id: &str,
        headers: &HeaderMap,
        body: &[u8],
        now: Instant,
    ) -> Result<Self, RequestError> {
        let size = body.len();
        let body: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)
            .map_err(|e| bad_request(format!("the body is not a JSON object: {e}")))?;
        let model = match body.get("model") {
            Some(serde_json::Value::String(model)) => model.as_str(),
            None => "",
            Some(_) => return Err(bad_request("`model` is not a string")),
        };
        let max_tokens = body.get("max_tokens").and_then(|n| n.as_u64());
        let max_tokens = max_tokens.map(|n| u32::try_from(n).unwrap_or(u32::MAX));
        let work = Estimator::default().estimate("", "", size, max_tokens);
        Ok(Self {
            is_chat: true,
            ..Self::from_headers(id, headers, now, model.into(), work, Fingerprint::chat(&body))?
        })
    }

    /// Parses a call to a plain service.
    ///
    /// # Errors
    /// When a header has an invalid value.
    pub(crate) fn call(
        id: &str,
        headers: &HeaderMap,
        path: &str,
        body: &[u8],
        now: Instant,
    ) -> Result<Self, RequestError> {
        let work = Estimator::default().estimate("", "", body.len(), None);
        Self::from_headers(id, headers, now, "".into(), work, Fingerprint::call(path, body))
    }

    fn from_headers(
        id: &str,
        headers: &HeaderMap,
        now: Instant,
        model: Arc<str>,
        work: Work,
        content: Fingerprint,
    ) -> Result<Self, RequestError> {
        let deadline = number_header(headers, "x-deadline-ms", 1..=MAX_DEADLINE_MS)?;
        let deadline = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        Ok(Self {
            id: id.into(),
            workspace: text_header(headers, "x-workspace", MAX_HEADER_VALUE_BYTES)?
                .unwrap_or_default()
                .into(),
            chat: text_header(headers, "x-chat", MAX_HEADER_VALUE_BYTES)?
                .map_or_else(random_id, str::to_owned)
                .into(),
            model,
            hint: text_header(headers, "x-placement-hint", MAX_HINT_BYTES)?.map(Into::into),
            work,
            priority: priority(headers)?,
            deadline: now + deadline,
            prior_attempts: number_header(headers, "x-attempt", 0..=MAX_PRIOR_ATTEMPTS)?.unwrap_or(0) as u32,
            key: text_header(headers, "idempotency-key", MAX_HEADER_VALUE_BYTES)?.map(Into::into),
            content,
            is_chat: false,
        })
    }

    /// Identifies the chat across workspaces.
    pub(crate) fn chat_id(&self) -> ChatId<'_> {
        ChatId { workspace: &self.workspace, chat: &self.chat }
    }

    /// Properties of the request that admission depends on.
    pub(crate) fn demand(&self) -> Demand {
        Demand {
            workspace: self.workspace.clone(),
            priority: self.priority,
            deadline: self.deadline,
            work: u32::try_from(self.work).unwrap_or(u32::MAX),
        }
    }
}

/// Value of the `x-priority` header.
fn priority(headers: &HeaderMap) -> Result<Priority, RequestError> {
    let Some(name) = text_header(headers, "x-priority", MAX_HEADER_VALUE_BYTES)? else {
        return Ok(Priority::default());
    };
    Priority::parse(name).ok_or_else(|| {
        let allowed = Priority::ALL.map(Priority::as_str).join(", ");
        bad_request(format!("header x-priority is {name:?}, but must be one of {allowed}"))
    })
}

/// Value of a header that must be a number in `range`.
fn number_header(
    headers: &HeaderMap,
    name: &str,
    range: std::ops::RangeInclusive<u64>,
) -> Result<Option<u64>, RequestError> {
    let Some(value) = text_header(headers, name, MAX_HEADER_VALUE_BYTES)? else { return Ok(None) };
    let parsed = value.parse().ok().filter(|n| range.contains(n));
    let (min, max) = (range.start(), range.end());
    let number = parsed.ok_or_else(|| {
        bad_request(format!("header {name} is {value:?}, but must be a number from {min} to {max}"))
    })?;
    Ok(Some(number))
}

/// Value of a header that may occur at most once and has at most `max_bytes` bytes; `None` if absent or empty.
fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
    max_bytes: usize,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_request(format!("header {name} is given more than once")));
    }
    let value = value.to_str().map_err(|_| bad_request(format!("header {name} is not plain text")))?;
    if value.len() > max_bytes {
        return Err(bad_request(format!("header {name} is longer than {max_bytes} bytes")));
    }
    Ok(Some(value).filter(|v| !v.is_empty()))
}

fn bad_request(message: impl Into<String>) -> RequestError {
    RequestError::new(ErrorKind::BadRequest, message)
}

/// Value of a header, if it is text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
