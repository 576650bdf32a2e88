//! The tokenizer of lines.
use crate::diagnostics::{Diagnostics, Position};
use std::iter::Peekable;
use std::str::Chars;

/// One token of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Text of the token, without quotes.
    pub text: String,
    /// Position of the token's first character.
    pub position: Position,
}

/// Splits a line into tokens, which are separated by whitespace. A token in `"…"` may contain whitespace; `#` at the
/// start of a token opens a comment. `line` is the line number for positions and diagnostics.
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

/// Iterator over the characters of a line.
struct Characters<'a> {
    rest: Peekable<Chars<'a>>,
    /// Column of the last character returned.
    column: usize,
}

impl Characters<'_> {
    fn next(&mut self) -> Option<char> {
        self.column += 1;
        self.rest.next()
    }

    /// Returns the text up to the closing quote, and whether there is a closing quote.
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

    /// Returns the text from `first` to the next whitespace.
    fn unquoted(&mut self, first: char) -> String {
        let mut text = String::from(first);
        while self.rest.peek().is_some_and(|c| !c.is_whitespace()) {
            text.extend(self.next());
        }
        text
    }
}
