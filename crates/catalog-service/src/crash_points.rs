//! Crash points: numbered points at which a test can make the process abort.

/// Counts the crash points that the process passes.
pub(crate) struct CrashPoints {
    passed_count: u64,
    /// Number of the crash point at which the process aborts. None: it does not abort.
    crash_at: Option<u64>,
}

impl CrashPoints {
    /// Returns crash points of which the one with the number `crash_at` aborts the process. The first has the number 1.
    pub(crate) fn new(crash_at: Option<u64>) -> Self {
        CrashPoints {
            passed_count: 0,
            crash_at,
        }
    }

    /// Passes the next crash point, or aborts the process if that is the one to crash at.
    pub(crate) fn pass(&mut self) {
        self.passed_count += 1;
        if self.crash_at == Some(self.passed_count) {
            std::process::abort();
        }
    }
}
