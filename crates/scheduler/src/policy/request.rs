//! A block I/O in progress.
use super::constants::DEADLINE_MARGIN;
use crate::interface::{Bio, NodeId, Tick};

/// The first attempt of a block I/O that may have run.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    /// Time at which the attempt was sent.
    pub(super) sent_at: Tick,
    /// Node that the attempt was sent to.
    pub(super) node: NodeId,
}

/// A block I/O in progress.
#[derive(Clone, Copy)]
pub(super) struct Request {
    bio: Bio,
    /// Node that the block I/O is queued for or was last sent to.
    node: Option<NodeId>,
    /// End of the latency objective.
    objective_end: Tick,
    /// Time at which the block I/O is shed if it was never sent.
    unsent_until: Tick,
    attempts: u32,
    /// Whether an attempt is in flight.
    in_flight: bool,
    /// Whether no further attempt is needed, because the block I/O was answered or its client disconnected.
    finished: bool,
    /// Whether the units have been taken from the volume's tokens.
    has_tokens: bool,
    possible_run: Option<PossibleRun>,
}

impl Request {
    /// Creates the record of a block I/O that arrives at `now` and has an objective ending at `objective_end`.
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

    /// Returns the block I/O as it arrived.
    pub(super) fn bio(&self) -> &Bio {
        &self.bio
    }

    /// Returns the node that the block I/O is queued for or was last sent to.
    pub(super) fn node(&self) -> Option<NodeId> {
        self.node
    }

    /// Returns the end of the latency objective.
    pub(super) fn objective_end(&self) -> Tick {
        self.objective_end
    }

    /// Returns the number of attempts that were sent.
    pub(super) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether an attempt was sent before, so that the next one is a retry.
    pub(super) fn was_sent(&self) -> bool {
        self.attempts > 0
    }

    /// Returns the number of the attempt in flight, counted from 0.
    pub(super) fn attempt_in_flight(&self) -> Option<u32> {
        self.in_flight.then(|| self.attempts - 1)
    }

    /// Returns whether no further attempt is needed.
    pub(super) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether the units have been taken from the volume's tokens.
    pub(super) fn has_tokens(&self) -> bool {
        self.has_tokens
    }

    /// Returns the first attempt that may have run.
    pub(super) fn possible_run(&self) -> Option<PossibleRun> {
        self.possible_run
    }

    /// Returns the time until which the block I/O may be queued. If nothing was sent, an answer in the first half of
    /// the time to the deadline lets the client go elsewhere; after that, its wait was useless. Drawback: costly where
    /// capacity becomes available just in time.
    pub(super) fn queued_until(&self) -> Tick {
        if self.was_sent() {
            self.objective_end
        } else {
            self.objective_end.min(self.unsent_until)
        }
    }

    /// Returns whether the block I/O is queued and its time in the queue has elapsed.
    pub(super) fn is_overdue(&self, now: Tick) -> bool {
        !self.finished && !self.in_flight && self.queued_until() <= now
    }

    /// Records the node that the block I/O is queued for.
    pub(super) fn queue_for(&mut self, node: NodeId) {
        self.node = Some(node);
    }

    /// Records that an attempt is sent.
    pub(super) fn begin_attempt(&mut self) {
        self.attempts += 1;
        self.in_flight = true;
        self.has_tokens = true;
    }

    /// Records that the attempt in flight has ended.
    pub(super) fn end_attempt(&mut self) {
        self.in_flight = false;
    }

    /// Records that no further attempt is needed.
    pub(super) fn finish(&mut self) {
        self.finished = true;
    }

    /// Records an attempt that may have run. If nodes remember the idempotency key for `key_window`, the objective ends
    /// no later than that window.
    pub(super) fn record_possible_run(&mut self, run: PossibleRun, key_window: Option<Tick>) {
        let first = *self.possible_run.get_or_insert(run);
        if let Some(window) = key_window {
            let remembered_until = first.sent_at + window - DEADLINE_MARGIN;
            self.objective_end = self.objective_end.min(remembered_until);
        }
    }
}
