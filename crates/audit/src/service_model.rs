//! What a node of a run can do: its speed, its queue, and how it warms up. Stand-ins follow it, and the audit knows by
//! it how much a node in slow start bears.
use crate::trace::Micros;

/// Service model of a node.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    /// Commands worked on at once.
    pub cores: usize,
    /// Work of one unit on one core, in microseconds.
    pub unit_work: f64,
    /// Bytes of one unit.
    pub unit_bytes: u64,
    /// Commands that may wait for a core.
    pub queue: usize,
    /// Part of its full speed that a node has right after a start.
    pub initial_speed: f64,
    /// Time from a start to full speed.
    pub warm_up: Micros,
    /// A warming node crashes when it receives this multiple of its present capacity within `overload_window`.
    pub overload_factor: f64,
    /// The window over which received units are counted.
    pub overload_window: Micros,
    /// Units within `overload_window` that never crash a warming node.
    pub tolerated_units: f64,
}

impl ServiceModel {
    /// A node that never warms up, with units of 4 KiB that take `unit_work` microseconds each.
    pub fn warm(cores: usize, unit_work: f64, queue: usize) -> ServiceModel {
        ServiceModel {
            cores,
            unit_work,
            unit_bytes: 4096,
            queue,
            initial_speed: 1.0,
            warm_up: 0,
            overload_factor: 2.0,
            overload_window: 0,
            tolerated_units: 0.0,
        }
    }

    /// Part of its full speed that a node has at this age.
    pub fn speed_fraction(&self, age: Micros) -> f64 {
        let grown = age as f64 / self.warm_up.max(1) as f64;
        (self.initial_speed + (1.0 - self.initial_speed) * grown).min(1.0)
    }

    /// Units that a node of this age bears within `overload_window`.
    pub fn overload_units(&self, age: Micros) -> f64 {
        let capacity = self.cores as f64 / self.unit_work * self.overload_window as f64;
        (self.overload_factor * self.speed_fraction(age) * capacity).max(self.tolerated_units)
    }
}
