//! Splitting of a client's command into block I/Os.
//!
//! A command may cross extents, ordering keys and classification rules. Each sub-request lies within one extent, one
//! ordering key and one rule.
use std::num::NonZeroU64;

/// Contiguous range of a volume's blocks that one shard stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// First block of the extent, counted in the volume.
    pub first_block: u64,
    /// Length of the extent in blocks.
    pub blocks: u64,
    /// Shard whose nodes store the extent.
    pub shard: u32,
    /// Address of the extent's first block on the nodes, in blocks.
    pub first_node_block: u64,
}

/// Rule that assigns blocks of a volume to an I/O class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// Whether the rule applies to reads.
    pub matches_reads: bool,
    /// Whether the rule applies to writes.
    pub matches_writes: bool,
    /// First block to which the rule applies, counted in the volume.
    pub first_block: u64,
    /// Last block to which the rule applies.
    pub last_block: u64,
    /// Index of the I/O class.
    pub class: u16,
    /// Number of consecutive blocks that share an ordering key. `None`: requests have no ordering key.
    pub blocks_per_key: Option<NonZeroU64>,
}

/// Ordering key of a block.
struct OrderingKey {
    number: u64,
    /// First block after the key's last one.
    end: u64,
}

impl ClassRule {
    fn ordering_key(&self, block: u64) -> Option<OrderingKey> {
        let blocks_per_key = self.blocks_per_key?.get();
        let number = block / blocks_per_key;
        Some(OrderingKey {
            number,
            end: (number + 1).saturating_mul(blocks_per_key),
        })
    }

    fn matches(&self, write: bool) -> bool {
        if write {
            self.matches_writes
        } else {
            self.matches_reads
        }
    }

    fn contains(&self, block: u64) -> bool {
        self.first_block <= block && block <= self.last_block
    }
}

/// Extents and classification rules of a volume.
#[derive(Clone, Debug, Default)]
pub struct VolumeLayout {
    /// Extents in ascending order, without gaps.
    pub extents: Vec<Extent>,
    /// Classification rules in order of precedence: the first rule that applies to a block decides.
    pub rules: Vec<ClassRule>,
}

/// One block I/O of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubRequest {
    /// Offset of the sub-request in the command, in blocks.
    pub offset: u32,
    /// Length of the sub-request in blocks.
    pub blocks: u32,
    /// Shard whose nodes store the blocks.
    pub shard: u32,
    /// Address of the first block on the nodes, in blocks.
    pub node_lba: u64,
    /// Index of the I/O class.
    pub class: u16,
    /// Number of the ordering key within the volume. `None`: the sub-request has no ordering key.
    pub ordering_key: Option<u64>,
}

/// Error for a command that is not completely covered by the volume's extents and rules, or that has no blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("command has no blocks, or blocks outside the volume's extents and classification rules")]
pub struct OutsideLayout;

impl VolumeLayout {
    /// Splits a command into `sub_requests`, in ascending order of its blocks. `lba`: first block of the command in
    /// the volume. `blocks`: length of the command in blocks.
    ///
    /// # Errors
    /// Returns an error if a block is outside the volume, if no rule applies to a block, or if `blocks` is 0. The
    /// contents of `sub_requests` are then unspecified.
    pub fn split(
        &self,
        write: bool,
        lba: u64,
        blocks: u32,
        sub_requests: &mut Vec<SubRequest>,
    ) -> Result<(), OutsideLayout> {
        sub_requests.clear();
        let end = lba.checked_add(u64::from(blocks)).ok_or(OutsideLayout)?;
        let mut block = lba;
        while block < end {
            let extent = self.extent_at(block).ok_or(OutsideLayout)?;
            let extent_end = end.min(extent.first_block + extent.blocks);
            if extent_end <= block {
                return Err(OutsideLayout);
            }
            let (rule, rule_end) = self
                .rule_at(write, block, extent_end)
                .ok_or(OutsideLayout)?;
            let key = rule.ordering_key(block);
            let sub_request_end = key.as_ref().map_or(rule_end, |key| rule_end.min(key.end));
            sub_requests.push(SubRequest {
                offset: (block - lba) as u32,
                blocks: (sub_request_end - block) as u32,
                shard: extent.shard,
                node_lba: extent.first_node_block + (block - extent.first_block),
                class: rule.class,
                ordering_key: key.map(|key| key.number),
            });
            block = sub_request_end;
        }
        if sub_requests.is_empty() {
            Err(OutsideLayout)
        } else {
            Ok(())
        }
    }

    /// Returns the last extent that begins at or before a block.
    fn extent_at(&self, block: u64) -> Option<Extent> {
        let following = self
            .extents
            .partition_point(|extent| extent.first_block <= block);
        self.extents.get(following.checked_sub(1)?).copied()
    }

    /// Returns the first rule that applies to a block, and the first later block that the rule does not decide about,
    /// but at most `end`.
    fn rule_at(&self, write: bool, block: u64, end: u64) -> Option<(&ClassRule, u64)> {
        let mut rule_end = end;
        for rule in self.rules.iter().filter(|rule| rule.matches(write)) {
            if rule.contains(block) {
                return Some((rule, rule_end.min(rule.last_block.saturating_add(1))));
            }
            // A rule of higher precedence that begins at a later block ends the sub-request before that block.
            if rule.first_block > block {
                rule_end = rule_end.min(rule.first_block);
            }
        }
        None
    }
}
