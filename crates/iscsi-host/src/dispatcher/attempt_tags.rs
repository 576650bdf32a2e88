//! Tags of attempts, which distinguish a late answer to an earlier attempt from the answer to the current one.
#[cfg(test)]
mod tests;

use mallowseam_scheduler::interface::BioId;

/// Number of low bits of a tag that hold the index of the block I/O. The other bits hold the attempt count.
const INDEX_BITS: u32 = 20;
/// Maximum number of block I/Os in flight.
pub(super) const MAX_BLOCK_IOS: usize = 1 << INDEX_BITS;
/// Largest attempt count that fits into a tag. The count wraps around to 0 after it.
const MAX_ATTEMPT_COUNT: u32 = (1 << (u32::BITS - INDEX_BITS)) - 1;

/// Returns the block I/O of a tag.
pub(super) fn block_io_of_tag(tag: u32) -> BioId {
    BioId(tag & (MAX_BLOCK_IOS as u32 - 1))
}

/// Assigns tags to attempts.
#[derive(Default)]
pub(super) struct AttemptTags {
    /// Number of attempts so far for each index of a block I/O, modulo `MAX_ATTEMPT_COUNT` + 1.
    counts: Vec<u32>,
}

impl AttemptTags {
    /// Returns the tag for the next attempt of a block I/O.
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
