//! Small fleet for the tests: five hosts, three nodes, and a discovery service that serves ten polls per second.
use mallowseam_scenarios::fleet::{self as scenario, Scenario};
use mallowseam_testbed::fleet::outcome::Outcome;
use mallowseam_testbed::fleet::processes::Program;
use mallowseam_testbed::fleet::testbed::{self, Testbed};
use std::time::Duration;
use tempfile::TempDir;

/// Script of the small fleet, without faults.
pub const HEAD: &str = "day 6s\nhosts 5 known now\nzones 2\nnodes 3 cores 2 work 5ms queue 32\nlines 64 1ms\n\
    cold 25% 3s 4 1s 60 3s\nclients rate 60/s posts 30% again 1\nlist takes 100ms patience 1s lag 50ms\n";

/// Time in which a condition must hold: far longer than any condition of the tests takes.
const TIMEOUT: Duration = Duration::from_secs(45);

/// Parses a script.
pub fn scenario(text: &str) -> Scenario {
    scenario::parse("story", text).expect("invalid script")
}

/// Returns the scenario of the small fleet with parts of its script replaced.
pub fn changed(changes: &[(&str, &str)]) -> Scenario {
    scenario(&replaced(HEAD, changes))
}

/// Returns a script with parts replaced. Each part must occur in the script.
pub fn replaced(script: &str, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(script.to_owned(), |text, (old, new)| {
        assert!(text.contains(old), "script lacks `{old}`");
        text.replace(old, new)
    })
}

/// Returns the program of the hosts, which was built with these tests.
pub fn program() -> Program {
    Program {
        path: env!("CARGO_BIN_EXE_mallowseam-testbed").into(),
        args: vec!["host".into(), "host".into()],
    }
}

/// Opens a testbed in a new temporary directory, without starting any host.
pub fn open(scenario: &Scenario, seed: u64) -> (Testbed, TempDir) {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    (
        Testbed::open(scenario, seed, &program(), dir.path()).expect("cannot open the testbed"),
        dir,
    )
}

/// Plays a script, and returns its outcome.
pub fn play(text: &str, seed: u64, program: &Program) -> Outcome {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    testbed::run(&scenario(text), seed, program, dir.path(), &mut |_, _| {})
        .expect("testbed failed")
}

/// Runs until a condition holds, and panics if it does not hold in time.
pub fn wait_for(testbed: &mut Testbed, name: &str, condition: impl FnMut(&mut Testbed) -> bool) {
    assert!(testbed.wait_for(TIMEOUT, condition), "timeout: {name}");
}

/// Asserts that no process crashed, no rule was violated, and each request got exactly one response.
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

/// Ends a run, and asserts that it was clean.
pub fn finish(testbed: Testbed) -> Outcome {
    let outcome = testbed.finish();
    assert_clean(&outcome);
    outcome
}
