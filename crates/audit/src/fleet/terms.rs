//! What every host of a fleet promises: the settings that runs give to hosts and that the audit checks them against.

/// Time after which a host must not send to a node that it was notified is draining, in milliseconds.
pub const DRAIN_GRACE_MS: u64 = 250;
/// Time within which hosts are notified of a node's start, in milliseconds.
pub const POLL_DEADLINE_MS: u64 = 10_000;
/// Latency objective of reads, in milliseconds.
pub const READ_OBJECTIVE_MS: u64 = 300;
/// Latency objective of writes, in milliseconds.
pub const WRITE_OBJECTIVE_MS: u64 = 400;
/// The retry budget of a host.
pub const RETRY_BUDGET: RetryBudget = RetryBudget {
    free_retries: 3.0,
    retry_ratio: 0.25,
    window_ms: 5_000,
};
/// The limit of each volume on the limited plan.
pub const VOLUME_LIMIT: VolumeLimit = VolumeLimit {
    units_per_second: 12.0,
    burst: 24.0,
};
/// One volume in so many is on the limited plan.
const LIMITED_VOLUME_EVERY: u32 = 3;

/// Whether a volume is on the limited plan.
pub fn has_limit(volume: u32) -> bool {
    volume.is_multiple_of(LIMITED_VOLUME_EVERY)
}

/// How many retries a host may send within a time window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub free_retries: f64,
    /// Further retries for each admitted operation.
    pub retry_ratio: f64,
    /// The window in milliseconds.
    pub window_ms: u64,
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct VolumeLimit {
    /// Refill rate.
    pub units_per_second: f64,
    /// Capacity.
    pub burst: f64,
}
