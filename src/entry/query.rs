//! What a caller asks of `GET /v1/entry`.

use std::{fmt, sync::Arc};

use super::Router;

const MAX_KEY_BYTES: usize = 256;

/// What a caller asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Caller's data centre; the answering router's if not given.
    pub data_centre: Arc<str>,
    /// Caller's region; the answering router's if not given.
    pub region: Arc<str>,
    /// Chat or workspace that shall meet the same router again.
    pub key: Option<Arc<str>>,
    /// Workspace of the chat that `engine_key` names; with it the owner of the chat's first engine comes first.
    pub workspace: Option<Arc<str>>,
    /// Model that the chat asks for.
    pub model: Option<Arc<str>>,
    /// Spreads callers without a key.
    pub salt: u64,
}

/// Why a query can't be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// A field that does not exist.
    UnknownField(String),
    /// A field that stands there twice.
    DuplicateField(String),
    /// A field without a value.
    EmptyField(String),
    /// A key that is too long.
    KeyTooLong,
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueryError::UnknownField(name) => {
                write!(
                    f,
                    "there is no field {name:?}; the fields are key, workspace, model, data_centre and region"
                )
            }
            QueryError::DuplicateField(name) => write!(f, "the field {name:?} is given twice"),
            QueryError::EmptyField(name) => write!(f, "the field {name:?} has no value"),
            QueryError::KeyTooLong => write!(f, "the key has more than {MAX_KEY_BYTES} bytes"),
        }
    }
}

impl std::error::Error for QueryError {}

impl Query {
    /// Parses a query string; `me` is the answering router.
    ///
    /// # Errors
    /// Says which field is wrong.
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
