//! Versions of the backend servers' software, and how hosts tell them to each other.

use std::{fmt::Write, sync::Arc};

use crate::{
    schema::fleet::{Backend, Fetched},
    util::{Map, hash},
};

/// Maximum length of a version in bytes. A longer one is shortened, with a hash in place of the rest, so that different ones
/// stay different.
const MAX_VERSION_BYTES: usize = 64;

/// A version as it is kept: shortened if it is very long.
pub(in crate::relay) fn bounded(version: &str) -> Arc<str> {
    if version.len() <= MAX_VERSION_BYTES {
        return version.into();
    }
    let mut short: String = version.chars().take(MAX_VERSION_BYTES / 4).collect();
    let _ = write!(short, "~{:016x}", hash(version));
    short.into()
}

/// Adds the versions of the servers in an answer to a fetch, in the order in which it lists them.
pub fn add_to(fetched: &mut Fetched, servers: &[Backend]) {
    let mut positions: Map<&str, u32> = Map::default();
    for server in servers {
        let position = match server.version.as_str() {
            "" => 0,
            version => *positions.entry(version).or_insert_with(|| {
                fetched.version_names.push(version.to_owned());
                fetched.version_names.len() as u32
            }),
        };
        fetched.versions.push(position);
    }
}

/// Sets the versions of the servers that an answer to a fetch lists. They stay unknown in the answer of a host of an earlier
/// version, or one that contradicts itself.
pub fn set_in(servers: &mut [Backend], names: &[String], versions: &[u32]) {
    if servers.len() != versions.len() {
        return;
    }
    for (server, position) in servers.iter_mut().zip(versions) {
        let name = position.checked_sub(1).and_then(|at| names.get(at as usize));
        server.version = name.cloned().unwrap_or_default();
    }
}
