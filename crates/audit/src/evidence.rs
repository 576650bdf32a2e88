//! Rules that both audits check, and the format of the evidence of violations.
use crate::trace::Micros;

/// Tolerance for delays that the network and a busy machine add between two sockets, in microseconds.
pub const SLACK: Micros = 250_000;

/// Maximum number of evidence lines for each rule.
pub(crate) const EVIDENCE_LIMIT: usize = 5;

/// Names of the rules, in the order of the violations of a verdict.
pub const RULES: [&str; 7] = [
    "one final answer",
    "no duplicate effect",
    "no commands for draining nodes",
    "no overload of cold nodes",
    "order within a key",
    "retry budget",
    "volume limits",
];

/// Returns up to [`EVIDENCE_LIMIT`] lines of evidence for each rule that was violated.
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

/// Formats a time in seconds, to the millisecond.
pub(crate) fn seconds(at: Micros) -> String {
    format!("{}.{:03} s", at / 1_000_000, at / 1000 % 1000)
}
