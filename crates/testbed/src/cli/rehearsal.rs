//! Subcommand `demo`, and `rehearse` for a scenario of iSCSI hosts.
use super::{CommandResult, Finding, program, rehearsal_report};
use mallowseam_scenarios::builtin;
use mallowseam_scenarios::rehearsal as script;
use mallowseam_scenarios::rehearsal::Scenario;
use mallowseam_testbed::rehearsal;

pub(super) fn demo(seed: u64) -> CommandResult {
    play("demo", seed, 1, false)
}

/// Plays a script, built in or from a file, with each of the consecutive seeds.
pub(super) fn play(name: &str, first_seed: u64, seeds: u64, quiet: bool) -> CommandResult {
    let text = match builtin::rehearsal(name) {
        Some(text) => text.to_owned(),
        None => {
            std::fs::read_to_string(name).map_err(|e| format!("cannot read script {name}: {e}"))?
        }
    };
    let scenario = script::parse(name, &text)?;
    let mut passed = true;
    for seed in first_seed..first_seed + seeds {
        print_title(name, seed, &scenario);
        let outcome = rehearsal::run(&scenario, seed, &program(), &mut |at, line| {
            if !quiet {
                println!("{:>7.2} s  {line}", at as f64 / 1e6);
            }
        })?;
        rehearsal_report::print(&outcome, quiet);
        passed &= outcome.passed();
    }
    Ok(Finding::from(passed))
}

fn print_title(name: &str, seed: u64, scenario: &Scenario) {
    println!(
        "{name}, seed {seed}: {} hosts, {} nodes, {} clients, {} s",
        scenario.hosts,
        scenario.nodes,
        scenario.clients,
        scenario.duration / 1_000_000
    );
}
