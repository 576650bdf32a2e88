//! What the scheduler is to be told once its present call has returned.
use mallowseam_scheduler::interface::{AttemptResult, BioId, LoadReport, NodeId, Tick};
use std::collections::VecDeque;

/// An attempt that is over, as the scheduler is told of it.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// The block I/O.
    pub io: BioId,
    /// How it came out.
    pub result: AttemptResult,
    /// The node that it went to.
    pub node: NodeId,
    /// Time from forwarding to the outcome.
    pub latency: Tick,
    /// Units that the node served for the volume through other hosts, as far as it reports them.
    pub units_by_other_hosts: f64,
    /// The volume's use over all hosts in the encoding of `AttemptOutcome::volume_usage`.
    pub volume_usage: f64,
    /// The node's load report.
    pub load_report: LoadReport,
}

impl FinishedAttempt {
    /// An attempt about which its node reports nothing else.
    pub fn new(io: BioId, node: NodeId, result: AttemptResult, latency: Tick) -> Self {
        FinishedAttempt {
            io,
            result,
            node,
            latency,
            units_by_other_hosts: 0.0,
            volume_usage: 0.0,
            load_report: LoadReport::default(),
        }
    }
}

/// A report to the scheduler.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Report {
    /// Nobody waits for the block I/O any more, or the host takes it back.
    Withdrawn(BioId),
    /// An attempt is over.
    Finished(FinishedAttempt),
}

/// The reports that wait, each kind in its order.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    withdrawn: VecDeque<BioId>,
    finished: VecDeque<FinishedAttempt>,
}

impl PendingReports {
    /// Queues the withdrawal of a block I/O.
    pub(crate) fn push_withdrawn(&mut self, io: BioId) {
        self.withdrawn.push_back(io);
    }

    /// Queues a finished attempt.
    pub(crate) fn push_finished(&mut self, attempt: FinishedAttempt) {
        self.finished.push_back(attempt);
    }

    /// The next report. Withdrawals go first: what is withdrawn behind an attempt must not be sent when that attempt
    /// frees its place in the node's window.
    pub(crate) fn pop(&mut self) -> Option<Report> {
        if let Some(io) = self.withdrawn.pop_front() {
            return Some(Report::Withdrawn(io));
        }
        self.finished.pop_front().map(Report::Finished)
    }
}
