//! Constants that several concerns share.
use crate::interface::Tick;

pub(super) const WINDOW: Tick = 1_000; // ticks between two runs of the allocation: the paper's 0.1 s
pub(super) const DEADLINE_MARGIN: Tick = 60; // ticks before a deadline: one of the host, and the way back
