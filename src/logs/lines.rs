//! Structured log lines: one JSON object a line on standard output, within a budget, never blocking.
//!
//! Lines go through a bounded queue to a thread of their own. A reader that stops reading fills the queue; what does
//! not fit is dropped and counted, and a line says how many were dropped once there is room again.

use std::{
    fmt::Write as _,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

use crate::{
    objects::bucket::TokenBucket,
    util::{lock, now, wall_ms},
};

/// Lines that wait for the output; about 300 bytes each.
const QUEUE: usize = 2_048;
/// Bytes a second that routine lines may take unless the settings say otherwise.
pub const DEFAULT_BYTES_PER_SECOND: u32 = 64 << 10;
/// Part of the budget that only refusals, failures and changes of belief may use.
const RESERVE: f64 = 0.5;
/// Stack of the thread that writes, in bytes: it only copies lines to a descriptor.
const STACK: usize = 64 << 10;

/// How long a line is kept when the budget runs out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// A request that went well.
    Routine,
    /// A refusal, a failure, or a change of what the process believes.
    Notable,
}

/// A log line that is being put together.
#[derive(Debug)]
pub struct Line(String);

impl Line {
    fn new(event: &str) -> Self {
        let mut line = Self(String::with_capacity(256));
        let _ = write!(line.0, "{{\"t\":{},\"event\":", wall_ms());
        line.quote(event);
        match HOST.get() {
            Some(host) => line.text("host", host),
            None => line,
        }
    }

    fn quote(&mut self, value: &str) {
        self.0.push('"');
        for c in value.chars() {
            match c {
                '"' => self.0.push_str("\\\""),
                '\\' => self.0.push_str("\\\\"),
                c if u32::from(c) < 0x20 => {
                    let _ = write!(self.0, "\\u{:04x}", u32::from(c));
                }
                c => self.0.push(c),
            }
        }
        self.0.push('"');
    }

    fn key(&mut self, key: &str) {
        self.0.push(',');
        self.quote(key);
        self.0.push(':');
    }

    /// Adds a text.
    pub fn text(mut self, key: &str, value: &str) -> Self {
        self.key(key);
        self.quote(value);
        self
    }

    /// Adds a whole number.
    pub fn number(mut self, key: &str, value: impl Into<u64>) -> Self {
        self.key(key);
        let _ = write!(self.0, "{}", value.into());
        self
    }

    /// Adds a number to two places.
    pub fn decimal(mut self, key: &str, value: f64) -> Self {
        self.key(key);
        let _ = write!(self.0, "{value:.2}");
        self
    }

    /// Adds a span in whole milliseconds.
    pub fn ms(self, key: &str, value: Duration) -> Self {
        self.number(key, value.as_millis() as u64)
    }

    /// Adds a yes or no.
    pub fn flag(mut self, key: &str, value: bool) -> Self {
        self.key(key);
        self.0.push_str(if value { "true" } else { "false" });
        self
    }
}

struct Output {
    tx: SyncSender<String>,
    budget: Mutex<TokenBucket>,
    reserve: Mutex<TokenBucket>,
    dropped: Arc<AtomicU64>,
}

static OUTPUT: OnceLock<Output> = OnceLock::new();
static HOST: OnceLock<String> = OnceLock::new();

/// Names this host in every line from now on.
pub fn name_host(name: &str) {
    let _ = HOST.set(name.to_owned());
}

/// Starts the output to `out` with a budget in bytes a second; a second call changes nothing.
pub fn start(out: impl std::io::Write + Send + 'static, bytes_per_second: u32) -> anyhow::Result<()> {
    let (tx, rx) = sync_channel(QUEUE);
    let dropped = Arc::new(AtomicU64::new(0));
    let lost = dropped.clone();
    std::thread::Builder::new()
        .name("log".into())
        .stack_size(STACK)
        .spawn(move || write_all(out, &rx, &lost))?;
    let bucket = |part: f64| {
        let rate = f64::from(bytes_per_second) * part;
        Mutex::new(TokenBucket::new(rate, rate))
    };
    let _ = OUTPUT.set(Output { tx, budget: bucket(1.0 - RESERVE), reserve: bucket(RESERVE), dropped });
    Ok(())
}

fn write_all(mut out: impl std::io::Write, rx: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(mut batch) = rx.recv() {
        batch.push('\n');
        while let Ok(line) = rx.try_recv() {
            batch.push_str(&line);
            batch.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.push_str(&Line::new("lines_dropped").number("lines", lost).0);
            batch.push_str("}\n");
        }
        // Nobody reads the output any more; requests go on without it.
        if out.write_all(batch.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Writes a line, if the output is started and the budget holds it.
pub fn line(weight: Weight, event: &str, fill: impl FnOnce(Line) -> Line) {
    let Some(output) = OUTPUT.get() else { return };
    let mut text = fill(Line::new(event)).0;
    text.push('}');
    let size = text.len() as f64;
    let now = now();
    let fits = lock(&output.budget).take_many(now, size)
        || (weight == Weight::Notable && lock(&output.reserve).take_many(now, size));
    if !fits || output.tx.try_send(text).is_err() {
        output.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts the output to standard output, with a budget in bytes a second.
///
/// # Errors
/// When the thread that writes can't be started.
pub fn start_stdout(bytes_per_second: u32) -> anyhow::Result<()> {
    start(std::io::stdout(), bytes_per_second)
}
