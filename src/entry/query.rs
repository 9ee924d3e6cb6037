//! Query of `GET /v1/entry`.

use std::{fmt, sync::Arc};

use super::Router;

const MAX_KEY_BYTES: usize = 256;

/// Parsed entry query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Caller's data centre; defaults to the answering router's.
    pub data_centre: Arc<str>,
    /// Caller's region; defaults to the answering router's.
    pub region: Arc<str>,
    /// Affinity key, such as a chat or workspace: the same key gets the same router first.
    pub key: Option<Arc<str>>,
    /// Workspace of the chat that `key` names. If given, the owner of the chat's first-choice engine is listed first.
    pub workspace: Option<Arc<str>>,
    /// Model that the chat uses.
    pub model: Option<Arc<str>>,
    /// Random value that takes the place of a missing key, so that callers without one are spread evenly.
    pub salt: u64,
}

/// Error in a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// A field is not known.
    UnknownField(String),
    /// A field occurs more than once.
    DuplicateField(String),
    /// A field has no value.
    EmptyField(String),
    /// The key is too long.
    KeyTooLong,
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueryError::UnknownField(name) => {
                write!(
                    f,
                    "unknown field {name:?}; the fields are key, workspace, model, data_centre and region"
                )
            }
            QueryError::DuplicateField(name) => write!(f, "field {name:?} is given more than once"),
            QueryError::EmptyField(name) => write!(f, "field {name:?} has no value"),
            QueryError::KeyTooLong => write!(f, "the key is longer than {MAX_KEY_BYTES} bytes"),
        }
    }
}

impl std::error::Error for QueryError {}

impl Query {
    /// Parses a query string; `me` is the answering router.
    ///
    /// # Errors
    /// When a field is unknown, repeated or empty, or the key is too long.
    pub fn parse(text: &str, me: &Router, salt: u64) -> Result<Self, QueryError> {
        let (mut key, mut data_centre, mut region) = (None, None, None);
        let (mut workspace, mut model) = (None, None);
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            let slot = match &*name {
                "key" => &mut key,
                "workspace" => &mut workspace,
                "model" => &mut model,
                "data_centre" => &mut data_centre,
                "region" => &mut region,
                _ => return Err(QueryError::UnknownField(name.into_owned())),
            };
            if value.is_empty() {
                return Err(QueryError::EmptyField(name.into_owned()));
            }
            if slot.replace(Arc::<str>::from(&*value)).is_some() {
                return Err(QueryError::DuplicateField(name.into_owned()));
            }
        }
        if key.as_ref().is_some_and(|k| k.len() > MAX_KEY_BYTES) {
            return Err(QueryError::KeyTooLong);
        }
        Ok(Self {
            data_centre: data_centre.unwrap_or_else(|| me.data_centre.clone()),
            region: region.unwrap_or_else(|| me.region.clone()),
            key,
            workspace,
            model,
            salt,
        })
    }
}
