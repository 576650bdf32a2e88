//! Pinned verdicts of the audit over seeded traces. A change of a decision, a count or a text of the audit changes the
//! digest.
use crate::seeded_record::record;
use crate::site::{service_model, site};
use mallowseam_audit::rehearsal::{EffectiveLimit, Layout, Verdict, judge};
use mallowseam_test_support::Digest;
use std::fmt::Write;

/// Limit of the plan `basic` in the pinned traces.
const PLAN_LIMIT: &str = "limit 4/s burst 6";
/// Digest of the texts of all verdicts.
const PINNED_DIGEST: u64 = 0xf49d_3e4f_0493_3a0e;

fn verdict_text(v: &Verdict) -> String {
    // Hosts are checked in no fixed order, so the lines are sorted before they are pinned.
    let mut evidence = v.evidence();
    evidence.sort_unstable();
    let mut out = format!("{v}\n{}\n", evidence.join("\n"));
    for (rule, lines) in v.violations.iter().enumerate() {
        let mut lines = lines.clone();
        lines.sort_unstable();
        writeln!(out, "{rule} {lines:?}").expect("writing to a string succeeds");
    }
    writeln!(
        out,
        "{:?} {:?} {}",
        v.wrong_data,
        v.snapshot_errors,
        v.faulty_snapshots()
    )
    .expect("writing to a string succeeds");
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
    .expect("writing to a string succeeds");
    for class in &v.classes {
        let counts = (
            class.sent,
            class.completed,
            class.in_time,
            class.shed,
            class.failed,
            class.abandoned,
        );
        writeln!(out, "{} {counts:?} {:?}", class.name, class.latencies)
            .expect("writing to a string succeeds");
    }
    for outcome in &v.outcomes {
        writeln!(
            out,
            "{} {} {} {}",
            outcome.volume, outcome.io_class, outcome.sent_at, outcome.in_time
        )
        .expect("writing to a string succeeds");
    }
    out
}

#[test]
fn verdicts_over_seeded_traces_are_unchanged() {
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
    let mut violated = [0; 7];
    for seed in 0..1_200 {
        let trace = record(seed);
        for layout in [&Layout::default(), &changing] {
            let verdict = judge(&site, &service_model(), &trace, layout);
            for (count, lines) in violated.iter_mut().zip(&verdict.violations) {
                *count += usize::from(!lines.is_empty());
            }
            out += &verdict_text(&verdict);
        }
    }
    assert!(
        violated.iter().all(|n| (20..=2_380).contains(n)),
        "each rule holds in some traces and is violated in others: {violated:?}"
    );
    let mut digest = Digest::default();
    digest.add_bytes(out.as_bytes());
    let found = digest.value();
    assert_eq!(
        found,
        PINNED_DIGEST,
        "digest {found:#018x}, the text begins with\n{}",
        &out[..out.len().min(600)]
    );
}
