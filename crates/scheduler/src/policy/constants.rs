//! Constants that several concerns share.
use crate::interface::Tick;

/// Ticks in a second.
pub(super) const TICKS_PER_SECOND: f64 = 10_000.0;

/// Ticks between two runs of Algorithm 1 (paper: 0.1 s).
pub(super) const ALLOCATION_INTERVAL: Tick = 1_000;

/// Ticks before a deadline at which a block I/O is answered at the latest: a timer may be a tick late, and the answer
/// needs time to reach the client.
pub(super) const DEADLINE_MARGIN: Tick = 60;
