//! What a stand-in node can do: its speed, its queue, and how it warms up.
use crate::trace::Micros;

/// Service model of a node.
#[derive(Clone, Debug)]
pub struct Model {
    /// Commands worked on at once.
    pub cores: usize,
    /// Work of one unit on one core, in microseconds.
    pub unit_work: f64,
    /// Bytes of one unit.
    pub unit_bytes: u64,
    /// Commands that may wait for a core.
    pub queue: usize,
    /// Part of its full speed that a node has right after a start.
    pub cold_from: f64,
    /// Time from a start to full speed.
    pub cold_span: Micros,
    /// A warming node crashes when it receives this multiple of its present capacity within `fall_span`.
    pub fall_multiple: f64,
    /// The window over which received units are counted.
    pub fall_span: Micros,
    /// Units within `fall_span` that never crash a warming node.
    pub cold_bears: f64,
}

impl Model {
    /// A node that never warms up, with units of 4 KiB that take `unit_work` microseconds.
    pub fn quick(cores: usize, unit_work: f64, queue: usize) -> Model {
        Model {
            cores,
            unit_work,
            unit_bytes: 4096,
            queue,
            cold_from: 1.0,
            cold_span: 0,
            fall_multiple: 2.0,
            fall_span: 0,
            cold_bears: 0.0,
        }
    }

    /// Part of its full speed that a node has at this age.
    pub fn warmth(&self, age: Micros) -> f64 {
        let grown = age as f64 / self.cold_span.max(1) as f64;
        (self.cold_from + (1.0 - self.cold_from) * grown).min(1.0)
    }

    /// Units that a node of this age bears within `fall_span`.
    pub fn bears(&self, age: Micros) -> f64 {
        let capacity = self.cores as f64 / self.unit_work * self.fall_span as f64;
        (self.fall_multiple * self.warmth(age) * capacity).max(self.cold_bears)
    }
}
