//! Settings of a router, parsed from YAML and validated against the table of settings.

use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use anyhow::{Context, Result, bail};

use crate::schema::settings as raw;

mod check;
mod fields;
mod tree;

pub use check::SettingError;
pub use fields::{FIELDS, Field, ValueType};

/// Validated settings of one router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router, unique in the fleet.
    pub name: Arc<str>,
    /// Listen address for callers and operators.
    pub listen: SocketAddr,
    /// Listen address for other routers, UDP and TCP.
    pub peer_listen: SocketAddr,
    /// Data centre of this host.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses of other routers, contacted at startup.
    pub seeds: Vec<SocketAddr>,
    /// Key shared by the fleet: authenticates routers to each other, signs hints and resume tokens.
    pub shared_key: Arc<str>,
    /// Worker threads of the HTTP server.
    pub http_threads: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the bodies of all requests in bytes.
    pub max_bodies_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Minimum log level.
    pub log_level: Arc<str>,
    /// Log format, `text` or `json`.
    pub log_format: Arc<str>,
    /// Maximum number of bytes that gossip sends in any one second.
    pub gossip_bytes_per_second: u64,
    /// Maximum number of bytes that probes of engines transfer in any one second.
    pub probe_bytes_per_second: u64,
    /// Time for which callers cache an entry answer.
    pub answer_keep: Duration,
    /// Timeout of a drain for requests in progress, starting when all entry answers that name the router have expired.
    pub drain_timeout: Duration,
    /// Maximum number of models and adapters that the fleet loads from the weight store per minute.
    pub loads_per_minute: u64,
}

impl Settings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    /// If the file can't be read or is invalid; the message lists all its errors.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("invalid settings file {}", path.display()))
    }

    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    /// If the text is invalid; the message lists all errors with line and key.
    pub fn parse(text: &str) -> Result<Self> {
        let errors = validate(text)?;
        if !errors.is_empty() {
            let lines: Vec<_> = errors.iter().map(SettingError::to_string).collect();
            bail!("{} invalid setting(s)\n  {}", lines.len(), lines.join("\n  "));
        }
        let raw: raw::Settings = serde_saphyr::from_str(text).context("could not read the settings")?;
        Self::from_raw(raw)
    }

    fn from_raw(raw: raw::Settings) -> Result<Self> {
        let limits = raw.limits.unwrap_or_default();
        let log = raw.log.unwrap_or_default();
        let orders = raw.orders.unwrap_or_default();
        let gossip = raw.gossip.unwrap_or_default();
        let drain = raw.drain.unwrap_or_default();
        Ok(Self {
            name: raw.name.into(),
            listen: raw.listen.parse()?,
            peer_listen: raw.peer_listen.parse()?,
            data_centre: raw.data_centre.into(),
            region: raw.region.into(),
            platform: raw.platform.parse()?,
            seeds: raw.seeds.iter().map(|s| s.parse()).collect::<Result<_, _>>()?,
            shared_key: raw.shared_key.into(),
            http_threads: number_or_default("http_threads", raw.http_threads) as usize,
            max_body_bytes: number_or_default("limits.body_bytes", limits.body_bytes) as usize,
            max_bodies_bytes: number_or_default("limits.bodies_bytes", limits.bodies_bytes) as usize,
            body_timeout: millis_or_default("limits.body_ms", limits.body_ms),
            head_timeout: millis_or_default("limits.head_ms", limits.head_ms),
            log_level: word_or_default("log.level", log.level),
            log_format: word_or_default("log.format", log.format),
            gossip_bytes_per_second: number_or_default("gossip.bytes_per_second", gossip.bytes_per_second),
            probe_bytes_per_second: number_or_default(
                "gossip.probe_bytes_per_second",
                gossip.probe_bytes_per_second,
            ),
            answer_keep: millis_or_default("drain.answer_keep_ms", drain.answer_keep_ms),
            drain_timeout: millis_or_default("drain.longest_ms", drain.longest_ms),
            loads_per_minute: number_or_default("orders.loads_per_minute", orders.loads_per_minute),
        })
    }
}

/// Validates settings in YAML and returns all errors found.
///
/// # Errors
/// If the text is not a YAML mapping.
pub fn validate(text: &str) -> Result<Vec<SettingError>> {
    let root: tree::Section = serde_saphyr::from_str(text).context("could not read the YAML")?;
    Ok(check::validate(root).1)
}

fn number_or_default(key: &str, given: Option<u64>) -> u64 {
    match fields::find(key).map(|f| f.value_type) {
        Some(ValueType::Number(default, ..)) => given.unwrap_or(default),
        _ => unreachable!("{key} is not a number in the table of settings"),
    }
}

fn millis_or_default(key: &str, given: Option<u64>) -> Duration {
    Duration::from_millis(number_or_default(key, given))
}

fn word_or_default(key: &str, given: Option<String>) -> Arc<str> {
    match fields::find(key).map(|f| f.value_type) {
        Some(ValueType::OneOf(words)) => given.as_deref().unwrap_or(words[0]).into(),
        _ => unreachable!("{key} is not a choice in the table of settings"),
    }
}
