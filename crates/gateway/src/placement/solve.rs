//! `shares work-out`: the best placement, exactly where the problem is small enough, else by local search.
use super::{PlacementError, data_units, gain_per_second, problem_file};
use mallowseam_shares::bound;
use mallowseam_shares::choose::{choose, parts};
use mallowseam_shares::conflict::explain;
use mallowseam_shares::improve::Improve;
use mallowseam_shares::model::Problem;
use mallowseam_shares::search::{self, Answer};
use mallowseam_shares::value::Worth;
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// Steps of the exact search after which a large problem is passed to the local search.
const EXACT_STEPS: u64 = 300_000;
/// Moves of the local search between two checks of the time.
const MOVES_PER_CHECK: u64 = 2_000;
/// Thousandths of an even quota that no host's quota goes below: as much as hosts never lend.
const MIN_QUOTA_THOUSANDTHS: u64 = 250;

/// Solves the problem of a file within about `within`; the answer as lines that an answer file holds.
pub(crate) fn solve(file: &Path, within: Duration, seed: u64) -> Result<String, PlacementError> {
    let problem = problem_file::read(file)?;
    let began = Instant::now();
    let (found, proven) = match search::solve(&problem, EXACT_STEPS) {
        Answer::Best(best) => (Some(best), true),
        Answer::None => return Err(infeasible(&problem)),
        Answer::Open { found, .. } => {
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

/// The best placement that local search finds until `goes_on` returns false.
fn search_locally(problem: &Problem, seed: u64, goes_on: impl Fn() -> bool) -> Option<Worth> {
    let mut improve = Improve::new(problem, seed);
    improve.from_today();
    let mut placed = improve.mend();
    if !placed {
        improve = Improve::new(problem, seed);
        placed = improve.first();
    }
    while placed && goes_on() {
        improve.improve(MOVES_PER_CHECK);
    }
    improve.worth().filter(|_| placed && improve.sound())
}

/// The demands that cannot be met together, and how much more capacity would do.
fn infeasible(problem: &Problem) -> PlacementError {
    let Some(conflict) = explain(problem, EXACT_STEPS) else {
        return PlacementError::ContradictionTooLarge;
    };
    let mut text =
        String::from("nothing fits; these contradict, and without any one of them the rest would do:");
    for demand in &conflict.demands {
        text += &format!("\n  {}", problem.tell(*demand));
    }
    text += &match conflict.stretch {
        Some(thousandths) => format!(
            "\nleast relaxation: all capacities times {}.{:03}",
            thousandths / 1000,
            thousandths % 1000
        ),
        None => "\nno capacity would do".to_owned(),
    };
    PlacementError::Infeasible(text)
}

fn describe(problem: &Problem, best: &Worth, proven: bool) -> String {
    let placement = &best.order.0;
    let mut out = String::new();
    for (volume, nodes) in problem.volumes.iter().zip(placement) {
        let names: Vec<&str> = nodes.iter().map(|node| problem.nodes[*node].name.as_str()).collect();
        writeln!(out, "place {} {}", volume.name, names.join(" ")).expect("writing to memory");
    }
    let chosen = choose(problem, placement);
    for (volume, (reserve, weight)) in problem.volumes.iter().zip(chosen.reserves.iter().zip(&chosen.weights))
    {
        writeln!(out, "share {} reserve {} weight {weight}", volume.name, rate(*reserve))
            .expect("writing to memory");
    }
    describe_quotas(problem, &mut out);
    if chosen.gain > chosen.before {
        writeln!(
            out,
            "# with these shares {:.3} a second, with those given {:.3}",
            gain_per_second(chosen.gain),
            gain_per_second(chosen.before)
        )
        .expect("writing to memory");
    }
    describe_quality(problem, best, proven, &mut out);
    out
}

/// Each host's quota of the limits, by what it sends.
fn describe_quotas(problem: &Problem, out: &mut String) {
    if problem.hosts.is_empty() {
        return;
    }
    for volume in problem.volumes.iter().filter(|volume| volume.limit > 0) {
        let sent: Vec<u64> =
            problem.hosts.iter().map(|host| host.sends.get(&volume.name).copied().unwrap_or(0)).collect();
        let quotas = parts(volume.limit, &sent, MIN_QUOTA_THOUSANDTHS);
        for (host, quota) in problem.hosts.iter().zip(quotas) {
            writeln!(out, "part {} {} {}", volume.name, host.name, rate(quota)).expect("writing to memory");
        }
    }
}

fn describe_quality(problem: &Problem, best: &Worth, proven: bool, out: &mut String) {
    let bound = bound::most(problem);
    let gap = if bound > 0 { 100.0 * (bound - best.gain) as f64 / bound as f64 } else { 0.0 };
    write!(
        out,
        "# gain {:.3} a second in a surge of all, bound {:.3}, gap {gap:.2} %{}; cost {}; data moved {}",
        gain_per_second(best.gain),
        gain_per_second(bound),
        if proven { ", proven best" } else { "" },
        best.cost.0,
        data_units(best.moved.0)
    )
    .expect("writing to memory");
}

fn rate(thousandths: u64) -> String {
    format!("{}.{:03}/s", thousandths / 1000, thousandths % 1000)
}
