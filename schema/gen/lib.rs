//! Generates `src/schema` from `schema/*.proto`; the work is done in `tests/schema.rs`.
//!
//! A package of its own, because the main package does not compile while its generated code is out of date.
