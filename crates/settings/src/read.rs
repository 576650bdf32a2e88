//! From text to a draft: every directive read, references still by name.
use crate::config::{
    Catalog, Direction, Effect, Extent, Fleet, Host, IoClass, Node, Plan, PlanService, Volume,
};
use crate::lines::{Arguments, Diagnostics, Position, Token, tokenize};
use mallowseam_fleet::config::{FleetConfig, UncheckedFleetConfig};
use std::collections::HashSet;

#[derive(Default)]
pub(crate) struct Draft {
    pub host: Option<(Position, Host)>,
    pub fleet: Option<(Position, Fleet)>,
    pub catalog: Option<(Position, Catalog, Option<Token>)>,
    pub tariffs: Option<(Position, PlanService)>,
    pub plans: Vec<(Position, Plan)>,
    pub groups: Vec<(Position, IoClass)>,
    pub volumes: Vec<DraftVolume>,
    pub nodes: Vec<(Position, Node)>,
    /// The directives that stood in each section, by where the section opens.
    pub seen: Vec<(Position, &'static str, HashSet<String>)>,
}

#[derive(Default)]
pub(crate) struct DraftVolume {
    pub at: Position,
    pub volume: Volume,
    pub plan: Option<Token>,
    pub extents: Vec<(Extent, Token)>,
    pub rules: Vec<DraftRule>,
}

pub(crate) struct DraftRule {
    pub direction: Direction,
    /// First and last block; none: all.
    pub range: Option<(u64, u64)>,
    pub group: Token,
    pub key: u64,
    pub at: Position,
}

#[derive(Clone, Copy, PartialEq)]
enum Section {
    None,
    /// One that cannot be told: its lines are read over.
    Lost,
    Host,
    Fleet,
    Catalog,
    PlanService,
    Plan,
    IoClass,
    Volume,
    Node,
}

const SECTIONS: &str = "a section: host, fleet, catalog, tariffs, plan, group, volume or node";
const MANY: [&str; 2] = ["extent", "rule"];
const BLOCK: &str = "a block number";
const NUMBER: &str = "a number from 0 up";

pub(crate) fn read(text: &str, problems: &mut Diagnostics) -> Draft {
    let mut draft = Draft::default();
    let mut section = Section::None;
    for (i, line) in text.lines().enumerate() {
        let words = tokenize(i + 1, line, problems);
        let Some(first) = words.first() else { continue };
        if line.starts_with(char::is_whitespace) {
            match section {
                Section::None => problems.add(first.position, SECTIONS, format!("`{}`", first.text)),
                Section::Lost => {}
                _ => directive(&mut draft, section, &words, problems),
            }
        } else {
            section = open(&mut draft, &words, problems);
        }
    }
    draft
}

fn open(draft: &mut Draft, words: &[Token], problems: &mut Diagnostics) -> Section {
    let at = words[0].position;
    let kind = words[0].text.as_str();
    let mut args = Arguments::new(words, problems);
    let (section, kind) = match kind {
        "host" => (Section::Host, "host"),
        "fleet" => (Section::Fleet, "fleet"),
        "catalog" => (Section::Catalog, "catalog"),
        "tariffs" => (Section::PlanService, "tariffs"),
        "plan" => (Section::Plan, "plan"),
        "group" => (Section::IoClass, "group"),
        "volume" => (Section::Volume, "volume"),
        "node" => (Section::Node, "node"),
        other => {
            problems.add(at, SECTIONS, format!("`{other}`"));
            return Section::Lost;
        }
    };
    let name = if matches!(section, Section::Fleet | Section::Catalog | Section::PlanService) {
        String::new()
    } else {
        let Some(name) = args.name("a name of letters, digits and -_.:") else { return Section::Lost };
        name.text
    };
    args.expect_end();
    let twice = match section {
        Section::Host => draft.host.is_some(),
        Section::Fleet => draft.fleet.is_some(),
        Section::Catalog => draft.catalog.is_some(),
        Section::PlanService => draft.tariffs.is_some(),
        _ => false,
    };
    if twice {
        problems.add(at, format!("one section `{kind}`"), "a second one");
        return Section::Lost;
    }
    draft.seen.push((at, kind, HashSet::new()));
    match section {
        Section::Host => draft.host = Some((at, Host { name, ..Host::default() })),
        Section::Fleet => draft.fleet = Some((at, Fleet::default())),
        Section::Catalog => draft.catalog = Some((at, Catalog::default(), None)),
        Section::PlanService => draft.tariffs = Some((at, PlanService::default())),
        Section::Plan => {
            draft.plans.push((at, Plan { name, weight: 1.0, priority_factor: 1.0, ..Plan::default() }));
        }
        Section::IoClass => {
            draft.groups.push((at, IoClass { name, priority_weight: 1.0, ..IoClass::default() }))
        }
        Section::Volume => {
            let volume = Volume { name, ..Volume::default() };
            draft.volumes.push(DraftVolume { at, volume, ..DraftVolume::default() });
        }
        Section::Node => {
            let shard = draft.nodes.len() as u32;
            draft.nodes.push((at, Node { name, shard, ..Node::default() }));
        }
        Section::None | Section::Lost => {}
    }
    section
}

/// Puts a value in its place if it could be read.
fn set<T>(place: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *place = value;
    }
}

fn directive(draft: &mut Draft, section: Section, words: &[Token], problems: &mut Diagnostics) {
    let name = words[0].text.clone();
    let (opened, kind, seen) = draft.seen.last_mut().expect("a section is open");
    let (opened, kind) = (*opened, *kind);
    if !MANY.contains(&name.as_str()) && !seen.insert(name.clone()) {
        let found = "a second one";
        problems.add(
            words[0].position,
            format!("`{name}` once in the section of line {}", opened.line),
            found,
        );
        return;
    }
    seen.insert(name.clone());
    let mut args = Arguments::new(words, problems);
    let known = match section {
        Section::Host => host(&mut draft.host.as_mut().expect("open").1, &name, &mut args),
        Section::Fleet => fleet(&mut draft.fleet.as_mut().expect("open").1, &name, &mut args),
        Section::Catalog => catalog(draft.catalog.as_mut().expect("open"), &name, &mut args),
        Section::PlanService => tariffs(&mut draft.tariffs.as_mut().expect("open").1, &name, &mut args),
        Section::Plan => plan(&mut draft.plans.last_mut().expect("open").1, &name, &mut args),
        Section::IoClass => group(&mut draft.groups.last_mut().expect("open").1, &name, &mut args),
        Section::Volume => volume(draft.volumes.last_mut().expect("open"), &name, &mut args),
        Section::Node => node(&mut draft.nodes.last_mut().expect("open").1, &name, &mut args),
        Section::None | Section::Lost => Err(""),
    };
    match known {
        Ok(()) => args.expect_end(),
        Err(list) => problems.add(
            words[0].position,
            format!("a directive of section `{kind}` ({list})"),
            format!("`{name}`"),
        ),
    }
}

type Known = Result<(), &'static str>;

fn host(host: &mut Host, name: &str, args: &mut Arguments) -> Known {
    match name {
        "listen" => host.listen = args.address("an address and port"),
        "target" => set(&mut host.target, args.name("an iSCSI name").map(|w| w.text)),
        "control" => host.control_socket = args.text("a path").map(Into::into),
        "node-list" => {
            if !args.accept("static") {
                host.endpoint_service = args.address("an address and port, or static");
            }
        }
        "follow" => host.plan_service = args.address("an address and port"),
        "kept-plans" => host.plan_cache_path = args.text("a path").map(Into::into),
        "kept-list" => host.endpoint_cache_path = args.text("a path").map(Into::into),
        "window" => set(&mut host.command_window, args.integer("1 to 1024", 1, 1024).map(|n| n as u32)),
        "connections" => {
            set(&mut host.max_connections, args.integer("1 to 65536", 1, 65536).map(|n| n as u32))
        }
        "longest" => set(&mut host.max_transfer_bytes, args.size("a size such as 1MiB")),
        "digests" => {
            if !args.accept("none") {
                while args.has_more() {
                    let which = args.value("header, data or none", |w| match w {
                        "header" => Some(true),
                        "data" => Some(false),
                        _ => None,
                    });
                    host.header_digest |= which == Some(true);
                    host.data_digest |= which == Some(false);
                }
            }
        }
        "seed" => host.seed = args.integer("a whole number", 0, u64::MAX),
        "fleet" => host.fleet = fleet_membership(&host.name, args),
        _ => {
            return Err(
                "listen, target, control, node-list, kept-list, follow, kept-plans, window, connections, longest, \
                 digests, seed, fleet",
            );
        }
    }
    Ok(())
}

/// A host's place in its fleet's view: the fleet's name, then what is told of it.
fn fleet_membership(host: &str, args: &mut Arguments) -> Option<FleetConfig> {
    let mut config = UncheckedFleetConfig {
        fleet: args.text("the fleet's name")?,
        host: host.to_owned(),
        ..UncheckedFleetConfig::default()
    };
    let address = "an address and port";
    while args.has_more() {
        if args.accept("listen") {
            config.listen = args.address(address);
        } else if args.accept("reached-at") {
            config.advertise_address = args.address(address);
        } else if args.accept("zone") {
            config.zone = args.text("a zone").unwrap_or_default();
        } else if args.accept("seed") {
            config.seeds.extend(args.address(address));
        } else if args.accept("period") {
            config.period = args.duration("a duration such as 1s").map(|us| us / 1_000);
        } else if args.accept("keep") {
            config.keep = args.duration("a duration such as 1h").map(|us| us / 1_000);
        } else {
            args.value::<()>("listen, reached-at, zone, seed, period or keep", |_| None)?;
        }
    }
    match config.validate() {
        Ok(config) => Some(config),
        Err(wrong) => {
            args.report_conflicts(&wrong.iter().map(ToString::to_string).collect::<Vec<_>>());
            None
        }
    }
}

fn fleet(fleet: &mut Fleet, name: &str, args: &mut Arguments) -> Known {
    let span = "a duration such as 200ms";
    match name {
        "hosts" => set(&mut fleet.hosts, args.integer("1 to 65536", 1, 65536).map(|n| n as u32)),
        "unit" => set(&mut fleet.unit_bytes, args.size("a size such as 4KiB").filter(|n| *n > 0)),
        "mean-units" => set(&mut fleet.mean_units, args.number("a number above 0", 1e-6, 1e9)),
        "largest-units" => set(&mut fleet.max_units, args.number("a number above 0", 1e-6, 1e9)),
        "share-gain" => set(&mut fleet.share_gain, args.percent("a percentage such as 35%")),
        "spare-gain" => set(&mut fleet.spare_gain, args.percent("a percentage such as 10%")),
        "submits" => set(&mut fleet.max_attempts, args.integer("1 to 16", 1, 16).map(|n| n as u32)),
        "come-back" => set(&mut fleet.max_retry_after, args.duration(span)),
        "order-rest" => set(&mut fleet.ordering_cooldown, args.duration(span)),
        "cold" => {
            set(&mut fleet.cold_capacity, args.percent("a percentage: what a cold node can do"));
            set(&mut fleet.warmup_time, args.duration("a duration: until a node is warm"));
            set(&mut fleet.overload_multiple, args.number("a multiple from 1 up", 1.0, 1e6));
            set(&mut fleet.overload_window, args.duration("a duration: within which it falls"));
            set(&mut fleet.cold_floor_units, args.number("units that it always bears", 0.0, 1e9));
        }
        "further" => {
            set(&mut fleet.retry_budget_min, args.number("a number of further submits", 0.0, 1e9));
            set(&mut fleet.retry_budget_ratio, args.percent("a percentage of the block I/Os taken"));
            set(&mut fleet.retry_budget_window, args.duration("a duration above 0").filter(|n| *n > 0));
        }
        _ => {
            return Err(
                "hosts, unit, mean-units, largest-units, share-gain, spare-gain, submits, come-back, \
                        order-rest, cold, further",
            );
        }
    }
    Ok(())
}

fn catalog(draft: &mut (Position, Catalog, Option<Token>), name: &str, args: &mut Arguments) -> Known {
    let (_, catalog, copies) = draft;
    match name {
        "listen" => catalog.listen = args.address("an address and port"),
        "store" => set(&mut catalog.store_path, args.text("a path").map(Into::into)),
        "control" => catalog.control_socket = args.text("a path").map(Into::into),
        "extent" => {
            set(&mut catalog.extent_blocks, args.integer("a number of blocks from 1 to 65536", 1, 65536))
        }
        "copies" => *copies = args.name("the name of a group"),
        _ => return Err("listen, store, control, extent, copies"),
    }
    Ok(())
}

fn tariffs(tariffs: &mut PlanService, name: &str, args: &mut Arguments) -> Known {
    match name {
        "listen" => tariffs.listen = args.address("an address and port"),
        "store" => set(&mut tariffs.store_path, args.text("a path").map(Into::into)),
        "control" => tariffs.control_socket = args.text("a path").map(Into::into),
        _ => return Err("listen, store, control"),
    }
    Ok(())
}

fn plan(plan: &mut Plan, name: &str, args: &mut Arguments) -> Known {
    let rate = "units a second such as 20/s";
    match name {
        "usual" => set(&mut plan.usual_rate, args.rate(rate)),
        "reserve" => set(&mut plan.reserved_rate, args.rate(rate)),
        "limit" => {
            set(&mut plan.rate_limit, args.rate(rate));
            let burst = if args.accept("burst") { args.number("units at once", 0.0, 1e12) } else { None };
            if burst.is_none() {
                args.value::<()>("burst UNITS", |_| None);
            }
            set(&mut plan.burst_units, burst);
        }
        "weight" => set(&mut plan.weight, args.number(NUMBER, 0.0, 1e6)),
        "price" => set(&mut plan.priority_factor, args.number(NUMBER, 0.0, 1e6)),
        _ => return Err("usual, reserve, limit, weight, price"),
    }
    Ok(())
}

fn group(group: &mut IoClass, name: &str, args: &mut Arguments) -> Known {
    match name {
        "effect" => set(
            &mut group.effect,
            args.value("idempotent or side-effecting", |w| match w {
                "idempotent" => Some(Effect::Idempotent),
                "side-effecting" => Some(Effect::NonIdempotent),
                _ => None,
            }),
        ),
        "goal" => set(&mut group.latency_objective, args.duration("a duration such as 200ms")),
        "hard-limit" => set(&mut group.deadline, args.duration("a duration such as 2s")),
        "gain" => set(&mut group.priority_weight, args.number(NUMBER, 0.0, 1e6)),
        "late-gain" => set(&mut group.late_weight_ratio, args.percent("a percentage such as 15%")),
        "ordered" => group.ordered = true,
        _ => return Err("effect, goal, hard-limit, gain, late-gain, ordered"),
    }
    Ok(())
}

fn volume(draft: &mut DraftVolume, name: &str, args: &mut Arguments) -> Known {
    let volume = &mut draft.volume;
    match name {
        "lun" => set(&mut volume.lun, args.integer("0 to 16383", 0, 16383).map(|n| n as u16)),
        "plan" => draft.plan = args.name("the name of a plan"),
        "blocks" => set(&mut volume.block_count, args.integer("a number of blocks above 0", 1, 1 << 50)),
        "block-size" => {
            let size = args.value("512B or 4KiB", |w| match w {
                "512B" => Some(512),
                "4KiB" => Some(4096),
                _ => None,
            });
            set(&mut volume.block_size, size);
        }
        "mapped" => volume.mapped = true,
        "hosts" => set(&mut volume.host_count, args.integer("1 to 65536", 1, 65536).map(|n| n as u32)),
        "extent" => {
            let first = args.integer(BLOCK, 0, 1 << 50);
            let blocks = args.integer("a number of blocks above 0", 1, 1 << 50);
            let node = args.name("the name of a node");
            let node_first = if args.accept("at") { args.integer(BLOCK, 0, 1 << 50) } else { None };
            if node_first.is_none() {
                args.value::<()>("at BLOCK", |_| None);
            }
            if let (Some(first), Some(blocks), Some(node), Some(node_first)) =
                (first, blocks, node, node_first)
            {
                draft.extents.push((
                    Extent { first_block: first, block_count: blocks, node: 0, first_node_block: node_first },
                    node,
                ));
            }
        }
        "rule" => {
            let at = args.position();
            let direction = args.value("read, write or any", |w| match w {
                "read" => Some(Direction::Read),
                "write" => Some(Direction::Write),
                "any" => Some(Direction::Any),
                _ => None,
            });
            let range = if args.accept("blocks") {
                args.value("FIRST-LAST", |w| {
                    let (first, last) = w.split_once('-')?;
                    let range: (u64, u64) = (first.parse().ok()?, last.parse().ok()?);
                    (range.0 <= range.1).then_some(range)
                })
            } else {
                None
            };
            let group = args.name("the name of a group");
            let key =
                if args.accept("key") { args.integer("blocks of one key", 1, 1 << 50) } else { Some(0) };
            if let (Some(direction), Some(group), Some(key)) = (direction, group, key) {
                draft.rules.push(DraftRule { direction, range, group, key, at });
            }
        }
        _ => return Err("lun, plan, blocks, block-size, hosts, extent or mapped, rule"),
    }
    Ok(())
}

fn node(node: &mut Node, name: &str, args: &mut Arguments) -> Known {
    match name {
        "address" => node.address = args.address("an address and port"),
        "target" => set(&mut node.target, args.name("an iSCSI name").map(|w| w.text)),
        "lun" => set(&mut node.lun, args.integer("0 to 16383", 0, 16383).map(|n| n as u16)),
        "zone" => set(&mut node.zone, args.name("a name").map(|w| w.text)),
        "shard" => set(&mut node.shard, args.integer("0 to 65535", 0, 65535).map(|n| n as u32)),
        _ => return Err("address, target, lun, zone, shard"),
    }
    Ok(())
}
