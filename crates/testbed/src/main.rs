//! Entry point of the program `mallowseam-testbed`.
mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
