//! The tree as text for operators.
#[cfg(test)]
mod tests;

use mallowseam_cow::tree::{Branch, Snapshot, Tree};

/// Volumes and clones, then snapshots, a line each.
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
    let own = tree
        .layers
        .get(&branch.head)
        .map_or(0, |layer| layer.locations.len());
    let extents = branch.extent_count;
    let line = format!("{name}  LUN {lun}  {own} of {extents} extents its own");
    match &branch.origin {
        Some(snapshot) => format!("{line}  clone of {snapshot}"),
        None => line,
    }
}

fn snapshot_line(name: &str, snapshot: &Snapshot) -> String {
    let Snapshot { lun, layer, .. } = snapshot;
    format!("{name}  LUN {lun}  layer {layer}")
}

/// Blocks from the first to the last.
struct BlockRun {
    first: u64,
    last: u64,
}

/// Extents as runs of blocks, first to last, a line each.
pub(crate) fn block_runs(extents: &[u32], extent_blocks: u64) -> String {
    let mut runs: Vec<BlockRun> = Vec::new();
    for extent in extents {
        let first = u64::from(*extent) * extent_blocks;
        let last = first + extent_blocks - 1;
        match runs.last_mut() {
            Some(previous) if previous.last + 1 == first => previous.last = last,
            _ => runs.push(BlockRun { first, last }),
        }
    }
    if runs.is_empty() {
        return "no difference".to_owned();
    }
    runs.iter()
        .map(|run| format!("{}-{}", run.first, run.last))
        .collect::<Vec<_>>()
        .join("\n")
}
