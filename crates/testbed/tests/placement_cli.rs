//! `mallowseam shares` as an operator uses it.
use std::fmt::Write;
use std::process::Command;

const PROBLEM: &str = "node a\n  capacity 10/s\n  zone east\nnode b\n  capacity 10.5/s\n  zone east\nnode c\n  \
capacity 8/s\n  zone west\n  cost 2\nvolume water\n  reserve 6/s\n  surge 12/s\n  spread 2\n  survives node\n  \
apart\nvolume gas\n  reserve 4.25/s\n  surge 9/s\n  price 1800\nvolume tax\n  reserve 1/s\n  surge 20/s\n  \
today a\n";

/// Runs `shares WHAT` on these files' texts; exit code and what was printed.
fn shares(what: &str, texts: &[&str]) -> (i32, String) {
    let dir = tempfile::tempdir().expect("a directory");
    let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
    command.args(["host", "shares", what]);
    for (i, text) in texts.iter().enumerate() {
        let file = dir.path().join(format!("f{i}"));
        std::fs::write(&file, text).expect("a file");
        command.arg(file);
    }
    let out = command.output().expect("a run");
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
        "apart: {best}"
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
    let tight = PROBLEM
        .replace("reserve 4.25/s", "reserve 9.001/s")
        .replace("reserve 1/s", "reserve 9/s")
        .replace("surge 9/s", "surge 10/s");
    let (code, output) = shares("work-out", &[&tight]);
    assert_eq!(code, 3, "{output}");
    let named = [
        "volume gas reserves 9.001/s",
        "volume tax reserves 9.000/s",
        "volume water reserves 6.000/s",
    ];
    for wanted in named
        .into_iter()
        .chain(["least relaxation: all capacities times"])
    {
        assert!(output.contains(wanted), "{wanted} in\n{output}");
    }
}

#[test]
fn all_mistakes_of_a_file_are_reported_at_once() {
    let bad = "node a\n  capacity 10\n  zones x\nnode a\n  capacity 1.2345/s\nvolume v\n  survives all\n  spread 9\n";
    let (code, output) = shares("work-out", &[bad]);
    assert_eq!(code, 2);
    for wanted in [
        ":2:12: expected units a second",
        ":3:3: expected a directive of section `node`, found `zones`",
        ":5:12: expected units a second",
        ":7:12: expected node or zone, found `all`",
        ":8:10: expected 1 to 8 nodes, found `9`",
    ] {
        assert!(output.contains(wanted), "{wanted} in\n{output}");
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
    let lies = |volume: &str| {
        let line = answer
            .lines()
            .find(|l| l.starts_with(&format!("place {volume} ")))
            .expect("placed");
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
        let node = &lies(volume)[0];
        writeln!(
            conf,
            "volume {volume}\n  lun {i}\n  plan free\n  blocks 64\n  block-size 512B\n  hosts 1\n  extent 0 64 {node} at \
             {}\n  rule any any",
            i * 64
        )
        .expect("writing to memory");
    }
    for (i, n) in ["a", "b", "c"].iter().enumerate() {
        writeln!(
            conf,
            "node {n}\n  address 127.0.0.1:{}\n  target iqn.t:{n}",
            4000 + i
        )
        .expect("writing to memory");
    }
    // Water is not in this configuration.
    let (code, output) = shares("apply", &[&problem, &answer, &conf]);
    assert!(
        code == 2 && output.contains("volume water: not in the configuration"),
        "{output}"
    );
    let two = |text: &str| {
        text.lines()
            .filter(|l| !l.contains(" water "))
            .collect::<Vec<_>>()
            .join("\n")
    };
    let few = problem.replace(
        "volume water\n  reserve 6/s\n  surge 12/s\n  spread 2\n  survives node\n  apart\n",
        "",
    );
    let (code, output) = shares("apply", &[&few, &two(&answer), &conf]);
    assert!(
        code == 0
            && output.contains("plan free-tax: new")
            && output.contains("volume gas: plan free-gas"),
        "{output}"
    );
    let other = if lies("tax") == ["b"] { "c" } else { "b" };
    let moved = two(&answer).replace(
        &format!("place tax {}", lies("tax")[0]),
        &format!("place tax {other}"),
    );
    let (code, output) = shares("apply", &[&few, &moved, &conf]);
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
        assert!(answer.contains(part), "{part} in\n{answer}");
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
