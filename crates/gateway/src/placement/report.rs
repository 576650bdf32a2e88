//! Reports on placements: the load of each node, the comparison of two placements, and the migration steps that lead
//! to a placement.
use super::error::PlacementError;
use super::units::{data_units, gain_per_second};
use super::{answer_file, problem_file};
use mallowseam_placement::feasibility::{FULL_CAPACITY, fits};
use mallowseam_placement::migration::{current_placement, plan_migration};
use mallowseam_placement::objective::objective;
use mallowseam_placement::problem::{Problem, SCALE};
use mallowseam_placement::{Placement, assignments};
use std::fmt::Write;
use std::path::Path;

fn all_reserves_fit(problem: &Problem, placement: &Placement) -> bool {
    fits(problem, &assignments(placement), &|_| true, FULL_CAPACITY)
}

fn node_names(problem: &Problem, nodes: &[usize]) -> String {
    nodes
        .iter()
        .map(|node| problem.nodes[*node].name.as_str())
        .collect::<Vec<_>>()
        .join(" ")
}

fn volume_names(problem: &Problem, volumes: &[usize]) -> String {
    volumes
        .iter()
        .map(|volume| problem.volumes[*volume].name.as_str())
        .collect::<Vec<_>>()
        .join(" ")
}

/// `shares compare`: returns a table with the value of two placements of a problem.
pub(crate) fn compare(file: &Path, one: &Path, other: &Path) -> Result<String, PlacementError> {
    let problem = problem_file::read(file)?;
    let mut out = format!(
        "{:<24}{:>16}{:>10}{:>14}{:>8}",
        "placement", "gain", "cost", "data moved", "fits"
    );
    let mut placements = Vec::new();
    for file in [one, other] {
        let placement = answer_file::read_placement(&problem, file)?;
        let value = objective(&problem, &placement);
        write!(
            out,
            "\n{:<24}{:>16.3}{:>10}{:>14.1}{:>8}",
            file.display().to_string(),
            gain_per_second(value.gain),
            value.cost.0,
            data_units(value.moved_data.0),
            if all_reserves_fit(&problem, &placement) {
                "yes"
            } else {
                "no"
            }
        )
        .expect("writing to memory");
        placements.push(placement);
    }
    for (index, volume) in problem.volumes.iter().enumerate() {
        let first = &placements[0][index];
        let second = &placements[1][index];
        if first != second {
            let first = node_names(&problem, first);
            let second = node_names(&problem, second);
            write!(out, "\n{}: {first} | {second}", volume.name).expect("writing to memory");
        }
    }
    Ok(out)
}

/// `shares explain`: returns a table with the load of each node under a placement.
pub(crate) fn explain(file: &Path, answer: &Path) -> Result<String, PlacementError> {
    let problem = problem_file::read(file)?;
    let placement = answer_file::read_placement(&problem, answer)?;
    let mut out = format!(
        "{:<16}{:>12}{:>12}{:>8}  volumes",
        "node", "capacity", "reserved", "part"
    );
    for (index, node) in problem.nodes.iter().enumerate() {
        let here: Vec<usize> = (0..placement.len())
            .filter(|v| placement[*v].contains(&index))
            .collect();
        let share = |volume: &usize| {
            problem.volumes[*volume].reserved_rate as f64 / placement[*volume].len() as f64
        };
        let reserved: f64 = here.iter().map(share).sum::<f64>() / 1000.0;
        let capacity = node.capacity as f64 / 1000.0;
        let percent = if capacity > 0.0 {
            100.0 * reserved / capacity
        } else {
            0.0
        };
        write!(
            out,
            "\n{:<16}{capacity:>10.1}/s{reserved:>10.1}/s{percent:>7.1}%  {}",
            node.name,
            volume_names(&problem, &here)
        )
        .expect("writing to memory");
    }
    let fits = all_reserves_fit(&problem, &placement);
    out += if fits {
        "\nall reserves fit"
    } else {
        "\nreserves do not fit"
    };
    Ok(out)
}

/// `shares moves`: returns the migration steps to a placement, one line `move VOLUME FROM TO DATA` each, with `-` for
/// a node that a step does not have.
pub(crate) fn migration_steps(
    file: &Path,
    answer: &Path,
    max_data: Option<u64>,
) -> Result<String, PlacementError> {
    let problem = problem_file::read(file)?;
    let target = answer_file::read_placement(&problem, answer)?;
    let max_data = max_data.map(|data| u128::from(data) * SCALE as u128);
    let plan = plan_migration(&problem, &current_placement(&problem), &target, max_data);
    let node_name =
        |node: Option<usize>| node.map_or("-", |node| problem.nodes[node].name.as_str());
    let mut out = String::new();
    for step in &plan.steps {
        let volume = &problem.volumes[step.volume].name;
        let from = node_name(step.from);
        let to = node_name(step.to);
        writeln!(out, "move {volume} {from} {to} {}", data_units(step.data))
            .expect("writing to memory");
    }
    for (reason, volumes) in [
        (
            "not moved, since the limit of data to move is reached",
            &plan.deferred,
        ),
        (
            "not moved, since no order of steps was found that keeps all constraints",
            &plan.blocked,
        ),
    ] {
        if !volumes.is_empty() {
            let names = volume_names(&problem, volumes);
            writeln!(out, "# {reason}: {names}").expect("writing to memory");
        }
    }
    write!(
        out,
        "# {} steps, data moved {}",
        plan.steps.len(),
        data_units(plan.data())
    )
    .expect("writing to memory");
    Ok(out)
}
