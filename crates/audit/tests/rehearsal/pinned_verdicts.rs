//! Verdicts of the audit over seeded records, pinned as the code gave them before its names and modules changed.
use crate::seeded_record::record;
use crate::site::{service_model, site};
use mallowseam_audit::rehearsal::{EffectiveLimit, Layout, Verdict, judge};
use mallowseam_test_support::Digest;
use std::fmt::Write;

/// Limit of the plan `basic` in the pinned records.
const PLAN_LIMIT: &str = "limit 4/s burst 6";
/// The digest of all verdicts at 01f3988.
const PINNED_DIGEST: u64 = 0xffa9_811d_54fe_8be6;

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
        v.snapshot_errors,
        v.faulty_snapshots()
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
    let site = site(PLAN_LIMIT);
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
    let mut digest = Digest::default();
    digest.add_bytes(out.as_bytes());
    let found = digest.value();
    assert_eq!(
        found,
        PINNED_DIGEST,
        "{found:#018x}, text begins\n{}",
        &out[..out.len().min(600)]
    );
}
