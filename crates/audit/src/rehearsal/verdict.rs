//! What the audit found: violations of the rules, wrong data, and the counts of a run.
use crate::evidence::{EVIDENCE_LIMIT, RULES, broken_rules};
use crate::trace::Micros;
use std::fmt;

/// Index of a rule in [`RULES`] and [`Verdict::violations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    OneAnswer,
    NoDuplicateEffect,
    Drains,
    SlowStart,
    Order,
    RetryBudget,
    Limits,
}

/// Counts of one I/O class.
#[derive(Clone, Debug, Default)]
pub struct ClassCount {
    /// Name of the class.
    pub name: String,
    /// Commands sent by clients.
    pub sent: u64,
    /// Commands that completed well.
    pub completed: u64,
    /// Commands that completed within the latency objective.
    pub in_time: u64,
    /// Commands rejected for want of capacity.
    pub shed: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Commands without an answer.
    pub abandoned: u64,
    /// Latencies of completed commands, ascending.
    pub latencies: Vec<Micros>,
}

/// How a client's command came out.
#[derive(Clone, Copy, Debug)]
pub struct CommandOutcome {
    /// Index of the volume.
    pub volume: usize,
    /// Index of the I/O class.
    pub io_class: usize,
    /// When it was sent.
    pub sent_at: Micros,
    /// Whether it completed well within its latency objective.
    pub in_time: bool,
}

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Evidence against each rule of [`RULES`].
    pub violations: [Vec<String>; RULES.len()],
    /// Blocks read that show what was not last written there.
    pub wrong_data: Vec<String>,
    /// Commands that were completed, shed, failed or left unanswered.
    pub accepted: u64,
    /// Commands that completed well.
    pub completed: u64,
    /// Commands rejected for want of capacity.
    pub shed: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Commands whose answer is missing.
    pub unanswered: u64,
    /// Second answers and second effects.
    pub duplicated: u64,
    /// Commands that their clients abandoned.
    pub abandoned: u64,
    /// Commands that nodes received.
    pub attempts: u64,
    /// Attempts beyond the first of a sub-request.
    pub retries: u64,
    /// Copies of extents that nodes received.
    pub extent_copies: u64,
    /// The furthest that any limit was exceeded, as a part of its tolerance.
    pub overshoot: f64,
    /// Blocks read and compared.
    pub blocks_checked: u64,
    /// Snapshots read back.
    pub snapshots: u64,
    /// What is wrong with snapshots.
    pub snapshot_errors: Vec<String>,
    /// Counts of each I/O class.
    pub classes: Vec<ClassCount>,
    /// Each command, in the order in which they were sent.
    pub outcomes: Vec<CommandOutcome>,
}

impl Verdict {
    /// Whether all rules hold and all data is right.
    pub fn passed(&self) -> bool {
        self.violations.iter().all(Vec::is_empty)
            && self.wrong_data.is_empty()
            && self.snapshot_errors.is_empty()
    }

    /// Number of rules without a violation.
    pub fn rules_upheld(&self) -> usize {
        self.violations
            .iter()
            .filter(|lines| lines.is_empty())
            .count()
    }

    /// Number of snapshots with anything wrong in them.
    pub fn faulty_snapshots(&self) -> u64 {
        let mut names: Vec<&str> = self
            .snapshot_errors
            .iter()
            .filter_map(|line| line.split(' ').next())
            .collect();
        names.dedup();
        names.len() as u64
    }

    /// A few lines of evidence for each rule.
    pub fn evidence(&self) -> Vec<String> {
        let mut out = broken_rules(&self.violations);
        out.extend(
            self.wrong_data
                .iter()
                .take(EVIDENCE_LIMIT)
                .map(|line| format!("bytes wrong: {line}")),
        );
        out.extend(
            self.snapshot_errors
                .iter()
                .take(EVIDENCE_LIMIT)
                .map(|line| format!("snapshot: {line}")),
        );
        out
    }

    pub(super) fn violation(&mut self, rule: Rule, line: String) {
        self.violations[rule as usize].push(line);
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rules kept: {} of 7; taken {}, ended {}, shed {}, failed {}, unanswered {}, doubled {}",
            self.rules_upheld(),
            self.accepted,
            self.completed,
            self.shed,
            self.failed,
            self.unanswered,
            self.duplicated
        )
    }
}
