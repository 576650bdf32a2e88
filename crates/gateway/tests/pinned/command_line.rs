//! Help texts, configuration checks and exit codes.
use crate::harness::{assert_pinned, describe, run};

const SUBCOMMANDS: [&[&str]; 41] = [
    &[],
    &["run"],
    &["host"],
    &["catalog"],
    &["control"],
    &["plan"],
    &["plan", "set"],
    &["plan", "of"],
    &["plan", "drop"],
    &["plan", "show"],
    &["plan", "history"],
    &["plan", "diff"],
    &["plan", "undo"],
    &["plan", "hosts"],
    &["plan", "gone"],
    &["plan", "replay"],
    &["shares"],
    &["shares", "work-out"],
    &["shares", "explain"],
    &["shares", "compare"],
    &["shares", "apply"],
    &["shares", "replay"],
    &["shares", "moves"],
    &["verify"],
    &["snapshot"],
    &["snapshot", "take"],
    &["snapshot", "list"],
    &["snapshot", "diff"],
    &["snapshot", "clone"],
    &["snapshot", "rollback"],
    &["snapshot", "export"],
    &["snapshot", "import"],
    &["snapshot", "delete"],
    &["check"],
    &["fleet"],
    &["status"],
    &["demand"],
    &["reload"],
    &["drain"],
    &["undrain"],
    &["stop"],
];

fn transcript(runs: &[Vec<&str>]) -> String {
    let one = |arguments: &Vec<&str>| {
        format!(
            "$ mallowseam {}\n{}\n",
            arguments.join(" "),
            describe(&run(arguments))
        )
    };
    runs.iter().map(one).collect()
}

#[test]
fn help_of_every_subcommand_is_as_it_was() {
    let runs: Vec<Vec<&str>> = SUBCOMMANDS
        .iter()
        .map(|path| [*path, &["--help"]].concat())
        .collect();
    assert_pinned("help.txt", &transcript(&runs));
}

#[test]
fn checks_of_configurations_are_as_they_were() {
    let files = [
        "every-directive.conf",
        "refused-values.conf",
        "refused-references.conf",
        "missing.conf",
    ];
    let runs: Vec<Vec<&str>> = files.iter().map(|file| vec!["check", file]).collect();
    assert_pinned("checks.txt", &transcript(&runs));
}

#[test]
fn refused_command_lines_have_their_texts_and_exit_codes() {
    let file = "every-directive.conf";
    let by = ["--author", "a", "--reason", "b"];
    let by = |arguments: &[&'static str]| [arguments, &by].concat();
    let runs = vec![
        vec![],
        vec!["walk"],
        vec!["status"],
        vec!["status", file, "--control", "x"],
        vec!["run", "missing.conf"],
        vec!["run", file, "--log", "loud"],
        vec!["host"],
        vec!["host", "--list-turn", "10001"],
        vec!["status", file],
        vec!["status", "--control", "missing.sock"],
        vec!["drain", "refused-references.conf"],
        vec!["snapshot", "list", file],
        vec!["snapshot", "take", "missing.conf", "a", "b"],
        vec!["plan", "show", file],
        by(&["plan", "set", file, "basic", "limit=1"]),
        by(&["plan", "of", file, "a", "b"]),
        vec!["plan", "of", file, "a", "b"],
        vec!["fleet", "127.0.0.1:1", "127.0.0.1:2"],
        vec!["fleet", "127.0.0.1:1", "--json", "--watch"],
        vec!["shares", "explain", "missing.conf", "missing.conf"],
        vec!["demand", "missing.conf"],
        vec!["reload", file],
    ];
    assert_pinned("refused-command-lines.txt", &transcript(&runs));
}
