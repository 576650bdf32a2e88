//! Reader of the fields of one line: a message's name, then its values in order, separated by one space each. `-` stands
//! for an absent value.
use crate::error::InputError;
use mallowseam_scheduler::interface::{AttemptResult, LoadReport, Tick};
use std::str::FromStr;

/// Length of a tick of the scheduler, in microseconds.
pub const MICROS_PER_TICK: i64 = 100;

const ATTEMPT_RESULTS: [(&str, AttemptResult); 8] = [
    ("done", AttemptResult::Completed),
    ("err", AttemptResult::Error),
    ("busy", AttemptResult::Rejected),
    ("etimedout", AttemptResult::TimedOut),
    ("econnrefused", AttemptResult::ConnectFailed),
    ("econnreset", AttemptResult::ConnectionReset),
    ("ecanceled", AttemptResult::Cancelled),
    ("skipped", AttemptResult::NotSent),
];

/// Reader of the values of a line in their order.
pub struct Fields<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of the fields of a line.
    pub fn new(line: &'a str) -> Self {
        match line.split_once(' ') {
            Some((message, rest)) => Fields {
                message,
                rest: Some(rest),
            },
            None => Fields {
                message: line,
                rest: None,
            },
        }
    }

    /// Returns the message's name.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// Returns the rest of the line, with its spaces.
    pub fn remainder(&self) -> &'a str {
        self.rest.unwrap_or_default()
    }

    /// Returns the error for a field that is missing or invalid.
    pub fn invalid(&self, field: &'static str, expected: &str) -> InputError {
        InputError::InvalidField {
            message: self.message.to_owned(),
            field,
            expected: expected.to_owned(),
        }
    }

    /// Reads the next value; returns none if it is absent.
    pub fn next_value(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Some(value).filter(|value| *value != "-" && !value.is_empty())
    }

    /// Skips a field that the adapter does not use.
    pub fn skip(&mut self) {
        self.next_value();
    }

    /// Reads a value that must be present.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, InputError> {
        self.next_value()
            .ok_or_else(|| self.invalid(field, "a value"))
    }

    /// Reads an unsigned integer.
    pub fn unsigned_integer(&mut self, field: &'static str) -> Result<u64, InputError> {
        self.parsed(field, "a whole number")
    }

    /// Reads a time in microseconds, and returns it in ticks, rounded down.
    pub fn ticks(&mut self, field: &'static str) -> Result<Tick, InputError> {
        let micros: i64 = self.parsed(field, "a time in microseconds")?;
        Ok(micros.div_euclid(MICROS_PER_TICK))
    }

    fn parsed<T: FromStr>(&mut self, field: &'static str, expected: &str) -> Result<T, InputError> {
        let value = self.next_value().and_then(|value| value.parse().ok());
        value.ok_or_else(|| self.invalid(field, expected))
    }

    /// Reads a finite number that may be absent.
    pub fn optional_number(&mut self, field: &'static str) -> Result<Option<f64>, InputError> {
        let Some(value) = self.next_value() else {
            return Ok(None);
        };
        let number = value.parse().ok().filter(|number: &f64| number.is_finite());
        number
            .map(Some)
            .ok_or_else(|| self.invalid(field, "a number"))
    }

    /// Reads one of these names and returns its meaning.
    pub fn one_of<T: Copy>(
        &mut self,
        field: &'static str,
        names: &[(&str, T)],
    ) -> Result<T, InputError> {
        let value = self.next_value().unwrap_or("-");
        let found = names.iter().find(|(name, _)| *name == value);
        found.map(|(_, meaning)| *meaning).ok_or_else(|| {
            let known: Vec<&str> = names.iter().map(|(name, _)| *name).collect();
            self.invalid(field, &known.join(", "))
        })
    }

    /// Reads the result of an attempt or a probe.
    pub fn attempt_result(&mut self) -> Result<AttemptResult, InputError> {
        self.one_of("ending", &ATTEMPT_RESULTS)
    }

    /// Reads a node's load report: pairs of a name and a value, of which unknown ones are skipped.
    pub fn load_report(&mut self) -> Result<LoadReport, InputError> {
        let mut report = LoadReport::default();
        for pair in self
            .next_value()
            .unwrap_or_default()
            .split(',')
            .filter(|pair| !pair.is_empty())
        {
            let parsed = pair
                .split_once(':')
                .and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
            let (name, value) =
                parsed.ok_or_else(|| self.invalid("pressure", "name:value pairs"))?;
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
