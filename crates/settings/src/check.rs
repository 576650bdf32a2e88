//! From a draft to a sound site: what is missing, what refers to nothing, what contradicts.
use crate::config::{Direction, GatewayConfig, Rule, Volume};
use crate::lines::{Diagnostics, Position, Token};
use crate::read::{Draft, DraftRule, DraftVolume};

/// What each kind of section cannot do without.
const NEEDED: [(&str, &[&str]); 8] = [
    ("host", &["listen", "target", "node-list", "window", "connections", "longest"]),
    ("fleet", &["hosts", "unit", "mean-units", "largest-units", "submits"]),
    ("catalog", &["listen", "store", "extent", "copies"]),
    ("tariffs", &["listen", "store"]),
    ("plan", &[]),
    ("group", &["effect", "goal", "hard-limit"]),
    ("volume", &["lun", "plan", "blocks", "block-size", "hosts", "rule"]),
    ("node", &["address", "target"]),
];

pub(crate) fn check(draft: Draft, problems: &mut Diagnostics) -> GatewayConfig {
    let end = Position { line: 1, column: 1 };
    for (at, kind, seen) in &draft.seen {
        let needed = NEEDED.iter().find(|n| n.0 == *kind).map_or(&[][..], |n| n.1);
        for name in needed.iter().filter(|n| !seen.contains(**n)) {
            problems.add(*at, format!("`{name}` in this section"), "none");
        }
    }
    for (kind, there) in [
        ("host", draft.host.is_some()),
        ("fleet", draft.fleet.is_some()),
        ("plan", !draft.plans.is_empty()),
        ("group", !draft.groups.is_empty()),
        ("volume", !draft.volumes.is_empty()),
        ("node", !draft.nodes.is_empty()),
    ] {
        if !there {
            problems.add(end, format!("a section `{kind}`"), "none in the file");
        }
    }
    once(problems, "plan", draft.plans.iter().map(|p| (p.0, p.1.name.as_str())));
    once(problems, "group", draft.groups.iter().map(|g| (g.0, g.1.name.as_str())));
    once(problems, "node", draft.nodes.iter().map(|n| (n.0, n.1.name.as_str())));
    once(problems, "volume", draft.volumes.iter().map(|v| (v.at, v.volume.name.as_str())));
    let luns: Vec<String> = draft.volumes.iter().map(|v| v.volume.lun.to_string()).collect();
    once(problems, "lun", draft.volumes.iter().zip(&luns).map(|(v, lun)| (v.at, lun.as_str())));
    for (at, group) in &draft.groups {
        if group.deadline > 0 && group.latency_objective > group.deadline {
            problems.add(*at, "a goal no longer than the hard limit", "a longer one");
        }
    }
    for (at, plan) in &draft.plans {
        if plan.rate_limit > 0.0 && plan.reserved_rate > plan.rate_limit {
            problems.add(*at, "a reserve no higher than the limit", "a higher one");
        }
    }
    let (at, fleet) = draft.fleet.unwrap_or_default();
    if fleet.hosts > 0 && fleet.max_units < fleet.mean_units {
        problems.add(at, "largest-units of at least mean-units", fleet.max_units.to_string());
    }
    let plans: Vec<&str> = draft.plans.iter().map(|p| p.1.name.as_str()).collect();
    let groups: Vec<(&str, bool)> = draft.groups.iter().map(|g| (g.1.name.as_str(), g.1.ordered)).collect();
    let nodes: Vec<&str> = draft.nodes.iter().map(|n| n.1.name.as_str()).collect();
    let catalog = draft.catalog.map(|(at, mut catalog, copies)| {
        if let Some(word) = copies {
            let names: Vec<&str> = groups.iter().map(|g| g.0).collect();
            catalog.copy_class = find("group", &word, &names, problems);
            // A copy that is cut off is sent again, to a fresh place.
            let fits = draft
                .groups
                .get(catalog.copy_class)
                .is_some_and(|g| g.1.effect == crate::config::Effect::Idempotent && !g.1.ordered);
            if !fits {
                problems.add(
                    word.position,
                    "an idempotent group that is not ordered",
                    format!("`{}`", word.text),
                );
            }
        }
        (at, catalog)
    });
    for v in &draft.volumes {
        let (extents, mapped) = (!v.extents.is_empty(), v.volume.mapped);
        if extents == mapped {
            let found = if mapped { "both" } else { "neither" };
            problems.add(v.at, "either `extent` or `mapped` in this section", found);
        }
        match &catalog {
            None if mapped => problems.add(v.at, "a section `catalog`, since the volume is mapped", "none"),
            Some((_, c))
                if mapped && c.extent_blocks > 0 && !v.volume.block_count.is_multiple_of(c.extent_blocks) =>
            {
                let expected = format!("blocks in extents of {}", c.extent_blocks);
                problems.add(v.at, expected, v.volume.block_count.to_string());
            }
            _ => {}
        }
        if mapped && v.volume.lun >= 1024 {
            problems.add(
                v.at,
                "a LUN below 1024, since snapshots and clones have those above",
                v.volume.lun.to_string(),
            );
        }
    }
    let mut places = Vec::new();
    let mut volumes = Vec::new();
    for v in draft.volumes {
        volumes.push(volume(v, &plans, &groups, &nodes, &mut places, problems));
    }
    // Two runs on the same blocks of a node would be two names of the same data.
    places.sort_by_key(|(node, first, ..): &(usize, u64, u64, Position)| (*node, *first));
    for pair in places.windows(2) {
        let ((a, first, len, _), (b, second, _, at)) = (&pair[0], &pair[1]);
        if a == b && first + len > *second {
            problems.add(*at, "blocks of the node that no other extent uses", format!("block {second}"));
        }
    }
    GatewayConfig {
        host: draft.host.unwrap_or_default().1,
        fleet,
        catalog: catalog.map(|c| c.1),
        plan_service: draft.tariffs.map(|t| t.1),
        plans: draft.plans.into_iter().map(|p| p.1).collect(),
        io_classes: draft.groups.into_iter().map(|g| g.1).collect(),
        volumes,
        nodes: draft.nodes.into_iter().map(|n| n.1).collect(),
    }
}

fn once<'a>(problems: &mut Diagnostics, kind: &str, names: impl Iterator<Item = (Position, &'a str)>) {
    let mut seen: Vec<(&str, Position)> = Vec::new();
    for (at, name) in names {
        if let Some((_, first)) = seen.iter().find(|s| s.0 == name) {
            let expected = format!("a {kind} other than that of line {}", first.line);
            problems.add(at, expected, format!("`{name}` again"));
        } else {
            seen.push((name, at));
        }
    }
}

fn find(kind: &str, word: &Token, names: &[&str], problems: &mut Diagnostics) -> usize {
    let found = names.iter().position(|n| *n == word.text);
    if found.is_none() {
        problems.add(word.position, format!("the name of a {kind} in this file"), format!("`{}`", word.text));
    }
    found.unwrap_or(0)
}

fn volume(
    draft: DraftVolume,
    plans: &[&str],
    groups: &[(&str, bool)],
    nodes: &[&str],
    places: &mut Vec<(usize, u64, u64, Position)>,
    problems: &mut Diagnostics,
) -> Volume {
    let mut volume = draft.volume;
    if let Some(plan) = &draft.plan {
        volume.plan = find("plan", plan, plans, problems);
    }
    let mut extents: Vec<_> = draft.extents;
    extents.sort_by_key(|e| e.0.first_block);
    let mut next = 0;
    for (extent, node) in &mut extents {
        extent.node = find("node", node, nodes, problems);
        places.push((extent.node, extent.first_node_block, extent.block_count, node.position));
        if extent.first_block != next {
            problems.add(
                node.position,
                format!("an extent from block {next} on"),
                extent.first_block.to_string(),
            );
        }
        next = extent.first_block + extent.block_count;
    }
    if volume.block_count > 0 && next != volume.block_count && !extents.is_empty() {
        problems.add(draft.at, format!("extents of {} blocks in all", volume.block_count), next.to_string());
    }
    volume.extents = extents.into_iter().map(|e| e.0).collect();
    let names: Vec<&str> = groups.iter().map(|g| g.0).collect();
    for DraftRule { direction, range, group, key, at } in draft.rules {
        let group = find("group", &group, &names, problems);
        if groups.get(group).is_some_and(|g| g.1) && key == 0 {
            problems.add(at, "`key BLOCKS`, since the group is ordered", "none");
        }
        let (first, last) = range.unwrap_or((0, u64::MAX));
        if range.is_some() && last >= volume.block_count && volume.block_count > 0 {
            problems.add(at, format!("blocks up to {}", volume.block_count - 1), last.to_string());
        }
        volume.rules.push(Rule {
            direction,
            first_block: first,
            last_block: last,
            io_class: group,
            blocks_per_key: key,
        });
    }
    for direction in [Direction::Read, Direction::Write] {
        let whole = |r: &&Rule| {
            (r.direction == direction || r.direction == Direction::Any)
                && r.first_block == 0
                && (r.last_block == u64::MAX || r.last_block + 1 >= volume.block_count)
        };
        if !volume.rules.is_empty() && !volume.rules.iter().any(|r| whole(&r)) {
            let word = if direction == Direction::Read { "read" } else { "write" };
            problems.add(draft.at, format!("a rule for every {word}, of all blocks"), "none");
        }
    }
    volume
}
