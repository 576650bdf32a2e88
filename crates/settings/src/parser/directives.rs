//! The directives of each section. `docs/configuration.md` lists them.
use super::draft::{Draft, DraftCatalog, DraftRule, DraftVolume, SectionKind};
use crate::arguments::Arguments;
use crate::config::{
    Direction, Extent, Fleet, Host, Idempotency, IoClass, Node, Plan, PlanService,
};
use mallowseam_fleet::config::{FleetConfig, UncheckedFleetConfig};

// What diagnostics ask for.
const AN_ADDRESS: &str = "an address and port";
const A_PATH: &str = "a path";
const AN_ISCSI_NAME: &str = "an iSCSI name";
const A_BLOCK: &str = "a block number";
const A_BLOCK_COUNT: &str = "a number of blocks above 0";
const A_NUMBER: &str = "a number from 0 up";
const A_RATE: &str = "units a second such as 20/s";
const A_SPAN: &str = "a duration such as 200ms";

/// Highest block number, and most blocks.
const MAX_BLOCKS: u64 = 1 << 50;
/// Most hosts.
const MAX_HOSTS: u32 = 65_536;
/// Highest logical unit number of SCSI's flat addressing (SAM-5, section 4.7.7.3).
const MAX_LUN: u32 = 16_383;

/// A directive that its section does not have.
pub(super) struct UnknownDirective {
    /// Those that it has.
    pub(super) known: &'static str,
}

type Recognized = Result<(), UnknownDirective>;

fn unknown(known: &'static str) -> Recognized {
    Err(UnknownDirective { known })
}

/// Reads a directive of the section that was opened last.
pub(super) fn read(
    draft: &mut Draft,
    kind: SectionKind,
    name: &str,
    args: &mut Arguments,
) -> Recognized {
    const OPEN: &str = "the section is open";
    match kind {
        SectionKind::Host => host(&mut draft.host.as_mut().expect(OPEN).value, name, args),
        SectionKind::Fleet => fleet(&mut draft.fleet.as_mut().expect(OPEN).value, name, args),
        SectionKind::Catalog => catalog(draft.catalog.as_mut().expect(OPEN), name, args),
        SectionKind::PlanService => {
            plan_service(draft.plan_service.as_mut().expect(OPEN), name, args)
        }
        SectionKind::Plan => plan(&mut draft.plans.last_mut().expect(OPEN).value, name, args),
        SectionKind::IoClass => io_class(
            &mut draft.io_classes.last_mut().expect(OPEN).value,
            name,
            args,
        ),
        SectionKind::Volume => volume(draft.volumes.last_mut().expect(OPEN), name, args),
        SectionKind::Node => node(&mut draft.nodes.last_mut().expect(OPEN).value, name, args),
    }
}

/// Sets a field if its value could be read.
fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// An integer within bounds, both included.
fn small_integer(args: &mut Arguments, expected: &str, min: u32, max: u32) -> Option<u32> {
    args.integer(expected, min.into(), max.into())
        .and_then(|n| n.try_into().ok())
}

fn lun(args: &mut Arguments) -> Option<u16> {
    small_integer(args, "0 to 16383", 0, MAX_LUN).and_then(|n| n.try_into().ok())
}

fn host_count(args: &mut Arguments) -> Option<u32> {
    small_integer(args, "1 to 65536", 1, MAX_HOSTS)
}

fn host(host: &mut Host, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "listen" => host.listen = args.address(AN_ADDRESS),
        "target" => set(&mut host.target, args.name(AN_ISCSI_NAME).map(|t| t.text)),
        "control" => host.control_socket = args.text(A_PATH).map(Into::into),
        "node-list" => {
            if !args.accept("static") {
                host.endpoint_service = args.address("an address and port, or static");
            }
        }
        "follow" => host.plan_service = args.address(AN_ADDRESS),
        "kept-plans" => host.plan_cache_path = args.text(A_PATH).map(Into::into),
        "kept-list" => host.endpoint_cache_path = args.text(A_PATH).map(Into::into),
        "window" => set(
            &mut host.command_window,
            small_integer(args, "1 to 1024", 1, 1024),
        ),
        "connections" => set(
            &mut host.max_connections,
            small_integer(args, "1 to 65536", 1, 65_536),
        ),
        "longest" => set(
            &mut host.max_transfer_bytes,
            args.size("a size such as 1MiB"),
        ),
        "digests" => digests(host, args),
        "seed" => host.seed = args.integer("a whole number", 0, u64::MAX),
        "fleet" => host.fleet = fleet_membership(&host.name, args),
        _ => {
            return unknown(
                "listen, target, control, node-list, kept-list, follow, kept-plans, window, connections, longest, \
                 digests, seed, fleet",
            );
        }
    }
    Ok(())
}

/// `digests header data`, either of them, or `digests none`.
fn digests(host: &mut Host, args: &mut Arguments) {
    if args.accept("none") {
        return;
    }
    while args.has_more() {
        if args.accept("header") {
            host.header_digest = true;
        } else if args.accept("data") {
            host.data_digest = true;
        } else {
            args.reject("header, data or none");
        }
    }
}

/// How a host takes part in the fleet's membership: the fleet's name, then options in any order.
fn fleet_membership(host: &str, args: &mut Arguments) -> Option<FleetConfig> {
    let mut config = UncheckedFleetConfig {
        fleet: args.text("the fleet's name")?,
        host: host.to_owned(),
        ..UncheckedFleetConfig::default()
    };
    while args.has_more() {
        if args.accept("listen") {
            config.listen = args.address(AN_ADDRESS);
        } else if args.accept("reached-at") {
            config.advertise_address = args.address(AN_ADDRESS);
        } else if args.accept("zone") {
            config.zone = args.text("a zone").unwrap_or_default();
        } else if args.accept("seed") {
            config.seeds.extend(args.address(AN_ADDRESS));
        } else if args.accept("period") {
            config.period = args.duration("a duration such as 1s").map(|us| us / 1_000);
        } else if args.accept("keep") {
            config.unreachable_retention =
                args.duration("a duration such as 1h").map(|us| us / 1_000);
        } else {
            args.reject("listen, reached-at, zone, seed, period or keep");
            return None;
        }
    }
    match config.validate() {
        Ok(config) => Some(config),
        Err(errors) => {
            args.report_conflicts(&errors.iter().map(ToString::to_string).collect::<Vec<_>>());
            None
        }
    }
}

fn fleet(fleet: &mut Fleet, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "hosts" => set(&mut fleet.hosts, host_count(args)),
        "unit" => set(
            &mut fleet.unit_bytes,
            args.size("a size such as 4KiB").filter(|n| *n > 0),
        ),
        "mean-units" => set(
            &mut fleet.mean_io_units,
            args.number("a number above 0", 1e-6, 1e9),
        ),
        "largest-units" => set(
            &mut fleet.max_io_units,
            args.number("a number above 0", 1e-6, 1e9),
        ),
        "share-gain" => set(
            &mut fleet.share_weight_factor,
            args.percent("a percentage such as 35%"),
        ),
        "spare-gain" => set(
            &mut fleet.spare_weight_factor,
            args.percent("a percentage such as 10%"),
        ),
        "submits" => set(
            &mut fleet.max_attempts,
            small_integer(args, "1 to 16", 1, 16),
        ),
        "come-back" => set(&mut fleet.max_retry_after, args.duration(A_SPAN)),
        "order-rest" => set(&mut fleet.ordering_cooldown, args.duration(A_SPAN)),
        "cold" => slow_start(fleet, args),
        "further" => retry_budget(fleet, args),
        _ => {
            return unknown(
                "hosts, unit, mean-units, largest-units, share-gain, spare-gain, submits, come-back, \
                 order-rest, cold, further",
            );
        }
    }
    Ok(())
}

fn slow_start(fleet: &mut Fleet, args: &mut Arguments) {
    set(
        &mut fleet.slow_start_initial_rate,
        args.percent("a percentage: what a cold node can do"),
    );
    set(
        &mut fleet.slow_start_duration,
        args.duration("a duration: until a node is warm"),
    );
    set(
        &mut fleet.overload_multiple,
        args.number("a multiple from 1 up", 1.0, 1e6),
    );
    set(
        &mut fleet.overload_window,
        args.duration("a duration: within which it falls"),
    );
    set(
        &mut fleet.slow_start_capacity,
        args.number("units that it always bears", 0.0, 1e9),
    );
}

fn retry_budget(fleet: &mut Fleet, args: &mut Arguments) {
    set(
        &mut fleet.retry_budget_min,
        args.number("a number of further submits", 0.0, 1e9),
    );
    set(
        &mut fleet.retry_budget_ratio,
        args.percent("a percentage of the block I/Os taken"),
    );
    set(
        &mut fleet.retry_budget_window,
        args.duration("a duration above 0").filter(|n| *n > 0),
    );
}

fn catalog(draft: &mut DraftCatalog, name: &str, args: &mut Arguments) -> Recognized {
    let catalog = &mut draft.catalog;
    match name {
        "listen" => catalog.listen = args.address(AN_ADDRESS),
        "store" => set(&mut catalog.store_path, args.text(A_PATH).map(Into::into)),
        "control" => catalog.control_socket = args.text(A_PATH).map(Into::into),
        "extent" => {
            set(
                &mut catalog.extent_blocks,
                args.integer("a number of blocks from 1 to 65536", 1, 65_536),
            );
        }
        "copies" => draft.copy_class = args.name("the name of a group"),
        _ => return unknown("listen, store, control, extent, copies"),
    }
    Ok(())
}

fn plan_service(service: &mut PlanService, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "listen" => service.listen = args.address(AN_ADDRESS),
        "store" => set(&mut service.store_path, args.text(A_PATH).map(Into::into)),
        "control" => service.control_socket = args.text(A_PATH).map(Into::into),
        _ => return unknown("listen, store, control"),
    }
    Ok(())
}

fn plan(plan: &mut Plan, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "usual" => set(&mut plan.usual_rate, args.rate(A_RATE)),
        "reserve" => set(&mut plan.reserved_rate, args.rate(A_RATE)),
        "limit" => {
            set(&mut plan.rate_limit, args.rate(A_RATE));
            let burst = if args.accept("burst") {
                args.number("units at once", 0.0, 1e12)
            } else {
                None
            };
            if burst.is_none() {
                args.reject("burst UNITS");
            }
            set(&mut plan.burst_units, burst);
        }
        "weight" => set(&mut plan.weight, args.number(A_NUMBER, 0.0, 1e6)),
        "price" => set(&mut plan.priority_factor, args.number(A_NUMBER, 0.0, 1e6)),
        _ => return unknown("usual, reserve, limit, weight, price"),
    }
    Ok(())
}

fn io_class(class: &mut IoClass, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "effect" => {
            let effect = args.value("idempotent or side-effecting", |text| match text {
                "idempotent" => Some(Idempotency::Idempotent),
                "side-effecting" => Some(Idempotency::NonIdempotent),
                _ => None,
            });
            set(&mut class.idempotency, effect);
        }
        "goal" => set(&mut class.latency_objective, args.duration(A_SPAN)),
        "hard-limit" => set(&mut class.deadline, args.duration("a duration such as 2s")),
        "gain" => set(&mut class.priority_weight, args.number(A_NUMBER, 0.0, 1e6)),
        "late-gain" => set(
            &mut class.late_weight_ratio,
            args.percent("a percentage such as 15%"),
        ),
        "ordered" => class.ordered = true,
        _ => return unknown("effect, goal, hard-limit, gain, late-gain, ordered"),
    }
    Ok(())
}

fn volume(draft: &mut DraftVolume, name: &str, args: &mut Arguments) -> Recognized {
    let volume = &mut draft.volume;
    match name {
        "lun" => set(&mut volume.lun, lun(args)),
        "plan" => draft.plan = args.name("the name of a plan"),
        "blocks" => set(
            &mut volume.block_count,
            args.integer(A_BLOCK_COUNT, 1, MAX_BLOCKS),
        ),
        "block-size" => {
            let size = args.value("512B or 4KiB", |text| match text {
                "512B" => Some(512),
                "4KiB" => Some(4096),
                _ => None,
            });
            set(&mut volume.block_size, size);
        }
        "mapped" => volume.mapped = true,
        "hosts" => set(&mut volume.host_count, host_count(args)),
        "extent" => draft.extents.extend(extent(args)),
        "rule" => draft.rules.extend(rule(args)),
        _ => return unknown("lun, plan, blocks, block-size, hosts, extent or mapped, rule"),
    }
    Ok(())
}

/// `extent FIRST BLOCKS NODE at NODE-FIRST`, and the name of the node.
fn extent(args: &mut Arguments) -> Option<(Extent, crate::tokens::Token)> {
    let first_block = args.integer(A_BLOCK, 0, MAX_BLOCKS);
    let block_count = args.integer(A_BLOCK_COUNT, 1, MAX_BLOCKS);
    let node = args.name("the name of a node");
    let first_node_block = if args.accept("at") {
        args.integer(A_BLOCK, 0, MAX_BLOCKS)
    } else {
        None
    };
    if first_node_block.is_none() {
        args.reject("at BLOCK");
    }
    let extent = Extent {
        first_block: first_block?,
        block_count: block_count?,
        node: 0,
        first_node_block: first_node_block?,
    };
    Some((extent, node?))
}

/// `rule read|write|any [blocks FIRST-LAST] GROUP [key BLOCKS]`.
fn rule(args: &mut Arguments) -> Option<DraftRule> {
    let position = args.position();
    let direction = args.value("read, write or any", |text| match text {
        "read" => Some(Direction::Read),
        "write" => Some(Direction::Write),
        "any" => Some(Direction::Any),
        _ => None,
    });
    let range = if args.accept("blocks") {
        args.value("FIRST-LAST", parse_range)
    } else {
        None
    };
    let io_class = args.name("the name of a group");
    let blocks_per_key = if args.accept("key") {
        args.integer("blocks of one key", 1, MAX_BLOCKS)
    } else {
        Some(0)
    };
    Some(DraftRule {
        position,
        direction: direction?,
        range,
        io_class: io_class?,
        blocks_per_key: blocks_per_key?,
    })
}

fn parse_range(text: &str) -> Option<(u64, u64)> {
    let (first, last) = text.split_once('-')?;
    let (first, last) = (first.parse().ok()?, last.parse().ok()?);
    (first <= last).then_some((first, last))
}

fn node(node: &mut Node, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "address" => node.address = args.address(AN_ADDRESS),
        "target" => set(&mut node.target, args.name(AN_ISCSI_NAME).map(|t| t.text)),
        "lun" => set(&mut node.lun, lun(args)),
        "zone" => set(&mut node.zone, args.name("a name").map(|t| t.text)),
        "shard" => set(
            &mut node.shard,
            small_integer(args, "0 to 65535", 0, 65_535),
        ),
        _ => return unknown("address, target, lun, zone, shard"),
    }
    Ok(())
}
