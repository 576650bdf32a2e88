//! Whether a block I/O may be sent again when an earlier attempt may have run.
use super::constants::DEADLINE_MARGIN;
use crate::interface::{AttemptResult, DeduplicationScope, Idempotency, Tick};

/// Where a node stands, as far as idempotency keys are shared.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Location {
    /// The shard that it holds.
    pub(super) shard: u32,
    /// Index of its zone.
    pub(super) zone: u32,
}

/// Whether an attempt with this result may have run at its node.
pub(super) fn may_have_run(result: AttemptResult) -> bool {
    use AttemptResult::{ConnectFailed, NotSent, Rejected};
    !matches!(result, Rejected | ConnectFailed | NotSent)
}

impl Idempotency {
    /// Whether repeats are harmless wherever they run, so that a client may be told to try again.
    pub(super) fn repeats_are_harmless(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentByKey { scope, .. } => scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        }
    }

    /// How long nodes remember the idempotency key, if there is one.
    pub(super) fn key_window(self) -> Option<Tick> {
        match self {
            Idempotency::IdempotentByKey { window, .. } => Some(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// Whether a node may get a block I/O whose first attempt that may have run was sent at this time. `first` is
    /// where that one went; none if its node is forgotten.
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
    /// Whether two nodes share the keys they have seen.
    fn contains_both(self, first: Option<Location>, second: Location) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.is_some_and(|first| first.zone == second.zone),
            DeduplicationScope::Shard => first.is_some_and(|first| first.shard == second.shard),
        }
    }
}
