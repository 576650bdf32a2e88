//! The steps of a migration, one by one: each is checked against all constraints.
use super::plan::{MigrationPlan, MigrationStep};
use super::selection::remaining_data;
use crate::feasibility::excess;
use crate::problem::{Problem, SCALE};
use crate::{Assignment, NodeIndex, Placement, VolumeIndex, assignments};
use std::collections::BTreeSet;

/// Takes steps from one placement towards another.
pub(super) struct Planner<'a> {
    problem: &'a Problem,
    target: &'a Placement,
    /// The placement after the steps so far.
    placement: Placement,
    steps: Vec<MigrationStep>,
    /// By how much the reserves exceed the capacities after these steps.
    excess: i128,
}

impl<'a> Planner<'a> {
    pub(super) fn new(problem: &'a Problem, from: &Placement, target: &'a Placement) -> Self {
        Planner {
            problem,
            target,
            placement: from.clone(),
            steps: Vec::new(),
            excess: current_excess(problem, from),
        }
    }

    /// How many steps were taken so far.
    pub(super) fn step_count(&self) -> usize {
        self.steps.len()
    }

    /// The steps so far as a plan. Volumes that are not finished are blocked; they stay at an intermediate placement,
    /// which is feasible.
    pub(super) fn into_plan(
        self,
        deferred: Vec<VolumeIndex>,
        blocked: Vec<VolumeIndex>,
    ) -> MigrationPlan {
        MigrationPlan {
            steps: self.steps,
            final_placement: self.placement,
            deferred,
            blocked,
        }
    }

    /// Whether a volume is where it is to be.
    pub(super) fn is_finished(&self, volume: VolumeIndex) -> bool {
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
    pub(super) fn spare_data(&self, max_data: u128, open: &[VolumeIndex]) -> u128 {
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
    pub(super) fn advance(&mut self, volume: VolumeIndex) -> bool {
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

    /// Moves a part of some open volume to a third node, the least data first, so that another volume can advance.
    /// Returns false if no detour helps.
    pub(super) fn detour(&mut self, open: &[VolumeIndex], spare_data: Option<u128>) -> bool {
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
