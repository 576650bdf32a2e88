//! Where nothing fits: a smallest set of demands that contradict, and the least relaxation that would do.
use crate::model::{Problem, Wish};
use crate::search::feasible;
use std::collections::BTreeSet;

/// Capacities are stretched to a thousand times at most: beyond, it is not capacity that lacks.
const STRETCH_MOST: u64 = 1_000_000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Removing any one of these makes the rest of them possible.
    pub demands: Vec<Wish>,
    /// Least thousandths of all capacities with which the whole problem fits; none if no capacity would do.
    pub stretch: Option<u64>,
}

/// Explains a problem in which nothing fits. None: something does, or the steps (for each look) ran out.
pub fn explain(p: &Problem, steps: u64) -> Option<Conflict> {
    let all = p.wishes();
    let possible = |kept: &BTreeSet<Wish>, stretch| feasible(p, &|w| kept.contains(&w), stretch, steps);
    let mut kept: BTreeSet<Wish> = all.iter().copied().collect();
    if possible(&kept, 1000)? {
        return None;
    }
    // What can go without making it possible is no part of the contradiction. Once round is enough: what could
    // not go from a larger set cannot go from a smaller one.
    for wish in all.iter().rev() {
        kept.remove(wish);
        if possible(&kept, 1000)? {
            kept.insert(*wish);
        }
    }
    let everything: BTreeSet<Wish> = all.iter().copied().collect();
    let mut stretch = None;
    if possible(&everything, STRETCH_MOST)? {
        let (mut low, mut high) = (1000, STRETCH_MOST);
        while low + 1 < high {
            let middle = low + (high - low) / 2;
            if possible(&everything, middle)? {
                high = middle;
            } else {
                low = middle;
            }
        }
        stretch = Some(high);
    }
    Some(Conflict { demands: kept.into_iter().collect(), stretch })
}
