//! Subcommand `rehearse` for the script of a fleet.
use super::{CommandResult, Finding, RehearseOptions};
use mallowseam_audit::membership;
use mallowseam_scenarios::fleet::{self as scenario, IndexRange, Scenario};
use mallowseam_scenarios::{builtin, fault_schedule};
use mallowseam_testbed::fleet::outcome::Outcome;
use mallowseam_testbed::fleet::{processes, testbed};
use std::error::Error;

/// Name of the script whose faults are drawn by the seed.
const RANDOM_SCRIPT: &str = "fleet-storm";
/// Default number of hosts of the random script.
const RANDOM_SCRIPT_HOSTS: u32 = 40;

/// Suffix of files that contain a fleet's script.
const SCRIPT_SUFFIX: &str = ".fleet";

/// Returns the text of a fleet's script, built in or from a file, or `None` if the name is not that of a fleet's
/// script. The text of the random script is empty, because each seed draws its own.
pub(super) fn script_text(name: &str) -> Result<Option<String>, Box<dyn Error>> {
    if name == RANDOM_SCRIPT {
        return Ok(Some(String::new()));
    }
    if let Some(text) = builtin::fleet(name) {
        return Ok(Some(text.to_owned()));
    }
    if !name.ends_with(SCRIPT_SUFFIX) {
        return Ok(None);
    }
    let text =
        std::fs::read_to_string(name).map_err(|e| format!("cannot read script {name}: {e}"))?;
    Ok(Some(text))
}

/// Plays a fleet's script with each of the consecutive seeds.
pub(super) fn play(text: &str, options: &RehearseOptions) -> CommandResult {
    let this = std::env::current_exe()?;
    let program = processes::Program::next_to(&this);
    let program = if options.as_before {
        program.with_arguments(&["--list-turn", "0"])
    } else {
        program
    };
    let mut passed = true;
    for seed in options.seed..options.seed + options.seeds {
        passed &= play_seed(text, options, seed, &program)?;
    }
    Ok(Finding::from(passed))
}

fn parse_scenario(
    text: &str,
    options: &RehearseOptions,
    seed: u64,
) -> Result<Scenario, Box<dyn Error>> {
    let name = &options.script;
    if name == RANDOM_SCRIPT {
        let text =
            fault_schedule::random_script(options.hosts.unwrap_or(RANDOM_SCRIPT_HOSTS), seed);
        return Ok(scenario::parse(name, &text)?);
    }
    let scenario = scenario::parse(name, text)?;
    Ok(options
        .hosts
        .map_or(scenario.clone(), |hosts| scenario.scaled(hosts)))
}

fn play_seed(
    text: &str,
    options: &RehearseOptions,
    seed: u64,
    program: &processes::Program,
) -> Result<bool, Box<dyn Error>> {
    let scenario = parse_scenario(text, options, seed)?;
    println!(
        "{}, seed {seed}: {} hosts, {} nodes, {} s",
        options.script,
        scenario.hosts,
        scenario.nodes,
        scenario.duration / 1_000_000
    );
    let dir = tempfile::tempdir()?;
    let outcome = testbed::run(&scenario, seed, program, dir.path(), &mut |at, line| {
        if !options.quiet {
            println!("{:>7.2} s  {line}", at as f64 / 1e6);
        }
    })?;
    if !options.quiet {
        print!("{}", outcome.table());
    }
    let evidence = report(&options.script, &scenario, &outcome);
    if !evidence.is_empty() {
        for line in &evidence {
            println!("{line}");
        }
        println!("logs and configurations: {}", dir.keep().display());
    }
    Ok(evidence.is_empty())
}

/// Prints the result of a run, and returns the evidence of violated rules.
fn report(name: &str, scenario: &Scenario, outcome: &Outcome) -> Vec<String> {
    if let Some(text) = outcome.compare_membership_groups(scenario) {
        println!("{text}");
    }
    if name == RANDOM_SCRIPT {
        // The script restarts many hosts, which causes many polls: their number is not checked.
        let mut evidence = outcome.violations();
        let membership = membership::check(
            &scenario.membership_run(),
            &outcome.observations,
            &outcome.membership_samples,
        );
        let verdict = &outcome.verdict;
        evidence.extend(membership.evidence());
        println!(
            "{} looks; {:.0} bytes a second and host",
            outcome.membership_samples.len(),
            outcome.membership_bytes_per_second
        );
        println!(
            "{membership}; rules kept: {} of 7; unanswered {}, doubled {}",
            verdict.rules_upheld(),
            verdict.unanswered,
            verdict.duplicated
        );
        return evidence;
    }
    if scenario
        .membership
        .is_some_and(|m| m.participants == IndexRange::ALL)
    {
        println!(
            "{}",
            membership::check(
                &scenario.membership_run(),
                &outcome.observations,
                &outcome.membership_samples
            )
        );
    }
    println!("{}", outcome.summary(scenario));
    outcome.evidence(scenario)
}
