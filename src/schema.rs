//! Types generated from the files in `schema/`; `schema/gen` keeps them current.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod claim;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod configuration;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod engine;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod fleet;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod lease;
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
pub mod placement;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod settings;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod stream;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod suspect;
