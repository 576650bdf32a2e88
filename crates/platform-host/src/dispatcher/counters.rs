//! Counters for the status log.

/// Block I/Os by outcome, counted for the status log.
#[derive(Clone, Copy, Debug, Default)]
pub struct IoCounters {
    /// Block I/Os passed to the scheduler.
    pub admitted: u64,
    /// Completed with a node's good response.
    pub completed: u64,
    /// Shed.
    pub shed: u64,
    /// Failed.
    pub failed: u64,
    /// Those whose client disconnected first.
    pub disconnected: u64,
    /// Attempts that were not sent.
    pub unsent_attempts: u64,
    /// Readiness checks.
    pub readiness_checks: u64,
}
