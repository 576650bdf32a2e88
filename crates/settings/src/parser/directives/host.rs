//! Directives of section `host`.
use super::values::{A_PATH, AN_ADDRESS, AN_ISCSI_NAME, Recognized, set, small_integer, unknown};
use crate::arguments::Arguments;
use crate::config::Host;
use mallowseam_fleet::config::{FleetConfig, UncheckedFleetConfig};

/// Reads a directive of section `host`.
pub(super) fn host(host: &mut Host, name: &str, args: &mut Arguments) -> Recognized {
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
        "memory" => host.client_memory_bytes = args.size("a size such as 256MiB"),
        "digests" => digests(host, args),
        "seed" => host.seed = args.integer("a whole number", 0, u64::MAX),
        "fleet" => host.fleet = fleet_membership(&host.name, args),
        _ => {
            return unknown(
                "listen, target, control, node-list, kept-list, follow, kept-plans, window, connections, longest, \
                 memory, digests, seed, fleet",
            );
        }
    }
    Ok(())
}

/// Reads `digests header data`, `digests header`, `digests data` or `digests none`.
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

/// Reads `fleet NAME` and the options of the fleet membership, which may stand in any order.
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
