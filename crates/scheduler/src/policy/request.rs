//! A block I/O in progress.
use super::constants::DEADLINE_MARGIN;
use crate::interface::{Bio, NodeId, Tick};

/// The first attempt of a block I/O that may have run.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    /// When it was sent.
    pub(super) sent_at: Tick,
    /// The node that it was sent to.
    pub(super) node: NodeId,
}

/// A block I/O in progress.
#[derive(Clone, Copy)]
pub(super) struct Request {
    bio: Bio,
    /// The node that it is queued for or was last sent to.
    node: Option<NodeId>,
    /// When its latency objective ends.
    objective_end: Tick,
    /// When it is shed if it was never sent.
    unsent_until: Tick,
    attempts: u32,
    /// An attempt is in flight.
    in_flight: bool,
    /// It needs no further attempt: it is answered, or its client disconnected.
    finished: bool,
    /// Its units are taken from the volume's tokens.
    has_tokens: bool,
    possible_run: Option<PossibleRun>,
}

impl Request {
    /// A block I/O that arrives, and when its objective ends.
    pub(super) fn new(
        now: Tick,
        bio: Bio,
        objective_end: Tick,
        shed_at_half_deadline: bool,
    ) -> Self {
        let half_time = now + (bio.deadline - now) / 2 - DEADLINE_MARGIN;
        Request {
            bio,
            node: None,
            objective_end: objective_end.min(bio.deadline - DEADLINE_MARGIN),
            unsent_until: if shed_at_half_deadline {
                half_time
            } else {
                bio.deadline
            },
            attempts: 0,
            in_flight: false,
            finished: false,
            has_tokens: false,
            possible_run: None,
        }
    }

    /// The block I/O as it arrived.
    pub(super) fn bio(&self) -> &Bio {
        &self.bio
    }

    /// The node that it is queued for or was last sent to.
    pub(super) fn node(&self) -> Option<NodeId> {
        self.node
    }

    /// When its latency objective ends.
    pub(super) fn objective_end(&self) -> Tick {
        self.objective_end
    }

    /// Attempts that were sent.
    pub(super) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether an attempt was sent before, so that the next one is a retry.
    pub(super) fn was_sent(&self) -> bool {
        self.attempts > 0
    }

    /// Number of the attempt in flight, counted from 0.
    pub(super) fn attempt_in_flight(&self) -> Option<u32> {
        self.in_flight.then(|| self.attempts - 1)
    }

    /// Whether it needs no further attempt.
    pub(super) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether its units are taken from the volume's tokens.
    pub(super) fn has_tokens(&self) -> bool {
        self.has_tokens
    }

    /// The first attempt that may have run.
    pub(super) fn possible_run(&self) -> Option<PossibleRun> {
        self.possible_run
    }

    /// Until when it may be queued. A client that is answered in the first half of its time can go elsewhere, if
    /// nothing was tried; later, it waited in vain. Drawback: costly where capacity comes just in time.
    pub(super) fn queued_until(&self) -> Tick {
        if self.was_sent() {
            self.objective_end
        } else {
            self.objective_end.min(self.unsent_until)
        }
    }

    /// Whether it is queued, and its time in the queue is over.
    pub(super) fn is_overdue(&self, now: Tick) -> bool {
        !self.finished && !self.in_flight && self.queued_until() <= now
    }

    /// It is queued for a node.
    pub(super) fn queue_for(&mut self, node: NodeId) {
        self.node = Some(node);
    }

    /// An attempt is sent.
    pub(super) fn begin_attempt(&mut self) {
        self.attempts += 1;
        self.in_flight = true;
        self.has_tokens = true;
    }

    /// The attempt in flight is over.
    pub(super) fn end_attempt(&mut self) {
        self.in_flight = false;
    }

    /// It needs no further attempt.
    pub(super) fn finish(&mut self) {
        self.finished = true;
    }

    /// An attempt may have run. With an idempotency key that nodes remember for this time, the objective ends with it.
    pub(super) fn record_possible_run(&mut self, run: PossibleRun, key_window: Option<Tick>) {
        let first = *self.possible_run.get_or_insert(run);
        if let Some(window) = key_window {
            let remembered_until = first.sent_at + window - DEADLINE_MARGIN;
            self.objective_end = self.objective_end.min(remembered_until);
        }
    }
}
