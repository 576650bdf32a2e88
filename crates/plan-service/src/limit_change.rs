//! What a change of plans means for the limits of volumes.
#[cfg(test)]
mod tests;

use mallowseam_plans::MilliUnits;
use mallowseam_plans::state::{Change, Plan, State};

/// Whether a change lowers the limit of any volume.
pub(crate) fn lowers_a_limit(state: &State, change: &Change) -> bool {
    let mut next = state.clone();
    if next.apply(change).is_err() {
        return false;
    }
    state
        .volumes
        .keys()
        .any(|volume| is_lower(limit_of(&next, volume), limit_of(state, volume)))
}

/// The limit of a volume, if its plan has one.
fn limit_of(state: &State, volume: &str) -> Option<MilliUnits> {
    state.plan_of(volume).and_then(Plan::limit)
}

/// Whether a limit is lower than the one before. None: unlimited.
fn is_lower(new: Option<MilliUnits>, old: Option<MilliUnits>) -> bool {
    new.is_some_and(|new| old.is_none_or(|old| new < old))
}
