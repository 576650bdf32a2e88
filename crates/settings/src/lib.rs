//! The configuration of the gateway: a line-based format in sections, one directive a line.
//!
//! `docs/configuration.md` lists every directive. A file is read in full: all errors in it are reported together, each
//! with line, column, what was found and what was expected.
//!
//! - [`parse`]: parses a text to a [`GatewayConfig`]. The parser reads directives into a draft, in which sections
//!   refer to each other by name; validation resolves the names and checks that sections do not contradict each other.
//! - [`config`]: the contents of a valid configuration.
//! - [`reload`]: the changes of a configuration that a running host can apply.
//! - [`edit`]: writes computed shares into the text of a configuration.
//! - [`tokenize`], [`Arguments`] and [`Diagnostics`]: the line format itself, for other files of the same format.
//!
//! ```
//! let error = mallowseam_settings::parse("gw1.conf", "node brick1\n    address 127.0.0.1\n").unwrap_err();
//! assert_eq!(
//!     error.to_string().lines().last(),
//!     Some("gw1.conf:2:13: expected an address and port, found `127.0.0.1`")
//! );
//! ```
#![warn(missing_docs)]

mod arguments;
pub mod config;
mod diagnostics;
pub mod edit;
mod parser;
pub mod reload;
mod tokens;
mod units;
mod validation;

pub use arguments::Arguments;
pub use config::GatewayConfig;
pub use diagnostics::{Diagnostic, Diagnostics, Position};
pub use tokens::{Token, tokenize};

/// Parses and validates a configuration. `file` is the file's name in the diagnostics.
///
/// # Errors
///
/// All errors in the file.
pub fn parse(file: &str, text: &str) -> Result<GatewayConfig, Diagnostics> {
    let mut diagnostics = Diagnostics::new(file);
    let draft = parser::parse(text, &mut diagnostics);
    let config = validation::validate(draft, &mut diagnostics);
    if diagnostics.is_empty() {
        Ok(config)
    } else {
        Err(diagnostics.sorted())
    }
}
