//! Counters of block I/Os for the status log.

/// Numbers of block I/Os since startup by outcome, for the status log.
#[derive(Clone, Copy, Debug, Default)]
pub struct IoCounters {
    /// Block I/Os passed to the scheduler.
    pub admitted: u64,
    /// Block I/Os completed with a node's successful response.
    pub completed: u64,
    /// Block I/Os that were shed.
    pub shed: u64,
    /// Block I/Os that failed.
    pub failed: u64,
    /// Block I/Os whose client disconnected before the final response.
    pub disconnected: u64,
    /// Attempts started by the scheduler that were not sent to a node.
    pub unsent_attempts: u64,
    /// Readiness checks answered.
    pub readiness_checks: u64,
}
