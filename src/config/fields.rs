//! The table of settings: key, unit, default and range of each.

/// What values a setting takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Takes {
    /// Text that must be given.
    Text,
    /// IP address and port that must be given.
    Address,
    /// Any number of IP addresses and ports.
    Addresses,
    /// Whole number with default, least and greatest value.
    Number(u64, u64, u64),
    /// One of these words; the first is the default.
    OneOf(&'static [&'static str]),
}

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Path in the file, such as `limits.body_ms`.
    pub key: &'static str,
    /// Unit; empty where there is none.
    pub unit: &'static str,
    /// Values that it takes.
    pub takes: Takes,
    /// What it is for.
    pub about: &'static str,
}

/// Every setting, in the order of the documentation.
pub const FIELDS: &[Field] = &[
    field("name", "", Takes::Text, "name of this router, unique in the fleet"),
    field("listen", "", Takes::Address, "where callers and operators are served"),
    field("peer_listen", "", Takes::Address, "UDP and TCP sockets between routers"),
    field("data_centre", "", Takes::Text, "data centre in which this host stands"),
    field("region", "", Takes::Text, "region of the data centre"),
    field("platform", "", Takes::Address, "the platform's object API"),
    field("seeds", "", Takes::Addresses, "peer addresses of other routers, tried at start"),
    field(
        "shared_key",
        "",
        Takes::Text,
        "authenticates routers to each other, signs hints and resume tokens",
    ),
    field("http_threads", "threads", Takes::Number(2, 1, 64), "workers of the HTTP server"),
    field("limits.body_bytes", "bytes", Takes::Number(1 << 20, 1 << 10, 64 << 20), "largest request body"),
    field("limits.body_ms", "ms", Takes::Number(10_000, 100, 300_000), "longest time for a body to arrive"),
    field(
        "limits.head_ms",
        "ms",
        Takes::Number(5_000, 100, 60_000),
        "longest time for a request head to arrive",
    ),
    field(
        "log.level",
        "",
        Takes::OneOf(&["info", "trace", "debug", "warn", "error", "critical", "off"]),
        "lowest level that is logged",
    ),
    field("log.format", "", Takes::OneOf(&["text", "json"]), "form of a log line"),
    field(
        "gossip.bytes_per_second",
        "bytes/s",
        Takes::Number(5_000, 1_500, 1 << 20),
        "bytes that gossip may send in any one second, headers included",
    ),
    field(
        "gossip.probe_bytes_per_second",
        "bytes/s",
        Takes::Number(8_000, 1_000, 1 << 20),
        "bytes that probes of engines may cost in any one second, both ways",
    ),
    field(
        "drain.answer_keep_ms",
        "ms",
        Takes::Number(30_000, 1_000, 600_000),
        "how long callers keep an entry answer; a router that leaves serves for so long",
    ),
    field(
        "drain.longest_ms",
        "ms",
        Takes::Number(600_000, 0, 86_400_000),
        "longest time for requests in progress once no entry answer names the router any more",
    ),
    field(
        "orders.loads_per_minute",
        "loads",
        Takes::Number(30, 1, 100_000),
        "models and adapters that the fleet may load from the weight store in a minute",
    ),
];

const fn field(key: &'static str, unit: &'static str, takes: Takes, about: &'static str) -> Field {
    Field { key, unit, takes, about }
}

/// The setting with this key.
pub fn find(key: &str) -> Option<&'static Field> {
    FIELDS.iter().find(|f| f.key == key)
}

impl Field {
    /// Default as the documentation shows it; `required` where there is none.
    pub fn default_text(&self) -> String {
        match self.takes {
            Takes::Text | Takes::Address => "required".into(),
            Takes::Addresses => "none".into(),
            Takes::Number(default, ..) => default.to_string(),
            Takes::OneOf(words) => words[0].into(),
        }
    }

    /// Range as the documentation shows it.
    pub fn range_text(&self) -> String {
        match self.takes {
            Takes::Text => "text".into(),
            Takes::Address => "IP:port".into(),
            Takes::Addresses => "list of IP:port".into(),
            Takes::Number(_, least, most) => format!("{least}..{most}"),
            Takes::OneOf(words) => words.join(", "),
        }
    }
}
