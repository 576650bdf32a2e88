//! The problem: nodes, volumes and hosts. Rates are integers in thousandths of a unit a second, so that sums
//! are exact.
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
    /// The rate that it can serve, in thousandths of a unit a second; with 0 the node [is lost](Node::is_lost).
    pub capacity: u64,
    /// Cost of using it at all, in any unit.
    pub cost: u64,
}

impl Node {
    /// Whether the node is lost: without capacity, so that nothing may stay on it.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.capacity == 0
    }
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

impl ProblemError {
    fn new(name: &str, kind: ProblemErrorKind) -> Self {
        ProblemError {
            name: name.to_owned(),
            kind,
        }
    }
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
        let mut errors = check_names(&nodes, &volumes);
        errors.extend(check_nodes(&nodes));
        errors.extend(check_volumes(&volumes, &nodes));
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
}

/// Names that occur twice. Nodes and volumes are in order of their names.
fn check_names(nodes: &[Node], volumes: &[Volume]) -> Vec<ProblemError> {
    let node_pairs = nodes.windows(2).filter(|pair| pair[0].name == pair[1].name);
    let volume_pairs = volumes
        .windows(2)
        .filter(|pair| pair[0].name == pair[1].name);
    let duplicate_nodes =
        node_pairs.map(|pair| ProblemError::new(&pair[0].name, ProblemErrorKind::DuplicateNode));
    let duplicate_volumes = volume_pairs
        .map(|pair| ProblemError::new(&pair[0].name, ProblemErrorKind::DuplicateVolume));
    duplicate_nodes.chain(duplicate_volumes).collect()
}

/// What is wrong with each node by itself.
fn check_nodes(nodes: &[Node]) -> Vec<ProblemError> {
    nodes
        .iter()
        .filter(|node| node.capacity.max(node.cost) > MAX_NUMBER)
        .map(|node| ProblemError::new(&node.name, ProblemErrorKind::NumberTooLarge))
        .collect()
}

/// What is wrong with each volume by itself and with the nodes that it refers to.
fn check_volumes(volumes: &[Volume], nodes: &[Node]) -> Vec<ProblemError> {
    let errors_of = |volume: &Volume| {
        let kinds = volume.check(nodes);
        let with_name = |kind| ProblemError::new(&volume.name, kind);
        kinds.into_iter().map(with_name).collect::<Vec<_>>()
    };
    volumes.iter().flat_map(errors_of).collect()
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
