//! Rate limit of log lines.
#[cfg(test)]
mod tests;

use mallowseam_fleet::Millis;
use std::collections::BTreeMap;

/// Maximum number of lines that are logged in each window. Further lines are suppressed and counted.
const MAX_LINES_PER_WINDOW: u32 = 8;
/// Length of a window, in milliseconds.
const WINDOW: Millis = 1_000;

/// Numbers of suppressed lines, by subject.
pub(crate) type SuppressedLines = BTreeMap<&'static str, u32>;

/// Limit of the number of log lines in each window of time.
#[derive(Default)]
pub(crate) struct LogRateLimit {
    /// Start of the current window.
    window_start: Millis,
    /// Number of lines that were logged in the current window.
    admitted: u32,
    /// Lines that were suppressed in the current window.
    suppressed: SuppressedLines,
}

impl LogRateLimit {
    /// Starts a new window if the current one is over. Returns the lines that were suppressed in the window that ended.
    pub fn renew_window(&mut self, now: Millis) -> SuppressedLines {
        if now < self.window_start + WINDOW {
            return SuppressedLines::new();
        }
        self.window_start = now;
        self.admitted = 0;
        std::mem::take(&mut self.suppressed)
    }

    /// Returns whether a line may be logged in the current window. If not, counts it as suppressed.
    pub fn admit(&mut self, subject: &'static str) -> bool {
        if self.admitted < MAX_LINES_PER_WINDOW {
            self.admitted += 1;
            return true;
        }
        *self.suppressed.entry(subject).or_default() += 1;
        false
    }
}
