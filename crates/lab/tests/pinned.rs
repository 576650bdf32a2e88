//! Pinned results of the testbed: parsed scripts, the audit's verdicts over seeded records, the stand-in node's
//! service model, the requests of the load, the enumerated placements and the form of the command line. A pin that fails
//! means that a decision, a constant, a random draw or a text has changed.
use mallowseam_gateway::blocking_client::BlockingClient;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::{read_or_write_16, status};
use mallowseam_lab::audit::{EffectiveLimit, Layout, Verdict, judge};
use mallowseam_lab::load::{Load, LoadConfig, VolumeTarget};
use mallowseam_lab::node::{Model, Node, NodeFault};
use mallowseam_lab::rehearsal::{plan_changes, shared_config};
use mallowseam_lab::script::{Fault, Scenario, parse};
use mallowseam_lab::trace::{Trace, TraceEntry, TraceEvent};
use mallowseam_lab::{block, exhaustive_placement};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// FNV-1a, 64 bits.
fn hash(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3))
}

fn pinned(name: &str, text: &str, expected: u64) {
    let found = hash(text.as_bytes());
    assert_eq!(found, expected, "{name}: {found:#018x}, text begins\n{}", &text[..text.len().min(600)]);
}

fn model_text(model: &Model) -> String {
    format!(
        "{} {} {} {} {} {} {} {} {}",
        model.cores,
        model.unit_work,
        model.unit_bytes,
        model.queue,
        model.cold_from,
        model.cold_span,
        model.fall_multiple,
        model.fall_span,
        model.cold_bears
    )
}

fn scenario_text(scenario: &Scenario) -> String {
    let mut out = format!(
        "{} {} {} {} {} {} {} {} {} {} {:?} {:?}\n{}\n",
        scenario.duration,
        scenario.hosts,
        scenario.nodes,
        scenario.clients,
        scenario.command_rate,
        scenario.write_fraction,
        scenario.list_lag,
        scenario.cached_list,
        scenario.digests,
        model_text(&scenario.model),
        scenario.catalog.as_ref().map(|c| (c.extent, &c.copy_class)),
        scenario.plan_change_interval,
        scenario.config_sections
    );
    for event in &scenario.events {
        writeln!(out, "{} {:?}", event.at, event.fault).expect("memory");
    }
    out
}

#[test]
fn scripts_and_their_schedules() {
    let scripts = [
        ("bad-day", include_str!("../scripts/bad-day.script"), 0xdab0_02b6_01ac_bf97),
        ("month-end", include_str!("../scripts/month-end.script"), 0x4933_23c1_a2c1_4729),
        ("tariff-night", include_str!("../scripts/tariff-night.script"), 0x19ba_2266_42e8_7508),
        ("demo", include_str!("../scripts/demo.script"), 0xa172_84d9_b284_ed68),
        ("short", include_str!("../scripts/short.script"), 0xb765_a4a8_b0c5_ce29),
        ("due-date", include_str!("../scripts/due-date.script"), 0x934a_317b_96a5_d735),
        ("every fault", EVERY_FAULT, 0x982f_4ca2_a802_b4fb),
    ];
    for (name, text, expected) in scripts {
        pinned(name, &scenario_text(&parse(name, text).expect("a sound script")), expected);
    }
    let mistakes = EVERY_FAULT.replace(" for 1s", "").replace("any0", "anyone").replace("day 9s", "dey 9s");
    pinned(
        "mistakes",
        &parse("mistakes", &mistakes).expect_err("mistakes").to_string(),
        0xa7b2_ca97_22db_5839,
    );
}

#[test]
fn plan_changes_by_the_seed() {
    let scenario =
        parse("tariff-night", include_str!("../scripts/tariff-night.script")).expect("a sound script");
    let site = shared_config(&scenario).expect("a sound site");
    let mut out = String::new();
    for seed in 0..20 {
        for event in plan_changes(&scenario, &site, seed) {
            let Fault::PlanChange(plan, times) = event.fault else { panic!("a change of a plan") };
            writeln!(out, "{} {plan} {:x}", event.at, times.to_bits()).expect("memory");
        }
    }
    pinned("plan changes", &out, 0x8fe4_f53a_04fc_7f7d);
}

const EVERY_FAULT: &str = "day 9s
hosts 3
nodes 6 cores 2 work 3ms queue 20
cold 25% 6s 2 2s 8
clients 40 rate 5/s posts 35%
list-lag 800ms
kept-list no
digests
catalog 32 copy
tariffs every 1s
at 1s node any0 silent for 1s
at 1s node 1 still for 1s
at 1s node 2 deaf for 1s
at 1s node any slow 4 for 1s
at 1s node any1 errors 20% for 1s
at 1s node any2 loses 30% for 1s
at 1s node 3 crash for 1s
at 1s node 4 reset
at 1s node 5 drain for 1s
at 2s host 0 kill for 1s
at 2s host any1 term for 1s
at 2s host 2 stall for 1s
at 2s host 1 drain
at 3s client any0 drop
at 3s client 1 stall for 1s
at 3s client 2 deaf for 1s
at 3s client 3 again
at 4s half-logins 3
at 4s garbage 4
at 4s surge basic 3 for 1s
at 4s load 0.5 for 1s
at 5s snapshot a one
at 5s clone a@one two
at 5s catalog kill for 1s
at 6s control kill for 1s
at 6s list lag 2s for 1s
at 6s list away for 1s
at 6s list backwards
site
fleet
    hosts 3
";

const SITE: &str = "
host gw0
    listen 127.0.0.1:1
    target iqn.t
    node-list static
    window 8
    connections 8
    longest 1MiB
fleet
    hosts 2
    unit 4KiB
    mean-units 1
    largest-units 2
    submits 3
    order-rest 200ms
    cold 25% 4s 2 1s 2
    further 2 10% 10s
plan basic
    limit 4/s burst 6
plan free
group lookup
    effect idempotent
    goal 200ms
    hard-limit 1s
group post
    effect side-effecting
    goal 250ms
    hard-limit 2s
    ordered
volume a
    lun 0
    plan free
    blocks 64
    block-size 512B
    hosts 2
    extent 0 64 node0 at 0
    rule read lookup
    rule write post key 8
volume b
    lun 1
    plan basic
    blocks 64
    block-size 512B
    hosts 2
    extent 0 64 node1 at 0
    rule read lookup
    rule write post key 8
node node0
    address 127.0.0.1:2
    target iqn.n0
node node1
    address 127.0.0.1:3
    target iqn.n1
";

fn service_model() -> Model {
    Model {
        cores: 1,
        unit_work: 100_000.0,
        unit_bytes: 4096,
        queue: 8,
        cold_from: 0.25,
        cold_span: 4_000_000,
        fall_multiple: 2.0,
        fall_span: 1_000_000,
        cold_bears: 2.0,
    }
}

/// A run of up to thirty commands, each with attempts, answers and faults as the seed draws them.
fn record(seed: u64) -> Vec<TraceEntry> {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let mut seen = Vec::new();
    let mut note = |at: u64, event: TraceEvent| seen.push(TraceEntry { at, event });
    let mut task = 0;
    let mut written = vec![0u64];
    for op in 1..=rng.random_range(1..=30u64) {
        let at = op * 70_000 + rng.random_range(0..90_000u64);
        let (host, volume) = (rng.random_range(0..2u32), rng.random_range(0..2u32));
        let write = rng.random_range(0..2) == 0;
        let (lba, blocks) = (rng.random_range(0..3u64) * 8, rng.random_range(1..=8u32));
        let group_number = (op % 31) as u8;
        note(
            at,
            TraceEvent::CommandSent {
                command: op,
                client: 0,
                host,
                volume,
                write,
                lba,
                blocks,
                group_number,
            },
        );
        let mut end = at + 1_000;
        for _ in 0..rng.random_range(0..3) {
            task += 1;
            let (node, connection) = (volume, u64::from(rng.random_range(1..3u32)));
            let write_ids = if write { vec![op; blocks as usize] } else { vec![] };
            let first_lba = write.then(|| lba + u64::from(rng.random_range(0..12u32) == 0));
            let sent_by = if rng.random_range(0..12) == 0 { 1 - host } else { host };
            let got = TraceEvent::NodeReceived {
                node,
                host: sent_by,
                connection,
                task,
                lun: 0,
                write,
                lba,
                blocks,
                group_number,
                write_ids,
                first_lba,
            };
            note(end, got);
            let after = end + rng.random_range(1_000..200_000u64);
            match rng.random_range(0..8) {
                0 => note(after, TraceEvent::NodeAborted { node, connection, task }),
                1 => note(after, TraceEvent::ConnectionClosed { node, connection }),
                2 => {}
                n => {
                    let code = [status::BUSY, status::TASK_SET_FULL, status::CHECK_CONDITION]
                        .get(n - 3)
                        .copied()
                        .unwrap_or(status::GOOD);
                    note(after, TraceEvent::NodeAnswered { node, connection, task, status: code });
                }
            }
            end = after + 1_000;
        }
        if write {
            written.push(op);
        }
        let code = [status::GOOD, status::GOOD, status::GOOD, status::BUSY, status::CHECK_CONDITION]
            [rng.random_range(0..5)];
        let shows = (0..blocks)
            .map(|_| {
                let id = written[rng.random_range(0..written.len())];
                (rng.random_range(0..20) != 0).then_some(id)
            })
            .collect();
        let read = if write || code != status::GOOD { vec![] } else { shows };
        match rng.random_range(0..10) {
            0 => note(end, TraceEvent::CommandAbandoned { command: op }),
            1 => {}
            2 => note(end + 2_300_000, TraceEvent::CommandAnswered { command: op, status: code, read }),
            _ => note(end, TraceEvent::CommandAnswered { command: op, status: code, read }),
        }
        let node = rng.random_range(0..2u32);
        match rng.random_range(0..24) {
            0 => note(at, TraceEvent::HostNotified { host, node, active: false }),
            1 => note(at, TraceEvent::HostNotified { host, node, active: true }),
            2 | 3 => note(at, TraceEvent::NodeUp { node }),
            4 => note(at, TraceEvent::NodeDown { node }),
            5 => note(at, TraceEvent::NodeOverloaded { node }),
            6 => note(at, TraceEvent::HostDown { host }),
            7 => note(at, TraceEvent::HostUp { host }),
            8 => note(at, TraceEvent::UnexpectedAnswer { client: 0 }),
            9 | 10 => {
                let mut blocks = vec![Some(0); 64];
                for block in blocks.iter_mut().take(24) {
                    *block = Some(written[rng.random_range(0..written.len())]);
                }
                let requested_at = at - rng.random_range(0..60_000u64);
                note(at, TraceEvent::SnapshotRead { volume, name: format!("s{op}"), requested_at, blocks });
            }
            _ => {}
        }
    }
    seen.sort_by_key(|s| s.at);
    seen
}

fn verdict_text(v: &Verdict) -> String {
    // Hosts are checked in no fixed order, so the order of lines is no part of the pin.
    let mut evidence = v.evidence();
    evidence.sort_unstable();
    let mut out = format!("{v}\n{}\n", evidence.join("\n"));
    for (rule, lines) in v.violations.iter().enumerate() {
        let mut lines = lines.clone();
        lines.sort_unstable();
        writeln!(out, "{rule} {lines:?}").expect("memory");
    }
    writeln!(out, "{:?} {:?} {}", v.wrong_data, v.inexact, v.inexact_snapshots()).expect("memory");
    writeln!(
        out,
        "{} {} {} {} {} {} {} {} {} {} {:x} {} {}",
        v.accepted,
        v.completed,
        v.shed,
        v.failed,
        v.unanswered,
        v.duplicated,
        v.abandoned,
        v.attempts,
        v.retries,
        v.extent_copies,
        v.overshoot.to_bits(),
        v.blocks_checked,
        v.snapshots
    )
    .expect("memory");
    for g in &v.classes {
        let counts = (g.sent, g.completed, g.in_time, g.shed, g.failed, g.abandoned);
        writeln!(out, "{} {counts:?} {:?}", g.name, g.latencies).expect("memory");
    }
    for got in &v.outcomes {
        writeln!(out, "{} {} {} {}", got.volume, got.io_class, got.sent_at, got.in_time).expect("memory");
    }
    out
}

#[test]
fn verdicts_over_seeded_records() {
    let site = mallowseam_settings::parse("site", SITE).expect("sound");
    let window = |from, until, limit, burst| EffectiveLimit { from, until, limit, burst };
    let limits = vec![window(0, 900_000, 4.0, 6.0), window(400_000, u64::MAX, 2.0, 3.0)];
    let changing = Layout { limits: [("basic".to_owned(), limits)].into(), ..Layout::default() };
    let mut out = String::new();
    let mut broken = [0; 7];
    for seed in 0..1_200 {
        let seen = record(seed);
        for places in [&Layout::default(), &changing] {
            let verdict = judge(&site, &service_model(), &seen, places);
            for (count, lines) in broken.iter_mut().zip(&verdict.violations) {
                *count += usize::from(!lines.is_empty());
            }
            out += &verdict_text(&verdict);
        }
    }
    assert!(broken.iter().all(|n| (20..=2_380).contains(n)), "each rule is kept and broken: {broken:?}");
    pinned("verdicts", &out, 0xffa9_811d_54fe_8be6);
}

#[test]
fn capacity_of_a_warming_node() {
    let mut out = String::new();
    for model in [service_model(), Model::quick(8, 50.0, 64)] {
        writeln!(out, "{}", model_text(&model)).expect("memory");
        for age in (0..5_000_000).step_by(12_345) {
            writeln!(out, "{:x} {:x}", model.warmth(age).to_bits(), model.bears(age).to_bits())
                .expect("memory");
        }
    }
    pinned("capacity", &out, 0xfe30_b396_54e7_44bc);
}

/// An address of this process alone, another one at each call.
fn node_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(200);
    let process = std::process::id();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 100 + (process >> 8) as u8 % 60, process as u8, last], 3260))
}

#[test]
fn failures_of_a_node_by_its_seed() {
    let mut out = String::new();
    for seed in 1..4 {
        let address = node_address();
        let model = Model::quick(2, 0.5, 64);
        let node = Node::start(0, address, "iqn.t", model, Trace::disabled(), seed).expect("a node");
        // Faults are taken up before anything that is sent after them.
        node.inject(NodeFault::Errors(0.3));
        let mut client = BlockingClient::open(address, Some("iqn.t"), 1).expect("a login");
        for i in 0..300u64 {
            let (write, lba) = (i % 3 == 0, i % 7 * 8);
            let data = if write { block::write(i + 1, lba, 8) } else { Vec::new() };
            let answer =
                client.execute(0, &read_or_write_16(write, lba, 8, 0), 4096, data).expect("an answer");
            write!(out, "{:x}", answer.status).expect("memory");
            out.extend(answer.data.chunks(block::SIZE).zip(lba..).map(|(b, at)| {
                let id = block::read(b, at).expect("one write's bytes");
                format!(" {id}")
            }));
            out.push('\n');
        }
    }
    pinned("failures", &out, 0x9035_2937_e099_169f);
}

#[test]
fn requests_of_the_load_by_its_seed() {
    const CLIENTS: u32 = 6;
    const REQUESTS: usize = 60;
    let mut out = String::new();
    for seed in 1..3 {
        let address = node_address();
        let model = Model::quick(4, 0.0, 4096);
        let _node = Node::start(0, address, "iqn.t", model, Trace::disabled(), seed).expect("a node");
        let volume = |lun, plan: &str| VolumeTarget {
            lun,
            blocks: 4096,
            plan: plan.into(),
            read_deadline: 5_000_000,
            write_deadline: 5_000_000,
        };
        let plan = LoadConfig {
            hosts: vec![address],
            target: "iqn.t".into(),
            volumes: vec![volume(0, "basic"), volume(1, "free")],
            clients: CLIENTS,
            command_rate: 200.0,
            write_fraction: 0.4,
            proposal: ProposedParams::default(),
        };
        let trace = Trace::default();
        let load = Load::start(plan, trace.clone(), seed).expect("clients");
        let mut requests = vec![Vec::new(); CLIENTS as usize];
        let began = Instant::now();
        while requests.iter().any(|r| r.len() < REQUESTS) {
            assert!(began.elapsed() < Duration::from_secs(20), "too few requests");
            std::thread::sleep(Duration::from_millis(20));
            for s in trace.take() {
                if let TraceEvent::CommandSent { client, volume, write, lba, blocks, .. } = s.event {
                    requests[client as usize].push((volume, write, lba, blocks));
                }
            }
        }
        drop(load);
        for (client, requests) in requests.iter().enumerate() {
            writeln!(out, "{seed} {client} {:?}", &requests[..REQUESTS]).expect("memory");
        }
    }
    pinned("requests", &out, 0xfc2f_a47d_b713_1b6b);
}

#[test]
fn placements_by_enumeration() {
    let mut out = String::new();
    for seed in 0..150 {
        let (nodes, volumes) = exhaustive_placement::draw(seed);
        writeln!(out, "{:?}", exhaustive_placement::enumerate(&nodes, &volumes)).expect("memory");
    }
    pinned("placements", &out, 0x31cf_0c75_d1ec_4a77);
}

#[test]
fn bytes_of_a_block() {
    let bytes: Vec<u8> = (0..50).flat_map(|id| block::write(id, id * 1_000, 3)).collect();
    assert_eq!(hash(&bytes), 0xba08_4c8b_20c4_35cc, "bytes: {:#018x}", hash(&bytes));
}

/// The form of a help text: usage, subcommands, arguments, options and defaults, without what describes them.
fn help_form(args: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO_BIN_EXE_mallowseam-lab")).args(args).arg("--help").output().expect("a run");
    let text = String::from_utf8(output.stdout).expect("text");
    let mut out = String::new();
    for line in text.lines() {
        if line.starts_with("Usage:") {
            writeln!(out, "{line}").expect("memory");
        } else if let Some(entry) = line.strip_prefix("  ") {
            let name = entry.trim_start().split("  ").next().unwrap_or_default();
            let default = entry.split("[default: ").nth(1).unwrap_or_default();
            writeln!(out, "{name} = {default}").expect("memory");
        }
    }
    out
}

#[test]
fn form_of_the_command_line() {
    let lines: [(&[&str], u64); 11] = [
        (&[], 0xe76b_af9c_b3cf_ff99),
        (&["demo"], 0x97a2_b2de_2fb1_b5bd),
        (&["rehearse"], 0xcefe_5b05_8b7e_b664),
        (&["model"], 0x7e83_3246_d011_8b9e),
        (&["model", "fleet-view"], 0x0bbb_9d22_4cf2_facd),
        (&["model", "cold-start"], 0xc99c_986a_7b5e_fcd9),
        (&["search", "fleet-view"], 0x9c71_8587_b659_d21d),
        (&["shares-check"], 0x4cd0_c544_8fff_a569),
        (&["shares-day"], 0x8835_b370_66dd_ec8a),
        (&["bench"], 0x309c_d6dd_3a70_7649),
        (&["bench-snapshots"], 0x63f8_cb5d_1dec_ba7f),
    ];
    for (args, expected) in lines {
        pinned(&format!("help {}", args.join(" ")), &help_form(args), expected);
    }
}
