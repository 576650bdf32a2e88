//! Tests of when copies start, and of the action that follows a copy step.
use super::{AfterStep, CopySource, ExtentCopies};
use crate::dispatcher::layer_location::LayerLocation;
use mallowseam_cow::copy_budget::RETRY_DELAY;
use mallowseam_cow::tree::{Layer, LayerExtent, Location, Tree};
use mallowseam_cow::tree_replica::RESEND_AFTER;
use mallowseam_settings::config;

const EXTENT: LayerExtent = (1025, 3);
const MAX_ATTEMPTS: u32 = 2;
const FROM: LayerLocation = LayerLocation {
    layer: 1024,
    location: Location { node: 0, slot: 8 },
};
const TO: LayerLocation = LayerLocation {
    layer: 1025,
    location: Location { node: 1, slot: 20 },
};

fn copies() -> ExtentCopies {
    let catalog = config::Catalog {
        extent_blocks: 16,
        copy_class: 1,
        ..config::Catalog::default()
    };
    ExtentCopies::new(&catalog, MAX_ATTEMPTS)
}

fn source(from: Option<LayerLocation>) -> CopySource {
    CopySource {
        volume: 0,
        block_size: 4,
        from,
    }
}

#[test]
fn a_copy_is_read_then_written_then_proposed() {
    let mut copies = copies();
    assert!(copies.admits(EXTENT, 0));
    let read = copies.start(EXTENT, source(Some(FROM)), vec![20, 21]);
    let read = read.expect("there are enough slots for the copy");
    assert!(!read.write);
    assert_eq!(read.read_from, Some(FROM));
    assert_eq!(read.request.blocks, 16);
    assert!(
        !copies.admits(EXTENT, 0),
        "a copy of the extent is in progress"
    );

    let after = copies.step_completed(EXTENT, Some(FROM), vec![7], 0);
    let AfterStep::Start(write) = after else {
        panic!("a completed read must be followed by a write");
    };
    assert!(write.write);
    assert_eq!(write.read_from, None);
    let after = copies.step_completed(EXTENT, Some(TO), Vec::new(), 0);
    assert!(matches!(after, AfterStep::Propose(location) if location == TO.location));
}

#[test]
fn each_attempt_to_write_a_copy_has_its_own_slot() {
    let mut copies = copies();
    let write = copies.start(EXTENT, source(None), vec![20, 21]);
    assert!(
        write.expect("there are enough slots for the copy").write,
        "an extent that was never written is not read"
    );
    let mut next_slot = || copies.next_write(EXTENT).map(|write| write.slot);
    let slots = [next_slot(), next_slot()];
    assert_eq!(slots, [Some(21), Some(20)]);
    assert_eq!(next_slot(), None);
}

#[test]
fn a_copy_without_enough_slots_does_not_start() {
    let mut copies = copies();
    assert!(copies.start(EXTENT, source(None), vec![20]).is_none());
    assert!(copies.admits(EXTENT, 0));
}

#[test]
fn a_failed_copy_may_start_again_after_the_retry_delay() {
    let mut copies = copies();
    copies.start(EXTENT, source(None), vec![20, 21]);
    copies.step_given_up(EXTENT, 100);
    assert!(!copies.admits(EXTENT, 100 + RETRY_DELAY - 1));
    assert!(copies.admits(EXTENT, 100 + RETRY_DELAY));
}

#[test]
fn a_proposed_location_is_proposed_again_until_the_tree_settles_it() {
    let mut tree = Tree::default();
    tree.layers.insert(EXTENT.0, Layer::default());
    let mut copies = copies();
    copies.start(EXTENT, source(None), vec![20, 21]);
    copies.step_completed(EXTENT, Some(TO), Vec::new(), 0);
    assert!(copies.update(&tree, RESEND_AFTER - 1).is_empty());
    assert_eq!(copies.update(&tree, RESEND_AFTER), [(EXTENT, TO.location)]);
    assert!(
        copies.update(&tree, RESEND_AFTER).is_empty(),
        "the location was proposed just now"
    );
    tree.layers.remove(&EXTENT.0);
    assert!(copies.update(&tree, 3 * RESEND_AFTER).is_empty());
    assert!(
        copies.admits(EXTENT, 3 * RESEND_AFTER),
        "the settled copy is removed"
    );
}
