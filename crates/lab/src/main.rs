use clap::{Parser, Subcommand};
use mallowseam_lab::cold_start_model::{self, ColdStartCase};
use mallowseam_lab::fleet::membership_audit::{self, convergence_periods};
use mallowseam_lab::fleet::peers::NOTIFICATION_DEADLINE;
use mallowseam_lab::fleet::{fault_schedule, processes, scenario, testbed};
use mallowseam_lab::membership::{exhaustive, measurements};
use mallowseam_lab::plots::HorizontalScale;
use mallowseam_lab::rehearse::{self, Outcome, Program};
use mallowseam_lab::{bench, brute, plots, script, sharesday, snapbench};
use mallowseam_placement::branch_and_bound::{SolveOutcome, solve};
use mallowseam_placement::problem::Problem;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "mallowseam-lab", version, about = "Stand-ins, load, trouble and audit for mallowseam")]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Fifteen seconds of three hosts, six nodes and forty clients on loopback, with trouble
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play a script of trouble through real hosts and judge it by what passed on the sockets
    Rehearse {
        /// bad-day, month-end, tariff-night, demo, short, cold-start, cold-overload, cold-sum or fleet-storm (drawn by the seed), or
        /// a script's file (.fleet: of a fleet)
        script: String,
        /// How many hosts a fleet's script is played with, nodes and clients in proportion
        #[arg(long)]
        hosts: Option<u32>,
        /// Of a fleet: hosts call the list service as they did before their calls were paced by their number
        #[arg(long)]
        as_before: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds in a row, from the first on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long)]
        quiet: bool,
    },
    /// Play a fleet in simulated time: the same schedulers, thousands of them
    Model {
        #[command(subcommand)]
        what: ModelWhat,
    },
    /// Every order of what may happen to a small state machine, within bounds
    Search {
        #[command(subcommand)]
        what: SearchWhat,
    },
    /// Compare worked-out shares with a plain enumeration on fresh small problems
    SharesCheck {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 2000)]
        count: u64,
    },
    /// Play one day of surges with even, given and worked-out weights, and count what each earns
    SharesDay {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds in a row, from the first on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Compare clients at a node directly and through a host
    Bench(bench::Options),
    /// Measure what snapshots cost: writes round cuts, first writes, reads, and the catalog's size and times
    BenchSnapshots(snapbench::Options),
    /// Run a host of this build (what rehearsals start)
    #[command(hide = true)]
    Host {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

#[derive(Subcommand)]
enum SearchWhat {
    /// The membership protocol among three hosts: its promises in every state, and convergence in the end
    FleetView {
        /// States checked from each initial state
        #[arg(long, default_value_t = 200_000)]
        states: u64,
        /// One state in so many is followed until the hosts converge
        #[arg(long, default_value_t = 20)]
        ends_every: u64,
        /// Ticks of half a period
        #[arg(long, default_value_t = 8)]
        passes: u32,
    },
}

#[derive(Subcommand)]
enum ModelWhat {
    /// The membership protocol: as built, without Lifeguard's extensions, and heartbeats to all
    FleetView {
        /// How many hosts, each in turn
        #[arg(long, value_delimiter = ',', default_value = "10,30,100,300")]
        hosts: Vec<usize>,
        /// The protocol as built alone
        #[arg(long)]
        built: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A directory for the measurements as CSV, and a sheet of plots
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// All hosts start within a second, or after an outage: calls to the list service, paced and as before
    ColdStart {
        /// How many hosts, each in turn
        #[arg(long, value_delimiter = ',', default_value = "10,30,100,300,1000,3000,10000")]
        hosts: Vec<u32>,
        /// Milliseconds that a call takes of the list service
        #[arg(long, default_value_t = 25)]
        takes: u64,
        /// Seconds for which the list service is down at first
        #[arg(long, default_value_t = 0)]
        down: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A directory for the seconds of each case as CSV, and a sheet of plots
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

/// Simulated time after which a case ends.
const MODEL_MOST: u64 = 3_600_000_000;

fn model_cold_start(
    hosts: &[u32],
    (takes, down): (u64, u64),
    seed: u64,
    out: Option<&std::path::Path>,
) -> Result<bool, String> {
    println!("simulated, seed {seed}, {takes} ms a call, down for {down} s; bound: 1.5 * hosts * {takes} ms");
    println!(
        "{:>7}{:>10}{:>8}{:>14}{:>9}{:>11}{:>11}{:>9}{:>11}",
        "hosts", "calls", "a host", "most waiting", "away", "95 % s", "last s", "bound s", "within 6 s"
    );
    let mut good = true;
    for &n in hosts {
        let (takes, down) = (takes * 1_000, down * 1_000_000);
        let case = ColdStartCase {
            hosts: n,
            service_time: takes,
            advertised_service_time: None,
            down_until: down,
            already_running: false,
        };
        let paced = cold_start_model::run(
            ColdStartCase { advertised_service_time: Some(takes), ..case },
            seed,
            MODEL_MOST,
        );
        let untold = cold_start_model::run(case, seed, MODEL_MOST);
        let before = cold_start_model::run(
            ColdStartCase { advertised_service_time: Some(0), ..case },
            seed,
            MODEL_MOST,
        );
        let bound = 1.5 * f64::from(n) * takes as f64 / 1e6;
        for (name, outcome) in [("told", &paced), ("untold", &untold), ("before", &before)] {
            let at = |part| outcome.list_delay_within(part).map_or(f64::NAN, |t| t as f64 / 1e6);
            println!(
                "{n:>7}{:>10}{:>8.2}{:>14}{:>9}{:>11.2}{:>11.2}{bound:>9.2}{:>11}  {name}",
                outcome.polls,
                outcome.polls as f64 / f64::from(n),
                outcome.max_queued,
                outcome.rejected,
                at(0.95),
                at(1.0),
                outcome.hosts_with_list_by(NOTIFICATION_DEADLINE)
            );
        }
        good &= paced.list_delays.len() == n as usize && paced.max_queued as u64 * takes <= 1_000_000;
        if let Some(out) = out {
            cold_start_model::write(
                out,
                &format!("cold-start-{n}"),
                &[("paced", &paced), ("untold", &untold), ("before", &before)],
            )
            .map_err(|e| e.to_string())?;
        }
    }
    Ok(good)
}

fn model_fleet_view(
    hosts: &[usize],
    built: bool,
    seed: u64,
    out: Option<&std::path::Path>,
) -> Result<bool, String> {
    use measurements::{Measurements, Protocol};
    println!("simulated, seed {seed}, periods of 1 s; T(N) = 100 + 20 log10 N periods");
    println!(
        "{:>7}{:>9}{:>9}{:>9}{:>8}{:>10}{:>8}{:>13}{:>13}",
        "hosts", "start s", "kill s", "heal s", "T(N)", "bytes/s", "dgr/s", "false/h", "false part"
    );
    let mut good = true;
    let mut all: Vec<(Protocol, Measurements)> = Vec::new();
    for &n in hosts {
        let protocols: &[Protocol] = if built {
            &[Protocol::Lifeguard]
        } else {
            &[Protocol::Lifeguard, Protocol::PlainSwim, Protocol::Heartbeats]
        };
        for &protocol in protocols {
            let f = measurements::measure(protocol, n, seed);
            println!(
                "{n:>7}{:>9.1}{:>9.1}{:>9.1}{:>8.0}{:>10.0}{:>8.1}{:>13.0}{:>13.6}  {}",
                f.start_s,
                f.kill_s,
                f.heal_s,
                convergence_periods(n as u32),
                f.bytes_s,
                f.datagrams_s,
                f.false_positives_h,
                f.false_positive_fraction,
                protocol.name()
            );
            let settled = [f.start_s, f.kill_s, f.heal_s].iter().all(|s| *s <= convergence_periods(n as u32));
            good &= protocol != Protocol::Lifeguard || settled && f.bytes_s <= 2_000.0;
            all.push((protocol, f));
        }
    }
    let Some(dir) = out else { return Ok(good) };
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", dir.display());
    std::fs::create_dir_all(dir).map_err(|e| failed(&e))?;
    let mut table = csv::Writer::from_path(dir.join("fleet-view.csv")).map_err(|e| failed(&e))?;
    for (_, f) in &all {
        table.serialize(f).map_err(|e| failed(&e))?;
    }
    table.flush().map_err(|e| failed(&e))?;
    let line = |name, protocol, of: fn(&Measurements) -> f64| -> plots::Line<'static> {
        (name, all.iter().filter(|a| a.0 == protocol).map(|a| (a.1.hosts as f64, of(&a.1))).collect())
    };
    let bound = hosts.iter().map(|n| (*n as f64, convergence_periods(*n as u32))).collect();
    let mut settle = vec![("T(N)", bound)];
    let mut bytes = Vec::new();
    let mut wrong = Vec::new();
    for protocol in [Protocol::Lifeguard, Protocol::PlainSwim, Protocol::Heartbeats] {
        if protocol != Protocol::Heartbeats {
            settle.push(line(protocol.name(), protocol, |f| f.start_s.max(f.kill_s).max(f.heal_s)));
        }
        bytes.push(line(protocol.name(), protocol, |f| f.bytes_s));
        wrong.push(line(protocol.name(), protocol, |f| f.false_positive_fraction));
    }
    let sheet = [
        ("seconds until one view, the longest of three", settle),
        ("bytes a second and host, at rest", bytes),
        ("part of the time that a running host is held unreachable, under loss and stops", wrong),
    ];
    plots::write(&dir.join("fleet-view.svg"), "hosts", HorizontalScale::Logarithmic, &sheet)
        .map_err(|e| e.to_string())?;
    Ok(good)
}

fn search_fleet_view(states: u64, ends_every: u64, passes: u32) -> Result<bool, String> {
    let budget = exhaustive::Budget { ticks: passes, duplicates: 1, kills: 1, starts: 1, partitions: 1 };
    let mut good = true;
    for (name, initial) in exhaustive::initial_states(budget, None) {
        let began = std::time::Instant::now();
        let found = mallowseam_lab::search::search(&initial, states, ends_every);
        let took = began.elapsed().as_secs_f64();
        match found {
            Ok(r) => {
                let whole = if r.complete { "all" } else { "as many as allowed" };
                println!(
                    "{name}: {} states ({whole}), {} steps, depth {}, {took:.1} s",
                    r.states, r.steps, r.depth
                );
            }
            Err(f) => {
                println!("{name}: {} after {:?}", f.violation, f.actions);
                good = false;
            }
        }
    }
    Ok(good)
}

const SCRIPTS: [(&str, &str); 5] = [
    ("bad-day", include_str!("../scripts/bad-day.script")),
    ("month-end", include_str!("../scripts/month-end.script")),
    ("tariff-night", include_str!("../scripts/tariff-night.script")),
    ("demo", include_str!("../scripts/demo.script")),
    ("short", include_str!("../scripts/short.script")),
];

fn main() -> ExitCode {
    match Line::parse().what {
        What::Demo { seed } => play("demo", seed, 1, false),
        What::Rehearse { script, hosts, as_before, seed, seeds, quiet } => match fleet_script(&script) {
            Some(text) => {
                finish(text.and_then(|t| play_fleet(&script, &t, (hosts, as_before), (seed, seeds), quiet)))
            }
            None => play(&script, seed, seeds, quiet),
        },
        What::Model { what: ModelWhat::ColdStart { hosts, takes, down, seed, out } } => {
            finish(model_cold_start(&hosts, (takes, down), seed, out.as_deref()))
        }
        What::Model { what: ModelWhat::FleetView { hosts, built, seed, out } } => {
            finish(model_fleet_view(&hosts, built, seed, out.as_deref()))
        }
        What::Search { what: SearchWhat::FleetView { states, ends_every, passes } } => {
            finish(search_fleet_view(states, ends_every, passes))
        }
        What::SharesCheck { seed, count } => shares_check(seed, count),
        What::SharesDay { seed, seeds } => {
            finish(sharesday::run(seed, seeds, &program()).map(|(text, kept)| {
                println!("{text}");
                kept
            }))
        }
        What::Bench(options) => finish(bench::run(&options, &program()).map(|table| {
            print!("{table}");
            true
        })),
        What::BenchSnapshots(options) => finish(snapbench::run(&options, &program()).map(|table| {
            print!("{table}");
            true
        })),
        What::Host { args } => {
            mallowseam_gateway::cli::main(std::iter::once("mallowseam".into()).chain(args))
        }
    }
}

fn shares_check(seed: u64, count: u64) -> ExitCode {
    let mut agree = 0;
    for seed in seed..seed + count {
        let (nodes, volumes) = brute::draw(seed);
        let wanted = brute::brute(&nodes, &volumes);
        let found = match Problem::new(nodes, volumes).map(|p| solve(&p, u64::MAX)) {
            Ok(SolveOutcome::Optimal(best)) => Some(best.placement.0),
            _ => None,
        };
        if found == wanted {
            agree += 1;
        } else {
            println!("seed {seed}: {found:?}, by enumeration {wanted:?}");
        }
    }
    println!("agree: {agree} of {count}");
    if agree == count { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn program() -> Program {
    let path = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("mallowseam-lab"));
    Program { path, args: vec!["host".into()] }
}

fn finish(done: Result<bool, String>) -> ExitCode {
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}

fn play(name: &str, seed: u64, seeds: u64, quiet: bool) -> ExitCode {
    finish(try_play(name, seed, seeds, quiet))
}

fn try_play(name: &str, seed: u64, seeds: u64, quiet: bool) -> Result<bool, String> {
    let text = match SCRIPTS.iter().find(|s| s.0 == name) {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?,
    };
    let scene = script::read(name, &text).map_err(|p| p.to_string())?;
    let mut kept = true;
    for seed in seed..seed + seeds {
        println!(
            "{name}, seed {seed}: {} hosts, {} nodes, {} clients, {} s",
            scene.hosts,
            scene.nodes,
            scene.clients,
            scene.length / 1_000_000
        );
        let outcome = rehearse::run(&scene, seed, &program(), &mut |at, what| {
            if !quiet {
                println!("{:>7.2} s  {what}", at as f64 / 1e6);
            }
        })?;
        kept &= report(&outcome, quiet);
    }
    Ok(kept)
}

/// Drawn anew by each seed.
const STORM: &str = "fleet-storm";
const STORM_HOSTS: u32 = 40;

const FLEETS: [(&str, &str); 3] = [
    ("cold-start", include_str!("../scripts/cold-start.fleet")),
    ("cold-overload", include_str!("../scripts/cold-overload.fleet")),
    ("cold-sum", include_str!("../scripts/cold-sum.fleet")),
];

fn fleet_script(name: &str) -> Option<Result<String, String>> {
    if name == STORM {
        return Some(Ok(String::new()));
    }
    match FLEETS.iter().find(|s| s.0 == name) {
        Some((_, text)) => Some(Ok((*text).to_owned())),
        None => name
            .ends_with(".fleet")
            .then(|| std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))),
    }
}

fn play_fleet(
    name: &str,
    text: &str,
    (hosts, as_before): (Option<u32>, bool),
    (seed, seeds): (u64, u64),
    quiet: bool,
) -> Result<bool, String> {
    let scenario_of = |seed| {
        if name == STORM {
            let text = fault_schedule::random_script(hosts.unwrap_or(STORM_HOSTS), seed);
            return scenario::parse(name, &text).map_err(|p| p.to_string());
        }
        let scenario = scenario::parse(name, text).map_err(|p| p.to_string())?;
        Ok(hosts.map_or(scenario.clone(), |h| scenario.scaled(h)))
    };
    let this = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = processes::Program::next_to(&this);
    let program = if as_before { program.with_arguments(&["--list-turn", "0"]) } else { program };
    let mut clean = true;
    for seed in seed..seed + seeds {
        let scenario: scenario::Scenario = scenario_of(seed)?;
        println!(
            "{name}, seed {seed}: {} hosts, {} nodes, {} s",
            scenario.hosts,
            scenario.nodes,
            scenario.duration / 1_000_000
        );
        let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
        let on_fault = &mut |at, action: &str| {
            if !quiet {
                println!("{:>7.2} s  {action}", at as f64 / 1e6);
            }
        };
        let outcome =
            testbed::run(&scenario, seed, &program, dir.path(), on_fault).map_err(|e| e.to_string())?;
        if !quiet {
            print!("{}", outcome.table());
        }
        outcome.compare_membership_groups(&scenario).iter().for_each(|text| println!("{text}"));
        let mut evidence = outcome.evidence(&scenario);
        if name == STORM {
            // Calls are many here as hosts come and go, and are not what is tried.
            evidence = outcome.violations();
            let membership =
                membership_audit::check(&scenario, &outcome.observations, &outcome.membership_samples);
            let v = &outcome.verdict;
            evidence.extend(membership.evidence());
            println!(
                "{} looks; {:.0} bytes a second and host",
                outcome.membership_samples.len(),
                outcome.membership_bytes_per_second
            );
            println!(
                "{membership}; rules kept: {} of 7; unanswered {}, doubled {}",
                v.rules_upheld(),
                v.unanswered,
                v.duplicated
            );
        } else {
            if scenario.membership.is_some_and(|m| m.participants == scenario::IndexRange::ALL) {
                println!(
                    "{}",
                    membership_audit::check(&scenario, &outcome.observations, &outcome.membership_samples)
                );
            }
            println!("{}", outcome.summary(&scenario));
        }
        if !evidence.is_empty() {
            evidence.iter().for_each(|e| println!("{e}"));
            println!("logs and configurations: {}", dir.keep().display());
            clean = false;
        }
    }
    Ok(clean)
}

fn report(outcome: &Outcome, quiet: bool) -> bool {
    let v = &outcome.verdict;
    if !quiet {
        println!(
            "\n{:<10}{:>8}{:>8}{:>9}{:>7}{:>8}{:>7}{:>12}{:>9}",
            "group", "asked", "ended", "in goal", "shed", "failed", "left", "median ms", "p99 ms"
        );
        for g in &v.groups {
            let wait = |part: f64| {
                let at = (g.waits.len() as f64 * part) as usize;
                g.waits.get(at.min(g.waits.len().saturating_sub(1))).map_or(0.0, |w| *w as f64 / 1000.0)
            };
            println!(
                "{:<10}{:>8}{:>8}{:>8.1}%{:>7}{:>8}{:>7}{:>12.1}{:>9.1}",
                g.name,
                g.asked,
                g.ended,
                100.0 * g.in_time as f64 / g.asked.max(1) as f64,
                g.shed,
                g.failed,
                g.left,
                wait(0.5),
                wait(0.99)
            );
        }
        println!(
            "\nat the nodes: {} submits, {} of them further ones; {} blocks read back and checked",
            v.submits, v.further, v.blocks_checked
        );
    }
    outcome.unclean.iter().for_each(|u| println!("unclean: {u}"));
    v.evidence().iter().for_each(|e| println!("{e}"));
    println!("{v}");
    let c = &outcome.clones;
    if v.snapshots + c.made > 0 || !c.not_made.is_empty() {
        c.not_made.iter().for_each(|n| println!("not made: {n}"));
        c.wrong.iter().for_each(|w| println!("clone: {w}"));
        let at = |part: f64| {
            let mut grants = c.grants.clone();
            grants.sort_unstable();
            grants.get(((grants.len() as f64 * part) as usize).min(grants.len().saturating_sub(1))).copied()
        };
        if let (Some(median), Some(last)) = (at(0.5), at(1.0)) {
            println!("left over by hosts that died, and given back: {} places", c.leaked);
            println!(
                "copies at the nodes: {}; granted after {median} ms in the median, {last} ms at most",
                v.copies
            );
        }
        println!(
            "snapshots exact: {} of {}; clones apart: {} of {}; rules kept: {} of 7",
            v.snapshots - v.inexact_snapshots(),
            v.snapshots,
            c.apart,
            c.made,
            v.broken.iter().filter(|b| b.is_empty()).count()
        );
    }
    if let Some((versions, replayed)) = outcome.trail {
        let (spans, asked) = &outcome.in_force;
        let at = |part: f64| {
            spans.get((spans.len() as f64 * part) as usize).or(spans.last()).copied().unwrap_or(0)
        };
        println!(
            "told in force at all hosts: {} of {asked}; after {} ms in the median, {} ms at most",
            spans.len(),
            at(0.5),
            at(1.0)
        );
        println!(
            "limits held: {versions} versions, worst overshoot {:.0}% of slack; trail replays: {replayed} of \
             {versions}; rules kept: {} of 7",
            100.0 * v.overshoot.max(0.0),
            v.broken.iter().filter(|b| b.is_empty()).count()
        );
    }
    v.kept() && outcome.unclean.is_empty() && c.wrong.is_empty()
}
