//! Parser of the directives of a script.
use super::{CatalogScenario, Scenario, faults};
use crate::arguments::{DURATION, cold_start, node_option};
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_settings::{Arguments, Diagnostics, Position, tokenize};

const DIRECTIVES: &str =
    "day, hosts, nodes, cold, clients, list-lag, kept-list, digests, catalog, tariffs, at or site";

/// Parses the script `text`, which diagnostics call `file`.
///
/// # Errors
/// Diagnostics for all mistakes in the script.
pub fn parse(file: &str, text: &str) -> Result<Scenario, Diagnostics> {
    let mut diagnostics = Diagnostics::new(file);
    let mut scenario = default_scenario(file);
    for (i, line) in text.lines().enumerate() {
        let words = tokenize(i + 1, line, &mut diagnostics);
        let Some(first) = words.first() else { continue };
        if first.text == "site" {
            break;
        }
        let position = first.position;
        let name = first.text.clone();
        let mut args = Arguments::new(&words, &mut diagnostics);
        if directive(&mut scenario, &name, &mut args) {
            args.expect_end();
        } else {
            diagnostics.add(position, DIRECTIVES, format!("`{name}`"));
        }
    }
    // The sections keep the line numbers that they have in the script.
    let start = text.lines().take_while(|l| l.trim() != "site").count() + 1;
    scenario.config_sections = text.lines().skip(start).collect::<Vec<_>>().join("\n");
    check_required(&scenario, &mut diagnostics);
    scenario.events.sort_by_key(|e| e.at);
    if diagnostics.is_empty() {
        Ok(scenario)
    } else {
        Err(diagnostics.sorted())
    }
}

fn default_scenario(name: &str) -> Scenario {
    Scenario {
        name: name.to_owned(),
        duration: 0,
        hosts: 0,
        nodes: 0,
        model: ServiceModel::warm(1, 4_000.0, 32),
        clients: 0,
        command_rate: 0.0,
        write_fraction: 0.0,
        list_lag: 0,
        cached_list: true,
        digests: false,
        catalog: None,
        plan_change_interval: None,
        events: Vec::new(),
        config_sections: String::new(),
    }
}

fn check_required(scenario: &Scenario, diagnostics: &mut Diagnostics) {
    let top = Position { line: 1, column: 1 };
    for (name, present) in [
        ("day", scenario.duration > 0),
        ("hosts", scenario.hosts > 0),
        ("nodes", scenario.nodes > 0),
        ("clients", scenario.clients > 0),
    ] {
        if !present {
            diagnostics.add(top, format!("`{name}` in the script"), "none");
        }
    }
}

/// Reads one directive. Returns whether the directive is known.
fn directive(scenario: &mut Scenario, name: &str, args: &mut Arguments) -> bool {
    match name {
        "day" => scenario.duration = args.duration(DURATION).unwrap_or(1),
        "hosts" => scenario.hosts = args.integer("1 to 64", 1, 64).unwrap_or(1) as u32,
        "nodes" => nodes(scenario, args),
        "cold" => cold_start(&mut scenario.model, args),
        "clients" => clients(scenario, args),
        "list-lag" => scenario.list_lag = args.duration(DURATION).unwrap_or(0),
        "kept-list" => scenario.cached_list = yes_or_no(args).unwrap_or(true),
        "digests" => scenario.digests = true,
        "catalog" => {
            let extent = args.integer("blocks of an extent", 1, 65536);
            let copy_class = args.text("the name of a group");
            scenario.catalog = extent
                .zip(copy_class)
                .map(|(extent, copy_class)| CatalogScenario { extent, copy_class });
        }
        "tariffs" => {
            args.value("every", |word| (word == "every").then_some(()));
            scenario.plan_change_interval = args.duration(DURATION).filter(|n| *n > 0);
        }
        "at" => scenario
            .events
            .extend(faults::parse(args).into_iter().flatten()),
        _ => return false,
    }
    true
}

fn nodes(scenario: &mut Scenario, args: &mut Arguments) {
    scenario.nodes = args.integer("1 to 64", 1, 64).unwrap_or(1) as u32;
    while args.has_more() {
        if !node_option(&mut scenario.model, args) {
            args.value::<()>("cores, work or queue", |_| None);
        }
    }
}

fn clients(scenario: &mut Scenario, args: &mut Arguments) {
    scenario.clients = args.integer("1 to 1000", 1, 1000).unwrap_or(1) as u32;
    while args.has_more() {
        if args.accept("rate") {
            scenario.command_rate = args.rate("commands per second such as 5/s").unwrap_or(0.0);
        } else if args.accept("posts") {
            scenario.write_fraction = args.percent("a percentage").unwrap_or(0.0);
        } else {
            args.value::<()>("rate or posts", |_| None);
        }
    }
}

fn yes_or_no(args: &mut Arguments) -> Option<bool> {
    args.value("yes or no", |word| match word {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    })
}
