//! From a draft to a valid configuration: what is missing, what refers to nothing, what contradicts.
use crate::config::{
    Catalog, Direction, Extent, Fleet, GatewayConfig, Idempotency, IoClass, Plan, Rule, Volume,
};
use crate::diagnostics::{Diagnostics, Position};
use crate::parser::{Draft, DraftCatalog, DraftRule, DraftVolume, Located, OpenedSection};
use crate::tokens::Token;

/// Mapped volumes have logical unit numbers below this one; snapshots and clones have those from it on.
const FIRST_SNAPSHOT_LUN: u16 = 1024;

/// Validates a draft. What is wrong with it is added to the diagnostics; without any, the result is valid.
pub(crate) fn validate(draft: Draft, diagnostics: &mut Diagnostics) -> GatewayConfig {
    check_required_directives(&draft.opened, diagnostics);
    check_required_sections(&draft, diagnostics);
    check_unique_names(&draft, diagnostics);
    check_classes(&draft.io_classes, diagnostics);
    check_plans(&draft.plans, diagnostics);
    let Located {
        position,
        value: fleet,
    } = draft.fleet.unwrap_or_default();
    check_unit_sizes(&fleet, position, diagnostics);
    let catalog = draft
        .catalog
        .map(|c| resolve_catalog(c, &draft.io_classes, diagnostics));
    for volume in &draft.volumes {
        check_mapping(volume, catalog.as_ref(), diagnostics);
    }
    let names = SectionNames {
        plans: draft.plans.iter().map(|p| p.value.name.as_str()).collect(),
        classes: draft.io_classes.iter().map(|c| &c.value).collect(),
        nodes: draft.nodes.iter().map(|n| n.value.name.as_str()).collect(),
    };
    let mut locations = Vec::new();
    let resolve = |v| resolve_volume(v, &names, &mut locations, diagnostics);
    let volumes = draft.volumes.into_iter().map(resolve).collect();
    check_overlaps(locations, diagnostics);
    GatewayConfig {
        host: draft.host.unwrap_or_default().value,
        fleet,
        catalog,
        plan_service: draft.plan_service,
        plans: draft.plans.into_iter().map(|p| p.value).collect(),
        io_classes: draft.io_classes.into_iter().map(|c| c.value).collect(),
        volumes,
        nodes: draft.nodes.into_iter().map(|n| n.value).collect(),
    }
}

fn check_required_directives(sections: &[OpenedSection], diagnostics: &mut Diagnostics) {
    for section in sections {
        for name in section.kind.required_directives() {
            if !section.directives.contains(*name) {
                diagnostics.add(
                    section.position,
                    format!("`{name}` in this section"),
                    "none",
                );
            }
        }
    }
}

fn check_required_sections(draft: &Draft, diagnostics: &mut Diagnostics) {
    for (keyword, is_there) in [
        ("host", draft.host.is_some()),
        ("fleet", draft.fleet.is_some()),
        ("plan", !draft.plans.is_empty()),
        ("group", !draft.io_classes.is_empty()),
        ("volume", !draft.volumes.is_empty()),
        ("node", !draft.nodes.is_empty()),
    ] {
        if !is_there {
            let start = Position { line: 1, column: 1 };
            diagnostics.add(start, format!("a section `{keyword}`"), "none in the file");
        }
    }
}

fn check_unique_names(draft: &Draft, diagnostics: &mut Diagnostics) {
    check_unique(
        diagnostics,
        "plan",
        draft
            .plans
            .iter()
            .map(|p| (p.position, p.value.name.as_str())),
    );
    check_unique(
        diagnostics,
        "group",
        draft
            .io_classes
            .iter()
            .map(|c| (c.position, c.value.name.as_str())),
    );
    check_unique(
        diagnostics,
        "node",
        draft
            .nodes
            .iter()
            .map(|n| (n.position, n.value.name.as_str())),
    );
    check_unique(
        diagnostics,
        "volume",
        draft
            .volumes
            .iter()
            .map(|v| (v.position, v.volume.name.as_str())),
    );
    let luns: Vec<String> = draft
        .volumes
        .iter()
        .map(|v| v.volume.lun.to_string())
        .collect();
    let positions = draft.volumes.iter().map(|v| v.position);
    check_unique(
        diagnostics,
        "lun",
        positions.zip(luns.iter().map(String::as_str)),
    );
}

fn check_unique<'a>(
    diagnostics: &mut Diagnostics,
    kind: &str,
    names: impl Iterator<Item = (Position, &'a str)>,
) {
    let mut seen: Vec<(&str, Position)> = Vec::new();
    for (position, name) in names {
        if let Some((_, first)) = seen.iter().find(|s| s.0 == name) {
            let expected = format!("a {kind} other than that of line {}", first.line);
            diagnostics.add(position, expected, format!("`{name}` again"));
        } else {
            seen.push((name, position));
        }
    }
}

fn check_classes(classes: &[Located<IoClass>], diagnostics: &mut Diagnostics) {
    for Located {
        position,
        value: class,
    } in classes
    {
        if class.deadline > 0 && class.latency_objective > class.deadline {
            diagnostics.add(
                *position,
                "a goal no longer than the hard limit",
                "a longer one",
            );
        }
    }
}

fn check_plans(plans: &[Located<Plan>], diagnostics: &mut Diagnostics) {
    for Located {
        position,
        value: plan,
    } in plans
    {
        if plan.rate_limit > 0.0 && plan.reserved_rate > plan.rate_limit {
            diagnostics.add(
                *position,
                "a reserve no higher than the limit",
                "a higher one",
            );
        }
    }
}

fn check_unit_sizes(fleet: &Fleet, position: Position, diagnostics: &mut Diagnostics) {
    if fleet.hosts > 0 && fleet.max_io_units < fleet.mean_io_units {
        diagnostics.add(
            position,
            "largest-units of at least mean-units",
            fleet.max_io_units.to_string(),
        );
    }
}

fn resolve_catalog(
    draft: DraftCatalog,
    classes: &[Located<IoClass>],
    diagnostics: &mut Diagnostics,
) -> Catalog {
    let mut catalog = draft.catalog;
    if let Some(token) = draft.copy_class {
        let names = classes.iter().map(|c| c.value.name.as_str());
        catalog.copy_class = resolve("group", &token, names, diagnostics);
        // A copy that is interrupted is repeated, to another place.
        let is_repeatable = |c: &IoClass| c.idempotency == Idempotency::Idempotent && !c.ordered;
        if !classes
            .get(catalog.copy_class)
            .is_some_and(|c| is_repeatable(&c.value))
        {
            let found = format!("`{}`", token.text);
            diagnostics.add(
                token.position,
                "an idempotent group that is not ordered",
                found,
            );
        }
    }
    catalog
}

/// Checks that a volume is either mapped or has extents, and that it fits the catalog if it is mapped.
fn check_mapping(draft: &DraftVolume, catalog: Option<&Catalog>, diagnostics: &mut Diagnostics) {
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
            let expected = format!("blocks in extents of {}", c.extent_blocks);
            diagnostics.add(*position, expected, volume.block_count.to_string());
        }
        Some(_) => {}
    }
    if volume.lun >= FIRST_SNAPSHOT_LUN {
        let expected = "a LUN below 1024, since snapshots and clones have those above";
        diagnostics.add(*position, expected, volume.lun.to_string());
    }
}

/// What sections can refer to, in the order of their indices.
struct SectionNames<'a> {
    plans: Vec<&'a str>,
    classes: Vec<&'a IoClass>,
    nodes: Vec<&'a str>,
}

/// The index of a name; 0 if there is none, which is reported.
fn resolve<'a>(
    kind: &str,
    token: &Token,
    mut names: impl Iterator<Item = &'a str>,
    diagnostics: &mut Diagnostics,
) -> usize {
    let index = names.position(|name| name == token.text);
    if index.is_none() {
        let found = format!("`{}`", token.text);
        diagnostics.add(
            token.position,
            format!("the name of a {kind} in this file"),
            found,
        );
    }
    index.unwrap_or(0)
}

/// Blocks of a node that an extent uses.
struct ExtentLocation {
    node: usize,
    first_block: u64,
    block_count: u64,
    position: Position,
}

fn resolve_volume(
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

/// The extents in the order of their blocks, which have no gap and no overlap.
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

/// Two extents on the same blocks of a node would be two addresses of the same data.
fn check_overlaps(mut locations: Vec<ExtentLocation>, diagnostics: &mut Diagnostics) {
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
    let (first_block, last_block) = range.unwrap_or((0, u64::MAX));
    if range.is_some() && last_block >= block_count && block_count > 0 {
        diagnostics.add(
            position,
            format!("blocks up to {}", block_count - 1),
            last_block.to_string(),
        );
    }
    Rule {
        direction,
        first_block,
        last_block,
        io_class,
        blocks_per_key,
    }
}

/// Checks that the rules of a volume leave no read and no write without a class.
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
