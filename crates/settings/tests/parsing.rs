//! Parsing of configurations: a file is parsed in full, and all errors in it are reported together.
use mallowseam_settings::config::{Direction, Idempotency};
use mallowseam_settings::edit::{self, Share};
use mallowseam_settings::{parse, reload};
use proptest::prelude::*;

const VALID: &str = r#"
# a small site
host gw1
    listen 127.0.0.1:3260
    target iqn.2026-12.example:ledgers
    control "/run/mallow seam/gw1.sock"
    node-list 127.0.0.1:7000
    window 32
    connections 100
    longest 1MiB
    digests header data
fleet
    hosts 3
    unit 4KiB
    mean-units 2
    largest-units 8
    share-gain 35%
    spare-gain 10%
    submits 3
    order-rest 200ms
    cold 23% 18s 2 3s 4
    further 3 10% 10s
plan basic
    usual 20/s
    limit 40/s burst 16
group lookup
    effect idempotent
    goal 0.2s
    hard-limit 1s
    gain 3
group post
    effect side-effecting
    goal 250ms
    hard-limit 2s
    ordered
volume water
    lun 1
    plan basic
    blocks 2048
    block-size 512B
    hosts 3
    extent 1024 1024 brick2 at 0
    extent 0 1024 brick1 at 64
    rule read lookup
    rule write blocks 0-99 post key 8   # accounts
    rule write lookup
node brick1
    address 127.0.0.1:4001
    target iqn.2026-12.example:brick1
node brick2
    address 127.0.0.1:4002
    target iqn.2026-12.example:brick2
    zone b
"#;

#[test]
fn valid_file_is_parsed() {
    let site = parse("f", VALID).expect("the file is valid");
    assert_eq!(
        site.host.control_socket.as_deref(),
        Some(std::path::Path::new("/run/mallow seam/gw1.sock"))
    );
    assert_eq!(
        (
            site.io_classes[0].latency_objective,
            site.io_classes[1].idempotency
        ),
        (200_000, Idempotency::NonIdempotent)
    );
    let water = &site.volumes[0];
    assert_eq!(
        water
            .extents
            .iter()
            .map(|e| (e.first_block, e.node, e.first_node_block))
            .collect::<Vec<_>>(),
        [(0, 0, 64), (1024, 1, 0)]
    );
    assert_eq!(
        (
            water.rules[1].direction,
            water.rules[1].last_block,
            water.rules[1].blocks_per_key
        ),
        (Direction::Write, 99, 8)
    );
    assert_eq!(
        (
            site.fleet.slow_start_initial_rate,
            site.fleet.overload_window
        ),
        (0.23, 3_000_000)
    );
    assert!(site.host.header_digest && site.host.data_digest);
    assert_eq!(
        site.nodes.iter().map(|n| n.shard).collect::<Vec<_>>(),
        [0, 1]
    );
}

/// Returns the diagnostics of the valid file with one change.
fn diagnostics(from: &str, to: &str) -> Vec<String> {
    assert!(VALID.contains(from), "{from}");
    let diagnostics = parse("f", &VALID.replacen(from, to, 1)).expect_err(to);
    diagnostics.to_string().lines().map(str::to_owned).collect()
}

/// Checks cases of a text of the valid file, its replacement, and the start of one of the diagnostics that result.
fn assert_diagnosed(cases: &[(&str, &str, &str)]) {
    for (from, to, wanted) in cases {
        let found = diagnostics(from, to);
        assert!(
            found.iter().any(|f| f.starts_with(wanted)),
            "{to}: {found:#?}"
        );
    }
}

#[test]
fn malformed_argument_is_reported_at_its_column() {
    assert_diagnosed(&[
        (
            "window 32",
            "window 0",
            "f:8:12: expected 1 to 1024, found `0`",
        ),
        (
            "window 32",
            "window 32 33",
            "f:8:15: expected the end of the line, found `33`",
        ),
        (
            "window 32",
            "window",
            "f:8:11: expected 1 to 1024, found the end of the line",
        ),
        (
            "goal 0.2s",
            "goal 200",
            "f:28:10: expected a duration such as 200ms, found `200`",
        ),
        (
            "blocks 0-99",
            "blocks 9-2",
            "f:45:23: expected FIRST-LAST, found `9-2`",
        ),
        (
            "limit 40/s burst 16",
            "limit 40/s",
            "f:25:15: expected burst UNITS",
        ),
        (
            "\"/run/mallow seam/gw1.sock\"",
            "\"/run",
            "f:6:13: expected a closing quote",
        ),
        (
            "digests header data",
            "digests header full",
            "f:11:20: expected header, data or none",
        ),
        (
            "unit 4KiB",
            "unit 0.3B",
            "f:14:10: expected a size such as 4KiB, found `0.3B`",
        ),
    ]);
}

#[test]
fn invalid_membership_is_reported_at_its_directive() {
    assert_diagnosed(&[
        (
            "window 32",
            "window 32\n fleet south seed x",
            "f:9:19: expected an address and port, found `x`",
        ),
        (
            "window 32",
            "window 32\n fleet south",
            "f:9:2: expected address:port, found another value for listen",
        ),
        (
            "window 32",
            "window 32\n fleet s listen 1.2.3.4:5 period 1ms",
            "f:9:2: expected 50 to 60000 ms",
        ),
    ]);
}

#[test]
fn unknown_missing_or_repeated_directive_is_reported_with_its_section() {
    assert_diagnosed(&[
        (
            "window 32",
            "windows 32",
            "f:8:5: expected a directive of section `host` (listen",
        ),
        (
            "    window 32\n",
            "",
            "f:3:1: expected `window` in this section, found none",
        ),
        (
            "    hosts 3\n    unit",
            "    unit",
            "f:12:1: expected `hosts` in this section",
        ),
        (
            "fleet\n",
            "fleets\n",
            "f:12:1: expected a section: host, fleet",
        ),
        (
            "    gain 3",
            "    gain 3\n    gain 4",
            "f:31:5: expected `gain` once in the section of line 26",
        ),
    ]);
}

#[test]
fn contradiction_within_or_between_sections_is_reported() {
    assert_diagnosed(&[
        (
            "goal 0.2s",
            "goal 5s",
            "f:26:1: expected a goal no longer than the hard limit",
        ),
        (
            "plan basic\n    blocks",
            "plan bsic\n    blocks",
            "f:38:10: expected the name of a plan in this",
        ),
        (
            "brick2 at 0",
            "brick9 at 0",
            "f:42:22: expected the name of a node in this file, found `brick9`",
        ),
        (
            "extent 1024 1024",
            "extent 1000 1024",
            "f:42:22: expected an extent from block 1024 on",
        ),
        (
            "blocks 2048",
            "blocks 4096",
            "f:36:1: expected extents of 4096 blocks in all, found 2048",
        ),
        (
            "brick2 at 0",
            "brick1 at 1000",
            "f:42:22: expected blocks of the node that no other extent uses",
        ),
        (
            " key 8",
            "",
            "f:45:10: expected `key BLOCKS`, since the group is ordered",
        ),
        (
            "    rule write lookup\n",
            "",
            "f:36:1: expected a rule for every write",
        ),
        (
            "node brick2",
            "node brick1",
            "f:50:1: expected a node other than that of line 47",
        ),
    ]);
}

#[test]
fn all_diagnostics_are_reported_in_the_order_of_the_file() {
    let text = VALID
        .replace("window 32", "window x")
        .replace("hosts 3\n    unit", "hosts 0\n    unit");
    let text = text.replace("zone b", "zone b c");
    let lines: Vec<usize> = parse("f", &text)
        .expect_err("three values are invalid")
        .diagnostics
        .iter()
        .map(|p| p.line)
        .collect();
    assert_eq!(lines, [8, 13, 53]);
}

#[test]
fn every_missing_section_of_an_empty_file_is_reported() {
    assert_eq!(
        parse("f", "")
            .expect_err("all sections are missing")
            .diagnostics
            .len(),
        6
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A file that is corrupted at any position is parsed or rejected with positions; the parser never panics.
    #[test]
    fn corrupted_file_is_rejected_or_valid(at in 0..VALID.len(), len in 0usize..30, put in "[ -~\n]{0,12}") {
        let mut text = VALID.as_bytes().to_vec();
        let end = (at + len).min(text.len());
        text.splice(at..end, put.bytes());
        if let Err(diagnostics) = parse("f", &String::from_utf8_lossy(&text)) {
            prop_assert!(diagnostics.diagnostics.iter().all(|p| p.line > 0 && p.column > 0 && !p.expected.is_empty()));
        }
    }
}

/// Returns the valid file with a second volume on the plan of the first.
fn with_two_volumes() -> String {
    let other = "volume gas   # the other one\n    lun 2\n    plan basic\n    blocks 64\n    block-size 512B\n    hosts 3\n    \
                 extent 0 64 brick1 at 9000\n    rule any lookup\n";
    format!("{VALID}{other}").replace(
        "plan basic\n    usual",
        "plan basic\n    weight 2  # as agreed\n    usual",
    )
}

fn share(volume: &str, reserve: u64, weight: u64) -> Share {
    Share {
        volume: volume.into(),
        reserved_milliunits: reserve,
        weight,
    }
}

#[test]
fn shares_are_edited_and_all_other_lines_stay() {
    let text = with_two_volumes();
    let site = parse("site", &text).expect("the file is valid");
    let both = [share("water", 5_500, 7), share("gas", 5_500, 7)];
    let same = edit::apply_shares(&text, &site, &both).expect("the volumes are known");
    assert!(
        same.contains("    weight 7  # as agreed\n") && same.contains("    reserve 5.500/s\n"),
        "{same}"
    );
    let edited = parse("site", &same).expect("the file is valid");
    assert_eq!(
        (
            edited.plans.len(),
            edited.plans[0].reserved_rate,
            edited.plans[0].weight
        ),
        (1, 5.5, 7.0)
    );
    let own =
        edit::apply_shares(&text, &site, &[share("gas", 3_000, 9)]).expect("the volumes are known");
    let edited = parse("site", &own).expect("the file is valid");
    let plan = |v: &str| {
        &edited.plans[edited
            .volumes
            .iter()
            .find(|w| w.name == v)
            .expect("the volume is in the file")
            .plan]
    };
    assert_eq!(
        (
            plan("gas").name.as_str(),
            plan("gas").reserved_rate,
            plan("gas").weight
        ),
        ("basic-gas", 3.0, 9.0)
    );
    assert_eq!(
        (
            plan("gas").usual_rate,
            plan("gas").rate_limit,
            plan("gas").burst_units
        ),
        (20.0, 40.0, 16.0)
    );
    assert_eq!(
        (plan("water").name.as_str(), plan("water").weight),
        ("basic", 2.0)
    );
    assert!(
        reload::evaluate(&site, &edited).is_ok(),
        "a running host can apply the changes"
    );
    // A second edit changes the volume's own plan in place.
    let again = edit::apply_shares(&own, &edited, &[share("gas", 4_000, 9)])
        .expect("the volumes are known");
    let edited = parse("site", &again).expect("the file is valid");
    assert_eq!(
        (edited.plans.len(), edited.plans[1].reserved_rate),
        (2, 4.0)
    );
    assert!(
        again.starts_with(&text[..text.find("volume gas").expect("the volume is in the file")]),
        "all other lines are kept"
    );
    let unknown = edit::apply_shares(&text, &site, &[share("oil", 1, 1), share("tax", 1, 1)]);
    assert_eq!(
        unknown
            .expect_err("neither volume is in the file")
            .to_string()
            .lines()
            .count(),
        2
    );
}
