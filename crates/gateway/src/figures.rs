//! What a host counts, for status and logs.
use hdrhistogram::Histogram;
use mallowseam_scheduler::interface::AttemptResult;
use serde::{Deserialize, Serialize};

/// Longest wait told apart: an hour in microseconds.
const LONGEST: u64 = 3_600_000_000;

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Answers {
    pub taken: u64,
    pub ended: u64,
    pub shed: u64,
    pub failed: u64,
    /// The client left before its answer.
    pub left: u64,
}

pub struct GroupFigures {
    pub answers: Answers,
    pub late: u64,
    /// Microseconds from taking a block I/O to its end.
    pub waits: Histogram<u64>,
}

impl Default for GroupFigures {
    fn default() -> Self {
        let waits = Histogram::new_with_bounds(1, LONGEST, 2).expect("sound bounds");
        GroupFigures { answers: Answers::default(), late: 0, waits }
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct NodeFigures {
    pub submits: u64,
    pub done: u64,
    pub busy: u64,
    pub errors: u64,
    pub timed_out: u64,
    pub no_connect: u64,
    pub reset: u64,
    pub cancelled: u64,
}

impl NodeFigures {
    pub fn count(&mut self, ending: AttemptResult) {
        *match ending {
            AttemptResult::Completed => &mut self.done,
            AttemptResult::Rejected => &mut self.busy,
            AttemptResult::TimedOut => &mut self.timed_out,
            AttemptResult::ConnectFailed => &mut self.no_connect,
            AttemptResult::ConnectionReset => &mut self.reset,
            AttemptResult::Cancelled | AttemptResult::NotSent => &mut self.cancelled,
            AttemptResult::Error => &mut self.errors,
        } += 1;
    }
}

/// Units that clients have asked of a volume, and that ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct VolumeFigures {
    pub asked: f64,
    pub ended: f64,
}

#[derive(Default)]
pub struct Figures {
    pub commands: Answers,
    pub groups: Vec<GroupFigures>,
    pub nodes: Vec<NodeFigures>,
    pub volumes: Vec<VolumeFigures>,
}
