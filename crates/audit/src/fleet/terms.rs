//! Guarantees of every host of a fleet: runs configure hosts with these settings, and the audit checks hosts against
//! them.

/// Grace time after a drain notification, in milliseconds; past it a host must not send to the draining node.
pub const DRAIN_GRACE_MS: u64 = 250;
/// Time after a node's start within which all hosts are notified of it, in milliseconds.
pub const POLL_DEADLINE_MS: u64 = 10_000;
/// Latency objective of reads, in milliseconds.
pub const READ_OBJECTIVE_MS: u64 = 300;
/// Latency objective of writes, in milliseconds.
pub const WRITE_OBJECTIVE_MS: u64 = 400;
/// Retry budget of each host.
pub const RETRY_BUDGET: RetryBudget = RetryBudget {
    free_retries: 3.0,
    retry_ratio: 0.25,
    window_ms: 5_000,
};
/// Limit of each volume on the limited plan.
pub const VOLUME_LIMIT: VolumeLimit = VolumeLimit {
    units_per_second: 12.0,
    burst: 24.0,
};
/// Interval between the indexes of volumes on the limited plan.
const LIMITED_VOLUME_EVERY: u32 = 3;

/// Returns whether a volume is on the limited plan.
pub fn has_limit(volume: u32) -> bool {
    volume.is_multiple_of(LIMITED_VOLUME_EVERY)
}

/// Limit on the retries that a host sends within a time window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub free_retries: f64,
    /// Further retries for each admitted operation.
    pub retry_ratio: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Token bucket that limits a volume.
#[derive(Clone, Copy, Debug)]
pub struct VolumeLimit {
    /// Refill rate, in units per second.
    pub units_per_second: f64,
    /// Capacity, in units.
    pub burst: f64,
}
