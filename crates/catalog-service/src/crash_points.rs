//! Points at which tests have the process crash.

/// Counts the crash points that the process passes.
pub(crate) struct CrashPoints {
    passed: u64,
    /// The point at which the process aborts, if it is to.
    crash_at: Option<u64>,
}

impl CrashPoints {
    /// Crashes at the crash point of this number; the first is 1.
    pub(crate) fn new(crash_at: Option<u64>) -> Self {
        CrashPoints {
            passed: 0,
            crash_at,
        }
    }

    /// Passes a crash point, or aborts the process there.
    pub(crate) fn pass(&mut self) {
        self.passed += 1;
        if self.crash_at == Some(self.passed) {
            std::process::abort();
        }
    }
}
