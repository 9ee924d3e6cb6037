//! Settings of a router, read from YAML and checked against one table.

use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use anyhow::{Context, Result, bail};

use crate::schema::settings as raw;

mod check;
mod fields;
mod tree;

pub use check::Fault;
pub use fields::{FIELDS, Field, Takes};

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
    /// Workers of the HTTP server.
    pub http_threads: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request body to arrive.
    pub body_time: Duration,
    /// Longest time for a request head to arrive.
    pub head_time: Duration,
    /// Lowest level that is logged.
    pub log_level: Arc<str>,
    /// Form of a log line.
    pub log_format: Arc<str>,
    /// Bytes that gossip may send in any one second.
    pub gossip_bytes_per_second: u64,
    /// Bytes that probes of engines may cost in any one second.
    pub probe_bytes_per_second: u64,
    /// How long callers keep an entry answer.
    pub answer_keep: Duration,
    /// Longest time for requests in progress once no entry answer names the router any more.
    pub drain_longest: Duration,
    /// Models and adapters that the fleet may load from the weight store in a minute.
    pub loads_per_minute: u64,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// When the file can't be read, or names all that is wrong with it.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("could not accept {}", path.display()))
    }

    /// Parses and checks YAML text.
    ///
    /// # Errors
    /// Names all that is wrong, each with its line and key.
    pub fn parse(text: &str) -> Result<Self> {
        let faults = faults(text)?;
        if !faults.is_empty() {
            let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
            bail!("{} setting(s) are wrong\n  {}", lines.len(), lines.join("\n  "));
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
            http_threads: number("http_threads", raw.http_threads) as usize,
            body_bytes: number("limits.body_bytes", limits.body_bytes) as usize,
            body_time: millis("limits.body_ms", limits.body_ms),
            head_time: millis("limits.head_ms", limits.head_ms),
            log_level: word("log.level", log.level),
            log_format: word("log.format", log.format),
            gossip_bytes_per_second: number("gossip.bytes_per_second", gossip.bytes_per_second),
            probe_bytes: number("gossip.probe_bytes_per_second", gossip.probe_bytes_per_second),
            answer_keep: millis("drain.answer_keep_ms", drain.answer_keep_ms),
            drain_longest: millis("drain.longest_ms", drain.longest_ms),
            loads_per_minute: number("orders.loads_per_minute", orders.loads_per_minute),
        })
    }
}

/// Lists all that is wrong with YAML text.
///
/// # Errors
/// When the text is no YAML mapping.
pub fn faults(text: &str) -> Result<Vec<Fault>> {
    let root: tree::Section = serde_saphyr::from_str(text).context("could not read the YAML")?;
    Ok(check::check(root).1)
}

fn number(key: &str, given: Option<u64>) -> u64 {
    match fields::find(key).map(|f| f.takes) {
        Some(Takes::Number(default, ..)) => given.unwrap_or(default),
        _ => unreachable!("{key} is no number in the table"),
    }
}

fn millis(key: &str, given: Option<u64>) -> Duration {
    Duration::from_millis(number(key, given))
}

fn word(key: &str, given: Option<String>) -> Arc<str> {
    match fields::find(key).map(|f| f.takes) {
        Some(Takes::OneOf(words)) => given.as_deref().unwrap_or(words[0]).into(),
        _ => unreachable!("{key} is no word in the table"),
    }
}
