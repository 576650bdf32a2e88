//! Counters and latencies that a host keeps for its status.
use hdrhistogram::Histogram;
use mallowseam_scheduler::interface::AttemptResult;
use serde::{Deserialize, Serialize};

/// Largest latency that a histogram tells apart: an hour in microseconds.
const MAX_LATENCY: u64 = 3_600_000_000;
/// Decimal digits that a histogram keeps of a latency.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Outcomes of commands, or of block I/Os, counted.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CommandCounts {
    /// Admitted.
    #[serde(rename = "taken")]
    pub admitted: u64,
    /// Completed.
    #[serde(rename = "ended")]
    pub completed: u64,
    /// Shed for want of capacity.
    pub shed: u64,
    /// Failed, with an unknown outcome at the nodes.
    pub failed: u64,
    /// The client disconnected or aborted before the answer.
    #[serde(rename = "left")]
    pub abandoned: u64,
}

/// Counters and latencies of an I/O class.
pub(crate) struct ClassMetrics {
    pub(crate) counts: CommandCounts,
    /// Completed block I/Os that took longer than the latency objective.
    pub(crate) late: u64,
    /// Microseconds from admission to completion.
    pub(crate) latencies: Histogram<u64>,
}

impl Default for ClassMetrics {
    fn default() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
            .expect("the bounds are in order");
        ClassMetrics {
            counts: CommandCounts::default(),
            late: 0,
            latencies,
        }
    }
}

/// Attempts sent to a storage node, by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeMetrics {
    pub(crate) attempts: u64,
    pub(crate) completed: u64,
    pub(crate) busy: u64,
    pub(crate) errors: u64,
    pub(crate) timed_out: u64,
    pub(crate) not_connected: u64,
    pub(crate) reset: u64,
    pub(crate) cancelled: u64,
}

impl NodeMetrics {
    /// Counts an attempt that has ended.
    pub(crate) fn count(&mut self, result: AttemptResult) {
        *match result {
            AttemptResult::Completed => &mut self.completed,
            AttemptResult::Rejected => &mut self.busy,
            AttemptResult::TimedOut => &mut self.timed_out,
            AttemptResult::ConnectFailed => &mut self.not_connected,
            AttemptResult::ConnectionReset => &mut self.reset,
            AttemptResult::Cancelled | AttemptResult::NotSent => &mut self.cancelled,
            AttemptResult::Error => &mut self.errors,
        } += 1;
    }
}

/// Load of a volume in units.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VolumeMetrics {
    pub(crate) requested: f64,
    pub(crate) completed: f64,
}

/// All counters of a host, by the indices of its configuration.
#[derive(Default)]
pub(crate) struct Metrics {
    pub(crate) commands: CommandCounts,
    pub(crate) classes: Vec<ClassMetrics>,
    pub(crate) nodes: Vec<NodeMetrics>,
    pub(crate) volumes: Vec<VolumeMetrics>,
}

impl Metrics {
    /// Counters for so many I/O classes, nodes and volumes, all zero.
    pub(crate) fn new(classes: usize, nodes: usize, volumes: usize) -> Self {
        Metrics {
            commands: CommandCounts::default(),
            classes: std::iter::repeat_with(ClassMetrics::default)
                .take(classes)
                .collect(),
            nodes: vec![NodeMetrics::default(); nodes],
            volumes: vec![VolumeMetrics::default(); volumes],
        }
    }
}
