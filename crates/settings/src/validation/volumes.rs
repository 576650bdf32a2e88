//! Validation of volumes: their mapping, extents and class rules.
use super::references::{SectionNames, resolve};
use crate::config::{Catalog, Direction, Extent, Rule, Volume};
use crate::diagnostics::{Diagnostics, Position};
use crate::parser::{DraftRule, DraftVolume};
use crate::tokens::Token;

/// Lowest logical unit number of snapshots and clones; those of mapped volumes are below it.
const FIRST_SNAPSHOT_LUN: u16 = 1024;

/// Checks that a volume is either mapped or has extents, and that it fits the catalog if it is mapped.
pub(super) fn check_mapping(
    draft: &DraftVolume,
    catalog: Option<&Catalog>,
    diagnostics: &mut Diagnostics,
) {
    let DraftVolume {
        position,
        volume,
        extents,
        ..
    } = draft;
    if volume.mapped != extents.is_empty() {
        let found = if volume.mapped { "both" } else { "neither" };
        diagnostics.add(
            *position,
            "either `extent` or `mapped` in this section",
            found,
        );
    }
    if !volume.mapped {
        return;
    }
    match catalog {
        None => {
            diagnostics.add(
                *position,
                "a section `catalog`, since the volume is mapped",
                "none",
            );
        }
        Some(c) if c.extent_blocks > 0 && !volume.block_count.is_multiple_of(c.extent_blocks) => {
            let expected = format!(
                "a multiple of {} blocks, the catalog's extent",
                c.extent_blocks
            );
            diagnostics.add(*position, expected, volume.block_count.to_string());
        }
        Some(_) => {}
    }
    if volume.lun >= FIRST_SNAPSHOT_LUN {
        let expected = "a LUN below 1024, since snapshots and clones have those above";
        diagnostics.add(*position, expected, volume.lun.to_string());
    }
}

/// Range of blocks of a node that an extent uses.
pub(super) struct ExtentLocation {
    node: usize,
    first_block: u64,
    block_count: u64,
    position: Position,
}

/// Resolves the references of a volume, and checks its extents and rules. Adds its extents to `locations`.
pub(super) fn resolve_volume(
    draft: DraftVolume,
    names: &SectionNames,
    locations: &mut Vec<ExtentLocation>,
    diagnostics: &mut Diagnostics,
) -> Volume {
    let DraftVolume {
        position,
        mut volume,
        plan,
        extents,
        rules,
    } = draft;
    if let Some(plan) = &plan {
        volume.plan = resolve("plan", plan, names.plans.iter().copied(), diagnostics);
    }
    volume.extents = resolve_extents(extents, names, locations, diagnostics);
    let end = volume
        .extents
        .last()
        .map_or(0, |e| e.first_block + e.block_count);
    if volume.block_count > 0 && end != volume.block_count && !volume.extents.is_empty() {
        let expected = format!("extents of {} blocks in all", volume.block_count);
        diagnostics.add(position, expected, end.to_string());
    }
    for rule in rules {
        let rule = resolve_rule(rule, volume.block_count, names, diagnostics);
        volume.rules.push(rule);
    }
    check_rule_coverage(&volume, position, diagnostics);
    volume
}

/// Returns the extents in the order of their blocks, and checks that they have no gap and no overlap.
fn resolve_extents(
    mut drafts: Vec<(Extent, Token)>,
    names: &SectionNames,
    locations: &mut Vec<ExtentLocation>,
    diagnostics: &mut Diagnostics,
) -> Vec<Extent> {
    drafts.sort_by_key(|(extent, _)| extent.first_block);
    let mut next_block = 0;
    for (extent, node) in &mut drafts {
        extent.node = resolve("node", node, names.nodes.iter().copied(), diagnostics);
        locations.push(ExtentLocation {
            node: extent.node,
            first_block: extent.first_node_block,
            block_count: extent.block_count,
            position: node.position,
        });
        if extent.first_block != next_block {
            let expected = format!("an extent from block {next_block} on");
            diagnostics.add(node.position, expected, extent.first_block.to_string());
        }
        next_block = extent.first_block + extent.block_count;
    }
    drafts.into_iter().map(|(extent, _)| extent).collect()
}

/// Checks that no two extents use the same blocks of a node, which would give the same data two addresses.
pub(super) fn check_overlaps(mut locations: Vec<ExtentLocation>, diagnostics: &mut Diagnostics) {
    locations.sort_by_key(|l| (l.node, l.first_block));
    for pair in locations.windows(2) {
        let (one, other) = (&pair[0], &pair[1]);
        if one.node == other.node && one.first_block + one.block_count > other.first_block {
            let expected = "blocks of the node that no other extent uses";
            diagnostics.add(
                other.position,
                expected,
                format!("block {}", other.first_block),
            );
        }
    }
}

fn resolve_rule(
    draft: DraftRule,
    block_count: u64,
    names: &SectionNames,
    diagnostics: &mut Diagnostics,
) -> Rule {
    let DraftRule {
        position,
        direction,
        range,
        io_class,
        blocks_per_key,
    } = draft;
    let class_names = names.classes.iter().map(|c| c.name.as_str());
    let io_class = resolve("group", &io_class, class_names, diagnostics);
    if names.classes.get(io_class).is_some_and(|c| c.ordered) && blocks_per_key == 0 {
        diagnostics.add(position, "`key BLOCKS`, since the group is ordered", "none");
    }
    if let Some(range) = range
        && range.last >= block_count
        && block_count > 0
    {
        let expected = format!("blocks up to {}", block_count - 1);
        diagnostics.add(position, expected, range.last.to_string());
    }
    Rule {
        direction,
        first_block: range.map_or(0, |range| range.first),
        last_block: range.map_or(u64::MAX, |range| range.last),
        io_class,
        blocks_per_key,
    }
}

/// Checks that the rules of a volume assign a class to every read and every write.
fn check_rule_coverage(volume: &Volume, position: Position, diagnostics: &mut Diagnostics) {
    if volume.rules.is_empty() {
        return;
    }
    for (direction, word) in [(Direction::Read, "read"), (Direction::Write, "write")] {
        let covers_all_blocks = |r: &Rule| {
            r.first_block == 0
                && (r.last_block == u64::MAX || r.last_block + 1 >= volume.block_count)
        };
        let covers_direction = |r: &Rule| r.direction == direction || r.direction == Direction::Any;
        if !volume
            .rules
            .iter()
            .any(|r| covers_direction(r) && covers_all_blocks(r))
        {
            diagnostics.add(
                position,
                format!("a rule for every {word}, of all blocks"),
                "none",
            );
        }
    }
}
