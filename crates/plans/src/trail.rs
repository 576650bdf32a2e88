//! The trail: one line for each version, in which the hash of the line before stands. A line that was altered,
//! left out or put in is found by the first one that does not follow.
use crate::state::{Change, Refused, State};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What stands in place of a line before the first one.
pub const BEGINNING: &str = "0000000000000000000000000000000000000000000000000000000000000000";
/// Longest author and reason.
const WORDS_MOST: usize = 500;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    pub version: u64,
    /// Seconds since 1970 by the service's clock: for readers, nothing is decided by it.
    pub at: u64,
    pub author: String,
    pub reason: String,
    pub change: Change,
    /// Hash of the line before.
    pub after: String,
}

/// What is wrong with a trail: the first line that does not follow, counted from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub line: u64,
    pub why: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "trail line {}: {}", self.line, self.why)
    }
}

/// A state with the trail that led to it, of which it knows the last hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trail {
    pub state: State,
    last: String,
}

impl Default for Trail {
    fn default() -> Self {
        Trail { state: State::default(), last: BEGINNING.to_owned() }
    }
}

impl Trail {
    /// Hash of the last line.
    pub fn last(&self) -> &str {
        &self.last
    }

    /// The line that a change would be, made by someone who has seen version `expected`. Nothing is changed: of
    /// two that were made for the same version, the one whose line is followed first wins.
    pub fn propose(
        &self,
        expected: u64,
        author: &str,
        reason: &str,
        at: u64,
        change: Change,
    ) -> Result<String, Refused> {
        if expected != self.state.version {
            return Err(Refused::Late { expected, stands: self.state.version });
        }
        let said = |words: &str| !words.trim().is_empty() && words.len() <= WORDS_MOST;
        if !said(author) || !said(reason) {
            return Err(Refused::NoReason);
        }
        self.state.check(&change)?;
        let (author, reason) = (author.to_owned(), reason.to_owned());
        let line = Line { version: expected + 1, at, author, reason, change, after: self.last.clone() };
        Ok(serde_json::to_string(&line).expect("plain"))
    }

    /// Takes the next line up, as it was written. Error, and nothing changed, where it does not follow.
    pub fn follow(&mut self, text: &str) -> Result<Line, Broken> {
        let due = self.state.version + 1;
        let broken = |why: String| Broken { line: due, why };
        let line: Line = serde_json::from_str(text).map_err(|e| broken(e.to_string()))?;
        // What is hashed is what is read: a line that could be written otherwise is none of ours.
        if serde_json::to_string(&line).ok().as_deref() != Some(text) {
            return Err(broken("is not as the service writes it".into()));
        }
        if line.after != self.last {
            return Err(broken("does not follow the line before".into()));
        }
        if line.version != due {
            return Err(broken(format!("version {} where {due} is due", line.version)));
        }
        self.state.apply(&line.change).map_err(|r| broken(r.to_string()))?;
        self.last = blake3::hash(text.as_bytes()).to_hex().to_string();
        Ok(line)
    }

    /// Replays lines from nothing.
    pub fn replay<'a>(lines: impl Iterator<Item = &'a str>) -> Result<Trail, Broken> {
        let mut trail = Trail::default();
        for line in lines {
            trail.follow(line)?;
        }
        Ok(trail)
    }

    /// Goes on from a state that was written down at some line, with that line's hash.
    pub fn from_base(state: State, last: String) -> Trail {
        Trail { state, last }
    }
}
