//! How a client's command is split into block I/Os.
//!
//! A command may cross extents, ordering keys and classification rules; each sub-request is within one of
//! each.
use std::num::NonZeroU64;

/// A contiguous range of a volume's blocks that one shard stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// The first block, counted in the volume.
    pub first_block: u64,
    /// Length in blocks.
    pub blocks: u64,
    /// The shard whose nodes hold it.
    pub shard: u32,
    /// Address of the first block on the nodes, in blocks.
    pub first_node_block: u64,
}

/// Which blocks of a volume belong to an I/O class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// It applies to reads.
    pub matches_reads: bool,
    /// It applies to writes.
    pub matches_writes: bool,
    /// The first block it applies to, counted in the volume.
    pub first_block: u64,
    /// The last block it applies to.
    pub last_block: u64,
    /// Index of the I/O class.
    pub class: u16,
    /// Blocks that share an ordering key. None: requests have no ordering key.
    pub blocks_per_key: Option<NonZeroU64>,
}

/// The ordering key of a block, and the first block after it that has another one.
struct OrderingKey {
    number: u64,
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

/// A volume's layout.
#[derive(Clone, Debug, Default)]
pub struct VolumeLayout {
    /// Extents in ascending order, without gaps.
    pub extents: Vec<Extent>,
    /// Rules, of which the first that applies to a block counts.
    pub rules: Vec<ClassRule>,
}

/// One block I/O of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubRequest {
    /// Where it begins, in blocks from the start of the command.
    pub offset: u32,
    /// Length in blocks.
    pub blocks: u32,
    /// The shard whose nodes hold it.
    pub shard: u32,
    /// Where it begins on the nodes, in blocks.
    pub node_lba: u64,
    /// Index of its I/O class.
    pub class: u16,
    /// Number of its ordering key within the volume.
    pub ordering_key: Option<u64>,
}

/// The command is not completely within the volume's extents and rules, or it has no blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the command lies outside the volume's layout")]
pub struct OutsideLayout;

impl VolumeLayout {
    /// Splits a command into `sub_requests`, in the order of its blocks. `lba` and `blocks`: where the command
    /// begins in the volume and how long it is, in blocks.
    ///
    /// # Errors
    /// A block is outside the volume, no rule applies to it, or there are no blocks; the contents of `sub_requests`
    /// are then unspecified.
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
            let extent = self.extent_of(block).ok_or(OutsideLayout)?;
            let extent_end = end.min(extent.first_block + extent.blocks);
            if extent_end <= block {
                return Err(OutsideLayout);
            }
            let (rule, rule_end) = self
                .rule_of(write, block, extent_end)
                .ok_or(OutsideLayout)?;
            let key = rule.ordering_key(block);
            let until = key.as_ref().map_or(rule_end, |key| rule_end.min(key.end));
            sub_requests.push(SubRequest {
                offset: (block - lba) as u32,
                blocks: (until - block) as u32,
                shard: extent.shard,
                node_lba: extent.first_node_block + (block - extent.first_block),
                class: rule.class,
                ordering_key: key.map(|key| key.number),
            });
            block = until;
        }
        if sub_requests.is_empty() {
            Err(OutsideLayout)
        } else {
            Ok(())
        }
    }

    /// The last extent that begins at or before a block.
    fn extent_of(&self, block: u64) -> Option<Extent> {
        let following = self
            .extents
            .partition_point(|extent| extent.first_block <= block);
        self.extents.get(following.checked_sub(1)?).copied()
    }

    /// The first rule that applies to a block, and the first later block that it does not decide about, `end` at the
    /// latest.
    fn rule_of(&self, write: bool, block: u64, end: u64) -> Option<(&ClassRule, u64)> {
        let mut until = end;
        for rule in self.rules.iter().filter(|rule| rule.matches(write)) {
            if rule.contains(block) {
                return Some((rule, until.min(rule.last_block.saturating_add(1))));
            }
            // A rule of higher precedence that begins further on ends this sub-request there.
            if rule.first_block > block {
                until = until.min(rule.first_block);
            }
        }
        None
    }
}
