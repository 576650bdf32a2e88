//! Counters and latencies of a host for its status report.
use hdrhistogram::Histogram;
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_scheduler::interface::{AttemptResult, NodeId, Tick};
use serde::{Deserialize, Serialize};

/// Largest latency that a histogram resolves, in microseconds: one hour.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Significant decimal digits of a latency in a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Microseconds in a tick.
const MICROS_PER_TICK: u64 = 100;

/// Counts of commands, or of block I/Os, by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CommandCounts {
    /// Number admitted.
    #[serde(rename = "taken")]
    pub admitted: u64,
    /// Number completed.
    #[serde(rename = "ended")]
    pub completed: u64,
    /// Number shed for lack of capacity.
    pub shed: u64,
    /// Number failed, with an unknown outcome at the nodes.
    pub failed: u64,
    /// Number whose client disconnected or aborted the command before the answer.
    #[serde(rename = "left")]
    pub abandoned: u64,
}

impl CommandCounts {
    /// Counts the outcome of a command or block I/O.
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
    /// Number of block I/Os that completed later than the latency objective.
    pub(crate) late: u64,
    /// Latencies from arrival to completion, in microseconds.
    pub(crate) latencies: Histogram<u64>,
}

impl Default for ClassMetrics {
    fn default() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
            .expect("histogram bounds are valid");
        ClassMetrics {
            counts: CommandCounts::default(),
            late: 0,
            latencies,
        }
    }
}

/// Counts of the attempts at a storage node, by result.
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
    /// Counts the result of an attempt.
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

/// Load of a volume, in units.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VolumeMetrics {
    pub(crate) requested: f64,
    pub(crate) completed: f64,
}

/// All counters of a host. Classes, nodes and volumes have the indices of the configuration.
#[derive(Default)]
pub(crate) struct Metrics {
    commands: CommandCounts,
    classes: Vec<ClassMetrics>,
    nodes: Vec<NodeMetrics>,
    volumes: Vec<VolumeMetrics>,
}

impl Metrics {
    /// Creates the counters for a number of I/O classes, nodes and volumes, all zero.
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

    /// Returns the counts of commands.
    pub(crate) fn commands(&self) -> CommandCounts {
        self.commands
    }

    /// Returns the metrics of each I/O class.
    pub(crate) fn classes(&self) -> &[ClassMetrics] {
        &self.classes
    }

    /// Returns the metrics of each node.
    pub(crate) fn nodes(&self) -> &[NodeMetrics] {
        &self.nodes
    }

    /// Returns the metrics of each volume.
    pub(crate) fn volumes(&self) -> &[VolumeMetrics] {
        &self.volumes
    }

    /// Counts a command as admitted.
    pub(crate) fn command_admitted(&mut self) {
        self.commands.admitted += 1;
    }

    /// Counts the outcome of a command that is answered.
    pub(crate) fn command_answered(&mut self, outcome: RequestOutcome) {
        self.commands.count(outcome);
    }

    /// Counts a command that its client has abandoned.
    pub(crate) fn command_abandoned(&mut self) {
        self.commands.abandoned += 1;
    }

    /// Counts a block I/O of a class as admitted.
    pub(crate) fn block_io_admitted(&mut self, class: usize) {
        self.classes[class].counts.admitted += 1;
    }

    /// Counts a block I/O of a class as completed. `latency`: ticks from arrival to completion; `objective`:
    /// latency objective of the class in ticks.
    pub(crate) fn block_io_completed(&mut self, class: usize, latency: Tick, objective: Tick) {
        let class = &mut self.classes[class];
        class.counts.count(RequestOutcome::Completed);
        class.late += u64::from(latency > objective);
        class
            .latencies
            .saturating_record(latency.max(0) as u64 * MICROS_PER_TICK);
    }

    /// Counts a block I/O of a class that was shed or has failed.
    pub(crate) fn block_io_not_completed(&mut self, class: usize, outcome: RequestOutcome) {
        self.classes[class].counts.count(outcome);
    }

    /// Counts units that clients have requested from a volume.
    pub(crate) fn units_requested(&mut self, volume: usize, units: f64) {
        self.volumes[volume].requested += units;
    }

    /// Counts units of a volume that have completed.
    pub(crate) fn units_completed(&mut self, volume: usize, units: f64) {
        self.volumes[volume].completed += units;
    }

    /// Counts an attempt that is sent to a node.
    pub(crate) fn attempt_started(&mut self, node: NodeId) {
        self.nodes[node.0 as usize].attempts += 1;
    }

    /// Counts the result of an attempt at a node.
    pub(crate) fn attempt_ended(&mut self, node: NodeId, result: AttemptResult) {
        self.nodes[node.0 as usize].count(result);
    }
}
