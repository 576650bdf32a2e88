//! Constants that several concerns share.
use crate::interface::Tick;

pub(super) const ALLOCATION_INTERVAL: Tick = 1_000; // ticks between two runs of Algorithm 1 (paper: 0.1 s)
pub(super) const DEADLINE_MARGIN: Tick = 60; // ticks before a deadline: a timer tick, and the way back
