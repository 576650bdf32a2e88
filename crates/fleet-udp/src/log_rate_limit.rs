//! Limit of log lines in a window of time.
#[cfg(test)]
mod tests;

use mallowseam_fleet::Millis;
use std::collections::BTreeMap;

/// Lines that are admitted in each window; further ones are counted.
const MAX_LINES_PER_WINDOW: u32 = 8;
/// Length of a window, in milliseconds.
const WINDOW: Millis = 1_000;

/// Numbers of suppressed lines, by what they would have said.
pub(crate) type SuppressedLines = BTreeMap<&'static str, u32>;

/// Limits log lines.
#[derive(Default)]
pub(crate) struct LogRateLimit {
    window_start: Millis,
    /// Lines admitted in this window.
    admitted: u32,
    /// Lines not admitted in this window.
    suppressed: SuppressedLines,
}

impl LogRateLimit {
    /// Starts a new window once the last one is over. Returns what was suppressed in the last one.
    pub fn renew(&mut self, now: Millis) -> SuppressedLines {
        if now < self.window_start + WINDOW {
            return SuppressedLines::new();
        }
        self.window_start = now;
        self.admitted = 0;
        std::mem::take(&mut self.suppressed)
    }

    /// Whether one more line may be logged in this window; if not, it is counted.
    pub fn admit(&mut self, subject: &'static str) -> bool {
        if self.admitted < MAX_LINES_PER_WINDOW {
            self.admitted += 1;
            return true;
        }
        *self.suppressed.entry(subject).or_default() += 1;
        false
    }
}
