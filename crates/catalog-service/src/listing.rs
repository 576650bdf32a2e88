//! Formats the tree as text for operators.
#[cfg(test)]
mod tests;

use mallowseam_cow::tree::{Branch, Snapshot, Tree};

/// Returns a line for each volume and clone, then for each snapshot.
pub(crate) fn list(tree: &Tree) -> String {
    let branches = tree
        .branches
        .iter()
        .map(|(name, branch)| branch_line(tree, name, branch));
    let snapshots = tree
        .snapshots
        .iter()
        .map(|(name, snapshot)| snapshot_line(name, snapshot));
    branches.chain(snapshots).collect::<Vec<_>>().join("\n")
}

fn branch_line(tree: &Tree, name: &str, branch: &Branch) -> String {
    let lun = branch.lun;
    let own_extents = tree
        .layers
        .get(&branch.head)
        .map_or(0, |layer| layer.locations.len());
    let extents = branch.extent_count;
    let line = format!("{name}  LUN {lun}  {own_extents} of {extents} extents its own");
    match &branch.origin {
        Some(snapshot) => format!("{line}  clone of {snapshot}"),
        None => line,
    }
}

fn snapshot_line(name: &str, snapshot: &Snapshot) -> String {
    let Snapshot { lun, layer, .. } = snapshot;
    format!("{name}  LUN {lun}  layer {layer}")
}

/// A range of blocks, both ends included.
struct BlockRange {
    first: u64,
    last: u64,
}

/// Formats extents as ranges of blocks, `FIRST-LAST`, one per line. Adjacent extents form one range.
pub(crate) fn format_block_ranges(extents: &[u32], extent_blocks: u64) -> String {
    let mut ranges: Vec<BlockRange> = Vec::new();
    for extent in extents {
        let first = u64::from(*extent) * extent_blocks;
        let last = first + extent_blocks - 1;
        match ranges.last_mut() {
            Some(previous) if previous.last + 1 == first => previous.last = last,
            _ => ranges.push(BlockRange { first, last }),
        }
    }
    if ranges.is_empty() {
        return "no difference".to_owned();
    }
    ranges
        .iter()
        .map(|range| format!("{}-{}", range.first, range.last))
        .collect::<Vec<_>>()
        .join("\n")
}
