//! Output of the subcommands of `mallowseam shares`, and the configuration that `apply --write` changes.
use crate::harness::{assert_pinned, describe, fixture, program};
use std::fmt::Write;
use std::fs;

const RUNS: [&str; 18] = [
    "work-out shares-problem.conf",
    "work-out shares-problem.conf --seconds 1 --seed 3",
    "work-out shares-infeasible.conf",
    "work-out shares-malformed.conf",
    "work-out shares-contradictory.conf",
    "work-out shares-unknown-volume.conf",
    "explain shares-problem.conf shares-best.txt",
    "explain shares-problem.conf shares-worse.txt",
    "explain shares-problem.conf shares-malformed.txt",
    "compare shares-problem.conf shares-best.txt shares-worse.txt",
    "moves shares-problem.conf shares-worse.txt",
    "moves shares-problem.conf shares-worse.txt --data 10",
    "replay shares-problem.conf shares-record.txt shares-best.txt shares-worse.txt",
    "replay shares-problem.conf shares-malformed-record.txt shares-best.txt",
    "apply shares-problem.conf shares-best.txt shares-host.conf",
    "apply shares-problem.conf shares-best.txt shares-host-placed.conf",
    "apply shares-problem.conf shares-best.txt shares-host-placed.conf --write",
    "apply shares-problem.conf shares-best.txt shares-host-placed.conf",
];

#[test]
fn output_and_changed_configuration_match_the_fixtures() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    for entry in fs::read_dir(fixture("")).expect("the fixtures can be listed") {
        let path = entry.expect("the fixtures can be listed").path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .expect("the name is UTF-8");
        if name.starts_with("shares-") {
            fs::copy(&path, directory.path().join(name)).expect("the fixture can be copied");
        }
    }
    let mut transcript = String::new();
    for line in RUNS {
        let arguments: Vec<&str> = ["shares"].into_iter().chain(line.split(' ')).collect();
        let output = program(&arguments)
            .current_dir(directory.path())
            .output()
            .expect("the program runs");
        writeln!(
            transcript,
            "$ mallowseam shares {line}\n{}",
            describe(&output)
        )
        .expect("writing to memory");
    }
    assert_pinned("shares.txt", &transcript);
    let written = fs::read_to_string(directory.path().join("shares-host-placed.conf"))
        .expect("the configuration can be read");
    assert_pinned("written-shares-host.conf", &written);
}
