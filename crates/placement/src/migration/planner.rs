//! Search for the steps of a migration. Each step is checked against all constraints before it is taken.
use super::plan::{MigrationPlan, MigrationStep};
use super::selection::remaining_data;
use crate::feasibility::excess;
use crate::problem::{Problem, SCALE};
use crate::{Assignment, NodeIndex, Placement, VolumeIndex, assignments};
use std::collections::BTreeSet;

/// A migration plan under construction, with the placement after the steps so far.
pub(super) struct Planner<'a> {
    problem: &'a Problem,
    target: &'a Placement,
    /// Placement after the steps so far.
    placement: Placement,
    steps: Vec<MigrationStep>,
    /// Excess of the reserves over the capacities after the steps so far; see [`excess`].
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

    /// Returns the number of steps so far.
    pub(super) fn step_count(&self) -> usize {
        self.steps.len()
    }

    /// Returns the steps so far as a plan. `blocked` volumes, which are unfinished, stay at an intermediate placement,
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

    /// Returns whether a volume is on its target nodes.
    pub(super) fn is_finished(&self, volume: VolumeIndex) -> bool {
        self.placement[volume] == self.target[volume]
    }

    /// Returns the nodes that a volume still has to leave.
    fn sources(&self, volume: VolumeIndex) -> Vec<NodeIndex> {
        let target = &self.target[volume];
        self.placement[volume]
            .iter()
            .copied()
            .filter(|node| !target.contains(node))
            .collect()
    }

    /// Returns the target nodes that a volume is not on yet.
    fn destinations(&self, volume: VolumeIndex) -> Vec<NodeIndex> {
        let placed = &self.placement[volume];
        self.target[volume]
            .iter()
            .copied()
            .filter(|node| !placed.contains(node))
            .collect()
    }

    /// Returns the amount of data in one part of a volume, times [`SCALE`].
    fn part_data(&self, volume: VolumeIndex) -> u128 {
        let volume = &self.problem.volumes[volume];
        u128::from(volume.size) * SCALE as u128 / volume.spread.max(1) as u128
    }

    /// Returns the data budget that is left for detours, times [`SCALE`], if all open volumes move directly.
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

    /// Takes a step unless it increases the number of violated constraints or the excess of the reserves. Returns whether
    /// the step was taken.
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

    /// Reverts the last step, which must be a move of a part of `volume` from `from` to `to`.
    fn undo_step(&mut self, volume: VolumeIndex, from: NodeIndex, to: NodeIndex) {
        self.steps.pop();
        let nodes = &mut self.placement[volume];
        nodes.retain(|node| *node != to);
        nodes.push(from);
        nodes.sort_unstable();
        self.excess = current_excess(self.problem, &self.placement);
    }

    /// Takes one step of a volume towards its target. Returns whether one was possible.
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

    /// Moves a part of an open volume to a third node so that another volume can advance. Volumes with the least data per
    /// part are tried first. Returns whether a detour was found.
    pub(super) fn detour(&mut self, open: &[VolumeIndex], spare_data: Option<u128>) -> bool {
        let is_affordable =
            |volume: &VolumeIndex| spare_data.is_none_or(|s| self.part_data(*volume) <= s);
        let mut by_data: Vec<VolumeIndex> = open.iter().copied().filter(is_affordable).collect();
        by_data.sort_unstable_by_key(|volume| (self.part_data(*volume), *volume));
        by_data
            .into_iter()
            .any(|volume| self.detour_of(volume, open))
    }

    /// Moves a part of `volume` to a third node so that another open volume can advance. Returns whether that succeeded.
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

/// Returns the number of violations of a volume's zone constraints by a node set: nodes outside the required zone, and
/// nodes beyond the first one in a zone if zones must be distinct.
fn violations(problem: &Problem, volume: VolumeIndex, nodes: &[NodeIndex]) -> usize {
    let definition = &problem.volumes[volume];
    let zone_of = |node: &NodeIndex| problem.nodes[*node].zone.as_str();
    let is_outside = |node: &&NodeIndex| {
        definition
            .zone
            .as_deref()
            .is_some_and(|zone| zone != zone_of(node))
    };
    let outside = nodes.iter().filter(is_outside).count();
    let zones: BTreeSet<&str> = nodes.iter().map(zone_of).collect();
    outside
        + if definition.distinct_zones {
            nodes.len() - zones.len()
        } else {
            0
        }
}

/// Returns the excess of the reserves of a placement over the capacities, see [`excess`].
fn current_excess(problem: &Problem, placement: &Placement) -> i128 {
    // A new volume counts only once all its parts are placed, since it is not served before.
    let counts = |assignment: &Assignment| {
        let volume = &problem.volumes[assignment.volume];
        let is_complete = assignment.nodes.len() == volume.spread;
        !assignment.nodes.is_empty() && (!volume.current_nodes.is_empty() || is_complete)
    };
    let mut assignments = assignments(placement);
    assignments.retain(counts);
    excess(problem, &assignments)
}
