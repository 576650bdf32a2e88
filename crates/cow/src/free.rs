//! When places that nobody can read any more may be given back: once no host acts on a tree in which they were
//! read, and what was sent by such a tree has run out of time. In small lots, so that nodes are left to clients.
use crate::Millis;
use crate::leases::Leases;
use crate::tree::{LayerId, Touched, Tree};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Extents given back at once: a node takes some milliseconds for as many.
pub const LOT: usize = 64;

type At = (LayerId, u32);

/// Places on their way back. Each step looks at those that are due and at no others, however many wait.
#[derive(Default)]
pub struct Free {
    /// Version at which each place was last found to be unread. Only the entry of a queue that bears it counts:
    /// a place that was read again in between has to wait anew.
    since: BTreeMap<At, u64>,
    /// In order of versions: those that do not count everywhere yet.
    fresh: VecDeque<(u64, At)>,
    /// In order of the time since which their version counts.
    ready: VecDeque<(Millis, u64, At)>,
    under_way: BTreeSet<At>,
    /// Layers that may hold nothing.
    idle: BTreeSet<LayerId>,
}

impl Free {
    /// Everything that is waste in a tree which has just been opened.
    pub fn of(tree: &Tree) -> Free {
        let mut free = Free::default();
        for (layer, extents) in tree.waste() {
            free.idle.insert(layer);
            extents.into_iter().for_each(|e| free.found(tree.version, (layer, e)));
        }
        free
    }

    fn found(&mut self, version: u64, at: At) {
        self.since.insert(at, version);
        self.fresh.push_back((version, at));
    }

    /// Takes notice of what a change has made waste.
    pub fn noticed(&mut self, tree: &Tree, touched: &Touched) {
        for at in tree.newly_unread(touched) {
            self.found(tree.version, at);
        }
        self.idle.extend(touched.layers.iter().filter(|l| tree.is_idle(**l)));
    }

    /// The next lot to give back, with `limit` the longest time that anything sent can take. `kept`: layers of
    /// cuts that are not granted yet. Without them a first write in the new head would hide a place of the cut,
    /// and the snapshot would lose it.
    pub fn lot(
        &mut self,
        tree: &Tree,
        kept: &BTreeSet<LayerId>,
        leases: &Leases,
        limit: Millis,
        now: Millis,
    ) -> Vec<At> {
        while let Some((version, at)) = self.fresh.front().copied().filter(|f| leases.counts(f.0, now)) {
            self.fresh.pop_front();
            self.ready.push_back((now, version, at));
        }
        let mut lot = Vec::new();
        // A kept place goes to the back of the queue, and is not met twice in one call.
        for _ in 0..self.ready.len().min(LOT * 4) {
            if self.under_way.len() >= LOT || self.ready.front().is_none_or(|r| now < r.0 + limit) {
                break;
            }
            let (_, version, at) = self.ready.pop_front().expect("just seen");
            if self.since.get(&at) != Some(&version) {
                continue;
            }
            if !tree.unread(at.0, at.1, &BTreeSet::new()) {
                // Gone, or a snapshot was granted that reads it. When that goes, the place is found again.
                self.since.remove(&at);
            } else if !tree.unread(at.0, at.1, kept) {
                self.ready.push_back((now, version, at));
            } else if self.under_way.insert(at) {
                lot.push(at);
            }
        }
        lot
    }

    /// A node has given one back.
    pub fn done(&mut self, at: At) {
        self.under_way.remove(&at);
        self.since.remove(&at);
    }

    /// A node did not take one back: it is tried again.
    pub fn failed(&mut self, at: At, now: Millis) {
        if self.under_way.remove(&at)
            && let Some(version) = self.since.get(&at)
        {
            self.ready.push_back((now, *version, at));
        }
    }

    /// Layers of no use that hold nothing.
    pub fn idle(&mut self, tree: &Tree, kept: &BTreeSet<LayerId>) -> Vec<LayerId> {
        self.idle.retain(|l| tree.layers.contains_key(l) && !tree.is_root(*l));
        self.idle.iter().copied().filter(|l| tree.is_idle(*l) && !kept.contains(l)).collect()
    }

    /// Places that wait to be given back.
    pub fn waiting(&self) -> usize {
        self.since.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tree::{Change, Place};

    struct World(Tree, Free, Leases);

    impl World {
        fn apply(&mut self, change: Change) {
            let touched = self.0.apply(&change).expect("fits");
            self.1.noticed(&self.0, &touched);
        }

        fn lot(&mut self, kept: &[LayerId], limit: Millis, now: Millis) -> Vec<At> {
            self.1.lot(&self.0, &kept.iter().copied().collect(), &self.2, limit, now)
        }
    }

    /// A branch with two extents written.
    fn world() -> World {
        let mut world = World(Tree::default(), Free::default(), Leases::new(0, true));
        let place = |number| Place { node: 0, number };
        for change in [
            Change::Made { branch: "a".into(), extents: 9 },
            Change::Numbers { layer: 1024, first: 0, count: 9 },
            Change::Placed { layer: 1024, extent: 4, place: place(1) },
            Change::Placed { layer: 1024, extent: 5, place: place(2) },
        ] {
            world.apply(change);
        }
        world
    }

    /// The same, cut, and one extent written anew.
    fn cut() -> World {
        let mut world = world();
        for change in [
            Change::Cut { branch: "a".into() },
            Change::Closed { layer: 1024, node: 0 },
            Change::Numbers { layer: 1025, first: 0, count: 9 },
            Change::Placed { layer: 1025, extent: 4, place: Place { node: 0, number: 1 } },
        ] {
            world.apply(change);
        }
        world
    }

    #[test]
    fn a_cut_that_still_waits_loses_nothing_to_first_writes_after_it() {
        let mut world = cut();
        assert_eq!(world.lot(&[1024], 0, 1_000_000), []);
        assert_eq!(world.lot(&[], 0, 1_000_000), [(1024, 4)]);
    }

    #[test]
    fn what_a_snapshot_has_read_in_between_waits_anew_for_every_host() {
        let mut world = cut();
        assert_eq!(world.lot(&[1024], 0, 10), []);
        world.apply(Change::Named { branch: "a".into(), name: "s".into(), layer: 1024 });
        // A host that has not heard of the deletion yet may still serve the snapshot.
        world.2.renew("h", world.0.version, 20);
        world.apply(Change::SnapshotDeleted { snapshot: "a@s".into() });
        assert_eq!(world.lot(&[], 0, 30), []);
        world.2.seen("h", world.0.version);
        assert_eq!(world.lot(&[], 0, 40), [(1024, 4)]);
    }

    #[test]
    fn nothing_is_given_back_while_a_host_may_read_it_or_a_read_may_be_under_way() {
        let mut world = world();
        world.2.renew("a", 4, 0);
        world.apply(Change::BranchDeleted { branch: "a".into() });
        assert_eq!(world.lot(&[], 100, 10), []);
        world.2.seen("a", 5);
        assert_eq!(world.lot(&[], 100, 20), []);
        assert_eq!(world.lot(&[], 100, 119), []);
        assert_eq!(world.lot(&[], 100, 120), [(1024, 4), (1024, 5)]);
        assert_eq!(world.lot(&[], 100, 500), [], "both are under way");
        world.1.failed((1024, 5), 500);
        assert_eq!(world.lot(&[], 100, 600), [(1024, 5)]);
    }

    #[test]
    fn what_was_waste_before_the_catalog_ended_is_waste_when_it_opens() {
        let mut world = cut();
        world.1 = Free::of(&world.0);
        assert_eq!(world.lot(&[], 0, 0), [(1024, 4)]);
    }

    #[test]
    fn a_layer_that_holds_nothing_goes_itself() {
        let mut world = world();
        world.apply(Change::Cut { branch: "a".into() });
        world.apply(Change::Cut { branch: "a".into() });
        let World(tree, free, _) = &mut world;
        assert_eq!(free.idle(tree, &[1025].into()), [], "a cut that waits");
        assert_eq!(free.idle(tree, &BTreeSet::new()), [1025]);
        world.apply(Change::Freed { layer: 1025, extents: vec![] });
        assert_eq!(world.0.layers[&1026].parent, Some(1024));
        assert_eq!(world.1.idle(&world.0, &BTreeSet::new()), []);
    }
}
