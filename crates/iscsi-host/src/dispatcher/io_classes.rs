//! I/O classes of the configuration.
use mallowseam_scheduler::interface::Tick;
use mallowseam_settings::config::{self, Idempotency};
use mallowseam_sockets::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};

/// A configured I/O class.
pub(super) struct IoClass {
    deadline: Tick,
    latency_objective: Tick,
    idempotency: Idempotency,
}

impl IoClass {
    pub(super) fn new(class: &config::IoClass) -> Self {
        IoClass {
            deadline: ticks_from_micros_floor(class.deadline),
            latency_objective: ticks_from_micros_ceil(class.latency_objective),
            idempotency: class.idempotency,
        }
    }

    /// Returns the deadline of block I/Os, in ticks from arrival. Clients give up after it.
    pub(super) fn deadline(&self) -> Tick {
        self.deadline
    }

    /// Returns the latency objective of block I/Os, in ticks from arrival.
    pub(super) fn latency_objective(&self) -> Tick {
        self.latency_objective
    }

    /// Returns whether block I/Os must not run twice.
    pub(super) fn is_non_idempotent(&self) -> bool {
        self.idempotency == Idempotency::NonIdempotent
    }
}
