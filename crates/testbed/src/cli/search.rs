//! Subcommand `search`: exhaustive checks of small state machines.
use super::Finding;
use mallowseam_models::membership::exhaustive;
use std::time::Instant;

pub(super) fn membership(states: u64, ends_every: u64, ticks: u32) -> Finding {
    let budget = exhaustive::Budget {
        ticks,
        duplicates: 1,
        kills: 1,
        starts: 1,
        partitions: 1,
    };
    let mut passed = true;
    for (name, initial) in exhaustive::initial_states(budget, None) {
        let began = Instant::now();
        let found = mallowseam_models::search::search(&initial, states, ends_every);
        let seconds = began.elapsed().as_secs_f64();
        match found {
            Ok(report) => {
                let coverage = if report.complete {
                    "all"
                } else {
                    "as many as allowed"
                };
                println!(
                    "{name}: {} states ({coverage}), {} steps, depth {}, {seconds:.1} s",
                    report.states, report.steps, report.depth
                );
            }
            Err(counterexample) => {
                println!(
                    "{name}: {} after {:?}",
                    counterexample.violation, counterexample.actions
                );
                passed = false;
            }
        }
    }
    Finding::from(passed)
}
