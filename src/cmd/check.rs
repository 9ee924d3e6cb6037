//! `check`: reads settings files and reports what is wrong with them.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Result;
use gumdrop::Options;

use super::{Run, Usage, remote::Exit};
use crate::config::Settings;

/// Names every error in settings files, with line and key.
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
            return Err(Usage("expected at least one settings file".into()).into());
        }
        let mut worst = Exit::Done;
        for file in &self.files {
            worst = worst.max(check(file));
        }
        Ok(worst.into())
    }
}

/// Reports on one file; the others are checked whatever is wrong with it.
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
            println!("{} is fine: router {}", file.display(), cfg.name);
            Exit::Done
        }
        Err(e) => {
            eprintln!("{}: {e:#}", file.display());
            Exit::Invalid
        }
    }
}
