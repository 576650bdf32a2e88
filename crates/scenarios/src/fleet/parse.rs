//! Parser of the directives of a script that describe hosts, nodes, clients and services.
use super::arguments::index_range;
use super::faults::parse_fault;
use super::{IndexRange, InitialList, MembershipScenario, Scenario, VOLUMES_PER_HOST};
use crate::arguments::{DURATION, cold_start, node_option};
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_load::client_load::LoadProfile;
use mallowseam_settings::{Arguments, Diagnostics, Position, tokenize};
use mallowseam_stand_ins::simulated_node::NodeLimits;

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
        let position = first.position;
        let name = first.text.clone();
        let mut args = Arguments::new(&words, &mut diagnostics);
        if directive(&mut scenario, &name, &mut args) {
            args.expect_end();
        } else {
            let known = "day, hosts, limits, zones, nodes, lines, cold, clients, list, view or at";
            diagnostics.add(position, known, format!("`{name}`"));
        }
    }
    check_required(&scenario, &mut diagnostics);
    scenario.load.volumes = scenario.load.volumes.max(VOLUMES_PER_HOST * scenario.hosts);
    scenario.faults.sort_by_key(|fault| fault.at);
    if diagnostics.is_empty() {
        Ok(scenario)
    } else {
        Err(diagnostics.sorted())
    }
}

fn default_scenario(file: &str) -> Scenario {
    Scenario {
        name: file.to_owned(),
        duration: 0,
        hosts: 0,
        initial_list: InitialList::None,
        zones: 1,
        nodes: 0,
        node_model: ServiceModel::warm(1, 20_000.0, 32),
        node_limits: NodeLimits {
            max_connections: 64,
            handshake: 1_000,
            restart_after: 4_000_000,
        },
        nodes_start_cold: false,
        load: LoadProfile {
            operations_per_second: 0.0,
            write_fraction: 0.3,
            volumes: 0,
            skew: 6.0,
            max_retries: 0,
            backs_off: true,
            read_timeout: 1_000_000,
            write_timeout: 2_000_000,
            max_units: 4,
        },
        service_time: 50_000,
        queue_timeout: 1_000_000,
        discovery_lag: 0,
        memory_mb: 32,
        max_descriptors: 256,
        membership: None,
        faults: Vec::new(),
    }
}

fn check_required(scenario: &Scenario, diagnostics: &mut Diagnostics) {
    let top = Position { line: 1, column: 1 };
    for (name, present) in [
        ("day", scenario.duration > 0),
        ("hosts", scenario.hosts > 0),
        ("nodes", scenario.nodes > 0),
        ("clients", scenario.load.operations_per_second > 0.0),
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
        "hosts" => hosts(scenario, args),
        "limits" => {
            scenario.memory_mb = args
                .integer("megabytes from 16 to 65536", 16, 65_536)
                .unwrap_or(32) as u32;
            scenario.max_descriptors = args
                .integer("file descriptors from 64 to 65536", 64, 65_536)
                .unwrap_or(256) as u32;
        }
        "zones" => scenario.zones = args.integer("1 to 16", 1, 16).unwrap_or(1) as u32,
        "nodes" => nodes(scenario, args),
        "lines" => {
            let limits = &mut scenario.node_limits;
            limits.max_connections = args
                .integer("a number of connections from 1 to 65536", 1, 65_536)
                .unwrap_or(1) as usize;
            limits.handshake = args
                .duration("a duration: work of a new connection")
                .unwrap_or(0);
        }
        "cold" => {
            cold_start(&mut scenario.node_model, args);
            scenario.node_limits.restart_after = args
                .duration("a duration: downtime of a collapsed node")
                .unwrap_or(0);
        }
        "clients" => clients(scenario, args),
        "list" => discovery(scenario, args),
        "view" => membership(scenario, args),
        "at" => {
            if let Some(faults) = parse_fault(args) {
                scenario.faults.extend(faults);
            }
        }
        _ => return false,
    }
    true
}

fn hosts(scenario: &mut Scenario, args: &mut Arguments) {
    scenario.hosts = args.integer("1 to 1000", 1, 1_000).unwrap_or(1) as u32;
    if args.accept("known") {
        let list = args.value("none, now, old or ahead", |word| match word {
            "none" => Some(InitialList::None),
            "now" => Some(InitialList::Current),
            "old" => Some(InitialList::Stale),
            "ahead" => Some(InitialList::Ahead),
            _ => None,
        });
        scenario.initial_list = list.unwrap_or(InitialList::None);
    }
}

fn nodes(scenario: &mut Scenario, args: &mut Arguments) {
    scenario.nodes = args.integer("1 to 500", 1, 500).unwrap_or(1) as u32;
    while args.has_more() {
        if args.accept("start-cold") {
            scenario.nodes_start_cold = true;
        } else if !node_option(&mut scenario.node_model, args) {
            args.value::<()>("cores, work, queue or start-cold", |_| None);
        }
    }
}

fn clients(scenario: &mut Scenario, args: &mut Arguments) {
    let load = &mut scenario.load;
    while args.has_more() {
        if args.accept("rate") {
            load.operations_per_second = args
                .rate("block I/Os per second such as 50/s")
                .unwrap_or(0.0);
        } else if args.accept("posts") {
            load.write_fraction = args.percent("a percentage").unwrap_or(0.0);
        } else if args.accept("again") {
            load.max_retries = args
                .integer("a number of retries from 0 to 16", 0, 16)
                .unwrap_or(0) as u32;
        } else if args.accept("at-once") {
            load.backs_off = false;
        } else if args.accept("uneven") {
            load.skew = args
                .number("a multiple from 1 up", 1.0, 1_000.0)
                .unwrap_or(1.0);
        } else {
            args.value::<()>("rate, posts, again, at-once or uneven", |_| None);
        }
    }
}

fn discovery(scenario: &mut Scenario, args: &mut Arguments) {
    while args.has_more() {
        if args.accept("takes") {
            scenario.service_time = args
                .duration("a duration: service time of a poll")
                .unwrap_or(1);
        } else if args.accept("patience") {
            scenario.queue_timeout = args.duration(DURATION).unwrap_or(1);
        } else if args.accept("lag") {
            scenario.discovery_lag = args.duration(DURATION).unwrap_or(0);
        } else {
            args.value::<()>("takes, patience or lag", |_| None);
        }
    }
}

fn membership(scenario: &mut Scenario, args: &mut Arguments) {
    let mut membership = MembershipScenario {
        period: 1_000_000,
        seeds: 3,
        retention: 3_600_000_000,
        participants: IndexRange::ALL,
    };
    while args.has_more() {
        if args.accept("period") {
            membership.period = args.duration(DURATION).unwrap_or(membership.period);
        } else if args.accept("seeds") {
            membership.seeds = args
                .integer("a number of seed hosts from 1 to 32", 1, 32)
                .unwrap_or(1) as u32;
        } else if args.accept("keep") {
            membership.retention = args.duration(DURATION).unwrap_or(membership.retention);
        } else if args.accept("hosts") {
            membership.participants = index_range(args).unwrap_or(membership.participants);
        } else {
            args.value::<()>("period, seeds, keep or hosts", |_| None);
        }
    }
    scenario.membership = Some(membership);
}
