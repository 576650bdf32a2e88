//! Tests of `mallowseam shares` as an operator uses it: the commands must agree with each other, and invalid files must
//! be reported in full.
use std::fmt::Write;
use std::process::Command;

/// Placement problem of three nodes and three volumes, with a solution.
const PROBLEM: &str = "node a\n  capacity 10/s\n  zone east\nnode b\n  capacity 10.5/s\n  zone east\nnode c\n  \
capacity 8/s\n  zone west\n  cost 2\nvolume water\n  reserve 6/s\n  surge 12/s\n  spread 2\n  survives node\n  \
apart\nvolume gas\n  reserve 4.25/s\n  surge 9/s\n  price 1800\nvolume tax\n  reserve 1/s\n  surge 20/s\n  \
today a\n";

/// Runs a subcommand of `shares` on files with the given texts. Returns its exit code and output.
fn shares(subcommand: &str, texts: &[&str]) -> (i32, String) {
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
    command.args(["host", "shares", subcommand]);
    for (i, text) in texts.iter().enumerate() {
        let file = dir.path().join(format!("f{i}"));
        std::fs::write(&file, text).expect("cannot write the file");
        command.arg(file);
    }
    let out = command.output().expect("cannot run the program");
    let text = [out.stdout, out.stderr].concat();
    (
        out.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn work_out_explain_and_compare_agree() {
    let (code, best) = shares("work-out", &[PROBLEM]);
    assert!(code == 0 && best.contains("proven best"), "{best}");
    assert!(
        best.lines()
            .any(|l| l.starts_with("place water ") && l.ends_with(" c")),
        "volume water is not placed apart on c: {best}"
    );
    let (code, output) = shares("explain", &[PROBLEM, &best]);
    assert!(code == 0 && output.contains("all reserves fit"), "{output}");
    let worse = "place water a c\nplace gas a\nplace tax a\n";
    let (code, output) = shares("compare", &[PROBLEM, &best, worse]);
    assert!(
        code == 0 && output.contains("water:") || output.contains("gas:"),
        "{output}"
    );
}

#[test]
fn infeasible_problem_has_its_own_exit_code_and_names_the_conflict() {
    let infeasible = PROBLEM
        .replace("reserve 4.25/s", "reserve 9.001/s")
        .replace("reserve 1/s", "reserve 9/s")
        .replace("surge 9/s", "surge 10/s");
    let (code, output) = shares("work-out", &[&infeasible]);
    assert_eq!(code, 3, "{output}");
    let reserves = [
        "volume gas reserves 9.001/s",
        "volume tax reserves 9.000/s",
        "volume water reserves 6.000/s",
    ];
    for expected in reserves
        .into_iter()
        .chain(["least relaxation: all capacities times"])
    {
        assert!(output.contains(expected), "{expected} not in\n{output}");
    }
}

#[test]
fn all_mistakes_of_a_file_are_reported_at_once() {
    let text = "node a\n  capacity 10\n  zones x\nnode a\n  capacity 1.2345/s\nvolume v\n  survives all\n  spread 9\n";
    let (code, output) = shares("work-out", &[text]);
    assert_eq!(code, 2);
    for expected in [
        ":2:12: expected units a second",
        ":3:3: expected a directive of section `node`, found `zones`",
        ":5:12: expected units a second",
        ":7:12: expected node or zone, found `all`",
        ":8:10: expected 1 to 8 nodes, found `9`",
    ] {
        assert!(output.contains(expected), "{expected} not in\n{output}");
    }
    let (code, output) = shares(
        "work-out",
        &["node a\n  capacity 1/s\nnode a\n  capacity 2/s\n"],
    );
    assert!(
        code == 2 && output.contains("expected unique node names"),
        "{output}"
    );
}

#[test]
fn migration_steps_keep_every_intermediate_placement_feasible() {
    let (code, best) = shares("work-out", &[PROBLEM]);
    assert_eq!(code, 0, "{best}");
    let (code, output) = shares(
        "moves",
        &[&PROBLEM.replace("today a", "size 30\n  today c"), &best],
    );
    assert!(
        code == 0 && output.contains("move tax c ") && output.contains("move water - "),
        "{output}"
    );
    assert!(output.contains("steps, data moved 30"), "{output}");
}

#[test]
fn chosen_shares_are_written_into_a_configuration_that_a_host_can_load() {
    let problem = PROBLEM
        .replace("volume tax\n", "volume tax\n  reserve-most 3/s\n")
        .replace("today a", "today c");
    let (code, answer) = shares("work-out", &[&problem]);
    assert!(
        code == 0 && answer.contains("share tax reserve 3.000/s weight "),
        "{answer}"
    );
    assert!(answer.contains("# with these shares "), "{answer}");
    let placed_on = |volume: &str| {
        let line = answer
            .lines()
            .find(|l| l.starts_with(&format!("place {volume} ")))
            .expect("volume has no place");
        line.split(' ')
            .skip(2)
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let mut conf = String::from(
        "host gw0\n  listen 127.0.0.1:3260\n  target iqn.t:g\n  node-list static\n  window 8\n  connections 4\n  \
         longest 1MiB\nfleet\n  hosts 1\n  unit 4KiB\n  mean-units 1\n  largest-units 8\n  submits 2\nplan free # all\n  \
         reserve 1/s\ngroup any\n  effect idempotent\n  goal 1s\n  hard-limit 2s\n",
    );
    for (i, volume) in ["gas", "tax"].iter().enumerate() {
        let node = &placed_on(volume)[0];
        writeln!(
            conf,
            "volume {volume}\n  lun {i}\n  plan free\n  blocks 64\n  block-size 512B\n  hosts 1\n  extent 0 64 {node} at \
             {}\n  rule any any",
            i * 64
        )
        .expect("writing to a string does not fail");
    }
    for (i, n) in ["a", "b", "c"].iter().enumerate() {
        writeln!(
            conf,
            "node {n}\n  address 127.0.0.1:{}\n  target iqn.t:{n}",
            4000 + i
        )
        .expect("writing to a string does not fail");
    }
    // The configuration lacks the volume `water`.
    let (code, output) = shares("apply", &[&problem, &answer, &conf]);
    assert!(
        code == 2 && output.contains("volume water: not in the configuration"),
        "{output}"
    );
    let without_water = |text: &str| {
        text.lines()
            .filter(|l| !l.contains(" water "))
            .collect::<Vec<_>>()
            .join("\n")
    };
    let problem_without_water = problem.replace(
        "volume water\n  reserve 6/s\n  surge 12/s\n  spread 2\n  survives node\n  apart\n",
        "",
    );
    let (code, output) = shares(
        "apply",
        &[&problem_without_water, &without_water(&answer), &conf],
    );
    assert!(
        code == 0
            && output.contains("plan free-tax: new")
            && output.contains("volume gas: plan free-gas"),
        "{output}"
    );
    let other = if placed_on("tax") == ["b"] { "c" } else { "b" };
    let moved = without_water(&answer).replace(
        &format!("place tax {}", placed_on("tax")[0]),
        &format!("place tax {other}"),
    );
    let (code, output) = shares("apply", &[&problem_without_water, &moved, &conf]);
    assert!(
        code == 2
            && output.contains("volume tax: data is on ")
            && output.contains("move its data first"),
        "{output}"
    );
}

#[test]
fn limits_are_split_over_hosts_by_demand_and_add_up() {
    let hosts = "host h1\n  sends tax 8/s\nhost h2\n  sends tax 1/s\nhost h3\n";
    let problem = PROBLEM.replace("volume tax\n", "volume tax\n  limit 9/s\n") + hosts;
    let (code, answer) = shares("work-out", &[&problem]);
    assert_eq!(code, 0, "{answer}");
    for part in [
        "part tax h1 6.750/s",
        "part tax h2 1.500/s",
        "part tax h3 0.750/s",
    ] {
        assert!(answer.contains(part), "{part} not in\n{answer}");
    }
    let (code, output) = shares("explain", &[&problem, &answer]);
    assert_eq!(code, 0, "{output}");
    let (code, output) = shares(
        "work-out",
        &[&problem.replace("sends tax 1/s", "sends oil 1/s")],
    );
    assert!(
        code == 2 && output.contains("volume oil, which the file lacks"),
        "{output}"
    );
}
