//! Extents as runs of blocks.
use super::block_runs;

#[test]
fn adjacent_extents_are_one_run() {
    assert_eq!(block_runs(&[0, 1, 3], 64), "0-127\n192-255");
}

#[test]
fn no_extents_are_no_difference() {
    assert_eq!(block_runs(&[], 64), "no difference");
}
