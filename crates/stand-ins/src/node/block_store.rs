//! Storage of a stand-in node.
use super::transfer::Transfer;
use mallowseam_audit::block;
use std::collections::HashMap;

/// Stored blocks by logical unit and address. A block that is not stored reads as zeros.
#[derive(Default)]
pub(super) struct BlockStore {
    blocks: HashMap<(u32, u64), Box<[u8; block::SIZE]>>,
}

impl BlockStore {
    pub(super) fn holds(&self, lun: u32, lba: u64) -> bool {
        self.blocks.contains_key(&(lun, lba))
    }

    pub(super) fn write(&mut self, lun: u32, transfer: &Transfer, data: &[u8]) {
        let blocks = data
            .chunks_exact(block::SIZE)
            .take(transfer.blocks as usize);
        for (lba, content) in (transfer.lba..).zip(blocks) {
            self.blocks
                .entry((lun, lba))
                .or_insert_with(|| Box::new([0; block::SIZE]))
                .copy_from_slice(content);
        }
    }

    pub(super) fn read(&self, lun: u32, transfer: &Transfer) -> Vec<u8> {
        let mut data = Vec::new();
        for lba in transfer.lba..transfer.lba + u64::from(transfer.blocks) {
            match self.blocks.get(&(lun, lba)) {
                Some(stored) => data.extend_from_slice(&stored[..]),
                None => data.resize(data.len() + block::SIZE, 0),
            }
        }
        data
    }

    /// Removes ranges of blocks, each given by its first block and number of blocks.
    pub(super) fn unmap(&mut self, lun: u32, ranges: impl IntoIterator<Item = (u64, u32)>) {
        for (lba, blocks) in ranges {
            let unmapped = lba..lba + u64::from(blocks);
            self.blocks
                .retain(|(unit, block), _| *unit != lun || !unmapped.contains(block));
        }
    }

    /// Returns the ranges of stored blocks from an address on, each as its first block and number of blocks.
    pub(super) fn stored_ranges(&self, lun: u32, from: u64) -> Vec<(u64, u32)> {
        let mut stored: Vec<u64> = self
            .blocks
            .keys()
            .filter(|(unit, lba)| *unit == lun && *lba >= from)
            .map(|(_, lba)| *lba)
            .collect();
        stored.sort_unstable();
        let mut ranges: Vec<(u64, u32)> = Vec::new();
        for lba in stored {
            match ranges.last_mut() {
                Some((first, count)) if *first + u64::from(*count) == lba => *count += 1,
                _ => ranges.push((lba, 1)),
            }
        }
        ranges
    }
}
