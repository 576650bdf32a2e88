//! The rules that both audits check, and how evidence against them is written.
use crate::trace::Micros;

/// What the network and a busy machine may add between two sockets.
pub const SLACK: Micros = 250_000;

/// Lines of evidence shown for each rule.
pub(crate) const EVIDENCE_LIMIT: usize = 5;

/// The rules, in the order of the violations of a verdict.
pub const RULES: [&str; 7] = [
    "one final answer",
    "no effect twice",
    "drains kept",
    "cold nodes not pushed over",
    "order kept",
    "budget kept",
    "limits kept",
];

/// A few lines of evidence for each rule that was broken.
pub(crate) fn broken_rules(violations: &[Vec<String>; RULES.len()]) -> Vec<String> {
    let evidence = |(rule, lines): (&'static str, &Vec<String>)| -> Vec<String> {
        lines
            .iter()
            .take(EVIDENCE_LIMIT)
            .map(|line| format!("broken: {rule}: {line}"))
            .collect()
    };
    RULES
        .into_iter()
        .zip(violations)
        .flat_map(evidence)
        .collect()
}

/// A time in seconds, to the millisecond.
pub(crate) fn seconds(at: Micros) -> String {
    format!("{}.{:03} s", at / 1_000_000, at / 1000 % 1000)
}
