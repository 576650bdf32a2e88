//! Feasibility of a placement: whether its reserves fit at every node, now and after the loss of any one node or zone.
use crate::constraint::{Constraint, ConstraintFilter};
use crate::problem::{Problem, SCALE};
use crate::{Assignment, NodeIndex, VolumeIndex};
use std::collections::BTreeSet;

/// Capacity factor, in thousandths, that leaves the capacities unchanged.
pub const FULL_CAPACITY: u64 = 1000;

/// A failure case: no loss, or the loss of one node or one zone.
#[derive(Clone, Copy)]
enum Loss<'a> {
    Nothing,
    Node(NodeIndex),
    Zone(&'a str),
}

impl Loss<'_> {
    /// Returns whether a node is lost.
    fn includes(self, problem: &Problem, node: NodeIndex) -> bool {
        match self {
            Loss::Nothing => false,
            Loss::Node(lost) => node == lost,
            Loss::Zone(lost) => problem.nodes[node].zone == lost,
        }
    }

    /// Returns whether a volume's reserve must still fit after the loss.
    fn must_be_survived_by(
        self,
        problem: &Problem,
        volume: VolumeIndex,
        is_active: ConstraintFilter,
    ) -> bool {
        match self {
            Loss::Nothing => false,
            Loss::Node(_) => must_survive_node_loss(problem, volume, is_active),
            Loss::Zone(_) => must_survive_zone_loss(problem, volume, is_active),
        }
    }
}

fn must_survive_node_loss(
    problem: &Problem,
    volume: VolumeIndex,
    is_active: ConstraintFilter,
) -> bool {
    problem.volumes[volume].survives_node_loss && is_active(Constraint::SurvivesNodeLoss(volume))
}

fn must_survive_zone_loss(
    problem: &Problem,
    volume: VolumeIndex,
    is_active: ConstraintFilter,
) -> bool {
    problem.volumes[volume].survives_zone_loss && is_active(Constraint::SurvivesZoneLoss(volume))
}

/// Returns the failure cases to check: no loss; the loss of each node, if any assigned volume must survive a node loss;
/// and the loss of each zone, if any assigned volume must survive a zone loss.
fn losses<'a>(
    problem: &'a Problem,
    assignments: &[Assignment],
    is_active: ConstraintFilter,
) -> Vec<Loss<'a>> {
    let mut losses = vec![Loss::Nothing];
    if assignments
        .iter()
        .any(|a| must_survive_node_loss(problem, a.volume, is_active))
    {
        losses.extend((0..problem.nodes.len()).map(Loss::Node));
    }
    if assignments
        .iter()
        .any(|a| must_survive_zone_loss(problem, a.volume, is_active))
    {
        let zones: BTreeSet<&str> = problem
            .nodes
            .iter()
            .map(|node| node.zone.as_str())
            .collect();
        losses.extend(zones.into_iter().map(Loss::Zone));
    }
    losses
}

/// Returns the reserved rate at each node after a loss, times [`SCALE`]. Returns `None` if a volume that must survive
/// the loss has no node left.
fn node_loads(
    problem: &Problem,
    assignments: &[Assignment],
    is_active: ConstraintFilter,
    loss: Loss,
) -> Option<Vec<i128>> {
    let mut loads = vec![0; problem.nodes.len()];
    for Assignment { volume, nodes } in assignments.iter().copied() {
        let reserve = i128::from(problem.volumes[volume].reserved_rate) * SCALE;
        // A volume without a reserve adds no load and survives every loss.
        if reserve == 0 || !is_active(Constraint::Reserve(volume)) {
            continue;
        }
        let is_left = |node: &&NodeIndex| !loss.includes(problem, **node);
        let left = nodes.iter().filter(is_left).count();
        let survives = loss.must_be_survived_by(problem, volume, is_active);
        if left == 0 && survives {
            return None;
        }
        // The remaining nodes take over the load of the lost ones only for a volume that must survive the loss.
        let sharing = if survives { left } else { nodes.len() };
        for node in nodes.iter().filter(is_left) {
            loads[*node] += reserve / sharing as i128;
        }
    }
    Some(loads)
}

/// Returns whether the reserves of the assigned volumes fit at every node, now and after every loss that one of them
/// must survive. `capacity_per_mille` is a factor on the capacity of each node, in thousandths; see [`FULL_CAPACITY`].
#[must_use]
pub fn fits(
    problem: &Problem,
    assignments: &[Assignment],
    is_active: ConstraintFilter,
    capacity_per_mille: u64,
) -> bool {
    let fits_at = |node: NodeIndex, load: i128| {
        let capacity =
            i128::from(problem.nodes[node].capacity) * SCALE * i128::from(capacity_per_mille);
        !is_active(Constraint::Capacity(node)) || load * i128::from(FULL_CAPACITY) <= capacity
    };
    losses(problem, assignments, is_active)
        .into_iter()
        .all(|loss| {
            let loads = node_loads(problem, assignments, is_active, loss);
            loads.is_some_and(|loads| {
                loads
                    .iter()
                    .enumerate()
                    .all(|(node, load)| fits_at(node, *load))
            })
        })
}

/// Returns by how much the reserves exceed the capacities of the nodes, times [`SCALE`], summed over the case without a
/// loss and every loss that must be survived; 0 if the reserves fit. The reserve of a volume that must survive a loss and
/// has no node left counts in full.
///
/// # Panics
/// Does not panic: loads after a loss are computed only for volumes that have a node left.
#[must_use]
pub fn excess(problem: &Problem, assignments: &[Assignment]) -> i128 {
    let is_active = |_: Constraint| true;
    let excess_in = |loss: Loss| {
        let is_lost = |assignment: &Assignment| {
            assignment
                .nodes
                .iter()
                .all(|node| loss.includes(problem, *node))
        };
        let (lost, left): (Vec<Assignment>, Vec<Assignment>) =
            assignments.iter().copied().partition(is_lost);
        let unmet = lost
            .iter()
            .filter(|a| loss.must_be_survived_by(problem, a.volume, &is_active));
        let unmet: i128 = unmet
            .map(|a| i128::from(problem.volumes[a.volume].reserved_rate) * SCALE)
            .sum();
        let loads =
            node_loads(problem, &left, &is_active, loss).expect("each volume has a node left");
        let capacity = |node: NodeIndex| i128::from(problem.nodes[node].capacity) * SCALE;
        let beyond = loads
            .iter()
            .enumerate()
            .map(|(node, load)| (load - capacity(node)).max(0));
        unmet + beyond.sum::<i128>()
    };
    losses(problem, assignments, &is_active)
        .into_iter()
        .map(excess_in)
        .sum()
}
