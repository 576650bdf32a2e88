//! Tests of the tags of attempts: a late answer must not be taken for the answer to a later attempt.
use super::{AttemptTags, MAX_ATTEMPT_COUNT, MAX_BLOCK_IOS, block_io_of_tag};
use mallowseam_scheduler::interface::BioId;

#[test]
fn attempts_of_a_block_io_have_different_tags_with_the_same_index() {
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
fn attempt_counts_wrap_around_only_after_the_largest_one() {
    let mut tags = AttemptTags::default();
    let first = tags.next(BioId(3));
    for _ in 0..MAX_ATTEMPT_COUNT {
        assert_ne!(tags.next(BioId(3)), first);
    }
    assert_eq!(tags.next(BioId(3)), first);
}
