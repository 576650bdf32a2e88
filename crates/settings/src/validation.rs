//! Validation of a draft: missing directives and sections, unknown names, and contradictions.
//!
//! - `references`: resolves references to other sections.
//! - `volumes`: validates volumes with their extents and rules.
mod references;
mod volumes;

use crate::config::{Catalog, Fleet, GatewayConfig, Idempotency, IoClass, Plan};
use crate::diagnostics::{Diagnostics, Position};
use crate::parser::{Draft, DraftCatalog, Located, OpenedSection};
use references::{SectionNames, resolve};
use volumes::{check_mapping, check_overlaps, resolve_volume};

/// Validates a draft and adds its errors to the diagnostics. The returned configuration is valid if there are no
/// diagnostics.
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
    for (keyword, is_present) in [
        ("host", draft.host.is_some()),
        ("fleet", draft.fleet.is_some()),
        ("plan", !draft.plans.is_empty()),
        ("group", !draft.io_classes.is_empty()),
        ("volume", !draft.volumes.is_empty()),
        ("node", !draft.nodes.is_empty()),
    ] {
        if !is_present {
            let start = Position { line: 1, column: 1 };
            diagnostics.add(start, format!("a section `{keyword}`"), "none in the file");
        }
    }
}

fn check_unique_names(draft: &Draft, diagnostics: &mut Diagnostics) {
    check_unique(diagnostics, "plan", names(&draft.plans, |p| &p.name));
    check_unique(diagnostics, "group", names(&draft.io_classes, |c| &c.name));
    check_unique(diagnostics, "node", names(&draft.nodes, |n| &n.name));
    let volumes = draft.volumes.iter();
    let volume_names = volumes.map(|v| (v.position, v.volume.name.clone()));
    check_unique(diagnostics, "volume", volume_names);
    let volumes = draft.volumes.iter();
    let luns = volumes.map(|v| (v.position, v.volume.lun.to_string()));
    check_unique(diagnostics, "lun", luns);
}

/// Returns the names of sections with their positions.
fn names<T>(
    sections: &[Located<T>],
    name: impl Fn(&T) -> &String,
) -> impl Iterator<Item = (Position, String)> {
    sections
        .iter()
        .map(move |section| (section.position, name(&section.value).clone()))
}

fn check_unique(
    diagnostics: &mut Diagnostics,
    kind: &str,
    names: impl Iterator<Item = (Position, String)>,
) {
    let mut seen: Vec<(String, Position)> = Vec::new();
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
        // An interrupted copy is repeated, to another location.
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
