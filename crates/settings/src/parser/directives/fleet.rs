//! Directives of section `fleet`, which all hosts have in common.
use super::values::{A_DURATION, Recognized, host_count, set, small_integer, unknown};
use crate::arguments::Arguments;
use crate::config::Fleet;

/// Reads a directive of section `fleet`.
pub(super) fn fleet(fleet: &mut Fleet, name: &str, args: &mut Arguments) -> Recognized {
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
        "come-back" => set(&mut fleet.max_retry_after, args.duration(A_DURATION)),
        "order-rest" => set(&mut fleet.ordering_cooldown, args.duration(A_DURATION)),
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

/// Reads `cold PERCENT DURATION MULTIPLE DURATION UNITS`.
fn slow_start(fleet: &mut Fleet, args: &mut Arguments) {
    set(
        &mut fleet.slow_start_initial_rate,
        args.percent("a percentage: initial rate of slow start"),
    );
    set(
        &mut fleet.slow_start_duration,
        args.duration("a duration: length of slow start"),
    );
    set(
        &mut fleet.overload_multiple,
        args.number("a multiple from 1 up", 1.0, 1e6),
    );
    set(
        &mut fleet.overload_window,
        args.duration("a duration: overload window"),
    );
    set(
        &mut fleet.slow_start_capacity,
        args.number(
            "a number of units that a node in slow start always accepts",
            0.0,
            1e9,
        ),
    );
}

/// Reads `further NUMBER PERCENT DURATION`.
fn retry_budget(fleet: &mut Fleet, args: &mut Arguments) {
    set(
        &mut fleet.retry_budget_min,
        args.number("a number of retries", 0.0, 1e9),
    );
    set(
        &mut fleet.retry_budget_ratio,
        args.percent("a percentage of the admitted block I/Os"),
    );
    set(
        &mut fleet.retry_budget_window,
        args.duration("a duration above 0").filter(|n| *n > 0),
    );
}
