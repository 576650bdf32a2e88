//! Tests of the lookup cache: which lookups it returns after changes of heads, and when it is cleared.
use super::*;
use crate::tree::Change;

/// Returns a tree with a branch of four extents, none of them written. The head of the branch is layer 1024.
fn tree() -> Tree {
    let mut tree = Tree::default();
    let created = Change::BranchCreated {
        branch: "a".into(),
        extent_count: 4,
    };
    tree.apply(&created).expect("change fits the tree");
    tree
}

const LOCATION: Location = Location { node: 1, slot: 3 };

#[test]
fn new_head_takes_over_the_lookups_of_the_old_head() {
    let mut cache = LookupCache::default();
    assert_eq!(cache.locate(&tree(), 1024, 2), None);
    cache.extent_placed(1024, 2, LOCATION);
    cache.head_replaced(1024, 1025);
    // The tree has no such location, so it comes from the cache.
    assert_eq!(cache.locate(&tree(), 1025, 2), Some((1024, LOCATION)));
    assert_eq!(cache.locate(&tree(), 1024, 2), None);
}

#[test]
fn lookups_of_an_abandoned_head_are_removed() {
    let mut cache = LookupCache::default();
    assert_eq!(cache.locate(&tree(), 1024, 2), None);
    cache.extent_placed(1024, 2, LOCATION);
    cache.head_abandoned(1024);
    assert_eq!(cache.locate(&tree(), 1024, 2), None);
}

#[test]
fn full_cache_is_cleared() {
    let mut cache = LookupCache::default();
    assert_eq!(cache.locate(&tree(), 1024, 2), None);
    cache.extent_placed(1024, 2, LOCATION);
    cache.clear_if_full();
    assert_eq!(cache.locate(&tree(), 1024, 2), Some((1024, LOCATION)));
    cache.count = MAX_CACHED_LOOKUPS;
    cache.clear_if_full();
    assert_eq!(cache.locate(&tree(), 1024, 2), None);
}
