//! Command-line interface.

use std::{ffi::OsString, process::ExitCode};

use anyhow::Result;
use gumdrop::Options;

mod apply;
mod check;
mod demo;
mod drain;
mod explain;
mod get;
mod label;
mod relay;
mod remote;
mod serve;
mod status;

use remote::Exit;

const NAME: &str = "cranberrytally";

/// Subcommand of the program.
pub(crate) trait Run {
    /// Runs the subcommand and returns its exit code.
    ///
    /// # Errors
    /// The error to print to stderr.
    fn run(&self) -> Result<ExitCode>;
}

/// Error: invalid command-line arguments.
#[derive(Debug)]
pub(crate) struct UsageError(String);

impl std::fmt::Display for UsageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}

/// Routes returning chats to model engines, and calls to plain services.
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
    #[options(help = "serve on the users' platform")]
    Relay(relay::RelayCmd),
    #[options(help = "print the story of one request from log lines")]
    Explain(explain::Explain),
    #[options(help = "check settings files")]
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

/// Parses the arguments and runs the subcommand; returns one of the exit codes listed in docs/OPERATORS.md.
///
/// # Errors
/// The error of the subcommand.
pub fn run() -> Result<ExitCode> {
    match parse().and_then(run_args) {
        Err(e) if e.is::<UsageError>() => {
            eprintln!("{NAME}: {e}; see --help");
            Ok(Exit::Invalid.into())
        }
        result => result,
    }
}

fn parse() -> Result<Args> {
    let words: Vec<_> = std::env::args_os().skip(1).collect();
    let words = words.into_iter().map(|word| word.into_string().map_err(not_unicode));
    let words = words.collect::<Result<Vec<_>>>()?;
    Args::parse_args_default(&words).map_err(|e| UsageError(e.to_string()).into())
}

fn not_unicode(word: OsString) -> anyhow::Error {
    UsageError(format!("{word:?} is not valid Unicode")).into()
}

/// Returns the help text of the given subcommand, or of the program if there is none.
fn help(args: &Args) -> String {
    let mut last: &dyn Options = args;
    let mut usage = format!("Usage: {NAME}");
    while let Some(command) = last.command() {
        usage += &format!(" {}", command.command_name().unwrap_or_default());
        last = command;
    }
    let mut text = format!("{usage} [OPTIONS]\n\n{}\n", last.self_usage());
    if let Some(list) = last.self_command_list() {
        text += &format!("\nAvailable commands:\n{list}\n");
    }
    text
}

fn run_args(args: Args) -> Result<ExitCode> {
    if args.help_requested() {
        print!("{}", help(&args));
        return Ok(ExitCode::SUCCESS);
    }
    if args.version {
        println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    match args.cmd {
        Some(Cmd::Serve(cmd)) => cmd.run(),
        Some(Cmd::Relay(cmd)) => cmd.run(),
        Some(Cmd::Explain(cmd)) => cmd.run(),
        Some(Cmd::Check(cmd)) => cmd.run(),
        Some(Cmd::Demo(cmd)) => cmd.run(),
        Some(Cmd::Apply(cmd)) => cmd.run(),
        Some(Cmd::Get(cmd)) => cmd.run(),
        Some(Cmd::Label(cmd)) => cmd.run(),
        Some(Cmd::Status(cmd)) => cmd.run(),
        Some(Cmd::Drain(cmd)) => cmd.run(),
        None => Err(UsageError("no command given".into()).into()),
    }
}
