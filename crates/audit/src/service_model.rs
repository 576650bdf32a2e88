//! Service model of a node: speed, queue and slow start. Stand-ins implement it, and the audit derives from it how much
//! load a node in slow start tolerates.
use crate::trace::Micros;

/// Service model of a node.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    /// Number of commands that are executed at the same time.
    pub cores: usize,
    /// Work of one unit on one core, in microseconds.
    pub unit_work: f64,
    /// Size of a unit, in bytes.
    pub unit_bytes: u64,
    /// Maximum number of commands that wait for a core.
    pub queue: usize,
    /// Fraction of its full speed that a node has right after a start.
    pub initial_speed: f64,
    /// Time from a start to full speed, in microseconds.
    pub warm_up: Micros,
    /// Multiple of its current capacity above which a node in slow start crashes, counted over `overload_window`.
    pub overload_factor: f64,
    /// Window over which received units are counted, in microseconds.
    pub overload_window: Micros,
    /// Units within `overload_window` that a node in slow start always tolerates.
    pub tolerated_units: f64,
}

impl ServiceModel {
    /// Returns the model of a node without slow start, with units of 4 KiB that take `unit_work` microseconds each.
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

    /// Returns the fraction of its full speed that a node of this age has.
    pub fn speed_fraction(&self, age: Micros) -> f64 {
        let progress = age as f64 / self.warm_up.max(1) as f64;
        (self.initial_speed + (1.0 - self.initial_speed) * progress).min(1.0)
    }

    /// Returns the units that a node of this age tolerates within `overload_window`.
    pub fn overload_units(&self, age: Micros) -> f64 {
        let capacity = self.cores as f64 / self.unit_work * self.overload_window as f64;
        (self.overload_factor * self.speed_fraction(age) * capacity).max(self.tolerated_units)
    }
}
