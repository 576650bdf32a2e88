//! Tests of the format in which differing extents are shown to operators.
use super::format_block_ranges;

#[test]
fn adjacent_extents_are_shown_as_one_range() {
    assert_eq!(format_block_ranges(&[0, 1, 3], 64), "0-127\n192-255");
}

#[test]
fn no_extents_are_shown_as_no_difference() {
    assert_eq!(format_block_ranges(&[], 64), "no difference");
}
