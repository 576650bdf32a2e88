//! Lines, words and their places; values with units.
use std::fmt;
use std::net::SocketAddr;

/// One thing wrong with a file. Line and column count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    pub line: usize,
    pub column: usize,
    pub expected: String,
    pub found: String,
}

/// All that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    pub file: String,
    pub diagnostics: Vec<Diagnostic>,
}

impl Diagnostics {
    pub fn new(file: &str) -> Self {
        Diagnostics { file: file.to_owned(), diagnostics: Vec::new() }
    }

    pub fn is_empty(&self) -> bool {
        self.diagnostics.is_empty()
    }

    pub fn add(&mut self, at: Position, expected: impl Into<String>, found: impl Into<String>) {
        let (expected, found) = (expected.into(), found.into());
        self.diagnostics.push(Diagnostic { line: at.line, column: at.column, expected, found });
    }

    pub fn sorted(mut self) -> Self {
        self.diagnostics.sort();
        self.diagnostics.dedup();
        self
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, p) in self.diagnostics.iter().enumerate() {
            let end = if i == 0 { "" } else { "\n" };
            write!(f, "{end}{}:{}:{}: expected {}", self.file, p.line, p.column, p.expected)?;
            if !p.found.is_empty() {
                write!(f, ", found {}", p.found)?;
            }
        }
        Ok(())
    }
}

/// A place in the file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    pub text: String,
    pub position: Position,
}

/// The words of a line: split at blanks, `"…"` keeps blanks, `#` opens a comment.
pub fn tokenize(line: usize, text: &str, problems: &mut Diagnostics) -> Vec<Token> {
    let mut found = Vec::new();
    let mut chars = text.chars().enumerate().peekable();
    while let Some((i, c)) = chars.next() {
        let at = Position { line, column: i + 1 };
        match c {
            c if c.is_whitespace() => {}
            '#' => break,
            '"' => {
                let mut word = String::new();
                let mut closed = false;
                for (_, c) in chars.by_ref() {
                    if c == '"' {
                        closed = true;
                        break;
                    }
                    word.push(c);
                }
                if !closed {
                    problems.add(at, "a closing quote on the same line", "none");
                }
                found.push(Token { text: word, position: at });
            }
            c => {
                let mut word = String::from(c);
                while let Some((_, c)) = chars.next_if(|(_, c)| !c.is_whitespace()) {
                    word.push(c);
                }
                found.push(Token { text: word, position: at });
            }
        }
    }
    found
}

/// The words behind a directive, taken in turn. A value that is missing or wrong is noted once and the rest
/// of the line let be.
pub struct Arguments<'a> {
    words: &'a [Token],
    next: usize,
    end: Position,
    spoiled: bool,
    problems: &'a mut Diagnostics,
}

impl<'a> Arguments<'a> {
    pub fn new(words: &'a [Token], problems: &'a mut Diagnostics) -> Self {
        let last = words.last().expect("a directive");
        let end =
            Position { line: last.position.line, column: last.position.column + last.text.chars().count() };
        Arguments { words, next: 1, end, spoiled: false, problems }
    }

    pub fn position(&self) -> Position {
        self.words.get(self.next).map_or(self.end, |w| w.position)
    }

    pub fn has_more(&self) -> bool {
        self.next < self.words.len() && !self.spoiled
    }

    /// The next word if it is this one.
    pub fn accept(&mut self, text: &str) -> bool {
        let hit = self.has_more() && self.words[self.next].text == text;
        self.next += usize::from(hit);
        hit
    }

    pub fn value<T>(&mut self, expected: &str, read: impl FnOnce(&str) -> Option<T>) -> Option<T> {
        if self.spoiled {
            return None;
        }
        let word = self.words.get(self.next);
        let value = word.and_then(|w| read(&w.text));
        if value.is_none() {
            self.spoiled = true;
            let found = word.map_or("the end of the line".into(), |w| format!("`{}`", w.text));
            self.problems.add(self.position(), expected, found);
        }
        self.next += 1;
        value
    }

    pub fn text(&mut self, expected: &str) -> Option<String> {
        self.value(expected, |w| Some(w.to_owned()))
    }

    /// A name: letters, digits and `-_.:`.
    pub fn name(&mut self, expected: &str) -> Option<Token> {
        let at = self.position();
        let fits = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        let text = self.value(expected, |w| {
            (!w.is_empty() && w.len() <= 223 && w.chars().all(fits)).then(|| w.to_owned())
        })?;
        Some(Token { text, position: at })
    }

    pub fn integer(&mut self, expected: &str, from: u64, to: u64) -> Option<u64> {
        self.value(expected, |w| w.parse().ok().filter(|n| (from..=to).contains(n)))
    }

    pub fn number(&mut self, expected: &str, from: f64, to: f64) -> Option<f64> {
        self.value(expected, |w| w.parse().ok().filter(|n: &f64| n.is_finite() && (from..=to).contains(n)))
    }

    /// Units a second: `20/s`.
    pub fn rate(&mut self, expected: &str) -> Option<f64> {
        self.value(expected, |w| {
            w.strip_suffix("/s")?.parse().ok().filter(|n: &f64| n.is_finite() && (0.0..=1e12).contains(n))
        })
    }

    /// Thousandths of units a second, exactly: `20/s`, `0.125/s`.
    pub fn exact_rate(&mut self, expected: &str) -> Option<u64> {
        self.value(expected, |w| {
            let (whole, part) = w.strip_suffix("/s")?.split_once('.').unwrap_or((w.strip_suffix("/s")?, ""));
            let digits = |t: &str| t.chars().all(|c| c.is_ascii_digit());
            if whole.is_empty() || part.len() > 3 || !digits(whole) || !digits(part) {
                return None;
            }
            let part: u64 = format!("{part:0<3}").parse().ok()?;
            whole.parse::<u64>().ok()?.checked_mul(1000)?.checked_add(part)
        })
    }

    pub fn percent(&mut self, expected: &str) -> Option<f64> {
        self.value(expected, |w| {
            let n: f64 = w.strip_suffix('%')?.parse().ok()?;
            (n.is_finite() && (0.0..=100.0).contains(&n)).then_some(n / 100.0)
        })
    }

    pub fn duration(&mut self, expected: &str) -> Option<u64> {
        self.value(expected, |w| {
            with_unit(
                w,
                &[("us", 1), ("ms", 1000), ("s", 1_000_000), ("m", 60_000_000), ("h", 3_600_000_000)],
                86_400_000_000,
            )
        })
    }

    pub fn size(&mut self, expected: &str) -> Option<u64> {
        let units = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("TiB", 1 << 40)];
        self.value(expected, |w| with_unit(w, &units, 1 << 60))
    }

    pub fn address(&mut self, expected: &str) -> Option<SocketAddr> {
        self.value(expected, |w| w.parse().ok())
    }

    /// What stands on the line does not go together: each fault at its first word.
    pub fn report_conflicts(&mut self, all: &[String]) {
        let at = self.words.first().map_or(self.end, |w| w.position);
        for wrong in all.iter().filter(|_| !self.spoiled) {
            let (field, expected) = wrong.split_once(": expected ").unwrap_or(("the line", wrong));
            self.problems.add(at, expected, format!("another {field}"));
        }
    }

    /// Nothing may follow.
    pub fn expect_end(&mut self) {
        if !self.spoiled && self.next < self.words.len() {
            let word = &self.words[self.next];
            self.problems.add(word.position, "the end of the line", format!("`{}`", word.text));
        }
    }
}

/// A number, whole or with a decimal point, and its unit, in multiples of the smallest unit.
fn with_unit(word: &str, units: &[(&str, u64)], most: u64) -> Option<u64> {
    let split = word.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = word.split_at(split);
    let scale = units.iter().find(|u| u.0 == unit)?.1;
    let (whole, part) = number.split_once('.').unwrap_or((number, ""));
    if whole.is_empty() || part.len() > 9 || number.ends_with('.') {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let ten = 10u64.pow(part.len() as u32);
    let part: u64 = if part.is_empty() { 0 } else { part.parse().ok()? };
    let fine = u128::from(part) * u128::from(scale);
    // What does not come out whole in the smallest unit was not meant.
    if fine % u128::from(ten) != 0 {
        return None;
    }
    let all = u128::from(whole) * u128::from(scale) + fine / u128::from(ten);
    u64::try_from(all).ok().filter(|n| *n <= most)
}
