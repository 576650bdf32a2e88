//! Enumeration of the node sets that satisfy the zone constraints of a volume.
use crate::constraint::{Constraint, ConstraintFilter};
use crate::problem::{Node, Problem};
use crate::{NodeIndex, VolumeIndex};

impl Problem {
    /// Returns the node sets of the size of a volume's spread that satisfy its zone constraints, in ascending order.
    /// Inactive constraints are ignored.
    #[must_use]
    pub fn allowed_node_sets(
        &self,
        volume: VolumeIndex,
        is_active: ConstraintFilter,
    ) -> Vec<Vec<NodeIndex>> {
        let definition = &self.volumes[volume];
        let zone = definition
            .zone
            .as_deref()
            .filter(|_| is_active(Constraint::Zone(volume)));
        let distinct_zones =
            definition.distinct_zones && is_active(Constraint::DistinctZones(volume));
        let mut sets = Vec::new();
        let mut enumeration = NodeSetEnumeration {
            nodes: &self.nodes,
            spread: definition.spread,
            zone,
            distinct_zones,
        };
        enumeration.extend(0, &mut Vec::new(), &mut sets);
        sets
    }
}

/// Enumerates the node sets of `spread` nodes that satisfy the zone constraints.
struct NodeSetEnumeration<'a> {
    nodes: &'a [Node],
    spread: usize,
    /// Zone that all nodes must be in; `None` allows every zone.
    zone: Option<&'a str>,
    distinct_zones: bool,
}

impl NodeSetEnumeration<'_> {
    /// Appends to `sets` all sets that consist of `set` and further nodes with an index of at least `first`.
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
            let is_in_zone = self.zone.is_none_or(|required_zone| required_zone == zone);
            let is_new_zone = || set.iter().all(|other| self.nodes[*other].zone != *zone);
            if is_in_zone && (!self.distinct_zones || is_new_zone()) {
                set.push(node);
                self.extend(node + 1, set, sets);
                set.pop();
            }
        }
    }
}
