//! Rehearsals with faults through real host processes. Guards against rules that hosts break under faults, and against
//! an audit of runs in which hardly any command completes.
use mallowseam_scenarios::builtin;
use mallowseam_scenarios::rehearsal as script;
use mallowseam_testbed::process::Program;
use mallowseam_testbed::rehearsal::{ChangeLogReport, Outcome, run};

fn play(text: &str, seed: u64) -> Outcome {
    let scenario = script::parse("test", text).expect("invalid script");
    let path = env!("CARGO_BIN_EXE_mallowseam-testbed").into();
    run(
        &scenario,
        seed,
        &Program {
            path,
            args: vec!["host".into()],
        },
        &mut |_, _| {},
    )
    .expect("rehearsal failed")
}

fn assert_rules_kept(outcome: &Outcome) {
    assert!(outcome.failures.is_empty(), "{:?}", outcome.failures);
    assert!(
        outcome.verdict.passed(),
        "{}\n{}",
        outcome.verdict.evidence().join("\n"),
        outcome.verdict
    );
}

#[test]
fn short_scenario_with_faults_keeps_all_rules() {
    let outcome = play(
        builtin::rehearsal("short").expect("no built-in script of this name"),
        3,
    );
    assert_rules_kept(&outcome);
    assert!(
        outcome.verdict.completed > 100 && outcome.verdict.blocks_checked > 500,
        "{}",
        outcome.verdict
    );
}

#[test]
fn scenario_without_faults_completes_nearly_all_and_fails_none() {
    let without_faults: String = builtin::rehearsal("short")
        .expect("no built-in script of this name")
        .lines()
        .filter(|l| !l.starts_with("at "))
        .flat_map(|line| [line, "\n"])
        .collect();
    let outcome = play(&without_faults, 4);
    assert_rules_kept(&outcome);
    assert_eq!(outcome.verdict.failed, 0);
    assert!(
        outcome.verdict.completed * 10 > outcome.verdict.accepted * 7,
        "{}",
        outcome.verdict
    );
}

#[test]
fn all_mistakes_of_a_script_are_reported() {
    let text = "day 4\nhosts 0\nnodes 6 core 1\nat 1s node any0 silent\nat 2s nod 1 crash for 1s\nday 1s x\n";
    let problems = script::parse("s", text)
        .expect_err("script with mistakes was accepted")
        .to_string();
    for expected in [
        "s:1:5: expected a duration such as 3s, found `4`",
        "s:2:7: expected 1 to 64, found `0`",
        "s:3:9: expected cores, work or queue, found `core`",
        "s:4:23: expected for DURATION, found the end of the line",
        "s:5:7: expected node, host, client, list, surge, load, half-logins, garbage, snapshot, clone, catalog or control, found `nod`",
        "s:1:1: expected `clients` in the script, found none",
    ] {
        assert!(
            problems.contains(expected),
            "{expected}\nnot in\n{problems}"
        );
    }
}

#[test]
fn changing_limits_are_kept_and_the_change_log_replays() {
    let night = builtin::rehearsal("tariff-night").expect("no built-in script of this name");
    // A quarter of the script: four hosts, and the plan service is killed once.
    let text = night
        .replace("hosts 16", "hosts 4")
        .replace("day 34s", "day 9s")
        .replace("clients 48", "clients 16");
    let short: String = text
        .lines()
        .filter(|l| !l.starts_with("at ") || l.starts_with("at 3s") || l.starts_with("at 6s"))
        .flat_map(|line| [line, "\n"])
        .collect();
    let outcome = play(&short, 5);
    assert_rules_kept(&outcome);
    let ChangeLogReport { versions, replayed } =
        outcome.change_log.expect("no report on the change log");
    assert!(
        versions > 8 && versions == replayed,
        "{replayed} of {versions} versions replayed"
    );
}
