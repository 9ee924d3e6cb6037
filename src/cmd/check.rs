//! `check`: reads a settings file and reports what is wrong with it.

use std::{path::PathBuf, process::ExitCode};

use anyhow::Result;
use gumdrop::Options;

use super::Run;
use crate::config::Settings;

#[derive(Debug, Options)]
pub(crate) struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings file")]
    file: PathBuf,
}

impl Run for Check {
    fn run(&self) -> Result<ExitCode> {
        let cfg = Settings::load(&self.file)?;
        println!("{} is fine: router {}", self.file.display(), cfg.name);
        Ok(ExitCode::SUCCESS)
    }
}
