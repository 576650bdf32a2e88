//! The values behind a directive.
use crate::diagnostics::{Diagnostics, Position};
use crate::tokens::Token;
use crate::units;
use std::net::SocketAddr;

/// Longest name, in bytes: that of an iSCSI name (RFC 7143, section 4.2.7.1).
const MAX_NAME_LEN: usize = 223;

/// Reads the tokens behind a directive one after the other. `expected` is what the diagnostic asks for where a value is
/// missing or invalid; such a line gets one diagnostic, and the rest of it is skipped.
pub struct Arguments<'a> {
    tokens: &'a [Token],
    next: usize,
    /// Where the line ends.
    end: Position,
    failed: bool,
    diagnostics: &'a mut Diagnostics,
}

impl<'a> Arguments<'a> {
    /// The arguments of the directive that is the first of these tokens.
    ///
    /// # Panics
    ///
    /// Without any token.
    #[must_use]
    pub fn new(tokens: &'a [Token], diagnostics: &'a mut Diagnostics) -> Self {
        let last = tokens.last().expect("a directive");
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

    /// Where the next token begins, or the line ends.
    #[must_use]
    pub fn position(&self) -> Position {
        self.tokens.get(self.next).map_or(self.end, |t| t.position)
    }

    /// Whether another token follows that can be read.
    #[must_use]
    pub fn has_more(&self) -> bool {
        self.next < self.tokens.len() && !self.failed
    }

    /// Takes the next token if it is this keyword.
    pub fn accept(&mut self, keyword: &str) -> bool {
        let found = self.has_more() && self.tokens[self.next].text == keyword;
        self.next += usize::from(found);
        found
    }

    /// The next token as `parse` reads it.
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

    /// Rejects the next token, or the end of the line.
    pub fn reject(&mut self, expected: &str) {
        self.value::<()>(expected, |_| None);
    }

    /// Any text.
    pub fn text(&mut self, expected: &str) -> Option<String> {
        self.value(expected, |text| Some(text.to_owned()))
    }

    /// A name: letters, digits and `-_.:`.
    pub fn name(&mut self, expected: &str) -> Option<Token> {
        let position = self.position();
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        let is_name = |text: &str| {
            !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(is_allowed)
        };
        let text = self.value(expected, |text| is_name(text).then(|| text.to_owned()))?;
        Some(Token { text, position })
    }

    /// An integer within bounds, both included.
    pub fn integer(&mut self, expected: &str, min: u64, max: u64) -> Option<u64> {
        self.value(expected, |text| {
            text.parse().ok().filter(|n| (min..=max).contains(n))
        })
    }

    /// A number within bounds, both included.
    pub fn number(&mut self, expected: &str, min: f64, max: f64) -> Option<f64> {
        let in_bounds = |n: &f64| n.is_finite() && (min..=max).contains(n);
        self.value(expected, |text| text.parse().ok().filter(in_bounds))
    }

    /// A rate such as `20/s`, in units per second.
    pub fn rate(&mut self, expected: &str) -> Option<f64> {
        self.value(expected, units::parse_rate)
    }

    /// A rate such as `0.125/s`, in thousandths of a unit per second, without rounding.
    pub fn exact_rate(&mut self, expected: &str) -> Option<u64> {
        self.value(expected, units::parse_exact_rate)
    }

    /// A percentage such as `35%`, as a ratio from 0 to 1.
    pub fn percent(&mut self, expected: &str) -> Option<f64> {
        self.value(expected, units::parse_percent)
    }

    /// A duration such as `200ms`, in microseconds.
    pub fn duration(&mut self, expected: &str) -> Option<u64> {
        self.value(expected, units::parse_duration)
    }

    /// A size such as `4KiB`, in bytes.
    pub fn size(&mut self, expected: &str) -> Option<u64> {
        self.value(expected, units::parse_size)
    }

    /// An address and port.
    pub fn address(&mut self, expected: &str) -> Option<SocketAddr> {
        self.value(expected, |text| text.parse().ok())
    }

    /// Reports that values of the line do not fit together, at its first token. Each conflict is
    /// `FIELD: expected …`.
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
                .add(position, expected, format!("another {field}"));
        }
    }

    /// Reports whatever follows.
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
