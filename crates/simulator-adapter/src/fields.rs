//! The values of one line: a message's name and its fields in order, each behind one space. `-` stands for an
//! absent value.
use crate::error::InputError;
use mallowseam_scheduler::interface::{AttemptResult, LoadReport, Tick};
use std::str::FromStr;

/// Microseconds in a tick of the scheduler.
pub const MICROS_PER_TICK: i64 = 100;

const ENDINGS: [(&str, AttemptResult); 8] = [
    ("done", AttemptResult::Completed),
    ("err", AttemptResult::Error),
    ("busy", AttemptResult::Rejected),
    ("etimedout", AttemptResult::TimedOut),
    ("econnrefused", AttemptResult::ConnectFailed),
    ("econnreset", AttemptResult::ConnectionReset),
    ("ecanceled", AttemptResult::Cancelled),
    ("skipped", AttemptResult::NotSent),
];

/// A line, of which values are taken one after the other.
pub struct Fields<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// The fields of a line.
    pub fn new(line: &'a str) -> Self {
        match line.split_once(' ') {
            Some((message, rest)) => Fields { message, rest: Some(rest) },
            None => Fields { message: line, rest: None },
        }
    }

    /// The message's name.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// All that follows, spaces and all.
    pub fn remainder(&self) -> &'a str {
        self.rest.unwrap_or_default()
    }

    /// The error for a field that is missing or invalid.
    pub fn invalid(&self, field: &'static str, expected: &str) -> InputError {
        InputError::InvalidField { message: self.message.to_owned(), field, expected: expected.to_owned() }
    }

    /// The next value; none where it is absent.
    pub fn next_value(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Some(value).filter(|value| *value != "-" && !value.is_empty())
    }

    /// Passes over a field that nothing here needs.
    pub fn skip(&mut self) {
        self.next_value();
    }

    /// A value that must be there.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, InputError> {
        self.next_value().ok_or_else(|| self.invalid(field, "a value"))
    }

    /// A whole number.
    pub fn whole_number(&mut self, field: &'static str) -> Result<u64, InputError> {
        self.parsed(field, "a whole number")
    }

    /// A time in microseconds, as ticks rounded down.
    pub fn ticks(&mut self, field: &'static str) -> Result<Tick, InputError> {
        let micros: i64 = self.parsed(field, "a time in microseconds")?;
        Ok(micros.div_euclid(MICROS_PER_TICK))
    }

    fn parsed<T: FromStr>(&mut self, field: &'static str, expected: &str) -> Result<T, InputError> {
        let value = self.next_value().and_then(|value| value.parse().ok());
        value.ok_or_else(|| self.invalid(field, expected))
    }

    /// A finite number that may be absent.
    pub fn optional_number(&mut self, field: &'static str) -> Result<Option<f64>, InputError> {
        let Some(value) = self.next_value() else { return Ok(None) };
        let number = value.parse().ok().filter(|number: &f64| number.is_finite());
        number.map(Some).ok_or_else(|| self.invalid(field, "a number"))
    }

    /// One of some words, as what it stands for.
    pub fn one_of<T: Copy>(&mut self, field: &'static str, words: &[(&str, T)]) -> Result<T, InputError> {
        let value = self.next_value().unwrap_or("-");
        let found = words.iter().find(|(word, _)| *word == value);
        found.map(|(_, meaning)| *meaning).ok_or_else(|| {
            let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.invalid(field, &known.join(", "))
        })
    }

    /// How an attempt or a probe ended.
    pub fn ending(&mut self) -> Result<AttemptResult, InputError> {
        self.one_of("ending", &ENDINGS)
    }

    /// A node's load report: name and value pairs, of which unknown ones are skipped.
    pub fn load_report(&mut self) -> Result<LoadReport, InputError> {
        let mut report = LoadReport::default();
        for pair in self.next_value().unwrap_or_default().split(',').filter(|pair| !pair.is_empty()) {
            let parsed =
                pair.split_once(':').and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
            let (name, value) = parsed.ok_or_else(|| self.invalid("pressure", "name:value pairs"))?;
            let value = Some(value).filter(|value| value.is_finite() && *value >= 0.0);
            match name {
                "backlog" => report.backlog = value,
                "recent_ms" => report.service_time_ms = value,
                "utilization" => report.utilization = value,
                _ => {}
            }
        }
        Ok(report)
    }
}
