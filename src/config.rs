//! Settings of a router, read from YAML and checked.

use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use anyhow::{Context, Result, bail};

use crate::schema::settings as raw;

const BODY_BYTES: u64 = 1 << 20;
const BODY_MS: u64 = 10_000;

/// Checked settings of one router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router, unique in the fleet.
    pub name: Arc<str>,
    /// Where callers and operators are served.
    pub listen: SocketAddr,
    /// UDP and TCP sockets between routers.
    pub peer_listen: SocketAddr,
    /// Data centre in which this host stands.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses of other routers, tried at start.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates routers to each other.
    pub shared_key: Arc<str>,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request body to arrive.
    pub body_time: Duration,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// When the file can't be read or a field is wrong.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("could not accept {}", path.display()))
    }

    /// Parses and checks YAML text.
    ///
    /// # Errors
    /// When a field is unknown, missing or wrong.
    pub fn parse(text: &str) -> Result<Self> {
        let raw: raw::Settings = serde_saphyr::from_str(text)?;
        Self::check(raw)
    }

    fn check(raw: raw::Settings) -> Result<Self> {
        if raw.name.is_empty() {
            bail!("`name` is missing");
        }
        let limits = raw.limits.unwrap_or_default();
        Ok(Self {
            name: raw.name.into(),
            listen: address("listen", &raw.listen)?,
            peer_listen: address("peer_listen", &raw.peer_listen)?,
            data_centre: raw.data_centre.into(),
            region: raw.region.into(),
            platform: address("platform", &raw.platform)?,
            seeds: raw.seeds.iter().map(|s| address("seeds", s)).collect::<Result<_>>()?,
            shared_key: raw.shared_key.into(),
            body_bytes: limits.body_bytes.unwrap_or(BODY_BYTES) as usize,
            body_time: Duration::from_millis(limits.body_ms.unwrap_or(BODY_MS)),
        })
    }
}

fn address(key: &str, text: &str) -> Result<SocketAddr> {
    text.parse().with_context(|| format!("`{key}` is not an IP address and port: {text:?}"))
}
