//! Digests of ranges of the membership table, by which two hosts find where their tables differ. Digests exclude
//! members that have left, since hosts remove those at different times.
use super::MembershipTable;
use crate::member::Member;
use crate::record::GossipUpdate;
use crate::wire::{GossipUpdates, IdRange, MAX_RANGES, RangeDigest};

/// Number of bits by which the prefixes of child ranges are longer than that of the range that is split.
const BITS_PER_LEVEL: u8 = 4;
/// Number of child ranges into which a range is split.
const CHILD_RANGES: usize = 1 << BITS_PER_LEVEL;
/// Maximum length of the prefix of a range that can be split, in bits.
const MAX_PREFIX_BITS: u8 = 64 - BITS_PER_LEVEL;
/// Maximum number of records in one datagram of a reply to a comparison. Ranges with no more members are exchanged
/// instead of split.
pub(crate) const RECORDS_PER_DATAGRAM: usize = 8;
/// Range of all member ids.
pub(crate) const WHOLE_TABLE: IdRange = IdRange {
    prefix_bits: 0,
    prefix: 0,
};

/// Range digests of one datagram.
pub(crate) type RangeDigests = heapless::Vec<RangeDigest, MAX_RANGES>;
/// Ranges of member ids of one datagram.
pub(crate) type IdRanges = heapless::Vec<IdRange, MAX_RANGES>;

/// Ranges in which the table differs from another member's.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Comparison {
    /// Digests of the child ranges of ranges that contain many members in both tables.
    pub split: RangeDigests,
    /// Ranges that contain few members in one of the tables, or cannot be split. Their records are to be exchanged.
    pub exchanged: IdRanges,
}

impl MembershipTable {
    /// Returns the members in a range, except those that have left.
    pub fn members_in(&self, range: IdRange) -> impl Iterator<Item = &Member> {
        let prefix_bits = u32::from(range.prefix_bits);
        let first = range
            .prefix
            .checked_shl(64 - prefix_bits.min(64))
            .unwrap_or(0);
        let last = first | u64::MAX.checked_shr(prefix_bits).unwrap_or(0);
        let members = self.members.range(first..=last).map(|(_, member)| member);
        members.filter(|member| !member.has_left())
    }

    /// Returns the digest of the members in a range, except those that have left.
    pub fn range_digest(&self, range: IdRange) -> RangeDigest {
        let mut total = RangeDigest {
            range,
            digest: 0,
            count: 0,
        };
        for member in self.members_in(range) {
            total.digest ^= member.record().digest(member.gossiped_accuser().is_some());
            total.count += 1;
        }
        total
    }

    /// Compares the table with another member's digests. Ignores ranges with a prefix above the maximum length.
    pub fn compare(&self, digests: &RangeDigests) -> Comparison {
        let mut comparison = Comparison::default();
        for theirs in digests
            .iter()
            .filter(|theirs| theirs.range.prefix_bits <= MAX_PREFIX_BITS)
        {
            let own = self.range_digest(theirs.range);
            if own == *theirs {
                continue;
            }
            let is_small = own.count.min(theirs.count) as usize <= RECORDS_PER_DATAGRAM;
            if is_small || theirs.range.prefix_bits == MAX_PREFIX_BITS {
                // The push cannot fail: there is at most one range for each digest of the datagram.
                let _ = comparison.exchanged.push(theirs.range);
            } else if comparison.split.len() + CHILD_RANGES <= MAX_RANGES {
                comparison.split.extend(self.child_digests(theirs.range));
            }
        }
        comparison
    }

    /// Returns the updates that are gossiped about the members in `ranges`.
    pub fn updates_in(&self, ranges: &IdRanges) -> impl Iterator<Item = GossipUpdate> {
        ranges
            .iter()
            .flat_map(|range| self.members_in(*range))
            .map(Member::to_update)
    }

    /// Returns the updates that are gossiped about the members in `ranges`, except those that another member knows
    /// according to `theirs`, the updates that it sent about these ranges. Ignores ranges with a prefix above the
    /// maximum length.
    pub fn updates_unknown_to(
        &self,
        ranges: &IdRanges,
        theirs: &GossipUpdates,
    ) -> impl Iterator<Item = GossipUpdate> {
        let is_known_to_them = |own: &GossipUpdate| {
            theirs.iter().any(|other| {
                other.record.name == own.record.name
                    && other.record.precedence() >= own.record.precedence()
                    && other.suspected_by.is_some() >= own.suspected_by.is_some()
            })
        };
        ranges
            .iter()
            .filter(|range| range.prefix_bits <= MAX_PREFIX_BITS)
            .flat_map(|range| self.members_in(*range))
            .map(Member::to_update)
            .filter(move |update| !is_known_to_them(update))
    }

    /// Returns the digests of the child ranges of a range.
    fn child_digests(&self, range: IdRange) -> impl Iterator<Item = RangeDigest> {
        let child = move |index| IdRange {
            prefix_bits: range.prefix_bits + BITS_PER_LEVEL,
            prefix: range.prefix << BITS_PER_LEVEL | index,
        };
        (0..CHILD_RANGES as u64).map(move |index| self.range_digest(child(index)))
    }
}
