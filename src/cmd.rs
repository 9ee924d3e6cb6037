//! The command line.

use std::process::ExitCode;

use anyhow::{Result, bail};
use gumdrop::Options;

mod apply;
mod check;
mod demo;
mod drain;
mod get;
mod label;
mod remote;
mod serve;
mod status;

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
    #[options(help = "write objects from a file into the platform")]
    Apply(apply::Apply),
    #[options(help = "show objects as the platform has them")]
    Get(get::Get),
    #[options(help = "set and remove labels of an object")]
    Label(label::Label),
    #[options(help = "show the routers and the versions that they have in force")]
    Status(status::Status),
    #[options(help = "shut one router down gracefully")]
    Drain(drain::Drain),
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
        Some(Cmd::Apply(cmd)) => cmd.run(),
        Some(Cmd::Get(cmd)) => cmd.run(),
        Some(Cmd::Label(cmd)) => cmd.run(),
        Some(Cmd::Status(cmd)) => cmd.run(),
        Some(Cmd::Drain(cmd)) => cmd.run(),
        None => bail!("no command given; see --help"),
    }
}
