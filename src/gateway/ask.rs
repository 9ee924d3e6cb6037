//! What a request asks, from its head and body.

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

const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const MOST_DEADLINE_MS: u64 = 600_000;
const MOST_ATTEMPTS: u64 = 1_000;
/// Longest identifier that a header may carry, in bytes.
const MOST_ID: usize = 256;
const MOST_HINT: usize = 4096;

/// The fields of a request that the request path needs.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// Name of the request, random and so its own; the answer carries it.
    pub(crate) id: Arc<str>,
    pub(crate) workspace: Arc<str>,
    pub(crate) chat: Arc<str>,
    /// Model; empty for a call to a plain service.
    pub(crate) model: Arc<str>,
    pub(crate) hint: Option<Arc<str>>,
    /// Expected tokens, prompt and output.
    pub(crate) work: Work,
    pub(crate) priority: Priority,
    /// When the whole answer is due.
    pub(crate) deadline: Instant,
    /// Attempts made before this router got the request.
    pub(crate) attempts: u32,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) content: Fingerprint,
    /// Whether it goes to a model engine, not to a plain service.
    pub(crate) is_chat: bool,
}

impl Ask {
    /// Reads the head and the body of a chat request.
    ///
    /// # Errors
    /// When a header has no allowed value or the body is no JSON object.
    pub(crate) fn chat(
        id: &str,
        headers: &HeaderMap,
        body: &[u8],
        now: Instant,
    ) -> Result<Self, RequestError> {
        let size = body.len();
        let body: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(body).map_err(|e| bad(format!("the body is no JSON object: {e}")))?;
        let model = match body.get("model") {
            Some(serde_json::Value::String(model)) => model.as_str(),
            None => "",
            Some(_) => return Err(bad("`model` is no text")),
        };
        let max_tokens = body.get("max_tokens").and_then(|n| n.as_u64());
        let max_tokens = max_tokens.map(|n| u32::try_from(n).unwrap_or(u32::MAX));
        let work = Estimator::default().estimate("", "", size, max_tokens);
        Ok(Self {
            is_chat: true,
            ..Self::read(id, headers, now, model.into(), work, Fingerprint::chat(&body))?
        })
    }

    /// Reads the head of a call to a plain service.
    ///
    /// # Errors
    /// When a header has no allowed value.
    pub(crate) fn call(
        id: &str,
        headers: &HeaderMap,
        path: &str,
        body: &[u8],
        now: Instant,
    ) -> Result<Self, RequestError> {
        let work = Estimator::default().estimate("", "", body.len(), None);
        Self::read(id, headers, now, "".into(), work, Fingerprint::call(path, body))
    }

    fn read(
        id: &str,
        headers: &HeaderMap,
        now: Instant,
        model: Arc<str>,
        work: Work,
        content: Fingerprint,
    ) -> Result<Self, RequestError> {
        let deadline = number(headers, "x-deadline-ms", 1..=MOST_DEADLINE_MS)?;
        let deadline = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        Ok(Self {
            id: id.into(),
            workspace: text(headers, "x-workspace", MOST_ID)?.unwrap_or_default().into(),
            chat: text(headers, "x-chat", MOST_ID)?.map_or_else(random_id, str::to_owned).into(),
            model,
            hint: text(headers, "x-placement-hint", MOST_HINT)?.map(Into::into),
            work,
            priority: priority(headers)?,
            deadline: now + deadline,
            attempts: number(headers, "x-attempt", 0..=MOST_ATTEMPTS)?.unwrap_or(0) as u32,
            key: text(headers, "idempotency-key", MOST_ID)?.map(Into::into),
            content,
            is_chat: false,
        })
    }

    /// Whose chat it is, and which.
    pub(crate) fn chat_id(&self) -> ChatId<'_> {
        ChatId { workspace: &self.workspace, chat: &self.chat }
    }

    /// What admission needs to know.
    pub(crate) fn demand(&self) -> Demand {
        Demand {
            workspace: self.workspace.clone(),
            priority: self.priority,
            deadline: self.deadline,
            work: u32::try_from(self.work).unwrap_or(u32::MAX),
        }
    }
}

fn priority(headers: &HeaderMap) -> Result<Priority, RequestError> {
    let Some(name) = text(headers, "x-priority", MOST_ID)? else { return Ok(Priority::default()) };
    Priority::parse(name).ok_or_else(|| {
        let known = Priority::ALL.map(Priority::as_str).join(", ");
        bad(format!("header x-priority is {name:?}, but must be one of {known}"))
    })
}

fn number(
    headers: &HeaderMap,
    name: &str,
    range: std::ops::RangeInclusive<u64>,
) -> Result<Option<u64>, RequestError> {
    let Some(value) = text(headers, name, MOST_ID)? else { return Ok(None) };
    let parsed = value.parse().ok().filter(|n| range.contains(n));
    let (least, most) = (range.start(), range.end());
    let number =
        parsed.ok_or_else(|| bad(format!("header {name} is {value:?}, but must be {least} to {most}")))?;
    Ok(Some(number))
}

/// A header that may stand once, with text of at most `most` bytes; an empty one counts as absent.
fn text<'a>(headers: &'a HeaderMap, name: &str, most: usize) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad(format!("header {name} stands more than once")));
    }
    let value = value.to_str().map_err(|_| bad(format!("header {name} is no plain text")))?;
    if value.len() > most {
        return Err(bad(format!("header {name} is longer than {most} bytes")));
    }
    Ok(Some(value).filter(|v| !v.is_empty()))
}

fn bad(message: impl Into<String>) -> RequestError {
    RequestError::new(ErrorKind::BadRequest, message)
}

/// A header's value, if it is text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
