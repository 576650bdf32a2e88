//! Counters and latencies that a host keeps for its status.
use hdrhistogram::Histogram;
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_scheduler::interface::{AttemptResult, NodeId, Tick};
use serde::{Deserialize, Serialize};

/// Largest latency that a histogram tells apart: an hour in microseconds.
const MAX_LATENCY: u64 = 3_600_000_000;
/// Decimal digits that a histogram keeps of a latency.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Microseconds in a tick.
const MICROS_PER_TICK: u64 = 100;

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

impl CommandCounts {
    /// Counts a command, or a block I/O, that has its final answer.
    fn count(&mut self, outcome: RequestOutcome) {
        *match outcome {
            RequestOutcome::Completed => &mut self.completed,
            RequestOutcome::Shed { .. } => &mut self.shed,
            RequestOutcome::Failed => &mut self.failed,
        } += 1;
    }
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
    fn count(&mut self, result: AttemptResult) {
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
    commands: CommandCounts,
    classes: Vec<ClassMetrics>,
    nodes: Vec<NodeMetrics>,
    volumes: Vec<VolumeMetrics>,
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

    /// Outcomes of commands.
    pub(crate) fn commands(&self) -> CommandCounts {
        self.commands
    }

    /// By I/O class.
    pub(crate) fn classes(&self) -> &[ClassMetrics] {
        &self.classes
    }

    /// By node.
    pub(crate) fn nodes(&self) -> &[NodeMetrics] {
        &self.nodes
    }

    /// By volume.
    pub(crate) fn volumes(&self) -> &[VolumeMetrics] {
        &self.volumes
    }

    /// A command was admitted.
    pub(crate) fn command_admitted(&mut self) {
        self.commands.admitted += 1;
    }

    /// A command has its final answer.
    pub(crate) fn command_answered(&mut self, outcome: RequestOutcome) {
        self.commands.count(outcome);
    }

    /// The client of a command does not wait for its answer any more.
    pub(crate) fn command_abandoned(&mut self) {
        self.commands.abandoned += 1;
    }

    /// A block I/O of a class was passed to the scheduler.
    pub(crate) fn block_io_admitted(&mut self, class: usize) {
        self.classes[class].counts.admitted += 1;
    }

    /// A block I/O of a class has completed. `latency`: ticks that it took; `objective`: that it was to take
    /// at most.
    pub(crate) fn block_io_completed(&mut self, class: usize, latency: Tick, objective: Tick) {
        let class = &mut self.classes[class];
        class.counts.count(RequestOutcome::Completed);
        class.late += u64::from(latency > objective);
        class
            .latencies
            .saturating_record(latency.max(0) as u64 * MICROS_PER_TICK);
    }

    /// A block I/O of a class was shed or has failed.
    pub(crate) fn block_io_not_completed(&mut self, class: usize, outcome: RequestOutcome) {
        self.classes[class].counts.count(outcome);
    }

    /// Clients have requested units of a volume.
    pub(crate) fn units_requested(&mut self, volume: usize, units: f64) {
        self.volumes[volume].requested += units;
    }

    /// Units that clients requested of a volume have completed.
    pub(crate) fn units_completed(&mut self, volume: usize, units: f64) {
        self.volumes[volume].completed += units;
    }

    /// An attempt is sent to a node.
    pub(crate) fn attempt_started(&mut self, node: NodeId) {
        self.nodes[node.0 as usize].attempts += 1;
    }

    /// An attempt at a node has ended.
    pub(crate) fn attempt_ended(&mut self, node: NodeId, result: AttemptResult) {
        self.nodes[node.0 as usize].count(result);
    }
}
