//! The constraints that a placement must meet. Each of them can be deactivated to find out why a problem is infeasible.
use crate::problem::Problem;
use crate::{NodeIndex, VolumeIndex};

/// A constraint that a placement must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Constraint {
    /// The load of a node is at most its capacity.
    Capacity(NodeIndex),
    /// The nodes of a volume serve its reserve.
    Reserve(VolumeIndex),
    /// All nodes of a volume are in its zone.
    Zone(VolumeIndex),
    /// All nodes of a volume are in different zones.
    DistinctZones(VolumeIndex),
    /// The reserve of a volume still fits after the loss of any one node.
    SurvivesNodeLoss(VolumeIndex),
    /// The reserve of a volume still fits after the loss of any one zone.
    SurvivesZoneLoss(VolumeIndex),
}

/// Predicate that returns whether a constraint is active. An inactive constraint is ignored.
pub type ConstraintFilter<'a> = &'a dyn Fn(Constraint) -> bool;

impl Problem {
    /// Returns all constraints of the problem: those of nodes, then those of volumes, each in ascending order of index.
    #[must_use]
    pub fn constraints(&self) -> Vec<Constraint> {
        let mut constraints: Vec<Constraint> =
            (0..self.nodes.len()).map(Constraint::Capacity).collect();
        for (index, volume) in self.volumes.iter().enumerate() {
            let of_volume = [
                (volume.reserved_rate > 0, Constraint::Reserve(index)),
                (volume.zone.is_some(), Constraint::Zone(index)),
                (volume.distinct_zones, Constraint::DistinctZones(index)),
                (
                    volume.survives_node_loss,
                    Constraint::SurvivesNodeLoss(index),
                ),
                (
                    volume.survives_zone_loss,
                    Constraint::SurvivesZoneLoss(index),
                ),
            ];
            let present = of_volume.into_iter().filter(|(is_present, _)| *is_present);
            constraints.extend(present.map(|(_, constraint)| constraint));
        }
        constraints
    }

    /// Returns a description of a constraint for operators.
    #[must_use]
    pub fn describe(&self, constraint: Constraint) -> String {
        let name = |volume: VolumeIndex| &self.volumes[volume].name;
        match constraint {
            Constraint::Capacity(node) => {
                let node = &self.nodes[node];
                format!("node {} does {}", node.name, format_rate(node.capacity))
            }
            Constraint::Reserve(volume) => {
                format!(
                    "volume {} reserves {}",
                    name(volume),
                    format_rate(self.volumes[volume].reserved_rate)
                )
            }
            Constraint::Zone(volume) => {
                let zone = self.volumes[volume].zone.as_deref().unwrap_or("-");
                format!("volume {} lies in zone {zone}", name(volume))
            }
            Constraint::DistinctZones(volume) => {
                format!("volume {} has no two nodes in one zone", name(volume))
            }
            Constraint::SurvivesNodeLoss(volume) => {
                format!("volume {} survives the loss of a node", name(volume))
            }
            Constraint::SurvivesZoneLoss(volume) => {
                format!("volume {} survives the loss of a zone", name(volume))
            }
        }
    }
}

/// Formats a rate in thousandths of a unit per second as a decimal number of units per second.
fn format_rate(rate: u64) -> String {
    format!("{}.{:03}/s", rate / 1000, rate % 1000)
}
