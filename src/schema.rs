//! Types generated from the files in `schema/`; `schema/gen` keeps them current.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod link;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod membership;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod object;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod settings;
