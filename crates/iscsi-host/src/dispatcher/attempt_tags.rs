//! Tags of attempts, by which a late answer is told from that of a later attempt.
use mallowseam_scheduler::interface::BioId;

/// A tag has the block I/O's index in its lower bits and the number of the attempt above them.
const INDEX_BITS: u32 = 20;
/// Block I/Os that can be in flight.
pub(super) const MAX_BLOCK_IOS: usize = 1 << INDEX_BITS;
/// Largest number of an attempt that fits into a tag; the next one is 0 again.
const MAX_ATTEMPT_COUNT: u32 = (1 << (u32::BITS - INDEX_BITS)) - 1;

/// The block I/O that a tag belongs to.
pub(super) fn block_io_of_tag(tag: u32) -> BioId {
    BioId(tag & (MAX_BLOCK_IOS as u32 - 1))
}

/// Assigns tags.
#[derive(Default)]
pub(super) struct AttemptTags {
    /// How many attempts each block I/O's index has had.
    counts: Vec<u32>,
}

impl AttemptTags {
    /// The tag of the next attempt of a block I/O.
    pub(super) fn next(&mut self, id: BioId) -> u32 {
        let position = id.0 as usize;
        if self.counts.len() <= position {
            self.counts.resize(position + 1, 0);
        }
        let count = &mut self.counts[position];
        *count = (*count + 1) & MAX_ATTEMPT_COUNT;
        *count << INDEX_BITS | id.0
    }
}
