//! `explain`: prints the timeline of one request from log lines.

use std::{io, process::ExitCode};

use anyhow::{Context, Result};
use gumdrop::Options;

use super::{Run, UsageError, remote::Exit};
use crate::logs::explain::explain;

/// Prints the timeline of one request from the log lines of any number of hosts on standard input.
#[derive(Debug, Options)]
pub(crate) struct Explain {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "identifier of the request")]
    id: Option<String>,
}

impl Run for Explain {
    fn run(&self) -> Result<ExitCode> {
        let Some(id) = &self.id else {
            return Err(UsageError("expected the identifier of a request".into()).into());
        };
        let lines =
            io::stdin().lines().collect::<Result<Vec<_>, _>>().context("could not read standard input")?;
        match explain(id, lines) {
            Some(story) => {
                print!("{story}");
                Ok(ExitCode::SUCCESS)
            }
            None => {
                eprintln!("no log line contains the request {id}");
                Ok(Exit::Invalid.into())
            }
        }
    }
}
