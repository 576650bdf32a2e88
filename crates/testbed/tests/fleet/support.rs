//! A small fleet for the tests: five hosts, three nodes, a discovery service that serves ten polls a second.
use mallowseam_scenarios::fleet::{self as scenario, Scenario};
use mallowseam_testbed::fleet::outcome::Outcome;
use mallowseam_testbed::fleet::processes::Program;
use mallowseam_testbed::fleet::testbed::{self, Testbed};
use std::time::Duration;
use tempfile::TempDir;

/// Script of the small fleet, without faults.
pub const HEAD: &str = "day 6s\nhosts 5 known now\nzones 2\nnodes 3 cores 2 work 5ms queue 32\nlines 64 1ms\n\
    cold 25% 3s 4 1s 60 3s\nclients rate 60/s posts 30% again 1\nlist takes 100ms patience 1s lag 50ms\n";

/// Far longer than any condition of the tests takes.
const TIMEOUT: Duration = Duration::from_secs(45);

pub fn scenario(text: &str) -> Scenario {
    scenario::parse("story", text).expect("a sound script")
}

/// The small fleet with parts of its script replaced.
pub fn changed(changes: &[(&str, &str)]) -> Scenario {
    scenario(&replaced(HEAD, changes))
}

/// A script with parts replaced, each of which must occur in it.
pub fn replaced(script: &str, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(script.to_owned(), |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replace(old, new)
    })
}

/// The host that was built with these tests.
pub fn program() -> Program {
    Program {
        path: env!("CARGO_BIN_EXE_mallowseam-testbed").into(),
        args: vec!["host".into(), "host".into()],
    }
}

pub fn open(scenario: &Scenario, seed: u64) -> (Testbed, TempDir) {
    let dir = tempfile::tempdir().expect("a directory");
    (
        Testbed::open(scenario, seed, &program(), dir.path()).expect("a testbed"),
        dir,
    )
}

/// Plays a script to its end.
pub fn play(text: &str, seed: u64, program: &Program) -> Outcome {
    let dir = tempfile::tempdir().expect("a directory");
    testbed::run(&scenario(text), seed, program, dir.path(), &mut |_, _| {}).expect("a run")
}

/// Runs until a condition holds, and fails if it does not in time.
pub fn wait_for(testbed: &mut Testbed, what: &str, condition: impl FnMut(&mut Testbed) -> bool) {
    assert!(testbed.wait_for(TIMEOUT, condition), "timeout: {what}");
}

/// Fails unless no process crashed, no rule was violated, and each request got one response.
pub fn assert_clean(outcome: &Outcome) {
    assert!(outcome.crashed.is_empty(), "{:?}", outcome.crashed);
    assert!(
        outcome.verdict.is_clean(),
        "{}",
        outcome.verdict.evidence().join("\n")
    );
    assert_eq!(
        (outcome.verdict.unanswered, outcome.verdict.duplicated),
        (0, 0)
    );
}

/// Ends a run and checks it.
pub fn finish(testbed: Testbed) -> Outcome {
    let outcome = testbed.finish();
    assert_clean(&outcome);
    outcome
}
