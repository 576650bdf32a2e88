//! The steps from the current placement to another one, a part of a volume at a time, so that no step violates a
//! reserve, a loss that a volume must survive, or a zone constraint. A constraint that is violated now may stay violated
//! until its step, and not more than now. The steps are input for whatever moves extents.
use crate::feasibility::excess;
use crate::objective::node_gain;
use crate::problem::{Problem, SCALE};
use crate::{Assignment, NodeIndex, Placement, VolumeIndex, assignments, volumes_at};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// One part of a volume moves from a node to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MigrationStep {
    /// The volume.
    pub volume: VolumeIndex,
    /// The node that it moves from; none: the part is new.
    pub from: Option<NodeIndex>,
    /// The node that it moves to; none: the part is removed.
    pub to: Option<NodeIndex>,
    /// Data that is copied, times [`SCALE`].
    pub data: u128,
}

/// Steps in an order in which none violates a constraint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigrationPlan {
    /// The steps in their order.
    pub steps: Vec<MigrationStep>,
    /// The placement after the last step.
    pub final_placement: Placement,
    /// Volumes that do not move, since the data budget is not enough for them.
    pub deferred: Vec<VolumeIndex>,
    /// Volumes that no order of steps was found for. They may have moved in part.
    pub blocked: Vec<VolumeIndex>,
}

impl MigrationPlan {
    /// Data that all steps copy, times [`SCALE`].
    #[must_use]
    pub fn data(&self) -> u128 {
        self.steps.iter().map(|step| step.data).sum()
    }
}

/// The placement that data has now. A new volume has no nodes.
#[must_use]
pub fn current_placement(problem: &Problem) -> Placement {
    let index_of = |name: &String| problem.nodes.iter().position(|node| node.name == *name);
    problem
        .volumes
        .iter()
        .map(|volume| volume.current_nodes.iter().filter_map(index_of).collect())
        .collect()
}

/// Plans the steps from one placement to another, with at most `max_data` moved (times [`SCALE`]).
///
/// Volumes on lost nodes are first, then those whose moves gain most for their data; those for which the data budget is
/// not enough are deferred. Where two volumes block each other, one takes a detour over a third node, which copies its
/// data twice.
#[must_use]
pub fn plan_migration(
    problem: &Problem,
    from: &Placement,
    to: &Placement,
    max_data: Option<u128>,
) -> MigrationPlan {
    let Selection { mut open, deferred } = select_volumes(problem, from, to, max_data);
    let mut planner = Planner::new(problem, from, to);
    while !open.is_empty() {
        let steps_before = planner.steps.len();
        open.retain(|volume| {
            while !planner.is_finished(*volume) && planner.advance(*volume) {}
            !planner.is_finished(*volume)
        });
        if planner.steps.len() > steps_before {
            continue;
        }
        let spare_data = max_data.map(|max| planner.spare_data(max, &open));
        if !planner.detour(&open, spare_data) {
            break;
        }
    }
    // Volumes that could not be finished stay at an intermediate placement, which is feasible.
    MigrationPlan {
        steps: planner.steps,
        final_placement: planner.placement,
        deferred,
        blocked: open,
    }
}

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
fn remaining_data(
    problem: &Problem,
    volume: VolumeIndex,
    at: &[NodeIndex],
    to: &[NodeIndex],
) -> u128 {
    let part = u128::from(problem.volumes[volume].size) * SCALE as u128 / to.len().max(1) as u128;
    part * to.iter().filter(|node| !at.contains(node)).count() as u128
}

/// The volumes that move, and those that do not.
struct Selection {
    /// Those that move, the most worthwhile first.
    open: Vec<VolumeIndex>,
    /// Those for which the data budget is not enough.
    deferred: Vec<VolumeIndex>,
}

fn select_volumes(
    problem: &Problem,
    from: &Placement,
    to: &Placement,
    max_data: Option<u128>,
) -> Selection {
    let is_lost = |node: &NodeIndex| problem.nodes[*node].capacity == 0;
    let has_lost_part =
        |volume: VolumeIndex| from[volume].is_empty() || from[volume].iter().any(is_lost);
    let mut candidates: Vec<Candidate> = (0..problem.volumes.len())
        .filter(|volume| from[*volume] != to[*volume])
        .map(|volume| {
            let data = remaining_data(problem, volume, &from[volume], &to[volume]);
            // Without a data budget all volumes are selected, so that their order by gain does not matter.
            let gain = if max_data.is_some() {
                gain_of_move(problem, from, to, volume)
            } else {
                0
            };
            let gain_for_data = gain / (data as i128 / SCALE).max(1);
            let has_lost_part = Reverse(has_lost_part(volume));
            Candidate {
                has_lost_part,
                gain_for_data: Reverse(gain_for_data),
                volume,
                data,
            }
        })
        .collect();
    candidates.sort_unstable();
    let mut selection = Selection {
        open: Vec::new(),
        deferred: Vec::new(),
    };
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

/// How many of a volume's own constraints a node set violates: nodes outside its zone, and nodes beyond the first
/// in one zone.
fn violations(problem: &Problem, volume: VolumeIndex, nodes: &[NodeIndex]) -> usize {
    let wanted = &problem.volumes[volume];
    let zone_of = |node: &NodeIndex| problem.nodes[*node].zone.as_str();
    let is_outside = |node: &&NodeIndex| {
        wanted
            .zone
            .as_deref()
            .is_some_and(|zone| zone != zone_of(node))
    };
    let outside = nodes.iter().filter(is_outside).count();
    let zones: BTreeSet<&str> = nodes.iter().map(zone_of).collect();
    outside
        + if wanted.distinct_zones {
            nodes.len() - zones.len()
        } else {
            0
        }
}

/// By how much the reserves exceed the capacities, now and in every loss that must be survived.
fn current_excess(problem: &Problem, placement: &Placement) -> i128 {
    // A new volume counts once all its parts are placed: it is not served before.
    let counts = |assignment: &Assignment| {
        let volume = &problem.volumes[assignment.volume];
        let is_complete = assignment.nodes.len() == volume.spread;
        !assignment.nodes.is_empty() && (!volume.current_nodes.is_empty() || is_complete)
    };
    let mut assignments = assignments(placement);
    assignments.retain(counts);
    excess(problem, &assignments)
}

struct Planner<'a> {
    problem: &'a Problem,
    target: &'a Placement,
    placement: Placement,
    steps: Vec<MigrationStep>,
    excess: i128,
}

impl<'a> Planner<'a> {
    fn new(problem: &'a Problem, from: &Placement, target: &'a Placement) -> Self {
        Planner {
            problem,
            target,
            placement: from.clone(),
            steps: Vec::new(),
            excess: current_excess(problem, from),
        }
    }

    fn is_finished(&self, volume: VolumeIndex) -> bool {
        self.placement[volume] == self.target[volume]
    }

    /// Nodes from which a volume still has to move.
    fn sources(&self, volume: VolumeIndex) -> Vec<NodeIndex> {
        let target = &self.target[volume];
        self.placement[volume]
            .iter()
            .copied()
            .filter(|node| !target.contains(node))
            .collect()
    }

    /// Nodes to which a volume still has to move.
    fn destinations(&self, volume: VolumeIndex) -> Vec<NodeIndex> {
        let placed = &self.placement[volume];
        self.target[volume]
            .iter()
            .copied()
            .filter(|node| !placed.contains(node))
            .collect()
    }

    /// Data of one part of a volume, times [`SCALE`].
    fn part_data(&self, volume: VolumeIndex) -> u128 {
        let volume = &self.problem.volumes[volume];
        u128::from(volume.size) * SCALE as u128 / volume.spread.max(1) as u128
    }

    /// Data budget that is left for detours once all open volumes have moved directly.
    fn spare_data(&self, max_data: u128, open: &[VolumeIndex]) -> u128 {
        let needed = |volume: &VolumeIndex| {
            remaining_data(
                self.problem,
                *volume,
                &self.placement[*volume],
                &self.target[*volume],
            )
        };
        let moved = self.steps.iter().map(|step| step.data).sum();
        max_data
            .saturating_sub(moved)
            .saturating_sub(open.iter().map(needed).sum())
    }

    /// Takes a step if it violates no more constraints and exceeds no more capacity than before.
    fn try_step(
        &mut self,
        volume: VolumeIndex,
        from: Option<NodeIndex>,
        to: Option<NodeIndex>,
    ) -> bool {
        let is_kept = |node: &NodeIndex| Some(*node) != from;
        let mut nodes: Vec<NodeIndex> = self.placement[volume]
            .iter()
            .copied()
            .filter(is_kept)
            .chain(to)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        let violations = |nodes: &[NodeIndex]| violations(self.problem, volume, nodes);
        if violations(&nodes) > violations(&self.placement[volume]) {
            return false;
        }
        let before = std::mem::replace(&mut self.placement[volume], nodes);
        let excess = current_excess(self.problem, &self.placement);
        if excess > self.excess {
            self.placement[volume] = before;
            return false;
        }
        self.excess = excess;
        let data = to.map_or(0, |_| self.part_data(volume));
        self.steps.push(MigrationStep {
            volume,
            from,
            to,
            data,
        });
        true
    }

    /// Reverts the last step, which moved a part between two nodes.
    fn undo_step(&mut self, volume: VolumeIndex, from: NodeIndex, to: NodeIndex) {
        self.steps.pop();
        let nodes = &mut self.placement[volume];
        nodes.retain(|node| *node != to);
        nodes.push(from);
        nodes.sort_unstable();
        self.excess = current_excess(self.problem, &self.placement);
    }

    /// Takes one step of a volume towards its target. Returns false if none is possible now.
    fn advance(&mut self, volume: VolumeIndex) -> bool {
        let sources = self.sources(volume);
        let destinations = self.destinations(volume);
        if destinations.is_empty() {
            return sources
                .iter()
                .any(|from| self.try_step(volume, Some(*from), None));
        }
        if sources.is_empty() {
            return destinations
                .iter()
                .any(|to| self.try_step(volume, None, Some(*to)));
        }
        sources.iter().any(|from| {
            destinations
                .iter()
                .any(|to| self.try_step(volume, Some(*from), Some(*to)))
        })
    }

    /// Moves a part of some open volume to a third node, the least data first, so that another volume can advance. Returns false if no detour helps.
    fn detour(&mut self, open: &[VolumeIndex], spare_data: Option<u128>) -> bool {
        let is_affordable =
            |volume: &VolumeIndex| spare_data.is_none_or(|s| self.part_data(*volume) <= s);
        let mut by_data: Vec<VolumeIndex> = open.iter().copied().filter(is_affordable).collect();
        by_data.sort_unstable_by_key(|volume| (self.part_data(*volume), *volume));
        by_data
            .into_iter()
            .any(|volume| self.detour_of(volume, open))
    }

    fn detour_of(&mut self, volume: VolumeIndex, open: &[VolumeIndex]) -> bool {
        for from in self.sources(volume) {
            for third in 0..self.problem.nodes.len() {
                let is_third = !self.target[volume].contains(&third)
                    && !self.placement[volume].contains(&third);
                if !is_third || !self.try_step(volume, Some(from), Some(third)) {
                    continue;
                }
                if open
                    .iter()
                    .any(|other| *other != volume && self.advance(*other))
                {
                    return true;
                }
                self.undo_step(volume, from, third);
            }
        }
        false
    }
}
