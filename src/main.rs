//! The `cranberrytally` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    match cranberrytally::cmd::run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("cranberrytally: {e:#}");
            ExitCode::FAILURE
        }
    }
}
