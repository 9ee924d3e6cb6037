//! `serve`: runs one router until it is stopped.

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Context, Result};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

use super::Run;
use crate::{config::Settings, logs, serve::RunningRouter};

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
            let running = RunningRouter::start(&cfg)?;
            // Scripts and tests that let the system choose the ports read them from this line.
            println!("callers {} peers {}", running.addr(), running.peer_addr());
            spdlog::info!("router {} serves on {}", cfg.name, running.addr());
            let mut terminate =
                signal(SignalKind::terminate()).context("could not install a signal handler")?;
            let mut interrupt =
                signal(SignalKind::interrupt()).context("could not install a signal handler")?;
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                () = running.drained() => {}
            }
            spdlog::info!("router {} is leaving", cfg.name);
            tokio::select! {
                cut = running.shut_down() => spdlog::info!("router {} stopped, {cut} requests cut", cfg.name),
                // A second interrupt means that the operator does not want to wait.
                _ = interrupt.recv() => spdlog::warn!("router {} stopped at once", cfg.name),
            }
            Ok(ExitCode::SUCCESS)
        })
    }
}
