//! Generator of `src/schema` from `schema/*.proto`, implemented in `tests/schema.rs`.
//!
//! It is a separate package, because the main package may not compile while its generated code is out of date.
