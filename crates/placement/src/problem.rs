//! The problem: nodes, volumes and hosts. Rates are integers in thousandths of a unit a second, so that sums
//! are exact.
use crate::constraint::{Constraint, ConstraintFilter};
use crate::{NodeIndex, VolumeIndex};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Largest rate, priority factor, cost and size: sums over thousands of volumes fit into 128 bits.
pub const MAX_NUMBER: u64 = 1_000_000_000_000;
/// Nodes that one volume can be spread over, at most.
pub const MAX_SPREAD: usize = 8;
/// Rates are scaled by the least common multiple of 1 to [`MAX_SPREAD`], so that each spread divides them.
pub const SCALE: i128 = 840;

/// A node that volumes can be placed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// The zone that it is in: nodes of one zone can be lost together.
    pub zone: String,
    /// The rate that it can serve, in thousandths of a unit a second; 0: none, it is lost.
    pub capacity: u64,
    /// Cost of using it at all, in any unit.
    pub cost: u64,
}

/// A volume to be placed; rates in thousandths of a unit a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// Its name.
    pub name: String,
    /// The reserved rate.
    pub reserved_rate: u64,
    /// The reserve may be raised up to this; a value below the reserve leaves it fixed.
    pub max_reserved_rate: u64,
    /// What it may use at most, over all hosts; 0: no limit.
    pub rate_limit: u64,
    /// Its demand in a surge, its reserve included.
    pub surge_rate: u64,
    /// Weight of its share of what reserves leave free at a node.
    pub weight: u64,
    /// Factor on its gain, in thousandths.
    pub priority_factor: u64,
    /// Number of nodes that its data is spread over evenly.
    pub spread: usize,
    /// Its reserve must fit with any one node lost.
    pub survives_node_loss: bool,
    /// Its reserve must fit with any one zone lost.
    pub survives_zone_loss: bool,
    /// No two of its nodes may be in one zone.
    pub distinct_zones: bool,
    /// All its nodes must be in this zone.
    pub zone: Option<String>,
    /// Size of its data, in any unit.
    pub size: u64,
    /// Names of the nodes that its data is on now; empty for a new volume.
    pub current_nodes: BTreeSet<String>,
}

/// A host. Hosts do not matter for a placement; limits are divided over them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// The rate that it sends to each volume, by name of the volume.
    pub sends: BTreeMap<String, u64>,
}

/// An error in a problem.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{name}`: expected {kind}")]
pub struct ProblemError {
    /// Name of the node or volume.
    pub name: String,
    /// The error.
    pub kind: ProblemErrorKind,
}

/// An error of a node or volume; the text states what was expected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProblemErrorKind {
    /// Two nodes have the name.
    #[error("one node of this name")]
    DuplicateNode,
    /// Two volumes have the name.
    #[error("one volume of this name")]
    DuplicateVolume,
    /// A number is above [`MAX_NUMBER`].
    #[error("numbers up to a million million")]
    NumberTooLarge,
    /// The spread is 0 or above [`MAX_SPREAD`].
    #[error("a spread of 1 to 8 nodes")]
    InvalidSpread,
    /// The reserve is above the demand in a surge.
    #[error("a surge of at least the reserve")]
    SurgeBelowReserve,
    /// A volume on one node cannot survive the loss of it.
    #[error("a spread of at least 2, since it survives the loss of a node")]
    SpreadTooSmallToSurvive,
    /// No node is in the zone.
    #[error("a zone that some node is in")]
    UnknownZone,
    /// The volume's data is on a node that is not in the problem.
    #[error("to lie on nodes of the problem, not on `{0}`")]
    UnknownCurrentNode(String),
}

/// A checked problem; nodes and volumes are in order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problem {
    /// Nodes, in order of their names.
    pub nodes: Vec<Node>,
    /// Volumes, in order of their names.
    pub volumes: Vec<Volume>,
    /// Hosts that limits are divided over.
    pub hosts: Vec<Host>,
}

impl Problem {
    /// Checks a problem without hosts and puts it in order.
    ///
    /// # Errors
    ///
    /// All errors in it.
    pub fn new(
        mut nodes: Vec<Node>,
        mut volumes: Vec<Volume>,
    ) -> Result<Problem, Vec<ProblemError>> {
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        volumes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut errors = Vec::new();
        let mut add = |name: &str, kind| {
            errors.push(ProblemError {
                name: name.to_owned(),
                kind,
            });
        };
        for pair in nodes.windows(2).filter(|pair| pair[0].name == pair[1].name) {
            add(&pair[0].name, ProblemErrorKind::DuplicateNode);
        }
        for pair in volumes
            .windows(2)
            .filter(|pair| pair[0].name == pair[1].name)
        {
            add(&pair[0].name, ProblemErrorKind::DuplicateVolume);
        }
        for node in nodes
            .iter()
            .filter(|node| node.capacity.max(node.cost) > MAX_NUMBER)
        {
            add(&node.name, ProblemErrorKind::NumberTooLarge);
        }
        for volume in &volumes {
            for kind in volume.check(&nodes) {
                add(&volume.name, kind);
            }
        }
        if errors.is_empty() {
            Ok(Problem {
                nodes,
                volumes,
                hosts: Vec::new(),
            })
        } else {
            Err(errors)
        }
    }

    /// The node sets that a volume's own constraints allow, in ascending order. Constraints that the filter leaves
    /// out do not count.
    #[must_use]
    pub fn allowed_node_sets(
        &self,
        volume: VolumeIndex,
        is_active: ConstraintFilter,
    ) -> Vec<Vec<NodeIndex>> {
        let wanted = &self.volumes[volume];
        let zone = wanted
            .zone
            .as_deref()
            .filter(|_| is_active(Constraint::Zone(volume)));
        let distinct_zones = wanted.distinct_zones && is_active(Constraint::DistinctZones(volume));
        let mut sets = Vec::new();
        let mut enumeration = NodeSetEnumeration {
            nodes: &self.nodes,
            spread: wanted.spread,
            zone,
            distinct_zones,
        };
        enumeration.extend(0, &mut Vec::new(), &mut sets);
        sets
    }
}

impl Volume {
    fn check(&self, nodes: &[Node]) -> Vec<ProblemErrorKind> {
        let numbers = [
            self.reserved_rate,
            self.max_reserved_rate,
            self.rate_limit,
            self.surge_rate,
            self.weight,
            self.priority_factor,
            self.size,
        ];
        let mut kinds = Vec::new();
        if numbers.iter().any(|number| *number > MAX_NUMBER) {
            kinds.push(ProblemErrorKind::NumberTooLarge);
        }
        if self.spread == 0 || self.spread > MAX_SPREAD {
            kinds.push(ProblemErrorKind::InvalidSpread);
        }
        if self.surge_rate < self.reserved_rate {
            kinds.push(ProblemErrorKind::SurgeBelowReserve);
        }
        if self.survives_node_loss && self.spread < 2 {
            kinds.push(ProblemErrorKind::SpreadTooSmallToSurvive);
        }
        if self
            .zone
            .as_ref()
            .is_some_and(|zone| !nodes.iter().any(|node| node.zone == *zone))
        {
            kinds.push(ProblemErrorKind::UnknownZone);
        }
        let is_unknown = |name: &&String| !nodes.iter().any(|node| node.name == **name);
        if let Some(name) = self.current_nodes.iter().find(is_unknown) {
            kinds.push(ProblemErrorKind::UnknownCurrentNode(name.clone()));
        }
        kinds
    }
}

/// Enumerates the node sets of a size, with the zones that they may be in.
struct NodeSetEnumeration<'a> {
    nodes: &'a [Node],
    spread: usize,
    zone: Option<&'a str>,
    distinct_zones: bool,
}

impl NodeSetEnumeration<'_> {
    /// Adds to `sets` all sets that begin with `set` and go on with nodes from `first` on.
    fn extend(
        &mut self,
        first: NodeIndex,
        set: &mut Vec<NodeIndex>,
        sets: &mut Vec<Vec<NodeIndex>>,
    ) {
        if set.len() == self.spread {
            return sets.push(set.clone());
        }
        for node in first..self.nodes.len() {
            let zone = &self.nodes[node].zone;
            let is_in_zone = self.zone.is_none_or(|wanted| wanted == zone);
            let is_new_zone = || set.iter().all(|other| self.nodes[*other].zone != *zone);
            if is_in_zone && (!self.distinct_zones || is_new_zone()) {
                set.push(node);
                self.extend(node + 1, set, sets);
                set.pop();
            }
        }
    }
}
