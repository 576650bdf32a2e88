//! Rules 1 and 2: one final answer for each command, and no duplicate effect.
use super::Audit;
use super::commands::Command;
use super::verdict::Rule;
use crate::evidence::SLACK;
use crate::evidence::seconds;
use crate::trace::{Micros, TraceEntry, TraceEvent};
use mallowseam_settings::config::Idempotency;
use std::collections::BTreeMap;

impl Audit<'_> {
    /// Checks rule 1: each accepted command gets one answer in time, and no attempt is sent after the answer.
    pub(super) fn check_answers(&mut self, trace: &[TraceEntry]) {
        let host_ends: Vec<(u32, Micros)> = trace
            .iter()
            .filter_map(|entry| match entry.event {
                TraceEvent::HostDown { host } => Some((host, entry.at)),
                _ => None,
            })
            .collect();
        for command in &self.commands {
            let Some(line) = self.answer_violation(command, &host_ends) else {
                continue;
            };
            if command.answered.is_none() {
                self.verdict.unanswered += 1;
            }
            self.verdict.violation(Rule::OneAnswer, line);
        }
    }

    fn answer_violation(&self, command: &Command, host_ends: &[(u32, Micros)]) -> Option<String> {
        let deadline = self.config.io_classes[command.io_class].deadline;
        let due = command.sent_at + deadline + SLACK;
        let Some((at, _)) = command.answered else {
            let host_ended = host_ends.iter().any(|(host, at)| {
                *host == command.host && at + SLACK >= command.sent_at && *at <= due
            });
            let missing = !command.abandoned && !host_ended;
            return missing.then(|| {
                let sent_at = seconds(command.sent_at);
                format!(
                    "command {} sent to gw{} at {sent_at} has no answer",
                    command.id, command.host
                )
            });
        };
        if at > due {
            let late = (at - command.sent_at - deadline) / 1000;
            let sent_at = seconds(command.sent_at);
            return Some(format!(
                "command {} sent at {sent_at} was answered {late} ms after its deadline",
                command.id
            ));
        }
        let late = command
            .attempts
            .iter()
            .find(|attempt| attempt.at > at + SLACK)?;
        let sent_at = seconds(late.at);
        let at = seconds(at);
        Some(format!(
            "node{} received an attempt of command {} at {sent_at}, which was answered at {at}",
            late.node, command.id
        ))
    }

    /// Checks rule 2: a non-idempotent command is neither retried nor shed once it may have been executed.
    pub(super) fn check_effects(&mut self) {
        for command in &self.commands {
            if self.config.io_classes[command.io_class].idempotency != Idempotency::NonIdempotent {
                continue;
            }
            let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
            command
                .possibly_executed_attempts()
                .for_each(|attempt| *runs.entry(attempt.lba).or_default() += 1);
            let id = command.id;
            if runs.values().any(|count| *count > 1) {
                self.verdict.duplicated += 1;
                let line = format!("command {id} was retried after it may have been executed");
                self.verdict.violation(Rule::NoDuplicateEffect, line);
            }
            if command.was_shed() && !runs.is_empty() {
                let line = format!("command {id} was shed after it may have been executed");
                self.verdict.violation(Rule::NoDuplicateEffect, line);
            }
        }
    }
}
