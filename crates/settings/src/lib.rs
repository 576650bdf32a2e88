//! The configuration of a host: a line-based format, one directive a line, in sections. `docs/configuration.md`
//! lists every directive. A file is read whole: all its problems come back together, each with line, column,
//! what stood there and what was expected.
mod check;
pub mod config;
pub mod edit;
mod lines;
mod read;
pub mod reload;

pub use config::GatewayConfig;
pub use lines::{Arguments, Diagnostic, Diagnostics, Position, Token, tokenize};

/// Reads and checks a configuration. `file` is only its name in the problems.
pub fn parse(file: &str, text: &str) -> Result<GatewayConfig, Diagnostics> {
    let mut problems = Diagnostics::new(file);
    let draft = read::read(text, &mut problems);
    let site = check::check(draft, &mut problems);
    if problems.is_empty() { Ok(site) } else { Err(problems.sorted()) }
}
