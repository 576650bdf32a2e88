//! What a host does with a block I/O, by what it knows of the tree.
use crate::Millis;
use crate::tree::{Change, LayerId, Lies, Place, Refused, Tree};
use std::collections::{BTreeMap, HashMap};

/// A host asks for a longer lease when half of it is left: one renewal may be lost.
const RENEW_AT: Millis = crate::leases::LEASE / 2;
/// Numbers asked for at once: some seconds of first writes, and little lost with a host that dies.
pub const NUMBERS: u32 = 64;
/// With fewer left, more are asked for.
const NUMBERS_LOW: usize = 16;

/// Look-ups remembered, over all heads and snapshots: some 100 MiB at most. Past that all are looked up anew.
const FOUND_MOST: usize = 1 << 21;
/// A place that was told and not heard of is told again: the catalog may have started anew.
pub const TELL_AGAIN: Millis = 500;

/// Where a block I/O goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// To this place.
    At(LayerId, Place),
    /// A read of what was never written: zeros.
    Zeros,
    /// A write whose extent has no place in the head yet: copy it there first, from here if anywhere.
    Copy {
        into: LayerId,
        from: Option<(LayerId, Place)>,
    },
    /// Not yet: the extent is being moved to its place, or what it is copied from may still change.
    Later,
    /// This host may not act on what it knows.
    Unsure,
    NoSuchBranch,
}

#[derive(Default)]
pub struct Cache {
    tree: Option<Tree>,
    /// The catalog that the tree is of, and the one that is being read.
    of: u64,
    coming: Option<(u64, Tree)>,
    /// May act until then.
    until: Millis,
    asked: Option<Millis>,
    numbers: BTreeMap<LayerId, Vec<(u32, u32)>>,
    /// What heads of branches and snapshots have been found to show, so that a read behind a thousand snapshots
    /// costs what one behind none does.
    remembered: usize,
    found: BTreeMap<LayerId, HashMap<u32, Option<(LayerId, Place)>>>,
}

impl Cache {
    /// What the catalog has to be told when a connection opens.
    pub fn have(&self) -> Option<(u64, u64)> {
        self.tree.as_ref().map(|t| (self.of, t.version))
    }

    /// A whole tree begins to come, without places.
    pub fn coming(&mut self, catalog: u64, bare: Tree) {
        self.coming = Some((catalog, bare));
    }

    /// Places of the tree that is coming. False: they do not belong to it.
    pub fn part(&mut self, layer: LayerId, lies: &[Lies]) -> bool {
        self.coming.as_mut().is_some_and(|(_, tree)| tree.fill(layer, lies))
    }

    /// The tree that was coming is whole: it counts from now on.
    pub fn filled(&mut self) -> bool {
        let Some((catalog, tree)) = self.coming.take() else { return false };
        if catalog != self.of {
            // Numbers were given by another catalog, which knows nothing of this one's.
            self.numbers.clear();
        }
        self.of = catalog;
        self.whole(tree);
        true
    }

    /// What is known does not fit what the catalog says: the whole tree is needed, whatever its version.
    pub fn doubt(&mut self) {
        (self.of, self.coming) = (0, None);
    }

    /// The whole tree came.
    pub fn whole(&mut self, tree: Tree) {
        // Numbers given out before belong to this host still; those of layers that are gone do not matter.
        self.numbers.retain(|layer, _| tree.layers.get(layer).is_some_and(|l| !l.frozen));
        self.forget();
        self.tree = Some(tree);
    }

    fn forget(&mut self) {
        self.found.clear();
        self.remembered = 0;
    }

    /// One change came. False: it does not follow what is known, so the whole tree has to be asked for.
    pub fn changed(&mut self, version: u64, change: &Change) -> bool {
        let Some(tree) = &mut self.tree else { return false };
        if version <= tree.version {
            return true;
        }
        let head = |tree: &Tree, branch: &str| tree.branches.get(branch).map(|b| b.head);
        let before = match change {
            Change::Cut { branch } | Change::RolledBack { branch, .. } | Change::BranchDeleted { branch } => {
                head(tree, branch)
            }
            _ => None,
        };
        if version != tree.version + 1 || tree.apply(change).is_err() {
            return false;
        }
        match change {
            // The new head shows what the old one did.
            Change::Cut { branch } => {
                let shown = before.and_then(|old| self.found.remove(&old));
                if let (Some(shown), Some(new)) = (shown, head(tree, branch)) {
                    self.found.insert(new, shown);
                }
            }
            Change::Placed { layer, extent, place } => {
                if let Some(shown) = self.found.get_mut(layer) {
                    shown.insert(*extent, Some((*layer, *place)));
                }
            }
            Change::RolledBack { .. } | Change::BranchDeleted { .. } => {
                before.map(|old| self.found.remove(&old));
            }
            _ => {}
        }
        true
    }

    pub fn version(&self) -> Option<u64> {
        self.tree.as_ref().map(|t| t.version)
    }

    pub fn tree(&self) -> Option<&Tree> {
        self.tree.as_ref()
    }

    /// Whether a renewal is to be sent now.
    pub fn renews(&mut self, now: Millis) -> bool {
        let due = self.tree.is_some()
            && now + RENEW_AT >= self.until
            && self.asked.is_none_or(|a| now >= a + RENEW_AT / 2);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// A renewal that was sent at `sent` is granted for a span.
    pub fn granted(&mut self, sent: Millis, span: Millis) {
        self.until = self.until.max(sent + span);
        self.asked = None;
    }

    /// How long to wait before the catalog is tried again.
    pub const CONNECT_AGAIN: Millis = 200;

    pub fn may_act(&self, now: Millis) -> bool {
        self.tree.is_some() && now < self.until
    }

    /// The catalog is out of reach: what is known holds until the lease runs out.
    pub fn lost(&mut self) {
        (self.asked, self.coming) = (None, None);
    }

    /// Where an extent of a branch, or of a snapshot, is read or written.
    pub fn look(&mut self, name: &str, extent: u32, write: bool, now: Millis) -> Look {
        if self.remembered >= FOUND_MOST {
            self.forget();
        }
        let Some(tree) = self.tree.as_ref().filter(|_| now < self.until) else { return Look::Unsure };
        let Some(head) = layer_of(tree, name) else { return Look::NoSuchBranch };
        let shown = self.found.entry(head).or_default();
        let found = *shown.entry(extent).or_insert_with(|| {
            self.remembered += 1;
            tree.find(head, extent)
        });
        match found {
            None if !write => Look::Zeros,
            None => Look::Copy { into: head, from: None },
            Some((layer, place)) if !write => Look::At(layer, place),
            Some((layer, place)) if layer == head => {
                // Until every host reads it here, a write would be missed by one that reads it elsewhere.
                if tree.layers[&layer].opened.contains(&extent) {
                    Look::At(layer, place)
                } else {
                    Look::Later
                }
            }
            Some((layer, place)) => {
                // A copy taken before its node has closed the layer could miss a late write.
                let still = tree.layers[&layer].closed.contains(&place.node);
                if still { Look::Copy { into: head, from: Some((layer, place)) } } else { Look::Later }
            }
        }
    }

    /// Whether more numbers of a layer are to be asked for.
    pub fn short(&self, layer: LayerId) -> bool {
        let left: usize =
            self.numbers.get(&layer).map_or(0, |n| n.iter().map(|(a, b)| (b - a) as usize).sum());
        left < NUMBERS_LOW
    }

    pub fn given(&mut self, layer: LayerId, first: u32, count: u32) {
        self.numbers.entry(layer).or_default().push((first, first + count));
    }

    /// A number that no submit has used.
    pub fn number(&mut self, layer: LayerId) -> Option<u32> {
        let runs = self.numbers.get_mut(&layer)?;
        let run = runs.first_mut()?;
        let number = run.0;
        run.0 += 1;
        if run.0 == run.1 {
            runs.remove(0);
        }
        Some(number)
    }
}

/// The layer by which a branch, or a snapshot (`branch@name`), is read.
pub fn layer_of(tree: &Tree, name: &str) -> Option<LayerId> {
    let branch = tree.branches.get(name).map(|b| b.head);
    branch.or_else(|| tree.snapshots.get(name).map(|s| s.layer))
}

/// What the catalog answers a host that has copied an extent: its own place, or the one that came first.
pub fn settle(tree: &Tree, change: &Change) -> Result<Option<Place>, Refused> {
    match tree.check(change) {
        Ok(()) => Ok(None),
        Err(Refused::Taken(place)) => Ok(Some(place)),
        Err(r) => Err(r),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tree() -> Tree {
        let mut tree = Tree::default();
        tree.apply(&Change::Made { branch: "a".into(), extents: 4 }).expect("fits");
        let layer = tree.branches["a"].head;
        tree.apply(&Change::Numbers { layer, first: 0, count: 8 }).expect("fits");
        let place = Place { node: 1, number: 3 };
        tree.apply(&Change::Placed { layer, extent: 2, place }).expect("fits");
        tree.apply(&Change::Opened { layer, extent: 2 }).expect("fits");
        tree
    }

    fn cache() -> Cache {
        let mut cache = Cache::default();
        cache.whole(tree());
        cache.granted(0, 1_000);
        cache
    }

    #[test]
    fn a_host_acts_only_while_its_lease_lasts() {
        let mut cache = cache();
        assert!(matches!(cache.look("a", 2, false, 999), Look::At(..)));
        assert_eq!(cache.look("a", 2, false, 1_000), Look::Unsure);
    }

    #[test]
    fn reads_and_writes_find_their_places_before_and_after_a_cut() {
        let mut cache = cache();
        let (old, place) = (1024, Place { node: 1, number: 3 });
        assert_eq!(cache.look("a", 2, true, 0), Look::At(old, place));
        assert_eq!(cache.look("a", 0, false, 0), Look::Zeros);
        assert_eq!(cache.look("a", 0, true, 0), Look::Copy { into: old, from: None });
        assert!(cache.changed(5, &Change::Cut { branch: "a".into() }));
        assert_eq!(cache.look("a", 2, false, 0), Look::At(old, place));
        assert_eq!(cache.look("a", 2, true, 0), Look::Later, "its node may still take late writes");
        assert!(cache.changed(6, &Change::Closed { layer: old, node: 1 }));
        assert_eq!(cache.look("a", 2, true, 0), Look::Copy { into: old + 1, from: Some((old, place)) });
        assert_eq!(cache.look("b", 2, true, 0), Look::NoSuchBranch);
    }

    #[test]
    fn a_place_is_read_at_once_and_written_once_it_is_open() {
        let mut cache = cache();
        let (layer, place) = (1024, Place { node: 0, number: 5 });
        assert!(cache.changed(5, &Change::Placed { layer, extent: 1, place }));
        assert_eq!(cache.look("a", 1, false, 0), Look::At(layer, place));
        assert_eq!(cache.look("a", 1, true, 0), Look::Later);
        assert!(cache.changed(6, &Change::Opened { layer, extent: 1 }));
        assert_eq!(cache.look("a", 1, true, 0), Look::At(layer, place));
    }

    #[test]
    fn a_change_that_was_missed_is_noticed_and_an_old_one_does_nothing() {
        let mut cache = cache();
        assert!(!cache.changed(6, &Change::Cut { branch: "a".into() }));
        assert!(cache.changed(2, &Change::Cut { branch: "a".into() }));
        assert_eq!(cache.version(), Some(4));
    }

    #[test]
    fn no_number_is_used_twice_and_those_of_a_frozen_layer_not_at_all() {
        let mut cache = cache();
        cache.given(1024, 0, 2);
        cache.given(1024, 6, 1);
        let drawn: Vec<_> = std::iter::from_fn(|| cache.number(1024)).collect();
        assert_eq!(drawn, [0, 1, 6]);
        cache.given(1024, 7, 1);
        let mut cut = tree();
        cut.apply(&Change::Cut { branch: "a".into() }).expect("fits");
        cache.whole(cut);
        assert_eq!(cache.number(1024), None);
    }

    #[test]
    fn a_renewal_is_asked_for_in_time_and_not_at_every_turn() {
        let mut cache = cache();
        cache.granted(0, crate::leases::LEASE);
        assert!(!cache.renews(100));
        let half = crate::leases::LEASE / 2;
        assert!(cache.renews(half) && !cache.renews(half + 1));
        assert!(cache.renews(half + half / 2));
    }
}
