//! References between sections, by name.
use crate::config::IoClass;
use crate::diagnostics::Diagnostics;
use crate::tokens::Token;

/// Sections that others can refer to, in the order of their indices.
pub(super) struct SectionNames<'a> {
    pub(super) plans: Vec<&'a str>,
    pub(super) classes: Vec<&'a IoClass>,
    pub(super) nodes: Vec<&'a str>,
}

/// Returns the index of a name. If there is no such name, adds a diagnostic and returns 0.
pub(super) fn resolve<'a>(
    kind: &str,
    token: &Token,
    mut names: impl Iterator<Item = &'a str>,
    diagnostics: &mut Diagnostics,
) -> usize {
    let index = names.position(|name| name == token.text);
    if index.is_none() {
        let found = format!("`{}`", token.text);
        diagnostics.add(
            token.position,
            format!("the name of a {kind} in this file"),
            found,
        );
    }
    index.unwrap_or(0)
}
