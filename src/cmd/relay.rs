//! `relay`: runs a relay on the users' platform until it is stopped.

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Context, Result};
use gumdrop::Options;

use super::Run;
use crate::platform;

/// Environment variable with the path of the settings file, used if the command line names none.
const SETTINGS_ENV: &str = "CRANBERRYTALLY_NODE_FILE";

/// Runs a relay on the platform with a settings file in the platform's format.
#[derive(Debug, Options)]
pub(crate) struct RelayCmd {
    #[options(help = "print this help")]
    help: bool,
    #[options(short = "c", help = "settings file; else the one that CRANBERRYTALLY_NODE_FILE names")]
    config: Option<PathBuf>,
}

impl Run for RelayCmd {
    fn run(&self) -> Result<ExitCode> {
        let named = || std::env::var_os(SETTINGS_ENV).map(PathBuf::from);
        let path = self.config.clone().or_else(named);
        let path = path.with_context(|| format!("could not find the settings: {SETTINGS_ENV} is not set"))?;
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
        rt.context("could not start the runtime")?.block_on(platform::serve(&path))?;
        Ok(ExitCode::SUCCESS)
    }
}
