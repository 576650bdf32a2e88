//! Whether a block I/O may be sent again after an attempt that may have run.
use super::constants::DEADLINE_MARGIN;
use crate::interface::{AttemptResult, DeduplicationScope, Idempotency, Tick};

/// Location of a node, which determines the nodes that it shares idempotency keys with.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Location {
    /// The shard that the node holds.
    pub(super) shard: u32,
    /// Index of the node's zone.
    pub(super) zone: u32,
}

/// Returns whether an attempt with this result may have run on its node.
#[must_use]
pub fn may_have_run(result: AttemptResult) -> bool {
    use AttemptResult::{ConnectFailed, NotSent, Rejected};
    !matches!(result, Rejected | ConnectFailed | NotSent)
}

impl Idempotency {
    /// Returns whether repeats are harmless on any node, so that a client may be told to retry.
    pub(super) fn repeats_are_harmless(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentByKey { scope, .. } => scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns how long nodes remember the idempotency key, or `None` if there is no key.
    pub(super) fn key_window(self) -> Option<Tick> {
        match self {
            Idempotency::IdempotentByKey { window, .. } => Some(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// Returns whether a block I/O may be sent to `node`, given when the first attempt that may have run was sent, and
    /// the location `first` that it was sent to. `first` is `None` if that node has been forgotten.
    pub(super) fn allows_repeat_at(
        self,
        now: Tick,
        node: Location,
        first_sent_at: Tick,
        first: Option<Location>,
    ) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotentByKey { scope, window } => {
                let remembered = now + DEADLINE_MARGIN < first_sent_at + window;
                remembered && scope.contains_both(first, node)
            }
        }
    }
}

impl DeduplicationScope {
    /// Returns whether two nodes share the keys they have seen.
    fn contains_both(self, first: Option<Location>, second: Location) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.is_some_and(|first| first.zone == second.zone),
            DeduplicationScope::Shard => first.is_some_and(|first| first.shard == second.shard),
        }
    }
}
