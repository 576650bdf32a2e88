//! Report of a rehearsal on standard output. Scripts parse its last lines, so the format of these lines is fixed.
use mallowseam_audit::rehearsal::{ClassCount, Verdict};
use mallowseam_testbed::rehearsal::{ChangeLogReport, Outcome, Rollouts, SnapshotReport};

pub(super) fn print(outcome: &Outcome, quiet: bool) {
    let verdict = &outcome.verdict;
    if !quiet {
        print_classes(verdict);
    }
    outcome
        .failures
        .iter()
        .for_each(|failure| println!("unclean: {failure}"));
    verdict
        .evidence()
        .iter()
        .for_each(|line| println!("{line}"));
    println!("{verdict}");
    let snapshots = &outcome.snapshots;
    if verdict.snapshots + snapshots.clones > 0 || !snapshots.refused.is_empty() {
        print_snapshots(verdict, snapshots);
    }
    if let Some(change_log) = outcome.change_log {
        print_plan_changes(verdict, change_log, &outcome.rollouts);
    }
}

fn print_classes(verdict: &Verdict) {
    println!(
        "\n{:<10}{:>8}{:>10}{:>9}{:>7}{:>8}{:>10}{:>12}{:>9}",
        "class",
        "sent",
        "completed",
        "in time",
        "shed",
        "failed",
        "abandoned",
        "median ms",
        "p99 ms"
    );
    verdict.classes.iter().for_each(print_class);
    println!(
        "\nat the nodes: {} attempts, {} of them retries; {} blocks read back and checked",
        verdict.attempts, verdict.retries, verdict.blocks_checked
    );
}

fn print_class(class: &ClassCount) {
    let latency_ms = |fraction| {
        quantile(&class.latencies, fraction).map_or(0.0, |latency| latency as f64 / 1000.0)
    };
    println!(
        "{:<10}{:>8}{:>10}{:>8.1}%{:>7}{:>8}{:>10}{:>12.1}{:>9.1}",
        class.name,
        class.sent,
        class.completed,
        100.0 * class.in_time as f64 / class.sent.max(1) as f64,
        class.shed,
        class.failed,
        class.abandoned,
        latency_ms(0.5),
        latency_ms(0.99)
    );
}

fn print_snapshots(verdict: &Verdict, report: &SnapshotReport) {
    report
        .refused
        .iter()
        .for_each(|line| println!("refused: {line}"));
    report
        .wrong_clones
        .iter()
        .for_each(|line| println!("clone: {line}"));
    let mut grant_ms = report.grant_ms.clone();
    grant_ms.sort_unstable();
    if let (Some(median), Some(last)) = (quantile(&grant_ms, 0.5), quantile(&grant_ms, 1.0)) {
        println!(
            "leaked by hosts that were killed, and reclaimed: {} slots",
            report.leaked_slots
        );
        println!(
            "copies at the nodes: {}; granted after {median} ms in the median, {last} ms at most",
            verdict.extent_copies
        );
    }
    println!(
        "snapshots exact: {} of {}; clones apart: {} of {}; rules kept: {} of 7",
        verdict.snapshots - verdict.faulty_snapshots(),
        verdict.snapshots,
        report.isolated_clones,
        report.clones,
        verdict.rules_upheld()
    );
}

fn print_plan_changes(verdict: &Verdict, change_log: ChangeLogReport, rollouts: &Rollouts) {
    let ChangeLogReport { versions, replayed } = change_log;
    let after_ms = |fraction| quantile(&rollouts.durations_ms, fraction).unwrap_or(0);
    println!(
        "told in force at all hosts: {} of {}; after {} ms in the median, {} ms at most",
        rollouts.durations_ms.len(),
        rollouts.requested,
        after_ms(0.5),
        after_ms(1.0)
    );
    println!(
        "limits held: {versions} versions, worst overshoot {:.0}% of slack; trail replays: {replayed} of \
         {versions}; rules kept: {} of 7",
        100.0 * verdict.overshoot.max(0.0),
        verdict.rules_upheld()
    );
}

/// Returns a quantile of values in ascending order, the largest value at fraction 1, or `None` without values.
fn quantile(ascending: &[u64], fraction: f64) -> Option<u64> {
    let index = (ascending.len() as f64 * fraction) as usize;
    ascending.get(index).or(ascending.last()).copied()
}
