//! Compares results of the parser with recorded ones: the value of every directive and the text of every diagnostic. The
//! recorded texts in `pinned/` have their own names of fields, so that renaming a field in the code changes nothing there.
use mallowseam_settings::config::{
    Direction, Fleet, GatewayConfig, Host, Idempotency, IoClass, Node, Plan, Volume,
};
use mallowseam_settings::edit::{self, Share};
use mallowseam_settings::{Arguments, Diagnostics, tokenize};
use mallowseam_settings::{parse, reload};
use mallowseam_test_support::Digest;
use std::fmt::Write as _;

/// Asserts that a text is equal to the recorded text of this name.
fn assert_pinned(name: &str, found: &str) {
    let path = format!("{}/tests/pinned/{name}", env!("CARGO_MANIFEST_DIR"));
    let recorded = std::fs::read_to_string(&path).expect("the recorded text can be read");
    for (line, (a, b)) in recorded.lines().zip(found.lines()).enumerate() {
        assert_eq!(a, b, "{name}, line {}", line + 1);
    }
    assert!(
        recorded == found,
        "{name}: {} bytes recorded, {} found",
        recorded.len(),
        found.len()
    );
}

/// A valid file with every directive.
const EVERY_DIRECTIVE: &str = r#"# every directive
host gw1
    listen 127.0.0.1:3260
    target iqn.2026-12.example:ledgers
    node-list 127.0.0.1:7000
    window 32
    connections 100
    longest 1.5MiB
    control "/run/mallow seam/gw1.sock"
    kept-list /var/lib/list
    follow [::1]:7100
    kept-plans /var/lib/plans   # a copy
    digests header data
    seed 18446744073709551615
    fleet south listen 127.0.0.1:7400 reached-at 10.0.0.1:7401 zone z1 seed 10.0.0.2:7400 seed 10.0.0.3:7400 period 500ms keep 2h
fleet
    hosts 3
    unit 4KiB
    mean-units 2.19
    largest-units 64
    submits 3
    share-gain 35%
    spare-gain 10.5%
    come-back 4s
    order-rest 200ms
    cold 23% 18s 2.5 3s 4
    further 3 10% 10s
catalog
    listen 127.0.0.1:7500
    store /var/lib/catalog
    control /run/catalog.sock
    extent 64
    copies lookup
tariffs
    listen 127.0.0.1:7600
    store /var/lib/trail
    control /run/tariffs.sock
plan basic
    usual 20/s
    reserve 5.25/s
    limit 40/s burst 16
    weight 2
    price 1.5
plan bare
group lookup
    effect idempotent
    goal 0.2s
    hard-limit 1s
    gain 3
    late-gain 15%
group post
    effect side-effecting
    goal 250ms
    hard-limit 2m
    ordered
volume water
    lun 1
    plan basic
    hosts 3
    blocks 2048
    block-size 512B
    extent 1024 1024 brick2 at 0
    extent 0 1024 brick1 at 64
    rule read blocks 0-9 lookup
    rule write blocks 0-99 post key 8
    rule any lookup
volume clones
    lun 2
    plan bare
    hosts 1
    blocks 128
    block-size 4KiB
    mapped
    rule read lookup key 4
    rule write lookup
node brick1
    address 127.0.0.1:4001
    target iqn.2026-12.example:brick1
    lun 7
    zone b
    shard 9
node brick2
    address 127.0.0.1:4002
    target iqn.2026-12.example:brick2
"#;

/// Describes a configuration as text, section by section.
fn describe(config: &GatewayConfig) -> String {
    let mut out = String::new();
    show_host(&mut out, &config.host);
    show_fleet(&mut out, &config.fleet);
    show_services(&mut out, config);
    for plan in &config.plans {
        show_plan(&mut out, plan);
    }
    for class in &config.io_classes {
        show_io_class(&mut out, class);
    }
    for volume in &config.volumes {
        show_volume(&mut out, volume);
    }
    for node in &config.nodes {
        show_node(&mut out, node);
    }
    out
}

fn show_host(out: &mut String, host: &Host) {
    writeln!(
        out,
        "host {} listen {:?} target {} control {:?}",
        host.name, host.listen, host.target, host.control_socket
    )
    .expect("writing to memory");
    writeln!(
        out,
        "  list {:?} kept list {:?} follow {:?}",
        host.endpoint_service, host.endpoint_cache_path, host.plan_service
    )
    .expect("writing to memory");
    writeln!(
        out,
        "  kept plans {:?} window {} connections {}",
        host.plan_cache_path, host.command_window, host.max_connections
    )
    .expect("writing to memory");
    writeln!(
        out,
        "  longest {} digests {} {}",
        host.max_transfer_bytes, host.header_digest, host.data_digest
    )
    .expect("writing to memory");
    writeln!(out, "  seed {:?}", host.seed).expect("writing to memory");
    match &host.fleet {
        None => writeln!(out, "  no place"),
        Some(fleet) => writeln!(
            out,
            "  place {} {} at {} listen {} zone {} seeds {:?} period {} keep {}",
            fleet.membership.fleet,
            fleet.membership.name,
            fleet.membership.address,
            fleet.listen,
            fleet.membership.zone,
            fleet.membership.seeds,
            fleet.membership.protocol_period,
            fleet.membership.unreachable_retention
        ),
    }
    .expect("writing to memory");
}

fn show_fleet(out: &mut String, fleet: &Fleet) {
    writeln!(
        out,
        "fleet hosts {} unit {} mean {} largest {}",
        fleet.hosts, fleet.unit_bytes, fleet.mean_io_units, fleet.max_io_units
    )
    .expect("writing to memory");
    writeln!(
        out,
        "  share {} spare {} submits {}",
        fleet.share_weight_factor, fleet.spare_weight_factor, fleet.max_attempts
    )
    .expect("writing to memory");
    writeln!(
        out,
        "  come back {} order rest {}",
        fleet.max_retry_after, fleet.ordering_cooldown
    )
    .expect("writing to memory");
    writeln!(
        out,
        "  cold {} {} fall {} {} bears {}",
        fleet.slow_start_initial_rate,
        fleet.slow_start_duration,
        fleet.overload_multiple,
        fleet.overload_window,
        fleet.slow_start_capacity
    )
    .expect("writing to memory");
    writeln!(
        out,
        "  further {} {} {}",
        fleet.retry_budget_min, fleet.retry_budget_ratio, fleet.retry_budget_window
    )
    .expect("writing to memory");
}

fn show_services(out: &mut String, config: &GatewayConfig) {
    if let Some(catalog) = &config.catalog {
        writeln!(
            out,
            "catalog {:?} \"{}\" {:?} extent {} copies {}",
            catalog.listen,
            catalog.store_path.display(),
            catalog.control_socket,
            catalog.extent_blocks,
            catalog.copy_class
        )
        .expect("writing to memory");
    }
    if let Some(plan_service) = &config.plan_service {
        writeln!(
            out,
            "tariffs {:?} \"{}\" {:?}",
            plan_service.listen,
            plan_service.store_path.display(),
            plan_service.control_socket
        )
        .expect("writing to memory");
    }
}

fn show_plan(out: &mut String, plan: &Plan) {
    writeln!(
        out,
        "plan {} usual {} reserve {} limit {} burst {} weight {} price {}",
        plan.name,
        plan.usual_rate,
        plan.reserved_rate,
        plan.rate_limit,
        plan.burst_units,
        plan.weight,
        plan.priority_factor
    )
    .expect("writing to memory");
}

fn show_io_class(out: &mut String, class: &IoClass) {
    let effect = match class.idempotency {
        Idempotency::Idempotent => "idempotent",
        Idempotency::NonIdempotent => "side-effecting",
    };
    writeln!(
        out,
        "group {} {effect} goal {} hard limit {} gain {} late {} ordered {}",
        class.name,
        class.latency_objective,
        class.deadline,
        class.priority_weight,
        class.late_weight_ratio,
        class.ordered
    )
    .expect("writing to memory");
}

fn show_volume(out: &mut String, volume: &Volume) {
    writeln!(
        out,
        "volume {} lun {} plan {} blocks {} of {} hosts {} mapped {}",
        volume.name,
        volume.lun,
        volume.plan,
        volume.block_count,
        volume.block_size,
        volume.host_count,
        volume.mapped
    )
    .expect("writing to memory");
    for extent in &volume.extents {
        writeln!(
            out,
            "  extent {} {} node {} at {}",
            extent.first_block, extent.block_count, extent.node, extent.first_node_block
        )
        .expect("writing to memory");
    }
    for rule in &volume.rules {
        let direction = match rule.direction {
            Direction::Read => "read",
            Direction::Write => "write",
            Direction::Any => "any",
        };
        writeln!(
            out,
            "  rule {direction} {}-{} group {} key {}",
            rule.first_block, rule.last_block, rule.io_class, rule.blocks_per_key
        )
        .expect("writing to memory");
    }
}

fn show_node(out: &mut String, node: &Node) {
    writeln!(
        out,
        "node {} {:?} target {} lun {} zone {} shard {}",
        node.name, node.address, node.target, node.lun, node.zone, node.shard
    )
    .expect("writing to memory");
}

/// Joins lines, each with an indentation and a line end.
fn indented<'a>(lines: impl Iterator<Item = &'a str>) -> String {
    lines.flat_map(|line| ["  ", line, "\n"]).collect()
}

/// Describes the result of parsing a text: the diagnostics, or the lines that differ from the description `valid` of
/// `EVERY_DIRECTIVE`.
fn outcome(text: &str, valid: &str) -> String {
    match parse("f", text) {
        Ok(config) => {
            let known: Vec<&str> = valid.lines().collect();
            indented(
                describe(&config)
                    .lines()
                    .filter(|line| !known.contains(line)),
            )
        }
        Err(diagnostics) => indented(diagnostics.to_string().lines()),
    }
}

#[test]
fn every_directive_is_parsed_as_recorded() {
    assert_pinned(
        "every.txt",
        &describe(&parse("f", EVERY_DIRECTIVE).expect("the file is valid")),
    );
}

#[test]
fn every_removed_repeated_or_changed_line_has_the_recorded_result() {
    let valid = describe(&parse("f", EVERY_DIRECTIVE).expect("the file is valid"));
    let lines: Vec<&str> = EVERY_DIRECTIVE.lines().collect();
    let mut found = String::new();
    let attempt = |index: usize, line: Option<&str>| {
        let mut text = lines.clone();
        match line {
            Some(line) => text[index] = line,
            None => drop(text.remove(index)),
        }
        outcome(&(text.join("\n") + "\n"), &valid)
    };
    for (index, line) in lines.iter().enumerate().skip(1) {
        let doubled = format!("{line}\n{line}");
        let more = format!("{line} more");
        for (what, line) in [
            ("left out", None),
            ("doubled", Some(doubled.as_str())),
            ("with more", Some(more.as_str())),
            ("not indented", Some(line.trim_start())),
        ] {
            write!(found, "{} {what}:\n{}", index + 1, attempt(index, line))
                .expect("writing to memory");
        }
        let mut digest = Digest::default();
        let count = line.split_whitespace().count();
        for word in 0..count {
            for put in [
                "",
                "0",
                "-1",
                "x",
                "9999999999999999999",
                "0.3",
                "5%",
                "1us",
                "7/s",
                "\"open",
            ] {
                let mut all: Vec<&str> = line.split_whitespace().collect();
                all[word] = put;
                let indent = if line.starts_with(' ') { "    " } else { "" };
                let changed = format!("{indent}{}", all.join(" "));
                // The results are recorded as a digest, since their texts would fill hundreds of pages.
                digest.add_bytes(attempt(index, Some(&changed)).as_bytes());
                digest.add_bytes(&[0xff]);
            }
        }
        writeln!(
            found,
            "{} with words changed: {:#018x}",
            index + 1,
            digest.value()
        )
        .expect("writing to memory");
    }
    assert_pinned("changed.txt", &found);
}

#[test]
fn contradictions_have_the_recorded_diagnostics() {
    let valid = describe(&parse("f", EVERY_DIRECTIVE).expect("the file is valid"));
    let mut found = String::new();
    for (from, to) in [
        ("goal 0.2s", "goal 2s"),
        ("reserve 5.25/s", "reserve 41/s"),
        ("largest-units 64", "largest-units 2"),
        ("copies lookup", "copies post"),
        ("copies lookup", "copies none"),
        ("extent 64", "extent 100"),
        ("lun 2\n", "lun 1024\n"),
        ("lun 2\n", "lun 1\n"),
        (
            "    mapped\n",
            "    mapped\n    extent 0 128 brick1 at 4000\n",
        ),
        ("    mapped\n", ""),
        ("volume clones", "volume water"),
        ("plan bare\ngroup", "plan basic\ngroup"),
        ("group post\n", "group lookup\n"),
        ("node brick2\n", "node brick1\n"),
        ("plan basic\n    hosts", "plan nothing\n    hosts"),
        ("brick2 at 0", "brick9 at 0"),
        ("brick2 at 0", "brick1 at 1000"),
        ("extent 1024 1024", "extent 1000 1024"),
        ("blocks 2048", "blocks 4096"),
        (" key 8", ""),
        ("blocks 0-99", "blocks 9-2"),
        ("blocks 0-99", "blocks 0-2048"),
        ("    rule any lookup\n", ""),
        ("    rule write lookup\n", ""),
        ("    rule any lookup\n", "    rule any nothing\n"),
        ("host gw1", "hosts gw1"),
        ("host gw1", "host"),
        ("host gw1", "host a/b"),
        ("catalog\n", "catalogue\n"),
        ("node-list 127.0.0.1:7000", "node-list static"),
        ("digests header data", "digests none"),
        ("digests header data", "digests data"),
        ("digests header data", "digests header full"),
        (" period 500ms", " period 49ms"),
        (" period 500ms", " period 61s"),
        (" keep 2h", " keep 1ms"),
        (" keep 2h", " kept 2h"),
        ("fleet south listen 127.0.0.1:7400", "fleet south"),
        (" reached-at 10.0.0.1:7401", ""),
        ("limit 40/s burst 16", "limit 40/s"),
    ] {
        assert!(EVERY_DIRECTIVE.contains(from), "{from}");
        let text = EVERY_DIRECTIVE.replacen(from, to, 1);
        write!(found, "{from:?} -> {to:?}:\n{}", outcome(&text, &valid))
            .expect("writing to memory");
    }
    let without = |section: &str| {
        let start = EVERY_DIRECTIVE
            .find(&format!("\n{section}"))
            .expect("the file has the section")
            + 1;
        let rest = &EVERY_DIRECTIVE[start..];
        let len = rest.find('\n').expect("the section has a line") + 1;
        let body = rest[len..]
            .lines()
            .take_while(|l| l.starts_with(' '))
            .map(|l| l.len() + 1)
            .sum::<usize>();
        format!("{}{}", &EVERY_DIRECTIVE[..start], &rest[len + body..])
    };
    for section in [
        "host",
        "fleet",
        "catalog",
        "tariffs",
        "plan basic",
        "group lookup",
        "volume water",
        "node brick1",
    ] {
        write!(
            found,
            "without {section}:\n{}",
            outcome(&without(section), &valid)
        )
        .expect("writing to memory");
    }
    for text in [
        "",
        "\n\n# nothing\n",
        "    listen 1.2.3.4:5\n",
        "fleet\nfleet\n",
        "host \"a b\"\n",
    ] {
        write!(found, "{text:?}:\n{}", outcome(text, &valid)).expect("writing to memory");
    }
    assert_pinned("contradictions.txt", &found);
}

/// Words with and without units, each of which is read as a value of every kind.
const WORDS: [&str; 60] = [
    "0",
    "1",
    "20",
    "-1",
    "+1",
    "1.5",
    ".5",
    "5.",
    "1e3",
    "nan",
    "inf",
    "0us",
    "1us",
    "0.5us",
    "1.5ms",
    "0.0001ms",
    "0.001ms",
    "2s",
    "3m",
    "24h",
    "25h",
    "1d",
    "1ms2",
    "4B",
    "0.3B",
    "4KiB",
    "1.5MiB",
    "2GiB",
    "3TiB",
    "1048577TiB",
    "4kib",
    "20/s",
    "0.125/s",
    "0.0625/s",
    "1.2345/s",
    "/s",
    "20/m",
    "-1/s",
    "1e13/s",
    "1e12/s",
    "35%",
    "100%",
    "101%",
    "-1%",
    "0.5%",
    "%",
    "x%",
    "18446744073709551615",
    "18446744073709551616",
    "18446744073709552/s",
    "1.2.3.4:5",
    "1.2.3.4",
    "[::1]:9",
    "a_b-c.d:e",
    "a/b",
    "\"\"",
    "\"a b\"",
    "1.1234567891s",
    "1.123456s",
    "99999999999999999999s",
];

#[test]
fn values_are_read_as_recorded() {
    let mut found = String::new();
    for word in WORDS {
        record_values(&mut found, word);
    }
    let mut diagnostics = Diagnostics::new("g");
    record_words(&mut found, &mut diagnostics);
    record_argument_steps(&mut found, &mut diagnostics);
    writeln!(found, "{}", diagnostics.sorted()).expect("writing to memory");
    assert_pinned("values.txt", &found);
}

/// Records the value of a word for each kind of value that accepts it.
fn record_values(found: &mut String, word: &str) {
    let mut diagnostics = Diagnostics::new("f");
    let line = tokenize(3, &format!("  word {word}"), &mut diagnostics);
    let mut values = String::new();
    macro_rules! value {
        ($name:expr, $args:ident, $read:expr) => {{
            let mut $args = Arguments::new(&line, &mut diagnostics);
            if let Some(value) = $read {
                write!(values, " {}={value:?}", $name).expect("writing to memory");
            }
        }};
    }
    value!("whole", a, a.integer("w", 0, u64::MAX));
    value!("number", a, a.number("n", -5.0, 1e6));
    value!("rate", a, a.rate("r"));
    value!("exact", a, a.exact_rate("e"));
    value!("percent", a, a.percent("p"));
    value!("duration", a, a.duration("d"));
    value!("size", a, a.size("s"));
    value!("address", a, a.address("a"));
    value!(
        "name",
        a,
        a.name("n")
            .map(|w| (w.text, w.position.line, w.position.column))
    );
    value!("word", a, a.text("w"));
    writeln!(found, "{word}:{values}").expect("writing to memory");
}

/// Records the tokens of some lines with their positions.
fn record_words(found: &mut String, diagnostics: &mut Diagnostics) {
    for text in [
        "a  \"b c\" d#e # f",
        "\u{e9} \"x",
        "",
        "#",
        " \t a",
        "\"\" b\"c",
    ] {
        let all: Vec<String> = tokenize(7, text, diagnostics)
            .iter()
            .map(|w| format!("{}@{}:{}", w.text, w.position.line, w.position.column))
            .collect();
        writeln!(found, "words of {text:?}: {all:?}").expect("writing to memory");
    }
}

/// Records the arguments of a line while they are read one by one, and adds diagnostics of every kind.
fn record_argument_steps(found: &mut String, diagnostics: &mut Diagnostics) {
    let line = tokenize(9, "word 1 two three", diagnostics);
    let mut args = Arguments::new(&line, diagnostics);
    let steps = (
        args.accept("1"),
        args.accept("x"),
        args.position().column,
        args.has_more(),
        args.integer("a number", 1, 5),
    );
    writeln!(
        found,
        "{steps:?} more {} then {:?}",
        args.has_more(),
        args.text("a word")
    )
    .expect("writing to memory");
    args.expect_end();
    args.report_conflicts(&["spoiled: expected nothing".to_owned()]);
    let mut args = Arguments::new(&line, diagnostics);
    args.report_conflicts(&[
        "field: expected a thing".to_owned(),
        "no such form".to_owned(),
    ]);
    args.expect_end();
    let end = args.position();
    diagnostics.add(end, "an end", "");
}

#[test]
fn reloads_have_the_recorded_outcomes() {
    let running = parse("f", EVERY_DIRECTIVE).expect("the file is valid");
    let mut found = String::new();
    for (from, to) in [
        ("weight 2", "weight 3"),
        ("usual 20/s", "usual 21.5/s"),
        ("reserve 5.25/s", "reserve 5/s"),
        ("limit 40/s burst 16", "limit 41/s burst 17"),
        ("price 1.5", "price 2"),
        ("    price 1.5\n", ""),
        (
            "plan bare\ngroup",
            "plan bare\nplan third\n    reserve 1/s\ngroup",
        ),
        ("plan basic\n    hosts", "plan bare\n    hosts"),
        ("plan bare\ngroup", "plan bare\n    weight 9\ngroup"),
        ("window 32", "window 33"),
        ("hosts 3\n    unit", "hosts 4\n    unit"),
        ("store /var/lib/catalog", "store /other"),
        ("store /var/lib/trail", "store /other"),
        ("goal 250ms", "goal 251ms"),
        ("shard 9", "shard 8"),
        ("lun 2\n", "lun 3\n"),
        ("volume clones", "volume other"),
        ("brick1 at 64", "brick1 at 65"),
    ] {
        assert!(EVERY_DIRECTIVE.contains(from), "{from}");
        let wanted = parse("f", &EVERY_DIRECTIVE.replacen(from, to, 1)).expect(to);
        match reload::evaluate(&running, &wanted) {
            Ok(outcome) => {
                let plans: Vec<&str> = outcome.plans.iter().map(|p| p.name.as_str()).collect();
                let changes: Vec<String> =
                    outcome.changes.iter().map(ToString::to_string).collect();
                writeln!(
                    found,
                    "{from:?} -> {to:?}: {plans:?} {:?} {changes:?}",
                    outcome.volume_plans
                )
            }
            Err(error) => {
                let against: Vec<String> = error.to_string().lines().map(str::to_owned).collect();
                writeln!(found, "{from:?} -> {to:?}: against {against:?}")
            }
        }
        .expect("writing to memory");
    }
    assert_pinned("taken_up.txt", &found);
}

#[test]
fn edited_shares_have_the_recorded_lines() {
    let text = EVERY_DIRECTIVE.replace("plan bare\n    hosts", "plan basic  # shared\n    hosts");
    let text = text.replace("    weight 2\n", "    weight 2   # as agreed\n");
    let config = parse("f", &text).expect("the file is valid");
    let share = |volume: &str, reserve, weight| Share {
        volume: volume.into(),
        reserved_milliunits: reserve,
        weight,
    };
    let mut found = String::new();
    for shares in [
        vec![],
        vec![share("water", 6_500, 7), share("clones", 6_500, 7)],
        vec![share("water", 6_000, 7), share("clones", 8_001, 7)],
        vec![share("water", 5_250, 2)],
        vec![share("clones", 1, 0)],
        vec![share("oil", 1, 1), share("water", 1, 1), share("gas", 1, 1)],
    ] {
        let given: Vec<String> = shares
            .iter()
            .map(|s| format!("{} {} {}", s.volume, s.reserved_milliunits, s.weight))
            .collect();
        match edit::apply_shares(&text, &config, &shares) {
            Ok(edited) => {
                let known: Vec<&str> = text.lines().collect();
                let new: Vec<String> = edited
                    .lines()
                    .enumerate()
                    .filter(|l| !known.contains(&l.1))
                    .map(|(i, l)| format!("  {}: {l}\n", i + 1))
                    .collect();
                write!(
                    found,
                    "{given:?}, {} lines:\n{}",
                    edited.lines().count(),
                    new.concat()
                )
            }
            Err(error) => {
                let against: Vec<String> = error.to_string().lines().map(str::to_owned).collect();
                writeln!(found, "{given:?}: against {against:?}")
            }
        }
        .expect("writing to memory");
    }
    assert_pinned("shares.txt", &found);
}

/// A line of the file and its replacements: the last value within each bound and the first beyond it.
const BOUNDS: [(&str, &[&str]); 21] = [
    (
        "window 32",
        &["window 1", "window 0", "window 1024", "window 1025"],
    ),
    (
        "connections 100",
        &[
            "connections 1",
            "connections 0",
            "connections 65536",
            "connections 65537",
        ],
    ),
    (
        "longest 1.5MiB",
        &["longest 0B", "longest 1048576TiB", "longest 1048577TiB"],
    ),
    (
        "hosts 3\n    unit",
        &["hosts 65536\n    unit", "hosts 65537\n    unit"],
    ),
    ("unit 4KiB", &["unit 1B", "unit 0B"]),
    (
        "mean-units 2.19",
        &[
            "mean-units 0.000001",
            "mean-units 0.0000009",
            "mean-units 1e9",
            "mean-units 1000000000.1",
        ],
    ),
    (
        "largest-units 64",
        &["largest-units 1e9", "largest-units 1000000000.1"],
    ),
    (
        "submits 3",
        &["submits 1", "submits 0", "submits 16", "submits 17"],
    ),
    (
        "come-back 4s",
        &["come-back 24h", "come-back 86400000001us"],
    ),
    (
        "cold 23% 18s 2.5 3s 4",
        &[
            "cold 0% 0s 1 0s 0",
            "cold 23% 18s 0.9 3s 4",
            "cold 23% 18s 1e6 3s 1e9",
            "cold 23% 18s 1000000.1 3s 4",
            "cold 23% 18s 2.5 3s 1000000000.1",
            "cold 23% 18s 2.5 3s -0.1",
        ],
    ),
    (
        "further 3 10% 10s",
        &[
            "further 0 0% 1us",
            "further 1e9 10% 10s",
            "further 3 10% 0s",
            "further 1000000000.1 10% 10s",
        ],
    ),
    (
        "extent 64",
        &["extent 1", "extent 0", "extent 65536", "extent 65537"],
    ),
    (
        "burst 16",
        &["burst 0", "burst 1e12", "burst 1000000000000.1"],
    ),
    ("weight 2", &["weight 0", "weight 1e6", "weight 1000000.1"]),
    ("price 1.5", &["price 0", "price 1e6", "price 1000000.1"]),
    (
        "    gain 3",
        &["    gain 0", "    gain 1e6", "    gain 1000000.1"],
    ),
    ("lun 1\n", &["lun 0\n", "lun 16383\n", "lun 16384\n"]),
    ("lun 2\n", &["lun 1023\n", "lun 1024\n"]),
    ("lun 7\n", &["lun 16383\n", "lun 16384\n"]),
    (
        "hosts 3\n    blocks",
        &["hosts 65536\n    blocks", "hosts 65537\n    blocks"],
    ),
    ("shard 9", &["shard 65535", "shard 65536"]),
];

#[test]
fn values_at_and_beyond_every_bound_have_the_recorded_results() {
    let mut found = String::new();
    let far = (1u64 << 50).to_string();
    let beyond = ((1u64 << 50) + 1).to_string();
    let (name, long_name) = ("n".repeat(223), "n".repeat(224));
    for (from, values) in BOUNDS {
        for to in values {
            record(&mut found, from, to);
        }
    }
    record(&mut found, "key 8", &format!("key {far}"));
    record(&mut found, "key 8", &format!("key {beyond}"));
    record(&mut found, "blocks 2048", &format!("blocks {far}"));
    record(&mut found, "blocks 2048", &format!("blocks {beyond}"));
    record(
        &mut found,
        "1024 brick2 at 0",
        &format!("1024 brick2 at {far}"),
    );
    record(
        &mut found,
        "1024 brick2 at 0",
        &format!("1024 brick2 at {beyond}"),
    );
    record(
        &mut found,
        "extent 1024 1024",
        &format!("extent {far} {far}"),
    );
    record(
        &mut found,
        "extent 1024 1024",
        &format!("extent {beyond} {beyond}"),
    );
    record(&mut found, "host gw1", &format!("host {name}"));
    record(&mut found, "zone b", &format!("zone {name}"));
    record(&mut found, "zone b", &format!("zone {long_name}"));
    assert_pinned("bounds.txt", &found);
}

/// Records the result of parsing the file with one change.
fn record(found: &mut String, from: &str, to: &str) {
    assert!(EVERY_DIRECTIVE.contains(from), "{from}");
    let valid = describe(&parse("f", EVERY_DIRECTIVE).expect("the file is valid"));
    let text = EVERY_DIRECTIVE.replacen(from, to, 1);
    write!(found, "{from:?} -> {to:?}:\n{}", outcome(&text, &valid)).expect("writing to memory");
}
