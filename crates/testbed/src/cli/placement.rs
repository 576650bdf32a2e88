//! Subcommands `shares-check` and `shares-day`.
use super::{CommandResult, Finding, program};
use mallowseam_models::exhaustive_placement;
use mallowseam_placement::branch_and_bound::{SolveOutcome, solve};
use mallowseam_placement::problem::Problem;
use mallowseam_testbed::placement_day;

/// Compares the solver's results with those of exhaustive enumeration, on one problem for each consecutive seed.
pub(super) fn check(first_seed: u64, count: u64) -> Finding {
    let mut agree = 0;
    for seed in first_seed..first_seed + count {
        let (nodes, volumes) = exhaustive_placement::draw(seed);
        let expected = exhaustive_placement::enumerate(&nodes, &volumes);
        let found = match Problem::new(nodes, volumes).map(|problem| solve(&problem, u64::MAX)) {
            Ok(SolveOutcome::Optimal(best)) => Some(best.placement.0),
            _ => None,
        };
        if found == expected {
            agree += 1;
        } else {
            println!("seed {seed}: {found:?}, by enumeration {expected:?}");
        }
    }
    println!("agree: {agree} of {count}");
    Finding::from(agree == count)
}

/// Plays the scripted day with each set of weights, and prints their comparison.
pub(super) fn day(seed: u64, seeds: u64) -> CommandResult {
    let report = placement_day::run(seed, seeds, &program())?;
    println!("{}", report.table);
    Ok(Finding::from(report.passed))
}
