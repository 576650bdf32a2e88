//! `mallowseam-testbed`: the testbed's command line.
mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
