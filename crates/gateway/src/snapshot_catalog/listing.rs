//! The tree as text for operators.
use mallowseam_cow::tree::Tree;

/// Volumes and clones, then snapshots, a line each.
pub(super) fn list(tree: &Tree) -> String {
    let mut lines = Vec::new();
    for (name, branch) in &tree.branches {
        let origin = branch
            .origin
            .as_deref()
            .map_or(String::new(), |snapshot| format!("  clone of {snapshot}"));
        let own = tree
            .layers
            .get(&branch.head)
            .map_or(0, |layer| layer.locations.len());
        let (unit, extents) = (branch.lun, branch.extent_count);
        lines.push(format!(
            "{name}  LUN {unit}  {own} of {extents} extents its own{origin}"
        ));
    }
    for (name, snapshot) in &tree.snapshots {
        lines.push(format!(
            "{name}  LUN {}  layer {}",
            snapshot.lun, snapshot.layer
        ));
    }
    lines.join("\n")
}

/// Extents as runs of blocks, first to last, a line each.
pub(super) fn block_runs(extents: &[u32], extent_blocks: u64) -> String {
    let mut runs: Vec<(u64, u64)> = Vec::new();
    for extent in extents {
        let first = u64::from(*extent) * extent_blocks;
        let last = first + extent_blocks - 1;
        match runs.last_mut() {
            Some((_, previous)) if *previous + 1 == first => *previous = last,
            _ => runs.push((first, last)),
        }
    }
    if runs.is_empty() {
        return "no difference".to_owned();
    }
    runs.iter()
        .map(|(first, last)| format!("{first}-{last}"))
        .collect::<Vec<_>>()
        .join("\n")
}
