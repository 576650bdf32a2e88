//! The node sets that a volume's own constraints allow.
use crate::constraint::{Constraint, ConstraintFilter};
use crate::problem::{Node, Problem};
use crate::{NodeIndex, VolumeIndex};

impl Problem {
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
