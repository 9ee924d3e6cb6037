//! `serve`: runs one router until it is told to stop.

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Context, Result};
use gumdrop::Options;

use super::Run;
use crate::{config::Settings, logs, serve::Running};

/// Runs one router until it is drained or interrupted.
#[derive(Debug, Options)]
pub(crate) struct Serve {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, short = "c", help = "settings file")]
    config: PathBuf,
}

impl Run for Serve {
    fn run(&self) -> Result<ExitCode> {
        let cfg = Settings::load(&self.config)?;
        logs::start(&cfg.log_level, &cfg.log_format)?;
        let rt = tokio::runtime::Runtime::new().context("could not start the runtime")?;
        rt.block_on(async {
            let running = Running::start(&cfg)?;
            // A script or a test that lets the system choose the ports reads them here.
            println!("callers {} peers {}", running.addr(), running.peer_addr());
            spdlog::info!("router {} serves on {}", cfg.name, running.addr());
            tokio::select! {
                signal = tokio::signal::ctrl_c() => signal.context("could not wait for a signal")?,
                () = running.drained() => {}
            }
            running.stop().await;
            Ok(ExitCode::SUCCESS)
        })
    }
}
