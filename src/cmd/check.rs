//! `check`: validates settings files.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Result;
use gumdrop::Options;

use super::{Run, UsageError, remote::Exit};
use crate::config::Settings;

/// Validates settings files and prints all errors with line and key.
#[derive(Debug, Options)]
pub(crate) struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "settings files")]
    files: Vec<PathBuf>,
}

impl Run for Check {
    fn run(&self) -> Result<ExitCode> {
        if self.files.is_empty() {
            return Err(UsageError("expected at least one settings file".into()).into());
        }
        let mut worst = Exit::Done;
        for file in &self.files {
            worst = worst.max(check(file));
        }
        Ok(worst.into())
    }
}

/// Validates one file and prints the result. Errors are not returned, so that the remaining files are validated too.
fn check(file: &Path) -> Exit {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("could not read {}: {e}", file.display());
            return Exit::Failed;
        }
    };
    match Settings::parse(&text) {
        Ok(cfg) => {
            println!("{} is valid: router {}", file.display(), cfg.name);
            Exit::Done
        }
        Err(e) => {
            eprintln!("{}: {e:#}", file.display());
            Exit::Invalid
        }
    }
}
