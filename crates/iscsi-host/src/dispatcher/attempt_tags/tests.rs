//! Tags tell attempts apart.
use super::{AttemptTags, MAX_ATTEMPT_COUNT, MAX_BLOCK_IOS, block_io_of_tag};
use mallowseam_scheduler::interface::BioId;

#[test]
fn each_attempt_of_a_block_io_has_another_tag_with_the_same_index() {
    let mut tags = AttemptTags::default();
    let last = BioId(MAX_BLOCK_IOS as u32 - 1);
    for id in [BioId(0), BioId(7), last] {
        let first = tags.next(id);
        let second = tags.next(id);
        assert_ne!(first, second);
        assert_eq!(block_io_of_tag(first), id);
        assert_eq!(block_io_of_tag(second), id);
    }
}

#[test]
fn counts_begin_anew_when_they_no_longer_fit() {
    let mut tags = AttemptTags::default();
    let first = tags.next(BioId(3));
    for _ in 0..MAX_ATTEMPT_COUNT {
        assert_ne!(tags.next(BioId(3)), first);
    }
    assert_eq!(tags.next(BioId(3)), first);
}
