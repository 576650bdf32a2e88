//! `rehearse` of a fleet.
use super::{CommandResult, Finding, RehearseOptions};
use mallowseam_lab::fleet::play::Outcome;
use mallowseam_lab::fleet::{play as fleet, processes, scene, storm, views};
use std::error::Error;

/// A script that each seed draws anew, and its usual number of hosts.
const STORM: &str = "fleet-storm";
const STORM_HOSTS: u32 = 40;

/// Fleet scripts that come with the program.
const SCRIPTS: [(&str, &str); 3] = [
    ("cold-start", include_str!("../../scripts/cold-start.fleet")),
    ("cold-overload", include_str!("../../scripts/cold-overload.fleet")),
    ("cold-sum", include_str!("../../scripts/cold-sum.fleet")),
];

/// The text of a fleet's script, by its name or from a file; none where the name is of another kind of script.
pub(super) fn script_text(name: &str) -> Result<Option<String>, Box<dyn Error>> {
    if name == STORM {
        return Ok(Some(String::new()));
    }
    if let Some((_, text)) = SCRIPTS.iter().find(|(script, _)| *script == name) {
        return Ok(Some((*text).to_owned()));
    }
    if !name.ends_with(".fleet") {
        return Ok(None);
    }
    let text = std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?;
    Ok(Some(text))
}

/// Plays a fleet's script with some seeds in a row.
pub(super) fn play(text: &str, options: &RehearseOptions) -> CommandResult {
    let this = std::env::current_exe()?;
    let program = processes::Program::beside(&this);
    let program = if options.as_before { program.with(&["--list-turn", "0"]) } else { program };
    let mut passed = true;
    for seed in options.seed..options.seed + options.seeds {
        passed &= play_seed(text, options, seed, &program)?;
    }
    Ok(Finding::from(passed))
}

fn scenario(text: &str, options: &RehearseOptions, seed: u64) -> Result<scene::Scene, Box<dyn Error>> {
    let name = &options.script;
    if name == STORM {
        let text = storm::script(options.hosts.unwrap_or(STORM_HOSTS), seed);
        return Ok(scene::read(name, &text)?);
    }
    let scenario = scene::read(name, text)?;
    Ok(options.hosts.map_or(scenario.clone(), |hosts| scenario.scaled(hosts)))
}

fn play_seed(
    text: &str,
    options: &RehearseOptions,
    seed: u64,
    program: &processes::Program,
) -> Result<bool, Box<dyn Error>> {
    let scenario = scenario(text, options, seed)?;
    println!(
        "{}, seed {seed}: {} hosts, {} nodes, {} s",
        options.script,
        scenario.hosts,
        scenario.nodes,
        scenario.length / 1_000_000
    );
    let dir = tempfile::tempdir()?;
    let outcome = fleet::run(&scenario, seed, program, dir.path(), &mut |at, line| {
        if !options.quiet {
            println!("{:>7.2} s  {line}", at as f64 / 1e6);
        }
    })?;
    if !options.quiet {
        print!("{}", outcome.table());
    }
    let evidence = report(&options.script, &scenario, &outcome);
    if !evidence.is_empty() {
        evidence.iter().for_each(|line| println!("{line}"));
        println!("logs and configurations: {}", dir.keep().display());
    }
    Ok(evidence.is_empty())
}

/// Prints what a run came to, and returns the evidence against it.
fn report(name: &str, scenario: &scene::Scene, outcome: &Outcome) -> Vec<String> {
    outcome.with_and_without(scenario).iter().for_each(|text| println!("{text}"));
    if name == STORM {
        // Polls are many here as hosts come and go, and are not what is tried.
        let mut evidence = outcome.broken();
        let membership = views::judge(scenario, &outcome.seen, &outcome.held);
        let verdict = &outcome.verdict;
        evidence.extend(membership.evidence());
        println!("{} looks; {:.0} bytes a second and host", outcome.held.len(), outcome.view_bytes);
        println!(
            "{membership}; rules kept: {} of 7; unanswered {}, doubled {}",
            verdict.rules_kept(),
            verdict.unanswered,
            verdict.doubled
        );
        return evidence;
    }
    if scenario.view.is_some_and(|view| view.hosts == scene::Some2(0, u32::MAX)) {
        println!("{}", views::judge(scenario, &outcome.seen, &outcome.held));
    }
    println!("{}", outcome.last_line(scenario));
    outcome.evidence(scenario)
}
