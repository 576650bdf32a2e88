//! I/O classes of the configuration.
use mallowseam_scheduler::interface::Tick;
use mallowseam_settings::config::{self, Idempotency};
use mallowseam_sockets::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};

/// An I/O class of the configuration.
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

    /// Ticks after which a client gives up.
    pub(super) fn deadline(&self) -> Tick {
        self.deadline
    }

    /// Ticks within which block I/Os are to complete.
    pub(super) fn latency_objective(&self) -> Tick {
        self.latency_objective
    }

    /// Whether running a block I/O twice does harm.
    pub(super) fn is_non_idempotent(&self) -> bool {
        self.idempotency == Idempotency::NonIdempotent
    }
}
