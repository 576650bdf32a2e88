//! The plan changes that a seed draws.
use crate::digest::pinned;
use mallowseam_scenarios::builtin;
use mallowseam_scenarios::rehearsal::{Fault, parse};
use mallowseam_testbed::rehearsal::{plan_changes, shared_config};
use std::fmt::Write;

#[test]
fn plan_changes_by_the_seed() {
    let scenario = parse(
        "tariff-night",
        builtin::rehearsal("tariff-night").expect("a script"),
    )
    .expect("a sound script");
    let site = shared_config(&scenario).expect("a sound site");
    let mut out = String::new();
    for seed in 0..20 {
        for event in plan_changes(&scenario, &site, seed) {
            let Fault::PlanChange(plan, times) = event.fault else {
                panic!("a change of a plan")
            };
            writeln!(out, "{} {plan} {:x}", event.at, times.to_bits()).expect("memory");
        }
    }
    pinned("plan changes", &out, 0x8fe4_f53a_04fc_7f7d);
}
