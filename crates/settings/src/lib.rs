//! The configuration of a host: a line-based format, one directive a line, in sections. `docs/configuration.md`
//! lists every directive. A file is read whole: all its problems come back together, each with line, column,
//! what stood there and what was expected.
pub mod change;
mod check;
pub mod edit;
pub mod lines;
mod read;
pub mod site;

pub use lines::{Problem, Problems};
pub use site::Site;

/// Reads and checks a configuration. `file` is only its name in the problems.
pub fn read(file: &str, text: &str) -> Result<Site, Problems> {
    let mut problems = Problems::new(file);
    let draft = read::read(text, &mut problems);
    let site = check::check(draft, &mut problems);
    if problems.is_empty() { Ok(site) } else { Err(problems.sorted()) }
}
