//! Table of settings: key, unit, default, range and description of each.

/// Type of a setting's value, with its default and range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// Required string.
    Text,
    /// Required IP address and port.
    Address,
    /// List of IP addresses and ports; empty by default.
    Addresses,
    /// Integer with default, minimum and maximum.
    Number(u64, u64, u64),
    /// One of several words; the first is the default.
    OneOf(&'static [&'static str]),
}

/// Setting in the table.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Path in the settings file, such as `limits.body_ms`.
    pub key: &'static str,
    /// Unit; empty if the value has none.
    pub unit: &'static str,
    /// Type of the value.
    pub value_type: ValueType,
    /// Description for the documentation.
    pub description: &'static str,
}

/// All settings, in the order of the documentation.
pub const FIELDS: &[Field] = &[
    field("name", "", ValueType::Text, "name of this router, unique in the fleet"),
    field("listen", "", ValueType::Address, "where callers and operators are served"),
    field("peer_listen", "", ValueType::Address, "UDP and TCP sockets between routers"),
    field("data_centre", "", ValueType::Text, "data centre in which this host stands"),
    field("region", "", ValueType::Text, "region of the data centre"),
    field("platform", "", ValueType::Address, "the platform's object API"),
    field("seeds", "", ValueType::Addresses, "peer addresses of other routers, tried at start"),
    field(
        "shared_key",
        "",
        ValueType::Text,
        "authenticates routers to each other, signs hints and resume tokens",
    ),
    field("http_threads", "threads", ValueType::Number(2, 1, 64), "workers of the HTTP server"),
    field(
        "limits.body_bytes",
        "bytes",
        ValueType::Number(1 << 20, 1 << 10, 64 << 20),
        "largest request body",
    ),
    field(
        "limits.bodies_bytes",
        "bytes",
        ValueType::Number(64 << 20, 1 << 20, 64 << 30),
        "bytes of the bodies of all requests, at least twice limits.body_bytes",
    ),
    field(
        "limits.body_ms",
        "ms",
        ValueType::Number(10_000, 100, 300_000),
        "longest time for a body to arrive",
    ),
    field(
        "limits.head_ms",
        "ms",
        ValueType::Number(5_000, 100, 60_000),
        "longest time for a request head to arrive",
    ),
    field(
        "log.level",
        "",
        ValueType::OneOf(&["info", "trace", "debug", "warn", "error", "critical", "off"]),
        "lowest level that is logged",
    ),
    field("log.format", "", ValueType::OneOf(&["text", "json"]), "form of a log line"),
    field(
        "gossip.bytes_per_second",
        "bytes/s",
        ValueType::Number(5_000, 1_500, 1 << 20),
        "bytes that gossip may send in any one second, headers included",
    ),
    field(
        "gossip.probe_bytes_per_second",
        "bytes/s",
        ValueType::Number(8_000, 1_000, 1 << 20),
        "bytes that probes of engines may cost in any one second, both ways",
    ),
    field(
        "drain.answer_keep_ms",
        "ms",
        ValueType::Number(30_000, 1_000, 600_000),
        "how long callers keep an entry answer; a router that leaves serves for so long",
    ),
    field(
        "drain.longest_ms",
        "ms",
        ValueType::Number(600_000, 0, 86_400_000),
        "longest time for requests in progress once no entry answer names the router any more",
    ),
    field(
        "orders.loads_per_minute",
        "loads",
        ValueType::Number(30, 1, 100_000),
        "models and adapters that the fleet may load from the weight store in a minute",
    ),
];

const fn field(
    key: &'static str,
    unit: &'static str,
    value_type: ValueType,
    description: &'static str,
) -> Field {
    Field { key, unit, value_type, description }
}

/// Returns the setting with this key.
pub fn find(key: &str) -> Option<&'static Field> {
    FIELDS.iter().find(|f| f.key == key)
}

impl Field {
    /// Formats the default for the documentation; `required` if there is none.
    pub fn default_text(&self) -> String {
        match self.value_type {
            ValueType::Text | ValueType::Address => "required".into(),
            ValueType::Addresses => "none".into(),
            ValueType::Number(default, ..) => default.to_string(),
            ValueType::OneOf(words) => words[0].into(),
        }
    }

    /// Formats the range for the documentation.
    pub fn range_text(&self) -> String {
        match self.value_type {
            ValueType::Text => "text".into(),
            ValueType::Address => "IP:port".into(),
            ValueType::Addresses => "list of IP:port".into(),
            ValueType::Number(_, least, most) => format!("{least}..{most}"),
            ValueType::OneOf(words) => words.join(", "),
        }
    }
}
