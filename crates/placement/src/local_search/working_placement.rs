//! Mutable placement that is changed one volume at a time, with incrementally updated loads.
use crate::feasibility::{FULL_CAPACITY, fits};
use crate::load_table::LoadTable;
use crate::objective::{Objective, node_gain, objective};
use crate::problem::Problem;
use crate::{NodeIndex, Placement, VolumeIndex, assignments};
use std::cmp::Ordering;

/// A placement under construction, with the loads of its nodes.
pub(super) struct WorkingPlacement<'a> {
    problem: &'a Problem,
    /// Nodes of each volume; empty while the volume is unassigned.
    placement: Placement,
    /// Volumes of each node, in the order in which they were assigned.
    volumes_at: Vec<Vec<VolumeIndex>>,
    loads: LoadTable<'a>,
}

impl<'a> WorkingPlacement<'a> {
    /// Creates a placement in which no volume is assigned.
    pub(super) fn new(problem: &'a Problem) -> Self {
        WorkingPlacement {
            problem,
            placement: vec![Vec::new(); problem.volumes.len()],
            volumes_at: vec![Vec::new(); problem.nodes.len()],
            loads: LoadTable::new(problem),
        }
    }

    /// Returns the nodes of a volume; empty while the volume is unassigned.
    pub(super) fn nodes_of(&self, volume: VolumeIndex) -> &[NodeIndex] {
        &self.placement[volume]
    }

    /// Returns the volumes of a node, in the order in which they were assigned.
    pub(super) fn volumes_at(&self, node: NodeIndex) -> &[VolumeIndex] {
        &self.volumes_at[node]
    }

    /// Returns the unassigned volumes, in ascending order.
    pub(super) fn unassigned(&self) -> Vec<VolumeIndex> {
        (0..self.placement.len())
            .filter(|volume| self.placement[*volume].is_empty())
            .collect()
    }

    /// Returns the objective value of the placement, or `None` while a volume is unassigned.
    pub(super) fn objective(&self) -> Option<Objective> {
        let is_complete = self.placement.iter().all(|nodes| !nodes.is_empty());
        is_complete.then(|| objective(self.problem, &self.placement))
    }

    /// Returns whether the placement is feasible, computed anew rather than from the incrementally updated loads.
    pub(super) fn is_feasible(&self) -> bool {
        fits(
            self.problem,
            &assignments(&self.placement),
            &|_| true,
            FULL_CAPACITY,
        )
    }

    /// Returns whether the loads of these nodes fit, now and after every loss.
    pub(super) fn fits_at(&self, nodes: &[NodeIndex]) -> bool {
        self.loads.fits_at(nodes)
    }

    /// Assigns nodes to an unassigned volume.
    pub(super) fn assign(&mut self, volume: VolumeIndex, nodes: Vec<NodeIndex>) {
        for node in &nodes {
            self.volumes_at[*node].push(volume);
        }
        self.loads.add(volume, &nodes);
        self.placement[volume] = nodes;
    }

    /// Removes a volume from its nodes.
    pub(super) fn unassign(&mut self, volume: VolumeIndex) {
        let nodes = std::mem::take(&mut self.placement[volume]);
        self.loads.remove(volume, &nodes);
        for node in nodes {
            self.volumes_at[node].retain(|other| *other != volume);
        }
    }

    /// Replaces the nodes of a volume.
    pub(super) fn reassign(&mut self, volume: VolumeIndex, nodes: &[NodeIndex]) {
        self.unassign(volume);
        self.assign(volume, nodes.to_vec());
    }

    /// Assigns nodes to an unassigned volume if the loads of these nodes then fit. Returns whether they do.
    pub(super) fn assign_if_fitting(&mut self, volume: VolumeIndex, nodes: Vec<NodeIndex>) -> bool {
        self.assign(volume, nodes);
        let fits = self.loads.fits_at(&self.placement[volume]);
        if !fits {
            self.unassign(volume);
        }
        fits
    }

    /// Compares two nodes by load relative to capacity, without division. A lost node is greater than any other; of equal
    /// ones the larger capacity, then the lower index is first.
    pub(super) fn compare_load(&self, a: NodeIndex, b: NodeIndex) -> Ordering {
        let capacity = |node: NodeIndex| self.problem.nodes[node].capacity;
        let load_of_a = self.loads.load(a) * i128::from(capacity(b).max(1));
        let load_of_b = self.loads.load(b) * i128::from(capacity(a).max(1));
        let is_lost = |node: NodeIndex| self.problem.nodes[node].is_lost();
        is_lost(a)
            .cmp(&is_lost(b))
            .then(load_of_a.cmp(&load_of_b))
            .then(capacity(b).cmp(&capacity(a)))
            .then(a.cmp(&b))
    }

    fn is_in_zone(&self, volume: VolumeIndex, node: NodeIndex) -> bool {
        let zone = self.problem.volumes[volume].zone.as_ref();
        zone.is_none_or(|zone| self.problem.nodes[node].zone == *zone)
    }

    /// Returns whether a volume's own constraints allow adding `node` to the incomplete node set `nodes`. Unlike a
    /// complete set, an incomplete one need not span two zones to survive a zone loss.
    pub(super) fn is_allowed_with(
        &self,
        volume: VolumeIndex,
        nodes: &[NodeIndex],
        node: NodeIndex,
    ) -> bool {
        let zone = self.loads.zone_of(node);
        let is_new_zone = || nodes.iter().all(|other| self.loads.zone_of(*other) != zone);
        self.is_in_zone(volume, node)
            && (!self.problem.volumes[volume].distinct_zones || is_new_zone())
    }

    /// Returns whether a volume's own constraints allow a complete node set.
    pub(super) fn is_allowed(&self, volume: VolumeIndex, nodes: &[NodeIndex]) -> bool {
        let definition = &self.problem.volumes[volume];
        let zones: Vec<usize> = nodes.iter().map(|node| self.loads.zone_of(*node)).collect();
        let can_survive_zone_loss =
            definition.reserved_rate == 0 || zones.iter().any(|zone| *zone != zones[0]);
        are_distinct(nodes)
            && nodes.iter().all(|node| self.is_in_zone(volume, *node))
            && (!definition.distinct_zones || are_distinct(&zones))
            && (!definition.survives_zone_loss || can_survive_zone_loss)
    }

    /// Returns the gain at a node, scaled as by [`crate::objective::gain`].
    pub(super) fn node_gain(&self, node: NodeIndex) -> i128 {
        let mut volumes = self.volumes_at[node].clone();
        volumes.sort_unstable();
        node_gain(self.problem, &self.placement, node, &volumes)
    }
}

fn are_distinct(items: &[usize]) -> bool {
    (1..items.len()).all(|index| !items[..index].contains(&items[index]))
}
