//! Result of an audit: violations of the rules, wrong data, and the counts of a run.
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

/// Command counts of one I/O class.
#[derive(Clone, Debug, Default)]
pub struct ClassCount {
    /// Name of the class.
    pub name: String,
    /// Commands sent by clients.
    pub sent: u64,
    /// Commands that completed successfully.
    pub completed: u64,
    /// Commands that completed within the latency objective.
    pub in_time: u64,
    /// Commands rejected for lack of capacity.
    pub shed: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Commands without an answer.
    pub abandoned: u64,
    /// Latencies of completed commands in microseconds, ascending.
    pub latencies: Vec<Micros>,
}

/// Outcome of a client's command.
#[derive(Clone, Copy, Debug)]
pub struct CommandOutcome {
    /// Index of the volume.
    pub volume: usize,
    /// Index of the I/O class.
    pub io_class: usize,
    /// When the command was sent.
    pub sent_at: Micros,
    /// Whether the command completed successfully within its latency objective.
    pub in_time: bool,
}

/// Result of an audit of hosts behind iSCSI.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Lines of evidence of the violations of each rule of [`RULES`].
    pub violations: [Vec<String>; RULES.len()],
    /// Lines of evidence of reads that returned wrong data.
    pub wrong_data: Vec<String>,
    /// Commands that completed, were shed, failed or were left unanswered.
    pub accepted: u64,
    /// Commands that completed successfully.
    pub completed: u64,
    /// Commands rejected for lack of capacity.
    pub shed: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Commands whose answer is missing although it was due.
    pub unanswered: u64,
    /// Duplicate answers and duplicate effects.
    pub duplicated: u64,
    /// Commands that their clients abandoned.
    pub abandoned: u64,
    /// Attempts that nodes received, without extent copies.
    pub attempts: u64,
    /// Attempts beyond the first of a sub-request.
    pub retries: u64,
    /// Copies of extents that nodes received.
    pub extent_copies: u64,
    /// Largest excess over any limit, as a fraction of the tolerance.
    pub overshoot: f64,
    /// Number of blocks that were read and checked.
    pub blocks_checked: u64,
    /// Number of snapshots that were read and checked.
    pub snapshots: u64,
    /// Lines of evidence of wrong data in snapshots; the first word of each is the name of the snapshot.
    pub snapshot_errors: Vec<String>,
    /// Counts of each I/O class.
    pub classes: Vec<ClassCount>,
    /// Outcomes of all commands, in the order in which they were sent.
    pub outcomes: Vec<CommandOutcome>,
}

impl Verdict {
    /// Returns whether all rules hold and all data is correct.
    pub fn passed(&self) -> bool {
        self.violations.iter().all(Vec::is_empty)
            && self.wrong_data.is_empty()
            && self.snapshot_errors.is_empty()
    }

    /// Returns the number of rules without a violation.
    pub fn rules_upheld(&self) -> usize {
        self.violations
            .iter()
            .filter(|lines| lines.is_empty())
            .count()
    }

    /// Returns the number of snapshots with wrong data.
    pub fn faulty_snapshots(&self) -> u64 {
        let mut names: Vec<&str> = self
            .snapshot_errors
            .iter()
            .filter_map(|line| line.split(' ').next())
            .collect();
        names.dedup();
        names.len() as u64
    }

    /// Returns lines of evidence, up to a limit for each violated rule, for wrong reads and for wrong snapshots.
    pub fn evidence(&self) -> Vec<String> {
        let mut out = broken_rules(&self.violations);
        out.extend(
            self.wrong_data
                .iter()
                .take(EVIDENCE_LIMIT)
                .map(|line| format!("wrong data: {line}")),
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
