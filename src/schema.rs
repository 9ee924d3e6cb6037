//! Types generated from the files in `schema/`; `tests/schema.rs` keeps them current.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod object;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod peer;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod settings;
