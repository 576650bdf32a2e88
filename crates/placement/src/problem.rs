//! The placement problem: nodes, volumes and hosts. Rates are integers in thousandths of a unit per second, so that sums
//! are exact.
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Largest rate, capacity, weight, priority factor, cost or size; sums over thousands of volumes fit into 128 bits.
pub const MAX_NUMBER: u64 = 1_000_000_000_000;
/// Maximum number of nodes that one volume can be spread over.
pub const MAX_SPREAD: usize = 8;
/// Scale factor of rates: the least common multiple of 1 to [`MAX_SPREAD`], so that a scaled rate is divisible by every
/// spread.
pub const SCALE: i128 = 840;

/// A node that volumes can be placed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Node {
    /// Name of the node.
    pub name: String,
    /// Zone of the node; all nodes of a zone can be lost together.
    pub zone: String,
    /// Rate that the node can serve, in thousandths of a unit per second; a node with 0 [is lost](Node::is_lost).
    pub capacity: u64,
    /// Cost of the node if at least one volume is placed on it, in a unit common to all nodes.
    pub cost: u64,
}

impl Node {
    /// Returns whether the node is lost, that is, has no capacity. No volume may stay on a lost node.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.capacity == 0
    }
}

/// A volume to be placed. All rates are in thousandths of a unit per second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// Name of the volume.
    pub name: String,
    /// Reserved rate of the volume (its reserve).
    pub reserved_rate: u64,
    /// Highest rate that the reserve may be raised to; a value below the reserve leaves the reserve fixed.
    pub max_reserved_rate: u64,
    /// Maximum rate of the volume over all hosts; 0 means no limit.
    pub rate_limit: u64,
    /// Demand of the volume in a surge, including the reserve.
    pub surge_rate: u64,
    /// Weight of the volume when the unreserved capacity of a node is shared.
    pub weight: u64,
    /// Factor on the gain of the volume, in thousandths.
    pub priority_factor: u64,
    /// Number of nodes that the volume's data is spread over evenly.
    pub spread: usize,
    /// Whether the reserve must still fit after the loss of any one node.
    pub survives_node_loss: bool,
    /// Whether the reserve must still fit after the loss of any one zone.
    pub survives_zone_loss: bool,
    /// Whether all nodes of the volume must be in different zones.
    pub distinct_zones: bool,
    /// Zone that all nodes of the volume must be in; `None` allows every zone.
    pub zone: Option<String>,
    /// Size of the volume's data, in a unit common to all volumes.
    pub size: u64,
    /// Names of the nodes that hold the volume's data now; empty for a new volume.
    pub current_nodes: BTreeSet<String>,
}

/// A host that sends I/O to volumes. Placement does not depend on hosts; rate limits are divided among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Rate that the host sends to each volume, in thousandths of a unit per second, by volume name.
    pub sends: BTreeMap<String, u64>,
}

/// A validation error of a problem.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{name}`: expected {kind}")]
pub struct ProblemError {
    /// Name of the invalid node or volume.
    pub name: String,
    /// What is wrong with the node or volume.
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

/// Kind of a validation error of a node or volume. The text states what is expected and completes "expected …".
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProblemErrorKind {
    /// Two nodes have the same name.
    #[error("unique node names")]
    DuplicateNode,
    /// Two volumes have the same name.
    #[error("unique volume names")]
    DuplicateVolume,
    /// A number is above [`MAX_NUMBER`].
    #[error("numbers of at most 10^12")]
    NumberTooLarge,
    /// The spread is 0 or above [`MAX_SPREAD`].
    #[error("a spread of 1 to 8 nodes")]
    InvalidSpread,
    /// The reserved rate is above the surge rate.
    #[error("a surge rate of at least the reserved rate")]
    SurgeBelowReserve,
    /// A volume that must survive the loss of a node is spread over one node only.
    #[error("a spread of at least 2 nodes for a volume that survives the loss of a node")]
    SpreadTooSmallToSurvive,
    /// No node is in the zone that the volume must be in.
    #[error("a volume whose zone has at least one node")]
    UnknownZone,
    /// The volume's data is on a node that the problem does not define.
    #[error("volume data on defined nodes only, not on `{0}`")]
    UnknownCurrentNode(String),
}

/// A validated problem. Nodes and volumes are sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problem {
    /// Nodes, sorted by name.
    pub nodes: Vec<Node>,
    /// Volumes, sorted by name.
    pub volumes: Vec<Volume>,
    /// Hosts that rate limits are divided among.
    pub hosts: Vec<Host>,
}

impl Problem {
    /// Validates a problem without hosts and sorts its nodes and volumes by name.
    ///
    /// # Errors
    ///
    /// The problem is invalid. Every validation error is returned, not only the first.
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

/// Returns an error for each duplicate name. Nodes and volumes must be sorted by name.
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

/// Returns the errors of individual nodes.
fn check_nodes(nodes: &[Node]) -> Vec<ProblemError> {
    nodes
        .iter()
        .filter(|node| node.capacity.max(node.cost) > MAX_NUMBER)
        .map(|node| ProblemError::new(&node.name, ProblemErrorKind::NumberTooLarge))
        .collect()
}

/// Returns the errors of individual volumes and of their references to zones and nodes.
fn check_volumes(volumes: &[Volume], nodes: &[Node]) -> Vec<ProblemError> {
    let errors_of = |volume: &Volume| {
        let kinds = volume.check(nodes);
        let with_name = |kind| ProblemError::new(&volume.name, kind);
        kinds.into_iter().map(with_name).collect::<Vec<_>>()
    };
    volumes.iter().flat_map(errors_of).collect()
}

impl Volume {
    /// Returns the errors of the volume and of its references to `nodes`.
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
