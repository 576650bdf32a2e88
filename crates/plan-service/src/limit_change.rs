//! Whether a change of plans lowers the limit of a volume.
#[cfg(test)]
mod tests;

use mallowseam_plans::MilliUnits;
use mallowseam_plans::state::{Change, Plan, State};

/// Returns whether a change lowers the limit of any volume.
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

/// Returns the limit of a volume; none if its plan has no limit.
fn limit_of(state: &State, volume: &str) -> Option<MilliUnits> {
    state.plan_of(volume).and_then(Plan::limit)
}

/// Returns whether the new limit is lower than the old one. None: unlimited.
fn is_lower(new: Option<MilliUnits>, old: Option<MilliUnits>) -> bool {
    new.is_some_and(|new| old.is_none_or(|old| new < old))
}
