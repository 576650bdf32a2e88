//! One day through real hosts with even weights, with the weights of its script, and with worked-out ones, on
//! the same seeds: what each earns by the users' counting.
use crate::rehearse::{self, Outcome, Program};
use crate::script::{self, Scene, Trouble};
use mallowseam_placement::Placement;
use mallowseam_placement::problem::{Node, Problem, Volume};
use mallowseam_placement::tuning::tune;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::edit::{self, Share};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const SCRIPT: &str = include_str!("../scripts/due-date.script");
/// Gain of what lies beyond a reserve, in parts of one.
const BEYOND: f64 = 0.35;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Even,
    Hand,
    WorkedOut,
}

const WAYS: [(Way, &str); 3] =
    [(Way::Even, "even weights"), (Way::Hand, "by hand"), (Way::WorkedOut, "worked out")];

/// What a day came to.
struct Day {
    gain: f64,
    /// The least part of a volume's commands that ended in time, and whose.
    worst: (f64, String),
    /// Of the commands inside reserves, second by second, those that ended in time.
    reserves: f64,
    kept: bool,
}

/// Plays the day three times for each seed. Errors: what could not be started.
pub fn run(seed: u64, seeds: u64, program: &Program) -> Result<(String, bool), String> {
    let mut scene = script::read("due-date", SCRIPT).map_err(|p| p.to_string())?;
    let site = rehearse::site_of(&scene)?;
    let text = scene.site.clone();
    let mut out = format!(
        "due-date: {} hosts, {} nodes, {} clients, {} s\n{:<6}{:<16}{:>12}{:>10}{:>22}{:>18}{:>8}\n",
        scene.hosts,
        scene.nodes,
        scene.clients,
        scene.length / 1_000_000,
        "seed",
        "",
        "gain",
        "to even",
        "worst volume in time",
        "inside reserves",
        "rules"
    );
    let mut kept = true;
    for seed in seed..seed + seeds {
        let mut even = 0.0;
        for (way, name) in WAYS {
            let shares = shares(&scene, &site, way)?;
            scene.site =
                edit::apply_shares(&text, &site, &shares).map_err(|e| e.to_string().replace('\n', "; "))?;
            let outcome = rehearse::run(&scene, seed, program, &mut |_, _| {})?;
            let day = count(&site, &outcome);
            if way == Way::Even {
                even = day.gain;
            }
            writeln!(
                out,
                "{seed:<6}{name:<16}{:>12.0}{:>10.3}{:>13} {:>7.1}%{:>17.1}%{:>8}",
                day.gain,
                day.gain / even.max(1.0),
                day.worst.1,
                100.0 * day.worst.0,
                100.0 * day.reserves,
                if day.kept { "kept" } else { "broken" }
            )
            .expect("memory");
            kept &= day.kept;
        }
    }
    let worked: Vec<String> =
        shares(&scene, &site, Way::WorkedOut)?.iter().map(|s| format!("{} {}", s.volume, s.weight)).collect();
    write!(out, "weights worked out: {}", worked.join(", ")).expect("memory");
    Ok((out, kept))
}

/// Each volume's share; its reserve stays as promised.
fn shares(scene: &Scene, site: &GatewayConfig, way: Way) -> Result<Vec<Share>, String> {
    let (problem, placement) = problem(scene, site)?;
    let worked = tune(&problem, &placement).weights;
    let share = |v: &mallowseam_settings::config::Volume| {
        let plan = &site.plans[v.plan];
        let at = problem.volumes.iter().position(|w| w.name == v.name).expect("made of them");
        let weight = match way {
            Way::Even => 1,
            Way::Hand => plan.weight as u64,
            Way::WorkedOut => worked[at],
        };
        Share { volume: v.name.clone(), reserved_milliunits: (plan.reserved_rate * 1000.0) as u64, weight }
    };
    Ok(site.volumes.iter().map(share).collect())
}

/// The day as a problem: what nodes do, and what each volume asks for in its own surge.
fn problem(scene: &Scene, site: &GatewayConfig) -> Result<(Problem, Placement), String> {
    let does = scene.model.cores as f64 * 1e6 / scene.model.unit_work.max(1.0);
    let node = |n: &mallowseam_settings::config::Node| Node {
        name: n.name.clone(),
        zone: n.zone.clone(),
        capacity: (does * 1000.0) as u64,
        cost: 0,
    };
    let quiet = f64::from(scene.clients) * scene.rate / site.volumes.len() as f64;
    let volume = |v: &mallowseam_settings::config::Volume| {
        let plan = &site.plans[v.plan];
        let surges = scene.events.iter().filter_map(|e| match &e.trouble {
            Trouble::Surge(name, times) if *name == plan.name => Some(*times),
            _ => None,
        });
        let surge = quiet * surges.fold(1.0, f64::max);
        let lies: BTreeSet<usize> = v.extents.iter().map(|e| e.node).collect();
        Volume {
            name: v.name.clone(),
            reserved_rate: (plan.reserved_rate * 1000.0) as u64,
            surge_rate: (surge.max(plan.reserved_rate) * 1000.0) as u64,
            weight: plan.weight as u64,
            priority_factor: (plan.priority_factor * 1000.0) as u64,
            spread: lies.len(),
            current_nodes: lies.iter().map(|n| site.nodes[*n].name.clone()).collect(),
            ..Volume::default()
        }
    };
    let nodes = site.nodes.iter().map(node).collect();
    let p = Problem::new(nodes, site.volumes.iter().map(volume).collect())
        .map_err(|wrong| wrong.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    let placement = mallowseam_placement::migration::current_placement(&p);
    Ok((p, placement))
}

/// Counts a day by what its clients got: a command in time earns its group's gain times its plan's price, whole
/// inside the reserve of its volume in that second, and a part beyond.
fn count(site: &GatewayConfig, outcome: &Outcome) -> Day {
    let mut seconds: BTreeMap<(usize, u64), (f64, f64)> = BTreeMap::new();
    let mut volumes = vec![(0.0, 0.0); site.volumes.len()];
    let (mut gain, mut inside, mut kept_inside) = (0.0, 0.0, 0.0);
    for got in &outcome.verdict.got {
        let plan = &site.plans[site.volumes[got.volume].plan];
        let second = seconds.entry((got.volume, got.asked / 1_000_000)).or_default();
        second.0 += 1.0;
        volumes[got.volume].0 += 1.0;
        if got.in_time {
            let tier = if second.1 < plan.reserved_rate { 1.0 } else { BEYOND };
            second.1 += 1.0;
            volumes[got.volume].1 += 1.0;
            gain += site.io_classes[got.group].priority_weight * plan.priority_factor * tier;
        }
    }
    for ((volume, _), (asked, ended)) in &seconds {
        let due = asked.min(site.plans[site.volumes[*volume].plan].reserved_rate);
        inside += due;
        kept_inside += ended.min(due);
    }
    let part = |v: &(f64, f64)| v.1 / v.0.max(1.0);
    let worst = (0..volumes.len()).min_by(|a, b| part(&volumes[*a]).total_cmp(&part(&volumes[*b])));
    let worst = worst.map_or((1.0, String::new()), |v| (part(&volumes[v]), site.volumes[v].name.clone()));
    let kept = outcome.verdict.kept() && outcome.unclean.is_empty();
    Day { gain, worst, reserves: kept_inside / f64::max(inside, 1.0), kept }
}
