//! Logging with spdlog-rs: text or JSON lines with levels on stderr.

pub mod explain;
pub mod lines;

use std::sync::Arc;

use anyhow::{Context, Result, anyhow};
use spdlog::{
    LevelFilter, Logger,
    formatter::{FullFormatter, JsonFormatter},
    sink::{SinkPropAccess, StdStreamSink},
    terminal_style::StyleMode,
};

/// Sets up the process's default logger.
///
/// # Errors
/// If the level is unknown or the logger can't be built.
pub(crate) fn start(level: &str, format: &str) -> Result<()> {
    let filter = match level {
        "off" => LevelFilter::Off,
        word => {
            let level = word.parse().map_err(|_| anyhow!("unknown log level {word:?}"))?;
            LevelFilter::MoreSevereEqual(level)
        }
    };
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Auto)
        .formatter(FullFormatter::builder().build())
        .build()
        .context("could not build the log sink")?;
    if format == "json" {
        sink.set_formatter(Box::new(JsonFormatter::new()));
    }
    let logger: Logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter)
        .flush_level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Warn))
        .build()
        .context("could not build the logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
