//! Tests of pending operations: when rollouts are complete, and which hosts cuts in progress ask to quiesce.
use super::{Operation, PendingOperations, Rollout, SnapshotRequest};
use mallowseam_cow::consistent_cut::{ConsistentCut, CutProgress};
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::tree::{Change, LayerId, Location, Tree};
use std::collections::BTreeSet;

const HEAD: LayerId = 1024;

/// Returns a tree with a branch of which one extent is written, at node 0.
fn tree() -> Tree {
    let mut tree = Tree::default();
    for change in [
        Change::BranchCreated {
            branch: "a".into(),
            extent_count: 9,
        },
        Change::SlotsAllocated {
            layer: HEAD,
            first: 0,
            count: 9,
        },
        Change::ExtentPlaced {
            layer: HEAD,
            extent: 4,
            location: Location { node: 0, slot: 1 },
        },
    ] {
        tree.apply(&change).expect("change fits the tree");
    }
    tree
}

fn hosts(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Returns the tree after a cut of its branch has begun, and the cut.
fn cut_in_progress() -> (Tree, ConsistentCut) {
    let mut tree = tree();
    let (freeze, cut) = ConsistentCut::begin(&tree, "a", "s", hosts(&["gw0", "gw1"]), 0)
        .expect("the cut can begin");
    tree.apply(&freeze).expect("change fits the tree");
    (tree, cut)
}

#[test]
fn rollout_waits_for_hosts_and_for_the_close_of_its_layer() {
    let (mut tree, _) = cut_in_progress();
    let mut leases = HostLeases::new(0, true);
    leases.renew("gw0", tree.version - 1, 0);
    let rollout = Rollout {
        version: tree.version,
        closing_layer: Some(HEAD),
        answer: String::new(),
    };
    assert!(!rollout.is_complete(&tree, &leases, 0));
    leases.acknowledge("gw0", tree.version);
    assert!(!rollout.is_complete(&tree, &leases, 0));
    let closed = Change::LayerClosed {
        layer: HEAD,
        node: 0,
    };
    tree.apply(&closed).expect("change fits the tree");
    assert!(rollout.is_complete(&tree, &leases, 0));
}

#[test]
fn only_active_hosts_that_have_not_confirmed_are_asked_to_quiesce() {
    let (_, cut) = cut_in_progress();
    let mut operations = PendingOperations::default();
    operations.add(1, Operation::Cut(cut));
    operations.on_host_quiesced(HEAD, "gw0");
    let requests = operations.quiesce_requests(&hosts(&["gw0", "gw1"]));
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].layer, HEAD);
    assert_eq!(requests[0].branch, "a");
    assert_eq!(requests[0].hosts, hosts(&["gw1"]));
    let requests = operations.quiesce_requests(&hosts(&["gw0"]));
    assert!(requests[0].hosts.is_empty());
}

#[test]
fn cuts_in_progress_are_found_by_branch_and_layer() {
    let (_, cut) = cut_in_progress();
    let mut operations = PendingOperations::default();
    let request = SnapshotRequest {
        branch: "b".to_owned(),
        name: "s".to_owned(),
    };
    operations.add(1, Operation::BeginCut(request));
    operations.add(2, Operation::Cut(cut));
    assert!(operations.has_cut_of("a"));
    assert!(!operations.has_cut_of("b"));
    assert_eq!(operations.layers_of_cuts(), BTreeSet::from([HEAD]));
}

#[test]
fn stale_cut_is_restarted_once_all_hosts_are_quiesced() {
    let (tree, cut) = cut_in_progress();
    let mut operations = PendingOperations::default();
    operations.add(1, Operation::Cut(cut));
    operations.mark_stale(&BTreeSet::from([HEAD]));
    operations.on_host_quiesced(HEAD, "gw0");
    operations.on_host_quiesced(HEAD, "gw1");
    let pending = operations.take_all().pop().expect("the cut is pending");
    let Operation::Cut(cut) = pending.operation else {
        panic!("pending operation is not the cut");
    };
    assert_eq!(cut.progress(&tree, 1), CutProgress::Restart);
}
