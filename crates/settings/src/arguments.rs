//! The arguments of a directive.
use crate::diagnostics::{Diagnostics, Position};
use crate::tokens::Token;
use crate::units;
use std::net::SocketAddr;

/// Maximum length of a name, in bytes: that of an iSCSI name (RFC 7143, section 4.2.7.1).
const MAX_NAME_LEN: usize = 223;

/// Reader of the tokens after a directive. The parameter `expected` of its methods is the text of the diagnostic for a
/// value that is missing or invalid; a line gets one such diagnostic, and the rest of it is skipped.
pub struct Arguments<'a> {
    tokens: &'a [Token],
    next: usize,
    /// Position of the end of the line.
    end: Position,
    failed: bool,
    diagnostics: &'a mut Diagnostics,
}

impl<'a> Arguments<'a> {
    /// Creates a reader of the arguments of the directive that is the first of these tokens.
    ///
    /// # Panics
    ///
    /// If there are no tokens.
    #[must_use]
    pub fn new(tokens: &'a [Token], diagnostics: &'a mut Diagnostics) -> Self {
        let last = tokens.last().expect("the line has a directive");
        let Position { line, column } = last.position;
        let end = Position {
            line,
            column: column + last.text.chars().count(),
        };
        Arguments {
            tokens,
            next: 1,
            end,
            failed: false,
            diagnostics,
        }
    }

    /// Returns the position of the next token, or of the end of the line.
    #[must_use]
    pub fn position(&self) -> Position {
        self.tokens.get(self.next).map_or(self.end, |t| t.position)
    }

    /// Whether there is another token to read.
    #[must_use]
    pub fn has_more(&self) -> bool {
        self.next < self.tokens.len() && !self.failed
    }

    /// Consumes the next token if it is this keyword, and returns whether it was.
    pub fn accept(&mut self, keyword: &str) -> bool {
        let found = self.has_more() && self.tokens[self.next].text == keyword;
        self.next += usize::from(found);
        found
    }

    /// Reads the next token with `parse`; adds a diagnostic if the token is missing or `parse` rejects it.
    pub fn value<T>(&mut self, expected: &str, parse: impl FnOnce(&str) -> Option<T>) -> Option<T> {
        if self.failed {
            return None;
        }
        let token = self.tokens.get(self.next);
        let value = token.and_then(|t| parse(&t.text));
        if value.is_none() {
            let found = token.map_or("the end of the line".into(), |t| format!("`{}`", t.text));
            self.diagnostics.add(self.position(), expected, found);
            self.failed = true;
        }
        self.next += 1;
        value
    }

    /// Adds a diagnostic about the next token or, after the last token, about the end of the line.
    pub fn reject(&mut self, expected: &str) {
        self.value::<()>(expected, |_| None);
    }

    /// Reads any text.
    pub fn text(&mut self, expected: &str) -> Option<String> {
        self.value(expected, |text| Some(text.to_owned()))
    }

    /// Reads a name of letters, digits and `-_.:`.
    pub fn name(&mut self, expected: &str) -> Option<Token> {
        let position = self.position();
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        let is_name = |text: &str| {
            !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(is_allowed)
        };
        let text = self.value(expected, |text| is_name(text).then(|| text.to_owned()))?;
        Some(Token { text, position })
    }

    /// Reads an integer from `min` to `max`, both included.
    pub fn integer(&mut self, expected: &str, min: u64, max: u64) -> Option<u64> {
        self.value(expected, |text| {
            text.parse().ok().filter(|n| (min..=max).contains(n))
        })
    }

    /// Reads a number from `min` to `max`, both included.
    pub fn number(&mut self, expected: &str, min: f64, max: f64) -> Option<f64> {
        let in_bounds = |n: &f64| n.is_finite() && (min..=max).contains(n);
        self.value(expected, |text| text.parse().ok().filter(in_bounds))
    }

    /// Reads a rate such as `20/s`, in units per second.
    pub fn rate(&mut self, expected: &str) -> Option<f64> {
        self.value(expected, units::parse_rate)
    }

    /// Reads a rate such as `0.125/s`, in thousandths of a unit per second, without rounding.
    pub fn exact_rate(&mut self, expected: &str) -> Option<u64> {
        self.value(expected, units::parse_exact_rate)
    }

    /// Reads a percentage such as `35%`, as a ratio from 0 to 1.
    pub fn percent(&mut self, expected: &str) -> Option<f64> {
        self.value(expected, units::parse_percent)
    }

    /// Reads a duration such as `200ms`, in microseconds.
    pub fn duration(&mut self, expected: &str) -> Option<u64> {
        self.value(expected, units::parse_duration)
    }

    /// Reads a size such as `4KiB`, in bytes.
    pub fn size(&mut self, expected: &str) -> Option<u64> {
        self.value(expected, units::parse_size)
    }

    /// Reads an IP address and port.
    pub fn address(&mut self, expected: &str) -> Option<SocketAddr> {
        self.value(expected, |text| text.parse().ok())
    }

    /// Adds diagnostics at the first token of the line about values that contradict each other or a bound. Each conflict
    /// has the form `FIELD: expected …`.
    pub fn report_conflicts(&mut self, conflicts: &[String]) {
        if self.failed {
            return;
        }
        let position = self.tokens.first().map_or(self.end, |t| t.position);
        for conflict in conflicts {
            let (field, expected) = conflict
                .split_once(": expected ")
                .unwrap_or(("the line", conflict));
            self.diagnostics
                .add(position, expected, format!("another value for {field}"));
        }
    }

    /// Adds a diagnostic if there is another token.
    pub fn expect_end(&mut self) {
        if self.has_more() {
            let token = &self.tokens[self.next];
            self.diagnostics.add(
                token.position,
                "the end of the line",
                format!("`{}`", token.text),
            );
        }
    }
}
