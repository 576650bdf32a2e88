//! Help texts, configuration checks and exit codes.
use crate::harness::{assert_pinned, describe, read_fixture, run};
use std::collections::BTreeSet;

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
fn help_of_every_subcommand_matches_the_fixture() {
    let runs: Vec<Vec<&str>> = SUBCOMMANDS
        .iter()
        .map(|path| [*path, &["--help"]].concat())
        .collect();
    assert_pinned("help.txt", &transcript(&runs));
}

/// Returns the parts of a help text that scripts rely on: the usage line, subcommands, flags, defaults and possible
/// values.
fn interface(help: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    let mut is_in_commands = false;
    for line in help.lines() {
        is_in_commands = (is_in_commands && !line.is_empty()) || line == "Commands:";
        if line.starts_with("Usage: ") {
            found.insert(line.to_owned());
        }
        if is_in_commands && line.starts_with("  ") {
            let name = line.split_whitespace().next().expect("the line has a word");
            found.insert(format!("subcommand {name}"));
        }
        found.extend(flags(line));
        for label in ["[default: ", "[possible values: "] {
            found.extend(bracketed(line, label).map(|value| format!("{label}{value}]")));
        }
    }
    found
}

/// Returns the flags, including aliases, that a line of a help text specifies.
fn flags(line: &str) -> Vec<String> {
    let line = line.trim_start();
    let is_specification = line.starts_with('-');
    let specification = line.split("  ").next().filter(|_| is_specification);
    let alias = bracketed(line, "[alias: ");
    specification
        .unwrap_or_default()
        .split_whitespace()
        .chain(alias)
        .filter(|word| word.starts_with("--"))
        .map(str::to_owned)
        .collect()
}

/// Returns the text between a label and the closing bracket.
fn bracketed<'a>(line: &'a str, label: &str) -> Option<&'a str> {
    let (_, after) = line.split_once(label)?;
    after.split_once(']').map(|(value, _)| value)
}

/// The fixture lists, below each command line, all that scripts may rely on, one item per line. Later versions may add
/// items and reword their help texts, but must keep all items.
#[test]
fn subcommands_flags_and_defaults_are_kept() {
    let pinned = read_fixture("interface.txt");
    let mut checked = 0;
    for section in pinned.split("$ mallowseam").skip(1) {
        let (arguments, expected) = section
            .split_once('\n')
            .expect("a command line comes first");
        let output = run(&arguments.split_whitespace().collect::<Vec<_>>());
        let found = interface(&String::from_utf8(output.stdout).expect("help is text"));
        for line in expected.lines() {
            assert!(
                found.contains(line),
                "help text of `mallowseam{arguments}` lacks `{line}`"
            );
        }
        checked += 1;
    }
    assert_eq!(checked, SUBCOMMANDS.len());
}

#[test]
fn renamed_flags_are_accepted_by_their_old_names() {
    let renamed: [(&[&str], &str, &str); 4] = [
        (&["verify", "missing.conf"], "--mend", "--reclaim"),
        (
            &["plan", "history", "missing.conf"],
            "--most=3",
            "--limit=3",
        ),
        (
            &["shares", "moves", "missing.conf", "missing.conf"],
            "--data=3",
            "--max-data=3",
        ),
        (
            &["fleet", "127.0.0.1:1", "--watch"],
            "--looks=3",
            "--polls=3",
        ),
    ];
    for (arguments, old, new) in renamed {
        let by_old_name = describe(&run(&[arguments, &[old]].concat()));
        let by_new_name = describe(&run(&[arguments, &[new]].concat()));
        assert_eq!(by_old_name, by_new_name);
        assert!(!by_old_name.contains("Usage"), "{by_old_name}");
    }
}

#[test]
fn checks_of_configurations_match_the_fixture() {
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
fn errors_and_exit_codes_of_rejected_command_lines_match_the_fixture() {
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
