//! Constants shared by several policy modules.
use crate::interface::Tick;

/// Number of ticks in a second.
pub(super) const TICKS_PER_SECOND: f64 = 10_000.0;

/// Allocation interval: ticks between two runs of Algorithm 1 (0.1 s, as in the paper).
pub(super) const ALLOCATION_INTERVAL: Tick = 1_000;

/// Ticks before its deadline by which a block I/O must be answered. A timer may fire a tick late, and the answer needs
/// time to reach the client.
pub(super) const DEADLINE_MARGIN: Tick = 60;
