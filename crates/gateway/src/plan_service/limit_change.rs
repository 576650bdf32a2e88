//! What a change of plans means for the limits of volumes.
use mallowseam_plans::state::{Change, State};

/// Whether a change lowers the limit of any volume.
pub(super) fn lowers_a_limit(state: &State, change: &Change) -> bool {
    let mut next = state.clone();
    if next.apply(change).is_err() {
        return false;
    }
    state
        .volumes
        .keys()
        .any(|volume| is_lower(limit_of(&next, volume), limit_of(state, volume)))
}

/// The limit of a volume. None: its plan has none, which is stored as a limit of 0.
fn limit_of(state: &State, volume: &str) -> Option<u64> {
    state
        .plan_of(volume)
        .map(|plan| plan.rate_limit)
        .filter(|limit| *limit > 0)
}

/// Whether a limit is lower than the one before. None: unlimited.
fn is_lower(new: Option<u64>, old: Option<u64>) -> bool {
    new.is_some_and(|new| old.is_none_or(|old| new < old))
}
