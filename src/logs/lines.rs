//! Structured log on standard output: one JSON object per line, rate limited and non-blocking.
//!
//! Lines pass through a bounded queue to a writer thread. If the reader of the output stalls, the queue fills up;
//! further lines are dropped and counted, and once there is room again a line reports the number of dropped lines.

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

/// Maximum number of queued lines, of about 300 bytes each.
const QUEUE_LINES: usize = 2_048;
/// Default budget for log output in bytes per second.
pub const DEFAULT_BYTES_PER_SECOND: u32 = 64 << 10;
/// Share of the budget that is reserved for notable lines.
const RESERVED_SHARE: f64 = 0.5;
/// Stack size of the writer thread; it is small because the thread only copies lines to a file descriptor.
const STACK_BYTES: usize = 64 << 10;

/// Level of a line, which decides whether it may use the reserved share of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A successful request.
    Routine,
    /// A refusal, a failure or a change of the process's state.
    Notable,
}

/// Builder of a log line.
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

    /// Adds a string.
    pub fn text(mut self, key: &str, value: &str) -> Self {
        self.key(key);
        self.quote(value);
        self
    }

    /// Adds an integer.
    pub fn number(mut self, key: &str, value: impl Into<u64>) -> Self {
        self.key(key);
        let _ = write!(self.0, "{}", value.into());
        self
    }

    /// Adds a number with two decimal places.
    pub fn decimal(mut self, key: &str, value: f64) -> Self {
        self.key(key);
        let _ = write!(self.0, "{value:.2}");
        self
    }

    /// Adds a duration in whole milliseconds.
    pub fn ms(self, key: &str, value: Duration) -> Self {
        self.number(key, value.as_millis() as u64)
    }

    /// Adds a Boolean.
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

/// Sets the host name that every later line contains; only the first call takes effect.
pub fn set_host(name: &str) {
    let _ = HOST.set(name.to_owned());
}

/// Starts logging to `out` with a budget in bytes per second; only the first call takes effect.
pub fn start(out: impl std::io::Write + Send + 'static, bytes_per_second: u32) -> anyhow::Result<()> {
    let (tx, rx) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_lines = dropped.clone();
    std::thread::Builder::new()
        .name("log".into())
        .stack_size(STACK_BYTES)
        .spawn(move || write_lines(out, &rx, &dropped_lines))?;
    let bucket = |part: f64| {
        let rate = f64::from(bytes_per_second) * part;
        Mutex::new(TokenBucket::new(rate, rate))
    };
    let _ = OUTPUT.set(Output {
        tx,
        budget: bucket(1.0 - RESERVED_SHARE),
        reserve: bucket(RESERVED_SHARE),
        dropped,
    });
    Ok(())
}

fn write_lines(mut out: impl std::io::Write, rx: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(mut batch) = rx.recv() {
        batch.push('\n');
        while let Ok(line) = rx.try_recv() {
            batch.push_str(&line);
            batch.push('\n');
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.push_str(&Line::new("lines_dropped").number("lines", dropped_lines).0);
            batch.push_str("}\n");
        }
        // The reader of the output is gone. Stop logging; requests are served without it.
        if out.write_all(batch.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Logs a line. It is ignored before [`start`] and dropped if it exceeds the budget or the queue is full.
pub fn line(level: Level, event: &str, build: impl FnOnce(Line) -> Line) {
    let Some(output) = OUTPUT.get() else { return };
    let mut text = build(Line::new(event)).0;
    text.push('}');
    let size = text.len() as f64;
    let now = now();
    let fits = lock(&output.budget).take_many(now, size)
        || (level == Level::Notable && lock(&output.reserve).take_many(now, size));
    if !fits || output.tx.try_send(text).is_err() {
        output.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts logging to standard output with a budget in bytes per second.
///
/// # Errors
/// If the writer thread can't be started.
pub fn start_stdout(bytes_per_second: u32) -> anyhow::Result<()> {
    start(std::io::stdout(), bytes_per_second)
}
