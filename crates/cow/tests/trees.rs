//! Trees of snapshots and clones against a plain model: every branch and snapshot as a whole copy of its data.
use mallowseam_cow::cache::{Cache, Look};
use mallowseam_cow::cut::{Cut, Failed, Turn, WITHIN};
use mallowseam_cow::tree::{Change, LayerId, Place, Refused, Tree};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const EXTENTS: u32 = 4;

/// A tree, what stands at each place, and what each name should show.
#[derive(Default)]
struct World {
    tree: Tree,
    stored: BTreeMap<(LayerId, Place), u64>,
    branches: BTreeMap<String, Vec<u64>>,
    snapshots: BTreeMap<String, Vec<u64>>,
    writes: u64,
    /// A host that hears of every change.
    host: Cache,
}

impl World {
    fn apply(&mut self, change: Change) {
        let before = self.tree.waste();
        let touched = self.tree.apply(&change).unwrap_or_else(|r| panic!("{change:?}: {r}"));
        // What a change has made waste is found without a walk over everything.
        let fresh = |(layer, extent): &(LayerId, u32)| !before.get(layer).is_some_and(|b| b.contains(extent));
        let all = self.tree.waste().into_iter().flat_map(|(l, es)| es.into_iter().map(move |e| (l, e)));
        let found: BTreeSet<_> = self.tree.newly_unread(&touched).into_iter().filter(fresh).collect();
        assert_eq!(found, all.filter(fresh).collect::<BTreeSet<_>>(), "{change:?}");
        if self.host.version().is_none() {
            self.host.whole(Tree::default());
            self.host.granted(0, 1);
        }
        assert!(self.host.changed(self.tree.version, &change));
    }

    fn close_all(&mut self) {
        for (layer, node) in self.tree.to_close().collect::<Vec<_>>() {
            self.apply(Change::Closed { layer, node });
        }
    }

    /// A write, as a host makes it: to its place, or after a copy to a new one.
    fn write(&mut self, branch: &str, extent: u32) {
        self.writes += 1;
        let head = self.tree.branches[branch].head;
        let found = self.tree.find(head, extent);
        let place = match found {
            Some((layer, place)) if layer == head => place,
            from => {
                let number = self.tree.layers[&head].next_number;
                self.apply(Change::Numbers { layer: head, first: number, count: 1 });
                let place = Place { node: self.writes as u32 % 3, number };
                let copied = from.map_or(0, |f| self.stored[&f]);
                self.stored.insert((head, place), copied);
                self.apply(Change::Placed { layer: head, extent, place });
                self.apply(Change::Opened { layer: head, extent });
                place
            }
        };
        self.stored.insert((head, place), self.writes);
        self.branches.get_mut(branch).expect("known")[extent as usize] = self.writes;
    }

    fn shows(&self, layer: LayerId) -> Vec<u64> {
        (0..EXTENTS).map(|e| self.tree.find(layer, e).map_or(0, |f| self.stored[&f])).collect()
    }

    fn check(&mut self) {
        for (name, branch) in &self.tree.branches {
            for extent in 0..EXTENTS {
                let wanted = match self.tree.find(branch.head, extent) {
                    Some((layer, place)) => Look::At(layer, place),
                    None => Look::Zeros,
                };
                assert_eq!(self.host.look(name, extent, false, 0), wanted, "{name} extent {extent}");
            }
        }
        assert_eq!(self.tree.faults(), Vec::<String>::new());
        for (name, data) in &self.branches {
            assert_eq!(self.shows(self.tree.branches[name].head), *data, "{name}");
        }
        for (name, data) in &self.snapshots {
            assert_eq!(self.shows(self.tree.snapshots[name].layer), *data, "{name}");
        }
    }

    fn step(&mut self, (what, a, b): (u8, usize, usize)) {
        let pick = |map: &BTreeMap<String, Vec<u64>>, n: usize| map.keys().nth(n % map.len().max(1)).cloned();
        let branch = pick(&self.branches, a).unwrap_or_default();
        let snapshot = pick(&self.snapshots, a);
        match (what, snapshot) {
            (0..5, _) => self.write(&branch, b as u32 % EXTENTS),
            (5 | 6, _) => {
                let name = format!("s{}", self.tree.version);
                let (change, cut) =
                    Cut::begin(&self.tree, &branch, &name, Default::default(), 0).expect("a cut");
                self.apply(change);
                self.close_all();
                let Turn::Grant(change) = cut.turn(&self.tree, 0) else { panic!("closed everywhere") };
                self.apply(change);
                self.snapshots.insert(format!("{branch}@{name}"), self.branches[&branch].clone());
            }
            (7, Some(snapshot)) if self.branches.len() < 4 => {
                let name = format!("c{}", self.tree.version);
                self.apply(Change::Cloned { snapshot: snapshot.clone(), branch: name.clone() });
                self.branches.insert(name, self.snapshots[&snapshot].clone());
            }
            (8, Some(snapshot)) => {
                let branch = self.tree.snapshots[&snapshot].branch.clone();
                self.apply(Change::RolledBack { branch: branch.clone(), snapshot: snapshot.clone() });
                self.close_all();
                self.branches.insert(branch, self.snapshots[&snapshot].clone());
            }
            (9, Some(snapshot)) => {
                self.apply(Change::SnapshotDeleted { snapshot: snapshot.clone() });
                self.snapshots.remove(&snapshot);
            }
            _ => {
                for (layer, extents) in self.tree.waste() {
                    for extent in &extents {
                        let place = self.tree.layers[&layer].places[extent];
                        self.stored.remove(&(layer, place));
                    }
                    self.apply(Change::Freed { layer, extents: extents.into_iter().collect() });
                }
            }
        }
    }
}

fn world() -> World {
    let mut world = World::default();
    world.apply(Change::Made { branch: "a".into(), extents: EXTENTS });
    world.branches.insert("a".into(), vec![0; EXTENTS as usize]);
    world
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is written, cut, cloned, rolled back, deleted and freed, each name shows exactly its own data.
    #[test]
    fn every_name_shows_its_own_data(steps in prop::collection::vec((0u8..11, 0usize..8, 0usize..8), 1..60)) {
        let mut world = world();
        for step in steps {
            world.step(step);
            world.check();
        }
        // Nothing is kept that nobody can read.
        while !world.tree.waste().is_empty() {
            world.step((10, 0, 0));
        }
        world.check();
        let held: usize = world.tree.layers.values().map(|l| l.places.len()).sum();
        prop_assert_eq!(held, world.stored.len());
        let mut read = std::collections::BTreeSet::new();
        let roots = world.tree.branches.values().map(|b| b.head);
        for root in roots.chain(world.tree.snapshots.values().map(|s| s.layer)) {
            read.extend((0..EXTENTS).filter_map(|e| world.tree.find(root, e)));
        }
        prop_assert_eq!(held, read.len());
        let names = world.tree.branches.len() + world.tree.snapshots.len();
        prop_assert!(world.tree.layers.len() <= names + held, "layers that hold nothing pile up");
    }

    /// The same changes give the same tree, also when it is written down and read back in between.
    #[test]
    fn changes_replayed_give_the_same_tree(steps in prop::collection::vec((0u8..11, 0usize..8, 0usize..8), 1..30)) {
        let (mut one, mut two) = (world(), world());
        for step in steps {
            one.step(step);
            two.step(step);
        }
        prop_assert_eq!(one.tree, two.tree);
    }
}

#[test]
fn a_snapshot_is_granted_when_every_node_has_closed_and_not_before() {
    let mut world = world();
    for extent in 0..3 {
        world.write("a", extent);
    }
    let (change, cut) = Cut::begin(&world.tree, "a", "s", Default::default(), 100).expect("a cut");
    world.apply(change);
    assert_eq!(world.tree.to_close().collect::<Vec<_>>(), [(1024, 0), (1024, 1), (1024, 2)]);
    for node in 0..3 {
        assert_eq!(cut.turn(&world.tree, 200), Turn::Wait);
        world.apply(Change::Closed { layer: 1024, node });
    }
    assert!(matches!(cut.turn(&world.tree, 200), Turn::Grant(_)));
}

#[test]
fn a_node_that_does_not_close_fails_the_snapshot_by_name_and_leaves_none() {
    let mut world = world();
    world.write("a", 0);
    let (change, cut) = Cut::begin(&world.tree, "a", "s", Default::default(), 100).expect("a cut");
    world.apply(change);
    assert_eq!(cut.turn(&world.tree, 100 + WITHIN - 1), Turn::Wait);
    let failed = Turn::Fail(Failed::Unclosed([1].into()));
    assert_eq!(cut.turn(&world.tree, 100 + WITHIN), failed);
    assert!(world.tree.snapshots.is_empty());
    // Clients go on in the new head, but copy nothing from where late writes may still land.
    let head = world.tree.branches["a"].head;
    world.apply(Change::Numbers { layer: head, first: 0, count: 1 });
    let placed = Change::Placed { layer: head, extent: 0, place: Place { node: 2, number: 0 } };
    assert_eq!(world.tree.check(&placed), Err(Refused::NotOpen(1024)));
    world.apply(Change::Closed { layer: 1024, node: 1 });
    assert_eq!(world.tree.check(&placed), Ok(()));
}

#[test]
fn two_snapshots_at_the_same_moment_both_wait_for_the_same_nodes() {
    let mut world = world();
    world.write("a", 0);
    let (change, first) = Cut::begin(&world.tree, "a", "s", Default::default(), 0).expect("a cut");
    world.apply(change);
    let (change, second) = Cut::begin(&world.tree, "a", "t", Default::default(), 0).expect("a cut");
    world.apply(change);
    assert_eq!((first.turn(&world.tree, 0), second.turn(&world.tree, 0)), (Turn::Wait, Turn::Wait));
    world.close_all();
    for cut in [first, second] {
        let Turn::Grant(change) = cut.turn(&world.tree, 0) else { panic!("closed") };
        world.apply(change);
    }
    world.check();
}

#[test]
fn of_two_snapshots_of_one_name_the_second_fails_whichever_way_they_cross() {
    let mut world = world();
    let (change, first) = Cut::begin(&world.tree, "a", "s", Default::default(), 0).expect("a cut");
    world.apply(change);
    let (change, second) = Cut::begin(&world.tree, "a", "s", Default::default(), 0).expect("not granted yet");
    world.apply(change);
    let Turn::Grant(change) = first.turn(&world.tree, 0) else { panic!("nothing to close") };
    world.apply(change);
    assert!(matches!(second.turn(&world.tree, 0), Turn::Fail(Failed::Refused(_))));
    assert!(Cut::begin(&world.tree, "a", "s", Default::default(), 0).is_err());
}

#[test]
fn of_two_hosts_that_copy_one_extent_the_first_place_counts() {
    let mut world = world();
    let layer = world.tree.branches["a"].head;
    world.apply(Change::Numbers { layer, first: 0, count: 9 });
    let first = Place { node: 1, number: 2 };
    world.apply(Change::Placed { layer, extent: 0, place: first });
    let second = Change::Placed { layer, extent: 0, place: Place { node: 2, number: 7 } };
    assert_eq!(world.tree.check(&second), Err(Refused::Taken(first)));
}

#[test]
fn a_number_given_out_is_not_given_again_and_one_that_was_not_is_refused() {
    let mut world = world();
    let layer = world.tree.branches["a"].head;
    world.apply(Change::Numbers { layer, first: 0, count: 9 });
    assert!(world.tree.check(&Change::Numbers { layer, first: 8, count: 1 }).is_err());
    let place = Place { node: 0, number: 9 };
    assert_eq!(world.tree.check(&Change::Placed { layer, extent: 0, place }), Err(Refused::OutOfRange));
}

#[test]
fn a_branch_with_snapshots_is_not_deleted_and_a_clone_outlives_its_snapshot() {
    let mut world = world();
    world.write("a", 1);
    world.step((5, 0, 0));
    let snapshot = world.snapshots.keys().next().expect("one").clone();
    assert!(matches!(
        world.tree.check(&Change::BranchDeleted { branch: "a".into() }),
        Err(Refused::InUse(_))
    ));
    world.step((7, 0, 0));
    world.apply(Change::SnapshotDeleted { snapshot: snapshot.clone() });
    world.snapshots.remove(&snapshot);
    world.apply(Change::BranchDeleted { branch: "a".into() });
    world.branches.remove("a");
    for _ in 0..3 {
        world.step((10, 0, 0));
    }
    world.check();
}

#[test]
fn a_host_with_half_a_write_holds_a_grant_up_until_it_is_clear_or_may_not_act() {
    let mut world = world();
    let hosts = || ["g".to_owned(), "h".to_owned()].into();
    let (change, mut cut) = Cut::begin(&world.tree, "a", "s", hosts(), 0).expect("a cut");
    world.apply(change);
    assert_eq!(cut.turn(&world.tree, 0), Turn::Wait);
    cut.clear(1024, "g");
    cut.clear(1023, "h");
    assert_eq!(cut.turn(&world.tree, 0), Turn::Wait);
    assert_eq!(cut.turn(&world.tree, WITHIN), Turn::Fail(Failed::Unclear(["h".to_owned()].into())));
    assert!(cut.unclear(&["g".to_owned()].into()).is_empty(), "h may not act any more");
    assert!(matches!(cut.turn(&world.tree, 0), Turn::Grant(_)));
}

#[test]
fn half_a_write_is_completed_behind_a_pending_cut_and_never_behind_a_granted_one() {
    use mallowseam_cow::cut::leave;
    let mut world = world();
    let (change, mut cut) = Cut::begin(&world.tree, "a", "s", ["g".to_owned()].into(), 0).expect("a cut");
    world.apply(change);
    assert_eq!(leave(&world.tree, 1024), Some((true, [1024].into())));
    cut.behind();
    assert_eq!(cut.turn(&world.tree, 0), Turn::Wait, "the write is not through");
    assert!(matches!(cut.turn(&world.tree, WITHIN), Turn::Fail(Failed::Unclear(_))));
    cut.clear(1024, "g");
    assert_eq!(cut.turn(&world.tree, 0), Turn::Anew);
    let anew = cut.anew(&world.tree, ["g".to_owned()].into()).expect("a branch");
    world.apply(anew);
    assert_eq!(cut.layer, 1025);
    assert_eq!(leave(&world.tree, 1024), Some((true, [1024, 1025].into())));
    cut.clear(1025, "g");
    let Turn::Grant(change) = cut.turn(&world.tree, 0) else { panic!("clear and closed") };
    world.apply(change);
    assert_eq!(leave(&world.tree, 1024), Some((false, [1024, 1025].into())));
    assert_eq!(leave(&world.tree, 1026), Some((true, [].into())));
    assert_eq!(leave(&world.tree, 9_999), None);
}

/// What a look-up costs behind so many snapshots of a volume of 1 TiB in extents of 1 MiB, a thousand of them
/// written; a measurement: `cargo test --release -p mallowseam-cow -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn look_ups_behind_many_snapshots() {
    for snapshots in [1, 10, 1_000] {
        let mut tree = Tree::default();
        let apply = |tree: &mut Tree, change: Change| drop(tree.apply(&change).expect("fits"));
        apply(&mut tree, Change::Made { branch: "a".into(), extents: 1 << 20 });
        apply(&mut tree, Change::Numbers { layer: 1024, first: 0, count: 1_000 });
        for extent in 0..1_000 {
            let place = Place { node: extent % 6, number: extent };
            apply(&mut tree, Change::Placed { layer: 1024, extent: extent * 1_000, place });
        }
        for _ in 0..snapshots {
            apply(&mut tree, Change::Cut { branch: "a".into() });
        }
        let mut cache = Cache::default();
        let head = tree.branches["a"].head;
        cache.whole(tree.clone());
        cache.granted(0, 1);
        let time = |look: &mut dyn FnMut(u32)| {
            let began = std::time::Instant::now();
            (0..1_000_000u32).for_each(|i| look(i % 1_000 * 1_000));
            began.elapsed().as_nanos() / 1_000_000
        };
        let host = time(&mut |e| {
            std::hint::black_box(cache.look("a", e, false, 0));
        });
        let chain = &mut |e| {
            std::hint::black_box(tree.find(head, e));
        };
        let walk = if snapshots > 10 { 0 } else { time(chain) };
        println!("{snapshots} snapshots: a look-up takes {host} ns (by the chain {walk} ns)");
    }
}
