//! The volumes that move, in the order of their worth, within the data budget.
use crate::objective::node_gain;
use crate::problem::{Problem, SCALE};
use crate::{NodeIndex, Placement, VolumeIndex, volumes_at};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A volume that is to move. Derived order: by the fields from the first to the last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    has_lost_part: Reverse<bool>,
    gain_for_data: Reverse<i128>,
    volume: VolumeIndex,
    /// Data that it has to copy, times [`SCALE`].
    data: u128,
}

/// Data that a volume still has to copy, times [`SCALE`].
pub(super) fn remaining_data(
    problem: &Problem,
    volume: VolumeIndex,
    at: &[NodeIndex],
    to: &[NodeIndex],
) -> u128 {
    let part = u128::from(problem.volumes[volume].size) * SCALE as u128 / to.len().max(1) as u128;
    part * to.iter().filter(|node| !at.contains(node)).count() as u128
}

/// The volumes that move, and those that do not.
#[derive(Default)]
pub(super) struct Selection {
    /// Those that move, the most worthwhile first.
    pub(super) open: Vec<VolumeIndex>,
    /// Those for which the data budget is not enough.
    pub(super) deferred: Vec<VolumeIndex>,
}

/// Selects the volumes that move: those with a part on a lost node first, then those whose moves gain most for their
/// data, as far as the data budget goes.
pub(super) fn select_volumes(
    problem: &Problem,
    from: &Placement,
    to: &Placement,
    max_data: Option<u128>,
) -> Selection {
    let mut candidates: Vec<Candidate> = (0..problem.volumes.len())
        .filter(|volume| from[*volume] != to[*volume])
        .map(|volume| candidate(problem, from, to, volume, max_data.is_some()))
        .collect();
    candidates.sort_unstable();
    let mut selection = Selection::default();
    let mut selected_data = 0;
    for Candidate { volume, data, .. } in candidates {
        if max_data.is_none_or(|max| selected_data + data <= max) {
            selected_data += data;
            selection.open.push(volume);
        } else {
            selection.deferred.push(volume);
        }
    }
    selection.deferred.sort_unstable();
    selection
}

fn candidate(
    problem: &Problem,
    from: &Placement,
    to: &Placement,
    volume: VolumeIndex,
    is_data_limited: bool,
) -> Candidate {
    let data = remaining_data(problem, volume, &from[volume], &to[volume]);
    // Without a data budget all volumes are selected, so that their order by gain does not matter.
    let gain = if is_data_limited {
        gain_of_move(problem, from, to, volume)
    } else {
        0
    };
    let is_lost = |node: &NodeIndex| problem.nodes[*node].is_lost();
    let has_lost_part = from[volume].is_empty() || from[volume].iter().any(is_lost);
    Candidate {
        has_lost_part: Reverse(has_lost_part),
        gain_for_data: Reverse(gain / (data as i128 / SCALE).max(1)),
        volume,
        data,
    }
}

/// What the move of one volume alone would gain, at the nodes that it touches.
fn gain_of_move(problem: &Problem, from: &Placement, to: &Placement, volume: VolumeIndex) -> i128 {
    let touched: BTreeSet<NodeIndex> = from[volume].iter().chain(&to[volume]).copied().collect();
    let gain = |placement: &Placement| -> i128 {
        let gain_at =
            |node: &NodeIndex| node_gain(problem, placement, *node, &volumes_at(placement, *node));
        touched.iter().map(gain_at).sum()
    };
    let mut moved = from.clone();
    moved[volume].clone_from(&to[volume]);
    gain(&moved) - gain(from)
}
