//! When places that nobody can read any more may be given back: once no host acts on a tree in which they were
//! read, and what was sent by such a tree has run out of time. In small lots, so that nodes are left to clients.
use crate::Millis;
use crate::leases::Leases;
use crate::tree::{LayerId, Tree};
use std::collections::{BTreeMap, BTreeSet};

/// Extents given back at once: a node takes some milliseconds for as many.
pub const LOT: usize = 64;

#[derive(Default)]
pub struct Free {
    /// Version at which each place was first seen to be waste, and since when that version counts everywhere.
    since: BTreeMap<(LayerId, u32), (u64, Option<Millis>)>,
    under_way: BTreeSet<(LayerId, u32)>,
    empty: BTreeSet<LayerId>,
}

impl Free {
    /// Takes notice of what has become waste. `kept`: layers of cuts that are not granted yet. Without them a
    /// first write in the new head would hide a place of the cut, and the snapshot would lose it.
    pub fn look(&mut self, tree: &Tree, kept: &BTreeSet<LayerId>, leases: &Leases, now: Millis) {
        let waste = tree.waste_beside(kept);
        self.empty = waste.iter().filter(|w| w.1.is_empty()).map(|w| *w.0).collect();
        let still = |(layer, extent): &(LayerId, u32)| waste.get(layer).is_some_and(|w| w.contains(extent));
        self.since.retain(|at, _| still(at));
        self.under_way.retain(still);
        for (layer, extents) in &waste {
            for extent in extents {
                self.since.entry((*layer, *extent)).or_insert((tree.version, None));
            }
        }
        for (version, since) in self.since.values_mut() {
            if since.is_none() && leases.counts(*version, now) {
                *since = Some(now);
            }
        }
    }

    /// The next lot to give back, with `limit` the longest time that anything sent can take.
    pub fn lot(&mut self, limit: Millis, now: Millis) -> Vec<(LayerId, u32)> {
        let room = LOT.saturating_sub(self.under_way.len());
        let due = |(at, (_, since)): (&(LayerId, u32), &(u64, Option<Millis>))| {
            let ready = since.is_some_and(|s| now >= s + limit) && !self.under_way.contains(at);
            ready.then_some(*at)
        };
        let lot: Vec<_> = self.since.iter().filter_map(due).take(room).collect();
        self.under_way.extend(&lot);
        lot
    }

    /// A node did not take one back: it is tried again.
    pub fn failed(&mut self, at: (LayerId, u32)) {
        self.under_way.remove(&at);
    }

    /// Layers of no use that hold nothing.
    pub fn empty(&self) -> impl Iterator<Item = LayerId> + '_ {
        self.empty.iter().copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tree::{Change, Place};

    fn deleted() -> Tree {
        let mut tree = Tree::default();
        let place = |number| Place { node: 0, number };
        for change in [
            Change::Made { branch: "a".into(), extents: 9 },
            Change::Numbers { layer: 1024, first: 0, count: 9 },
            Change::Placed { layer: 1024, extent: 4, place: place(1) },
            Change::Placed { layer: 1024, extent: 5, place: place(2) },
            Change::BranchDeleted { branch: "a".into() },
        ] {
            tree.apply(&change).expect("fits");
        }
        tree
    }

    #[test]
    fn a_cut_that_still_waits_loses_nothing_to_first_writes_after_it() {
        let mut tree = Tree::default();
        let place = |number| Place { node: 0, number };
        for change in [
            Change::Made { branch: "a".into(), extents: 9 },
            Change::Numbers { layer: 1024, first: 0, count: 9 },
            Change::Placed { layer: 1024, extent: 4, place: place(1) },
            Change::Cut { branch: "a".into() },
            Change::Closed { layer: 1024, node: 0 },
            Change::Numbers { layer: 1025, first: 0, count: 9 },
            Change::Placed { layer: 1025, extent: 4, place: place(1) },
        ] {
            tree.apply(&change).expect("fits");
        }
        let (leases, mut free) = (Leases::new(0, true), Free::default());
        free.look(&tree, &[1024].into(), &leases, 0);
        assert_eq!(free.lot(0, 1_000_000), []);
        free.look(&tree, &BTreeSet::new(), &leases, 0);
        assert_eq!(free.lot(0, 1_000_000), [(1024, 4)]);
    }

    #[test]
    fn nothing_is_given_back_while_a_host_may_read_it_or_a_read_may_be_under_way() {
        let (tree, mut leases, mut free) = (deleted(), Leases::new(0, true), Free::default());
        leases.renew("a", 4, 0);
        free.look(&tree, &BTreeSet::new(), &leases, 10);
        assert_eq!(free.lot(100, 1_000_000), []);
        leases.seen("a", 5);
        free.look(&tree, &BTreeSet::new(), &leases, 20);
        assert_eq!(free.lot(100, 119), []);
        assert_eq!(free.lot(100, 120), [(1024, 4), (1024, 5)]);
        assert_eq!(free.lot(100, 121), [], "both are under way");
        free.failed((1024, 5));
        assert_eq!(free.lot(100, 122), [(1024, 5)]);
    }

    #[test]
    fn a_layer_that_holds_nothing_goes_itself() {
        let (mut tree, leases, mut free) = (deleted(), Leases::new(0, true), Free::default());
        tree.apply(&Change::Freed { layer: 1024, extents: vec![4] }).expect("waste");
        free.look(&tree, &BTreeSet::new(), &leases, 0);
        assert_eq!(free.empty().count(), 0);
        tree.apply(&Change::Freed { layer: 1024, extents: vec![5] }).expect("waste");
        assert!(tree.layers.is_empty());
    }
}
