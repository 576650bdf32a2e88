//! `shares work-out`: finds the best placement, by an exact search for small problems and by local search for others.
use super::error::PlacementError;
use super::problem_file;
use super::units::{data_units, gain_per_second};
use mallowseam_placement::branch_and_bound::{self, SolveOutcome};
use mallowseam_placement::infeasibility::explain;
use mallowseam_placement::limit_split::split_limit;
use mallowseam_placement::local_search::LocalSearch;
use mallowseam_placement::objective::Objective;
use mallowseam_placement::problem::Problem;
use mallowseam_placement::tuning::tune;
use mallowseam_placement::upper_bound::gain_upper_bound;
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum number of steps of the exact search; local search takes over if they do not suffice.
const EXACT_STEPS: u64 = 300_000;
/// Number of moves of the local search between two checks of the elapsed time.
const MOVES_PER_CHECK: u64 = 2_000;
/// Minimum quota of a host, in thousandths of an even quota: hosts never lend that part.
const MIN_QUOTA_THOUSANDTHS: u64 = 250;

/// Solves the problem of a file and returns the answer as the text of an answer file. Local search ends once `within`
/// has elapsed.
pub(crate) fn solve(file: &Path, within: Duration, seed: u64) -> Result<String, PlacementError> {
    let problem = problem_file::read(file)?;
    let began = Instant::now();
    let (found, proven) = match branch_and_bound::solve(&problem, EXACT_STEPS) {
        SolveOutcome::Optimal(best) => (Some(best), true),
        SolveOutcome::Infeasible => return Err(infeasible(&problem)),
        SolveOutcome::StepsExhausted { best: found, .. } => {
            let improved = search_locally(&problem, seed, || began.elapsed() < within);
            (found.into_iter().chain(improved).max(), false)
        }
    };
    let Some(best) = found else {
        return Err(match infeasible(&problem) {
            proof @ PlacementError::Infeasible(_) => proof,
            _ => PlacementError::NotFoundInTime,
        });
    };
    Ok(describe(&problem, &best, proven))
}

/// Returns the best placement that local search finds while `may_continue` returns true.
fn search_locally(
    problem: &Problem,
    seed: u64,
    may_continue: impl Fn() -> bool,
) -> Option<Objective> {
    let mut search = LocalSearch::new(problem, seed);
    search.start_from_current();
    let mut placed = search.place_missing();
    if !placed {
        search = LocalSearch::new(problem, seed);
        placed = search.place_all();
    }
    while placed && may_continue() {
        search.improve(MOVES_PER_CHECK);
    }
    search
        .objective()
        .filter(|_| placed && search.is_feasible())
}

/// Returns the error with the constraints that cannot be met together, and by how much all capacities would have to
/// grow for a placement to exist.
fn infeasible(problem: &Problem) -> PlacementError {
    let Some(infeasibility) = explain(problem, EXACT_STEPS) else {
        return PlacementError::ContradictionTooLarge;
    };
    let mut text = String::from(
        "no placement meets all constraints; these contradict each other, and without any one of them the rest can be met:",
    );
    for constraint in &infeasibility.constraints {
        text.push_str("\n  ");
        text.push_str(&problem.describe(*constraint));
    }
    let relaxation = match infeasibility.least_capacity_per_mille {
        Some(thousandths) => format!(
            "\nleast relaxation: all capacities times {}.{:03}",
            thousandths / 1000,
            thousandths % 1000
        ),
        None => "\nno increase of the capacities is sufficient".to_owned(),
    };
    text.push_str(&relaxation);
    PlacementError::Infeasible(text)
}

fn describe(problem: &Problem, best: &Objective, proven: bool) -> String {
    let placement = &best.placement.0;
    let mut out = String::new();
    for (volume, nodes) in problem.volumes.iter().zip(placement) {
        let names: Vec<&str> = nodes
            .iter()
            .map(|node| problem.nodes[*node].name.as_str())
            .collect();
        writeln!(out, "place {} {}", volume.name, names.join(" ")).expect("writing to memory");
    }
    let tuning = tune(problem, placement);
    for (volume, (reserve, weight)) in problem
        .volumes
        .iter()
        .zip(tuning.reserved_rates.iter().zip(&tuning.weights))
    {
        writeln!(
            out,
            "share {} reserve {} weight {weight}",
            volume.name,
            rate(*reserve)
        )
        .expect("writing to memory");
    }
    describe_quotas(problem, &mut out);
    if tuning.gain > tuning.gain_before {
        writeln!(
            out,
            "# with these shares {:.3} a second, with those given {:.3}",
            gain_per_second(tuning.gain),
            gain_per_second(tuning.gain_before)
        )
        .expect("writing to memory");
    }
    describe_quality(problem, best, proven, &mut out);
    out
}

/// Writes each host's quota of the rate limits, computed from the rates that the hosts send.
fn describe_quotas(problem: &Problem, out: &mut String) {
    if problem.hosts.is_empty() {
        return;
    }
    for volume in problem
        .volumes
        .iter()
        .filter(|volume| volume.rate_limit > 0)
    {
        let sent: Vec<u64> = problem
            .hosts
            .iter()
            .map(|host| host.sends.get(&volume.name).copied().unwrap_or(0))
            .collect();
        let quotas = split_limit(volume.rate_limit, &sent, MIN_QUOTA_THOUSANDTHS);
        for (host, quota) in problem.hosts.iter().zip(quotas) {
            writeln!(out, "part {} {} {}", volume.name, host.name, rate(quota))
                .expect("writing to memory");
        }
    }
}

fn describe_quality(problem: &Problem, best: &Objective, proven: bool, out: &mut String) {
    let bound = gain_upper_bound(problem);
    let gap = if bound > 0 {
        100.0 * (bound - best.gain) as f64 / bound as f64
    } else {
        0.0
    };
    write!(
        out,
        "# gain {:.3} a second in a surge of all, bound {:.3}, gap {gap:.2} %{}; cost {}; data moved {}",
        gain_per_second(best.gain),
        gain_per_second(bound),
        if proven { ", proven best" } else { "" },
        best.cost.0,
        data_units(best.moved_data.0)
    )
    .expect("writing to memory");
}

fn rate(thousandths: u64) -> String {
    format!("{}.{:03}/s", thousandths / 1000, thousandths % 1000)
}
