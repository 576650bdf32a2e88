//! Directives of sections `plan` and `group`.
use super::values::{A_DURATION, A_NUMBER, A_RATE, Recognized, set, unknown};
use crate::arguments::Arguments;
use crate::config::{Idempotency, IoClass, Plan};

/// Reads a directive of section `plan`.
pub(super) fn plan(plan: &mut Plan, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "usual" => set(&mut plan.usual_rate, args.rate(A_RATE)),
        "reserve" => set(&mut plan.reserved_rate, args.rate(A_RATE)),
        "limit" => {
            set(&mut plan.rate_limit, args.rate(A_RATE));
            let burst = if args.accept("burst") {
                args.number("a number of units", 0.0, 1e12)
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

/// Reads a directive of section `group`.
pub(super) fn io_class(class: &mut IoClass, name: &str, args: &mut Arguments) -> Recognized {
    match name {
        "effect" => {
            let effect = args.value("idempotent or side-effecting", |text| match text {
                "idempotent" => Some(Idempotency::Idempotent),
                "side-effecting" => Some(Idempotency::NonIdempotent),
                _ => None,
            });
            set(&mut class.idempotency, effect);
        }
        "goal" => set(&mut class.latency_objective, args.duration(A_DURATION)),
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
