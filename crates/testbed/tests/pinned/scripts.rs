//! Pinned plan changes that seeds draw.
use crate::digest::assert_pinned;
use mallowseam_scenarios::builtin;
use mallowseam_scenarios::rehearsal::{Fault, parse};
use mallowseam_testbed::rehearsal::{plan_changes, shared_config};
use std::fmt::Write;

#[test]
fn plan_changes_are_drawn_as_recorded() {
    let scenario = parse(
        "tariff-night",
        builtin::rehearsal("tariff-night").expect("no built-in script of this name"),
    )
    .expect("invalid script");
    let config = shared_config(&scenario).expect("invalid configuration");
    let mut out = String::new();
    for seed in 0..20 {
        for event in plan_changes(&scenario, &config, seed) {
            let Fault::PlanChange(plan, times) = event.fault else {
                panic!("event is not a plan change")
            };
            writeln!(out, "{} {plan} {:x}", event.at, times.to_bits())
                .expect("writing to a string does not fail");
        }
    }
    assert_pinned("plan changes", &out, 0x8fe4_f53a_04fc_7f7d);
}
