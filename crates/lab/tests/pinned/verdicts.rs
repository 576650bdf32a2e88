//! Verdicts of the audit over seeded records.
use crate::digest::{pinned, service_model};
use crate::record::record;
use mallowseam_lab::audit::{EffectiveLimit, Layout, Verdict, judge};
use std::fmt::Write;

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
    writeln!(
        out,
        "{:?} {:?} {}",
        v.wrong_data,
        v.inexact,
        v.inexact_snapshots()
    )
    .expect("memory");
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
        let counts = (
            g.sent,
            g.completed,
            g.in_time,
            g.shed,
            g.failed,
            g.abandoned,
        );
        writeln!(out, "{} {counts:?} {:?}", g.name, g.latencies).expect("memory");
    }
    for got in &v.outcomes {
        writeln!(
            out,
            "{} {} {} {}",
            got.volume, got.io_class, got.sent_at, got.in_time
        )
        .expect("memory");
    }
    out
}

#[test]
fn verdicts_over_seeded_records() {
    let site = mallowseam_settings::parse("site", SITE).expect("sound");
    let window = |from, until, limit, burst| EffectiveLimit {
        from,
        until,
        limit,
        burst,
    };
    let limits = vec![
        window(0, 900_000, 4.0, 6.0),
        window(400_000, u64::MAX, 2.0, 3.0),
    ];
    let changing = Layout {
        limits: [("basic".to_owned(), limits)].into(),
        ..Layout::default()
    };
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
    assert!(
        broken.iter().all(|n| (20..=2_380).contains(n)),
        "each rule is kept and broken: {broken:?}"
    );
    pinned("verdicts", &out, 0xffa9_811d_54fe_8be6);
}
