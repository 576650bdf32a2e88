//! Compares the gain of a scripted day on real hosts under even weights, the weights of its script, and tuned weights,
//! with the same seeds.
use crate::error::RunError;
use crate::process::Program;
use crate::rehearsal::{self, Outcome};
use mallowseam_placement::Placement;
use mallowseam_placement::problem::{Node, Problem, Volume};
use mallowseam_placement::tuning::tune;
use mallowseam_scenarios::builtin;
use mallowseam_scenarios::rehearsal::{self as script, Fault, Scenario};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config;
use mallowseam_settings::edit::{self, Share};
use std::collections::{BTreeMap, BTreeSet};

const SCRIPT: &str = builtin::DUE_DATE;
/// Gain of a command beyond its volume's reserved rate, as a fraction of the gain within it.
const GAIN_FRACTION_BEYOND_RESERVE: f64 = 0.35;

/// Source of the weights of volumes.
#[derive(Clone, Copy, PartialEq)]
enum Weights {
    Even,
    Script,
    Tuned,
}

impl Weights {
    const ALL: [Weights; 3] = [Weights::Even, Weights::Script, Weights::Tuned];

    fn name(self) -> &'static str {
        match self {
            Weights::Even => "even weights",
            Weights::Script => "by hand",
            Weights::Tuned => "worked out",
        }
    }
}

/// Result of one day.
struct DayResult {
    gain: f64,
    /// Smallest fraction of any volume's commands that completed in time.
    worst_fraction: f64,
    /// Name of the volume with the smallest fraction.
    worst_volume: String,
    /// Fraction of the commands within reserved rates, second by second, that completed in time.
    reserve_fraction: f64,
    passed: bool,
}

/// Table of all days, and whether all rules held.
pub struct Report {
    /// Table without a trailing line feed.
    pub table: String,
    /// Whether every day kept all rules.
    pub passed: bool,
}

/// Plays the day with each set of weights for each seed.
///
/// # Errors
/// A stand-in or process cannot be started, or the scenario is no valid placement problem.
pub fn run(first_seed: u64, seeds: u64, program: &Program) -> Result<Report, RunError> {
    let mut scenario = script::parse("due-date", SCRIPT)?;
    let config = rehearsal::shared_config(&scenario)?;
    let sections = scenario.config_sections.clone();
    let mut table = header(&scenario);
    let mut passed = true;
    for seed in first_seed..first_seed + seeds {
        let mut even_gain = 0.0;
        for weights in Weights::ALL {
            let shares = shares(&scenario, &config, weights)?;
            scenario.config_sections = edit::apply_shares(&sections, &config, &shares)?;
            let outcome = rehearsal::run(&scenario, seed, program, &mut |_, _| {})?;
            let day = evaluate(&config, &outcome);
            if weights == Weights::Even {
                even_gain = day.gain;
            }
            table += &row(seed, weights, &day, even_gain);
            passed &= day.passed;
        }
    }
    let tuned: Vec<String> = shares(&scenario, &config, Weights::Tuned)?
        .iter()
        .map(|share| format!("{} {}", share.volume, share.weight))
        .collect();
    table += "weights worked out: ";
    table += &tuned.join(", ");
    Ok(Report { table, passed })
}

fn header(scenario: &Scenario) -> String {
    format!(
        "due-date: {} hosts, {} nodes, {} clients, {} s\n{:<6}{:<16}{:>12}{:>10}{:>22}{:>18}{:>8}\n",
        scenario.hosts,
        scenario.nodes,
        scenario.clients,
        scenario.duration / 1_000_000,
        "seed",
        "",
        "gain",
        "to even",
        "worst volume in time",
        "inside reserves",
        "rules"
    )
}

fn row(seed: u64, weights: Weights, day: &DayResult, even_gain: f64) -> String {
    format!(
        "{seed:<6}{:<16}{:>12.0}{:>10.3}{:>13} {:>7.1}%{:>17.1}%{:>8}\n",
        weights.name(),
        day.gain,
        day.gain / even_gain.max(1.0),
        day.worst_volume,
        100.0 * day.worst_fraction,
        100.0 * day.reserve_fraction,
        if day.passed { "kept" } else { "broken" }
    )
}

/// Returns each volume's share: the weight is replaced, and the reserved rate stays.
fn shares(
    scenario: &Scenario,
    config: &GatewayConfig,
    weights: Weights,
) -> Result<Vec<Share>, RunError> {
    let (problem, placement) = placement_problem(scenario, config)?;
    let tuned = tune(&problem, &placement).weights;
    let share = |volume: &config::Volume| {
        let plan = &config.plans[volume.plan];
        let index = problem.volumes.iter().position(|v| v.name == volume.name);
        let weight = match weights {
            Weights::Even => 1,
            Weights::Script => plan.weight as u64,
            Weights::Tuned => tuned[index.expect("the placement problem contains every volume")],
        };
        let reserved_milliunits = milliunits(plan.reserved_rate);
        Share {
            volume: volume.name.clone(),
            reserved_milliunits,
            weight,
        }
    };
    Ok(config.volumes.iter().map(share).collect())
}

fn milliunits(rate: f64) -> u64 {
    (rate * 1000.0) as u64
}

/// Returns the day as a placement problem: the nodes' capacity, and the rate that each volume requests in its surge.
fn placement_problem(
    scenario: &Scenario,
    config: &GatewayConfig,
) -> Result<(Problem, Placement), RunError> {
    let capacity = scenario.model.cores as f64 * 1e6 / scenario.model.unit_work.max(1.0);
    let node = |node: &config::Node| Node {
        name: node.name.clone(),
        zone: node.zone.clone(),
        capacity: milliunits(capacity),
        cost: 0,
    };
    let nodes = config.nodes.iter().map(node).collect();
    let volumes = config
        .volumes
        .iter()
        .map(|volume| problem_volume(scenario, config, volume))
        .collect();
    let problem = Problem::new(nodes, volumes).map_err(RunError::Placement)?;
    let placement = mallowseam_placement::migration::current_placement(&problem);
    Ok((problem, placement))
}

fn problem_volume(scenario: &Scenario, config: &GatewayConfig, volume: &config::Volume) -> Volume {
    let plan = &config.plans[volume.plan];
    let usual_rate =
        f64::from(scenario.clients) * scenario.command_rate / config.volumes.len() as f64;
    let surges = scenario.events.iter().filter_map(|e| match &e.fault {
        Fault::Surge(name, times) if *name == plan.name => Some(*times),
        _ => None,
    });
    let surge_rate = usual_rate * surges.fold(1.0, f64::max);
    let nodes: BTreeSet<usize> = volume.extents.iter().map(|extent| extent.node).collect();
    Volume {
        name: volume.name.clone(),
        reserved_rate: milliunits(plan.reserved_rate),
        surge_rate: milliunits(surge_rate.max(plan.reserved_rate)),
        weight: plan.weight as u64,
        priority_factor: milliunits(plan.priority_factor),
        spread: nodes.len(),
        current_nodes: nodes
            .iter()
            .map(|n| config.nodes[*n].name.clone())
            .collect(),
        ..Volume::default()
    }
}

/// Number of a volume's commands, in total or in one second.
#[derive(Clone, Copy, Default)]
struct Count {
    sent: f64,
    in_time: f64,
}

impl Count {
    fn fraction_in_time(&self) -> f64 {
        self.in_time / self.sent.max(1.0)
    }
}

/// Evaluates a day by its clients' commands. A command in time gains its I/O class's priority weight times its plan's
/// priority factor: all of it within the volume's reserved rate in that second, a fraction of it beyond.
fn evaluate(config: &GatewayConfig, outcome: &Outcome) -> DayResult {
    let mut seconds: BTreeMap<(usize, u64), Count> = BTreeMap::new();
    let mut volumes = vec![Count::default(); config.volumes.len()];
    let mut gain = 0.0;
    for command in &outcome.verdict.outcomes {
        let plan = &config.plans[config.volumes[command.volume].plan];
        let second = seconds
            .entry((command.volume, command.sent_at / 1_000_000))
            .or_default();
        second.sent += 1.0;
        volumes[command.volume].sent += 1.0;
        if command.in_time {
            let gain_factor = if second.in_time < plan.reserved_rate {
                1.0
            } else {
                GAIN_FRACTION_BEYOND_RESERVE
            };
            second.in_time += 1.0;
            volumes[command.volume].in_time += 1.0;
            gain += config.io_classes[command.io_class].priority_weight
                * plan.priority_factor
                * gain_factor;
        }
    }
    let by_fraction = |a: &usize, b: &usize| {
        volumes[*a]
            .fraction_in_time()
            .total_cmp(&volumes[*b].fraction_in_time())
    };
    let worst = (0..volumes.len()).min_by(by_fraction);
    DayResult {
        gain,
        worst_fraction: worst.map_or(1.0, |v| volumes[v].fraction_in_time()),
        worst_volume: worst.map_or(String::new(), |v| config.volumes[v].name.clone()),
        reserve_fraction: reserve_fraction(config, &seconds),
        passed: outcome.verdict.passed() && outcome.failures.is_empty(),
    }
}

/// Returns the fraction of the commands within reserved rates, second by second, that completed in time.
fn reserve_fraction(config: &GatewayConfig, seconds: &BTreeMap<(usize, u64), Count>) -> f64 {
    let mut total_reserved = 0.0;
    let mut completed_reserved = 0.0;
    for ((volume, _), count) in seconds {
        let reserved = count
            .sent
            .min(config.plans[config.volumes[*volume].plan].reserved_rate);
        total_reserved += reserved;
        completed_reserved += count.in_time.min(reserved);
    }
    completed_reserved / f64::max(total_reserved, 1.0)
}
