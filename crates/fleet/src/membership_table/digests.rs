//! Digests of ranges of the table, by which two hosts find where their tables differ. Members that have left do not
//! count: hosts drop them at different times.
use super::MembershipTable;
use crate::member::Member;
use crate::record::Lifecycle;
use crate::wire::{IdRange, RangeDigest};

/// Bits by which a range is split into its children.
const BITS_PER_LEVEL: u8 = 4;
/// Children of a range.
pub(crate) const CHILD_RANGES: usize = 1 << BITS_PER_LEVEL;
/// Longest prefix of a range that can still be split.
pub(crate) const MAX_PREFIX_BITS: u8 = 64 - BITS_PER_LEVEL;
/// The range of all members.
pub(crate) const WHOLE_TABLE: IdRange = IdRange {
    prefix_bits: 0,
    prefix: 0,
};

impl MembershipTable {
    pub fn members_in(&self, range: IdRange) -> impl Iterator<Item = &Member> {
        let prefix_bits = u32::from(range.prefix_bits);
        let first = range
            .prefix
            .checked_shl(64 - prefix_bits.min(64))
            .unwrap_or(0);
        let last = first | u64::MAX.checked_shr(prefix_bits).unwrap_or(0);
        let members = self.members.range(first..=last).map(|(_, member)| member);
        members.filter(|member| member.record.lifecycle != Lifecycle::Left)
    }

    pub fn range_digest(&self, range: IdRange) -> RangeDigest {
        let (mut digest, mut count) = (0, 0);
        for member in self.members_in(range) {
            digest ^= member.record.digest(member.gossiped_accuser().is_some());
            count += 1;
        }
        RangeDigest {
            range,
            digest,
            count,
        }
    }

    /// Digests of the ranges that a range is split into.
    pub fn child_digests(&self, range: IdRange) -> impl Iterator<Item = RangeDigest> {
        let child = move |index| IdRange {
            prefix_bits: range.prefix_bits + BITS_PER_LEVEL,
            prefix: range.prefix << BITS_PER_LEVEL | index,
        };
        (0..CHILD_RANGES as u64).map(move |index| self.range_digest(child(index)))
    }
}
