//! The command line.

use std::process::ExitCode;

use anyhow::{Result, bail};
use gumdrop::Options;

mod check;
mod demo;
mod serve;

/// A subcommand.
pub(crate) trait Run {
    /// Runs it to its end.
    ///
    /// # Errors
    /// One error that is printed to stderr.
    fn run(&self) -> Result<ExitCode>;
}

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    cmd: Option<Cmd>,
}

#[derive(Debug, Options)]
enum Cmd {
    #[options(help = "run a router")]
    Serve(serve::Serve),
    #[options(help = "check a settings file")]
    Check(check::Check),
    #[options(help = "run a small fleet with stand-ins in one process")]
    Demo(demo::Demo),
}

/// Parses the arguments and runs the subcommand.
///
/// # Errors
/// What the subcommand reports.
pub fn run() -> Result<ExitCode> {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("cranberrytally {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    match args.cmd {
        Some(Cmd::Serve(cmd)) => cmd.run(),
        Some(Cmd::Check(cmd)) => cmd.run(),
        Some(Cmd::Demo(cmd)) => cmd.run(),
        None => bail!("no command given; see --help"),
    }
}
