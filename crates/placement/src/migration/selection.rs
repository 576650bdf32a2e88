//! Selection and order of the volumes that move within the data budget.
use crate::objective::node_gain;
use crate::problem::{Problem, SCALE};
use crate::{NodeIndex, Placement, VolumeIndex, volumes_at};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A volume whose target differs from its current placement. The derived order, by the fields from the first to the last,
/// is the order of selection.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Whether a part of the volume is on a lost node, or the volume has no nodes.
    has_lost_part: Reverse<bool>,
    /// Gain of the move divided by the data that it copies; 0 without a data budget.
    gain_per_data: Reverse<i128>,
    volume: VolumeIndex,
    /// Amount of data that the move copies, times [`SCALE`].
    data: u128,
}

/// Returns the amount of data that a move of a volume from `at` to `to` copies, times [`SCALE`].
pub(super) fn remaining_data(
    problem: &Problem,
    volume: VolumeIndex,
    at: &[NodeIndex],
    to: &[NodeIndex],
) -> u128 {
    let part = u128::from(problem.volumes[volume].size) * SCALE as u128 / to.len().max(1) as u128;
    part * to.iter().filter(|node| !at.contains(node)).count() as u128
}

/// Result of [`select_volumes`].
#[derive(Default)]
pub(super) struct Selection {
    /// Volumes that move, in order of selection.
    pub(super) open: Vec<VolumeIndex>,
    /// Volumes that do not move because they exceed the data budget, in ascending order.
    pub(super) deferred: Vec<VolumeIndex>,
}

/// Selects the volumes that move within the data budget: those with a part on a lost node first, then those with the
/// highest gain for the data they copy.
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
    // Without a data budget all volumes are selected, so the gain is not needed to order them.
    let gain = if is_data_limited {
        gain_of_move(problem, from, to, volume)
    } else {
        0
    };
    let is_lost = |node: &NodeIndex| problem.nodes[*node].is_lost();
    let has_lost_part = from[volume].is_empty() || from[volume].iter().any(is_lost);
    Candidate {
        has_lost_part: Reverse(has_lost_part),
        gain_per_data: Reverse(gain / (data as i128 / SCALE).max(1)),
        volume,
        data,
    }
}

/// Returns by how much the move of one volume alone increases the gain, at its current and target nodes.
fn gain_of_move(problem: &Problem, from: &Placement, to: &Placement, volume: VolumeIndex) -> i128 {
    let affected: BTreeSet<NodeIndex> = from[volume].iter().chain(&to[volume]).copied().collect();
    let gain = |placement: &Placement| -> i128 {
        let gain_at =
            |node: &NodeIndex| node_gain(problem, placement, *node, &volumes_at(placement, *node));
        affected.iter().map(gain_at).sum()
    };
    let mut moved = from.clone();
    moved[volume].clone_from(&to[volume]);
    gain(&moved) - gain(from)
}
