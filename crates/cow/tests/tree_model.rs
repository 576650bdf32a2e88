//! Compares trees of snapshots and clones with a model that holds a full copy of the data of every branch and snapshot.
//! A wrong lookup, copy or reclaim shows as data that differs from the copy.
use mallowseam_cow::consistent_cut::{CUT_TIMEOUT, ConsistentCut, CutFailure, CutProgress};
use mallowseam_cow::tree::{Change, ChangeError, LayerId, Location, Tree};
use mallowseam_cow::tree_replica::{Lookup, TreeReplica};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const EXTENTS: u32 = 4;

/// A tree, the data at each location, and the expected data of each name.
#[derive(Default)]
struct TreeModel {
    tree: Tree,
    /// Data of each location: the number of the last write to it.
    stored: BTreeMap<(LayerId, Location), u64>,
    /// Expected data of each branch, by extent.
    branches: BTreeMap<String, Vec<u64>>,
    /// Expected data of each snapshot, by extent.
    snapshots: BTreeMap<String, Vec<u64>>,
    /// Number of writes so far.
    write_count: u64,
    /// The replica of a host that receives every change.
    host: TreeReplica,
}

/// One step of a run: its kind, and the indices from which a name and an extent are chosen.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    name: usize,
    extent: usize,
}

fn step(kind: u8, name: usize, extent: usize) -> Step {
    Step { kind, name, extent }
}

fn any_step() -> impl Strategy<Value = Step> {
    (0u8..11, 0usize..8, 0usize..8).prop_map(|(kind, name, extent)| step(kind, name, extent))
}

/// Returns a change that allocates slots of a layer.
fn allocated(layer: LayerId, first: u32, count: u32) -> Change {
    Change::SlotsAllocated {
        layer,
        first,
        count,
    }
}

/// Returns a change that gives an extent a location in a layer.
fn placed(layer: LayerId, extent: u32, location: Location) -> Change {
    Change::ExtentPlaced {
        layer,
        extent,
        location,
    }
}

impl TreeModel {
    fn apply(&mut self, change: &Change) {
        let before = self.tree.unreachable_extents();
        let effects = self
            .tree
            .apply(change)
            .unwrap_or_else(|error| panic!("{change:?}: {error}"));
        // `newly_unreachable` does not visit the full tree, and must find the same locations as a search that does.
        let is_new = |(layer, extent): &(LayerId, u32)| {
            !before
                .get(layer)
                .is_some_and(|extents| extents.contains(extent))
        };
        let all = self
            .tree
            .unreachable_extents()
            .into_iter()
            .flat_map(|(layer, extents)| extents.into_iter().map(move |extent| (layer, extent)));
        let found: BTreeSet<_> = self
            .tree
            .newly_unreachable(&effects)
            .into_iter()
            .filter(is_new)
            .collect();
        assert_eq!(
            found,
            all.filter(is_new).collect::<BTreeSet<_>>(),
            "{change:?}"
        );
        if self.host.version().is_none() {
            self.host.replace_tree(Tree::default());
            self.host.lease_granted(0, 1);
        }
        assert!(self.host.apply_change(self.tree.version, change));
    }

    fn close_all(&mut self) {
        for (layer, node) in self.tree.pending_closes().collect::<Vec<_>>() {
            self.apply(&Change::LayerClosed { layer, node });
        }
    }

    /// Writes an extent as a host does: at its location in the head, or after a copy to a new location there.
    fn write(&mut self, branch: &str, extent: u32) {
        self.write_count += 1;
        let head = self.tree.branches[branch].head;
        let found = self.tree.locate(head, extent);
        let location = match found {
            Some((layer, location)) if layer == head => location,
            from => {
                let slot = self.tree.layers[&head].next_slot;
                self.apply(&allocated(head, slot, 1));
                let location = Location {
                    node: self.write_count as u32 % 3,
                    slot,
                };
                let copied = from.map_or(0, |source| self.stored[&source]);
                self.stored.insert((head, location), copied);
                self.apply(&placed(head, extent, location));
                self.apply(&Change::ExtentWritable {
                    layer: head,
                    extent,
                });
                location
            }
        };
        self.stored.insert((head, location), self.write_count);
        self.branches
            .get_mut(branch)
            .expect("branch is in the model")[extent as usize] = self.write_count;
    }

    /// Returns the data of all extents as read through a layer.
    fn data_read_through(&self, layer: LayerId) -> Vec<u64> {
        (0..EXTENTS)
            .map(|extent| {
                self.tree
                    .locate(layer, extent)
                    .map_or(0, |found| self.stored[&found])
            })
            .collect()
    }

    /// Checks the replica's lookups, the consistency of the tree, and the data of each name.
    fn check(&mut self) {
        for (name, branch) in &self.tree.branches {
            for extent in 0..EXTENTS {
                let expected = match self.tree.locate(branch.head, extent) {
                    Some((layer, location)) => Lookup::Found(layer, location),
                    None => Lookup::Zeros,
                };
                assert_eq!(
                    self.host.look_up(name, extent, false, 0),
                    expected,
                    "{name} extent {extent}"
                );
            }
        }
        assert_eq!(self.tree.inconsistencies(), Vec::new());
        for (name, data) in &self.branches {
            assert_eq!(
                self.data_read_through(self.tree.branches[name].head),
                *data,
                "{name}"
            );
        }
        for (name, data) in &self.snapshots {
            assert_eq!(
                self.data_read_through(self.tree.snapshots[name].layer),
                *data,
                "{name}"
            );
        }
    }

    fn step(&mut self, Step { kind, name, extent }: Step) {
        let choose = |map: &BTreeMap<String, Vec<u64>>, index: usize| {
            map.keys().nth(index % map.len().max(1)).cloned()
        };
        let branch = choose(&self.branches, name).unwrap_or_default();
        let snapshot = choose(&self.snapshots, name);
        match (kind, snapshot) {
            (0..5, _) => self.write(&branch, extent as u32 % EXTENTS),
            (5 | 6, _) => {
                let name = format!("s{}", self.tree.version);
                let (change, cut) =
                    ConsistentCut::begin(&self.tree, &branch, &name, BTreeSet::default(), 0)
                        .expect("the cut can begin");
                self.apply(&change);
                self.close_all();
                let CutProgress::Grant(change) = cut.progress(&self.tree, 0) else {
                    panic!("cut is not granted, though every node has closed its layers")
                };
                self.apply(&change);
                self.snapshots
                    .insert(format!("{branch}@{name}"), self.branches[&branch].clone());
            }
            (7, Some(snapshot)) if self.branches.len() < 4 => {
                let name = format!("c{}", self.tree.version);
                self.apply(&Change::CloneCreated {
                    snapshot: snapshot.clone(),
                    branch: name.clone(),
                });
                self.branches
                    .insert(name, self.snapshots[&snapshot].clone());
            }
            (8, Some(snapshot)) => {
                let branch = self.tree.snapshots[&snapshot].branch.clone();
                self.apply(&Change::BranchRolledBack {
                    branch: branch.clone(),
                    snapshot: snapshot.clone(),
                });
                self.close_all();
                self.branches
                    .insert(branch, self.snapshots[&snapshot].clone());
            }
            (9, Some(snapshot)) => {
                self.apply(&Change::SnapshotDeleted {
                    snapshot: snapshot.clone(),
                });
                self.snapshots.remove(&snapshot);
            }
            _ => {
                for (layer, extents) in self.tree.unreachable_extents() {
                    for extent in &extents {
                        let location = self.tree.layers[&layer].locations[extent];
                        self.stored.remove(&(layer, location));
                    }
                    self.apply(&Change::ExtentsReclaimed {
                        layer,
                        extents: extents.into_iter().collect(),
                    });
                }
            }
        }
    }
}

/// Returns a model with one branch, `a`, of which nothing is written.
fn model() -> TreeModel {
    let mut model = TreeModel::default();
    model.apply(&Change::BranchCreated {
        branch: "a".into(),
        extent_count: EXTENTS,
    });
    model.branches.insert("a".into(), vec![0; EXTENTS as usize]);
    model
}

/// Returns a model with `count` slots allocated for the head of its branch, and that head.
fn model_with_slots(count: u32) -> (TreeModel, LayerId) {
    let mut model = model();
    let layer = model.tree.branches["a"].head;
    model.apply(&allocated(layer, 0, count));
    (model, layer)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any writes, cuts, clones, rollbacks, deletions and reclaims, each name shows exactly its own data.
    #[test]
    fn every_name_shows_its_own_data(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut model = model();
        for step in steps {
            model.step(step);
            model.check();
        }
        // Reclaiming releases every unreachable location.
        while !model.tree.unreachable_extents().is_empty() {
            model.step(step(10, 0, 0));
        }
        model.check();
        let location_count: usize = model.tree.layers.values().map(|layer| layer.locations.len()).sum();
        prop_assert_eq!(location_count, model.stored.len());
        let mut reachable = std::collections::BTreeSet::new();
        let heads = model.tree.branches.values().map(|branch| branch.head);
        for layer in heads.chain(model.tree.snapshots.values().map(|snapshot| snapshot.layer)) {
            reachable.extend((0..EXTENTS).filter_map(|extent| model.tree.locate(layer, extent)));
        }
        prop_assert_eq!(location_count, reachable.len());
        let name_count = model.tree.branches.len() + model.tree.snapshots.len();
        prop_assert!(model.tree.layers.len() <= name_count + location_count, "empty layers are not removed");
    }

    /// The same steps give the same tree in two runs.
    #[test]
    fn same_steps_give_the_same_tree(steps in prop::collection::vec(any_step(), 1..30)) {
        let (mut first, mut second) = (model(), model());
        for step in steps {
            first.step(step);
            second.step(step);
        }
        prop_assert_eq!(first.tree, second.tree);
    }
}

#[test]
fn snapshot_is_granted_once_every_node_has_closed() {
    let mut model = model();
    for extent in 0..3 {
        model.write("a", extent);
    }
    let (change, cut) = ConsistentCut::begin(&model.tree, "a", "s", BTreeSet::default(), 100)
        .expect("the cut can begin");
    model.apply(&change);
    assert_eq!(
        model.tree.pending_closes().collect::<Vec<_>>(),
        [(1024, 0), (1024, 1), (1024, 2)]
    );
    for node in 0..3 {
        assert_eq!(cut.progress(&model.tree, 200), CutProgress::Wait);
        model.apply(&Change::LayerClosed { layer: 1024, node });
    }
    assert!(matches!(
        cut.progress(&model.tree, 200),
        CutProgress::Grant(_)
    ));
}

#[test]
fn cut_fails_with_the_nodes_that_did_not_close() {
    let mut model = model();
    model.write("a", 0);
    let (change, cut) = ConsistentCut::begin(&model.tree, "a", "s", BTreeSet::default(), 100)
        .expect("the cut can begin");
    model.apply(&change);
    assert_eq!(
        cut.progress(&model.tree, 100 + CUT_TIMEOUT - 1),
        CutProgress::Wait
    );
    let failed = CutProgress::Fail(CutFailure::NodesNotClosed([1].into()));
    assert_eq!(cut.progress(&model.tree, 100 + CUT_TIMEOUT), failed);
    assert!(model.tree.snapshots.is_empty());
    // Clients continue in the new head, but copy no extent from a layer that may still receive late writes.
    let head = model.tree.branches["a"].head;
    model.apply(&allocated(head, 0, 1));
    let placed = placed(head, 0, Location { node: 2, slot: 0 });
    assert_eq!(
        model.tree.check(&placed),
        Err(ChangeError::LayerNotAccepting(1024))
    );
    model.apply(&Change::LayerClosed {
        layer: 1024,
        node: 1,
    });
    assert_eq!(model.tree.check(&placed), Ok(()));
}

#[test]
fn concurrent_cuts_are_granted_once_the_same_nodes_have_closed() {
    let mut model = model();
    model.write("a", 0);
    let (change, first) = ConsistentCut::begin(&model.tree, "a", "s", BTreeSet::default(), 0)
        .expect("the cut can begin");
    model.apply(&change);
    let (change, second) = ConsistentCut::begin(&model.tree, "a", "t", BTreeSet::default(), 0)
        .expect("the cut can begin");
    model.apply(&change);
    assert_eq!(
        (
            first.progress(&model.tree, 0),
            second.progress(&model.tree, 0)
        ),
        (CutProgress::Wait, CutProgress::Wait)
    );
    model.close_all();
    for cut in [first, second] {
        let CutProgress::Grant(change) = cut.progress(&model.tree, 0) else {
            panic!("cut is not granted, though every node has closed its layers")
        };
        model.apply(&change);
    }
    model.check();
}

#[test]
fn second_snapshot_with_the_same_name_is_rejected() {
    let mut model = model();
    let (change, first) = ConsistentCut::begin(&model.tree, "a", "s", BTreeSet::default(), 0)
        .expect("the cut can begin");
    model.apply(&change);
    let (change, second) = ConsistentCut::begin(&model.tree, "a", "s", BTreeSet::default(), 0)
        .expect("the first snapshot is not granted yet");
    model.apply(&change);
    let CutProgress::Grant(change) = first.progress(&model.tree, 0) else {
        panic!("cut is not granted, though there is no layer to close")
    };
    model.apply(&change);
    assert!(matches!(
        second.progress(&model.tree, 0),
        CutProgress::Fail(CutFailure::Rejected(_))
    ));
    assert!(ConsistentCut::begin(&model.tree, "a", "s", BTreeSet::default(), 0).is_err());
}

#[test]
fn second_location_of_an_extent_is_rejected_with_the_first() {
    let (mut model, layer) = model_with_slots(9);
    let first = Location { node: 1, slot: 2 };
    model.apply(&placed(layer, 0, first));
    let second = placed(layer, 0, Location { node: 2, slot: 7 });
    assert_eq!(
        model.tree.check(&second),
        Err(ChangeError::AlreadyPlaced(first))
    );
}

#[test]
fn slots_are_allocated_only_once_and_locations_need_allocated_slots() {
    let (model, layer) = model_with_slots(9);
    assert!(model.tree.check(&allocated(layer, 8, 1)).is_err());
    let location = Location { node: 0, slot: 9 };
    assert_eq!(
        model.tree.check(&placed(layer, 0, location)),
        Err(ChangeError::OutOfRange)
    );
}

#[test]
fn branch_with_snapshots_cannot_be_deleted_and_a_clone_outlives_its_snapshot() {
    let mut model = model();
    model.write("a", 1);
    model.step(step(5, 0, 0));
    let snapshot = model
        .snapshots
        .keys()
        .next()
        .expect("a snapshot was created")
        .clone();
    assert!(matches!(
        model
            .tree
            .check(&Change::BranchDeleted { branch: "a".into() }),
        Err(ChangeError::StillInUse(_))
    ));
    model.step(step(7, 0, 0));
    model.apply(&Change::SnapshotDeleted {
        snapshot: snapshot.clone(),
    });
    model.snapshots.remove(&snapshot);
    model.apply(&Change::BranchDeleted { branch: "a".into() });
    model.branches.remove("a");
    for _ in 0..3 {
        model.step(step(10, 0, 0));
    }
    model.check();
}

#[test]
fn grant_waits_until_each_host_has_quiesced_or_its_lease_has_expired() {
    let mut model = model();
    let hosts = || ["g".to_owned(), "h".to_owned()].into();
    let (change, mut cut) =
        ConsistentCut::begin(&model.tree, "a", "s", hosts(), 0).expect("the cut can begin");
    model.apply(&change);
    assert_eq!(cut.progress(&model.tree, 0), CutProgress::Wait);
    cut.host_quiesced(1024, "g");
    cut.host_quiesced(1023, "h");
    assert_eq!(cut.progress(&model.tree, 0), CutProgress::Wait);
    assert_eq!(
        cut.progress(&model.tree, CUT_TIMEOUT),
        CutProgress::Fail(CutFailure::HostsNotQuiesced(["h".to_owned()].into()))
    );
    assert!(
        cut.unquiesced_hosts(&["g".to_owned()].into()).is_empty(),
        "host h may not act any more"
    );
    assert!(matches!(
        cut.progress(&model.tree, 0),
        CutProgress::Grant(_)
    ));
}

#[test]
fn split_write_may_be_completed_after_a_pending_cut_but_not_after_a_granted_one() {
    use mallowseam_cow::consistent_cut::{CompletionDecision, decide_completion};
    let decision = |is_granted, frozen_layers: &[LayerId]| {
        let frozen_layers = frozen_layers.iter().copied().collect();
        Some(CompletionDecision {
            is_granted,
            frozen_layers,
        })
    };
    let mut model = model();
    let (change, mut cut) = ConsistentCut::begin(&model.tree, "a", "s", ["g".to_owned()].into(), 0)
        .expect("the cut can begin");
    model.apply(&change);
    assert_eq!(
        decide_completion(&model.tree, 1024),
        decision(true, &[1024])
    );
    cut.mark_stale();
    assert_eq!(
        cut.progress(&model.tree, 0),
        CutProgress::Wait,
        "the write is not complete"
    );
    assert!(matches!(
        cut.progress(&model.tree, CUT_TIMEOUT),
        CutProgress::Fail(CutFailure::HostsNotQuiesced(_))
    ));
    cut.host_quiesced(1024, "g");
    assert_eq!(cut.progress(&model.tree, 0), CutProgress::Restart);
    let freeze = cut
        .restart(&model.tree, ["g".to_owned()].into())
        .expect("the branch exists");
    model.apply(&freeze);
    assert_eq!(cut.layer, 1025);
    assert_eq!(
        decide_completion(&model.tree, 1024),
        decision(true, &[1024, 1025])
    );
    cut.host_quiesced(1025, "g");
    let CutProgress::Grant(change) = cut.progress(&model.tree, 0) else {
        panic!(
            "cut is not granted, though the host is quiesced and every node has closed its layers"
        )
    };
    model.apply(&change);
    assert_eq!(
        decide_completion(&model.tree, 1024),
        decision(false, &[1024, 1025])
    );
    assert_eq!(decide_completion(&model.tree, 1026), decision(true, &[]));
    assert_eq!(decide_completion(&model.tree, 9_999), None);
}

/// Measures the cost of a lookup behind 1, 10 and 1,000 snapshots of a volume of 1 TiB with extents of 1 MiB, of which
/// a thousand are written. To run: `cargo test --release -p mallowseam-cow -- --ignored --nocapture`.
#[test]
#[ignore = "a benchmark"]
fn benchmark_lookups_behind_many_snapshots() {
    for snapshots in [1, 10, 1_000] {
        let mut tree = Tree::default();
        let apply = |tree: &mut Tree, change: Change| drop(tree.apply(&change).expect("fits"));
        apply(
            &mut tree,
            Change::BranchCreated {
                branch: "a".into(),
                extent_count: 1 << 20,
            },
        );
        apply(&mut tree, allocated(1024, 0, 1_000));
        for extent in 0..1_000 {
            let location = Location {
                node: extent % 6,
                slot: extent,
            };
            apply(&mut tree, placed(1024, extent * 1_000, location));
        }
        for _ in 0..snapshots {
            apply(&mut tree, Change::HeadFrozen { branch: "a".into() });
        }
        let mut replica = TreeReplica::default();
        let head = tree.branches["a"].head;
        replica.replace_tree(tree.clone());
        replica.lease_granted(0, 1);
        let mean_nanos = |look_up: &mut dyn FnMut(u32)| {
            let started = std::time::Instant::now();
            (0..1_000_000u32).for_each(|i| look_up(i % 1_000 * 1_000));
            started.elapsed().as_nanos() / 1_000_000
        };
        let cached = mean_nanos(&mut |extent| {
            std::hint::black_box(replica.look_up("a", extent, false, 0));
        });
        let walk_ancestors = &mut |extent| {
            std::hint::black_box(tree.locate(head, extent));
        };
        let walked = if snapshots > 10 {
            0
        } else {
            mean_nanos(walk_ancestors)
        };
        println!(
            "{snapshots} snapshots: a cached lookup takes {cached} ns (through the ancestors {walked} ns)"
        );
    }
}
