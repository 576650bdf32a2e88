//! Splits a line into tokens.
use crate::diagnostics::{Diagnostics, Position};
use std::iter::Peekable;
use std::str::Chars;

/// One token of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its text, without quotes.
    pub text: String,
    /// Where it begins.
    pub position: Position,
}

/// The tokens of a line: separated by blanks; `"…"` keeps blanks; `#` at the start of a token opens a comment. `line`
/// is the line's number for the diagnostics.
pub fn tokenize(line: usize, text: &str, diagnostics: &mut Diagnostics) -> Vec<Token> {
    let mut tokens = Vec::new();
    let mut characters = Characters {
        rest: text.chars().peekable(),
        column: 0,
    };
    while let Some(first) = characters.next() {
        let position = Position {
            line,
            column: characters.column,
        };
        match first {
            c if c.is_whitespace() => {}
            '#' => break,
            '"' => {
                let (text, is_closed) = characters.quoted();
                if !is_closed {
                    diagnostics.add(position, "a closing quote on the same line", "none");
                }
                tokens.push(Token { text, position });
            }
            first => tokens.push(Token {
                text: characters.unquoted(first),
                position,
            }),
        }
    }
    tokens
}

/// The characters of a line.
struct Characters<'a> {
    rest: Peekable<Chars<'a>>,
    /// The column of the last character taken.
    column: usize,
}

impl Characters<'_> {
    fn next(&mut self) -> Option<char> {
        self.column += 1;
        self.rest.next()
    }

    /// The text up to the closing quote, and whether there was one.
    fn quoted(&mut self) -> (String, bool) {
        let mut text = String::new();
        while let Some(c) = self.next() {
            if c == '"' {
                return (text, true);
            }
            text.push(c);
        }
        (text, false)
    }

    /// The text up to the next blank.
    fn unquoted(&mut self, first: char) -> String {
        let mut text = String::from(first);
        while self.rest.peek().is_some_and(|c| !c.is_whitespace()) {
            text.extend(self.next());
        }
        text
    }
}
