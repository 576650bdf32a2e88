//! Reports that are made to the scheduler once its current call has returned.
use mallowseam_scheduler::interface::{AttemptResult, BioId, LoadReport, NodeId, Tick};
use std::collections::VecDeque;

/// A finished attempt, as reported to the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// The block I/O that the attempt belongs to.
    pub io: BioId,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// The node that the attempt was sent to.
    pub node: NodeId,
    /// Time from forwarding the attempt to its outcome.
    pub latency: Tick,
    /// Units that the node served for the volume through other hosts, if it reports them.
    pub units_by_other_hosts: f64,
    /// Usage of the volume over all hosts, encoded as in `AttemptOutcome::volume_usage`.
    pub volume_usage: f64,
    /// Load report of the node.
    pub load_report: LoadReport,
}

impl FinishedAttempt {
    /// Creates the report of an attempt for which the node has reported no usage and no load.
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
    /// The client no longer waits for the block I/O, or the host takes the block I/O back.
    Withdrawn(BioId),
    /// An attempt has finished.
    Finished(FinishedAttempt),
}

/// The pending reports, each kind in order of arrival.
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

    /// Removes and returns the next report. Withdrawals come first: a block I/O that is queued behind an attempt and
    /// has been withdrawn must not be sent when that attempt leaves room in the node's window.
    pub(crate) fn pop(&mut self) -> Option<Report> {
        if let Some(io) = self.withdrawn.pop_front() {
            return Some(Report::Withdrawn(io));
        }
        self.finished.pop_front().map(Report::Finished)
    }
}
