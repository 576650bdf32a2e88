//! The parser from text to a draft, in which sections still refer to each other by name.
mod directives;
mod draft;

use crate::arguments::Arguments;
use crate::diagnostics::Diagnostics;
use crate::tokens::{Token, tokenize};
use std::collections::HashSet;

pub(crate) use draft::{
    Draft, DraftCatalog, DraftRule, DraftVolume, Located, OpenedSection, SectionKind,
};

/// Directives that a section may have more than once.
const REPEATABLE: [&str; 2] = ["extent", "rule"];
/// Text of the diagnostic where the start of a section is expected.
const A_SECTION: &str = "a section: host, fleet, catalog, tariffs, plan, group, volume or node";

/// State of the parser between two lines.
#[derive(Clone, Copy)]
enum State {
    /// Before the first section.
    Start,
    /// In an invalid section, whose lines are skipped because one diagnostic is enough.
    Skipping,
    /// In the section that was opened last.
    Section(SectionKind),
}

/// Parses a file and adds its errors to the diagnostics.
pub(crate) fn parse(text: &str, diagnostics: &mut Diagnostics) -> Draft {
    let mut draft = Draft::default();
    let mut state = State::Start;
    for (index, line) in text.lines().enumerate() {
        let tokens = tokenize(index + 1, line, diagnostics);
        let Some(first) = tokens.first() else {
            continue;
        };
        if !line.starts_with(char::is_whitespace) {
            state = open_section(&mut draft, &tokens, diagnostics)
                .map_or(State::Skipping, State::Section);
            continue;
        }
        match state {
            State::Start => diagnostics.add(first.position, A_SECTION, format!("`{}`", first.text)),
            State::Skipping => {}
            State::Section(kind) => read_directive(&mut draft, kind, &tokens, diagnostics),
        }
    }
    draft
}

/// Opens a section and returns its kind, or none if the section is invalid.
fn open_section(
    draft: &mut Draft,
    tokens: &[Token],
    diagnostics: &mut Diagnostics,
) -> Option<SectionKind> {
    let Token {
        text: keyword,
        position,
    } = &tokens[0];
    let Some(kind) = SectionKind::from_keyword(keyword) else {
        diagnostics.add(*position, A_SECTION, format!("`{keyword}`"));
        return None;
    };
    let mut args = Arguments::new(tokens, diagnostics);
    let name = if kind.is_named() {
        args.name("a name of letters, digits and -_.:")?.text
    } else {
        String::new()
    };
    args.expect_end();
    if draft.has_single(kind) {
        diagnostics.add(
            *position,
            format!("one section `{}`", kind.keyword()),
            "a second one",
        );
        return None;
    }
    draft.opened.push(OpenedSection {
        position: *position,
        kind,
        directives: HashSet::new(),
    });
    draft.add_section(kind, name, *position);
    Some(kind)
}

/// Reads a directive of the section that was opened last.
fn read_directive(
    draft: &mut Draft,
    kind: SectionKind,
    tokens: &[Token],
    diagnostics: &mut Diagnostics,
) {
    let Token {
        text: directive,
        position,
    } = &tokens[0];
    let opened = draft.opened.last_mut().expect("a section is open");
    let is_first = opened.directives.insert(directive.clone());
    if !is_first && !REPEATABLE.contains(&directive.as_str()) {
        let expected = format!(
            "`{directive}` once in the section of line {}",
            opened.position.line
        );
        diagnostics.add(*position, expected, "a second one");
        return;
    }
    let mut args = Arguments::new(tokens, diagnostics);
    match directives::read(draft, kind, directive, &mut args) {
        Ok(()) => args.expect_end(),
        Err(unknown) => {
            let expected = format!(
                "a directive of section `{}` ({})",
                kind.keyword(),
                unknown.known
            );
            diagnostics.add(*position, expected, format!("`{directive}`"));
        }
    }
}
