//! Loads of nodes by the reserves of volumes, updated incrementally when volumes are assigned and unassigned.
use crate::problem::{Problem, SCALE};
use crate::{NodeIndex, VolumeIndex};
use std::collections::BTreeMap;

/// Index of a zone, in the order in which zones first appear among the nodes.
type ZoneIndex = usize;

/// Loads of all nodes, now and after every loss. All loads are times [`SCALE`].
pub(crate) struct LoadTable<'a> {
    problem: &'a Problem,
    /// Zone of each node.
    zone_of: Vec<ZoneIndex>,
    /// Load of each node without a loss.
    load: Vec<i128>,
    /// Load that the loss of one node (first index) adds to another node (second index).
    added_by_node_loss: Vec<Vec<i128>>,
    /// Load that the loss of a zone (first index) adds to a node outside the zone (second index).
    added_by_zone_loss: Vec<Vec<i128>>,
}

impl<'a> LoadTable<'a> {
    pub fn new(problem: &'a Problem) -> Self {
        let mut zones: BTreeMap<&str, ZoneIndex> = BTreeMap::new();
        for node in &problem.nodes {
            let next = zones.len();
            zones.entry(&node.zone).or_insert(next);
        }
        let nodes = problem.nodes.len();
        LoadTable {
            problem,
            zone_of: problem
                .nodes
                .iter()
                .map(|node| zones[node.zone.as_str()])
                .collect(),
            load: vec![0; nodes],
            added_by_node_loss: vec![vec![0; nodes]; nodes],
            added_by_zone_loss: vec![vec![0; nodes]; zones.len()],
        }
    }

    pub fn zone_of(&self, node: NodeIndex) -> ZoneIndex {
        self.zone_of[node]
    }

    pub fn load(&self, node: NodeIndex) -> i128 {
        self.load[node]
    }

    /// Adds the load of a volume that is placed on these nodes.
    pub fn add(&mut self, volume: VolumeIndex, nodes: &[NodeIndex]) {
        self.change(volume, nodes, 1);
    }

    /// Removes the load of a volume that was placed on these nodes.
    pub fn remove(&mut self, volume: VolumeIndex, nodes: &[NodeIndex]) {
        self.change(volume, nodes, -1);
    }

    /// Adds (`sign` 1) or removes (`sign` -1) the load of a volume on these nodes.
    fn change(&mut self, volume: VolumeIndex, nodes: &[NodeIndex], sign: i128) {
        let volume = &self.problem.volumes[volume];
        let reserve = i128::from(volume.reserved_rate) * SCALE;
        let per_node = reserve / nodes.len().max(1) as i128;
        for node in nodes {
            self.load[*node] += sign * per_node;
        }
        if volume.survives_node_loss && nodes.len() > 1 {
            let added = reserve / (nodes.len() as i128 - 1) - per_node;
            for lost in nodes {
                for node in nodes.iter().filter(|node| *node != lost) {
                    self.added_by_node_loss[*lost][*node] += sign * added;
                }
            }
        }
        if volume.survives_zone_loss {
            for (zone, added_by_loss) in self.added_by_zone_loss.iter_mut().enumerate() {
                let is_left = |node: &&NodeIndex| self.zone_of[**node] != zone;
                let left = nodes.iter().filter(is_left).count();
                if left > 0 && left < nodes.len() {
                    let added = reserve / left as i128 - per_node;
                    for node in nodes.iter().filter(is_left) {
                        added_by_loss[*node] += sign * added;
                    }
                }
            }
        }
    }

    /// Returns whether all reserves fit at these nodes, now and after every loss.
    pub fn fits_at(&self, nodes: &[NodeIndex]) -> bool {
        nodes.iter().all(|node| {
            let capacity = i128::from(self.problem.nodes[*node].capacity) * SCALE;
            let free = capacity - self.load[*node];
            let fits_in_node_losses = || {
                self.added_by_node_loss
                    .iter()
                    .all(|added| added[*node] <= free)
            };
            let fits_in_zone_losses = || {
                let mut losses = self.added_by_zone_loss.iter().enumerate();
                losses.all(|(zone, added)| self.zone_of[*node] == zone || added[*node] <= free)
            };
            free >= 0 && fits_in_node_losses() && fits_in_zone_losses()
        })
    }
}
