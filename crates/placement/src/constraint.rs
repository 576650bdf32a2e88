//! The constraints that a placement must meet, each of which can be left out to explain why a problem is infeasible.
use crate::problem::Problem;
use crate::{NodeIndex, VolumeIndex};

/// One constraint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Constraint {
    /// The capacity of a node.
    Capacity(NodeIndex),
    /// The reserve of a volume.
    Reserve(VolumeIndex),
    /// The zone that a volume must be in.
    Zone(VolumeIndex),
    /// No two nodes of a volume are in one zone.
    DistinctZones(VolumeIndex),
    /// A volume's reserve fits with any one node lost.
    SurvivesNodeLoss(VolumeIndex),
    /// A volume's reserve fits with any one zone lost.
    SurvivesZoneLoss(VolumeIndex),
}

/// Whether a constraint is active.
pub type ConstraintFilter<'a> = &'a dyn Fn(Constraint) -> bool;

impl Problem {
    /// All constraints of the problem, in ascending order of nodes, then of volumes.
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

    /// A constraint as text for operators.
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

/// A rate in thousandths of a unit a second, as a decimal number.
fn format_rate(rate: u64) -> String {
    format!("{}.{:03}/s", rate / 1000, rate % 1000)
}
