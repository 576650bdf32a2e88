//! Rules on what clients are promised: responses, effects, the order of writes, retries and limits.
use super::trace::{Attempt, OperationTrace, Response};
use super::{Audit, MICROS_PER_MS, ORDER_SLACK, Rule, Verdict};
use crate::evidence::seconds;
use crate::fleet::terms::{RETRY_BUDGET, VOLUME_LIMIT, VolumeLimit, has_limit};
use crate::trace::Micros;
use std::collections::BTreeMap;

/// Fraction by which a volume's limit may be exceeded.
const LIMIT_TOLERANCE: f64 = 0.1;
/// Earlier writes of a key that each write is compared with.
const COMPARED_WRITES: usize = 8;

impl Audit<'_> {
    /// Rule 1: one response before the deadline, produced by a node if it is a success.
    pub(super) fn check_responses(&self, verdict: &mut Verdict) {
        let mut violations = Vec::new();
        for operation in self.trace.operations.values() {
            verdict.requests += 1;
            violations.extend(self.check_untaken(operation, verdict));
            if operation.responses.len() > 1 {
                verdict.duplicated += 1;
                violations.push(format!(
                    "{} was answered {} times",
                    operation.id,
                    operation.responses.len()
                ));
            }
            match operation.responses.first() {
                Some(response) => {
                    violations.extend(self.check_response(operation, response, verdict));
                }
                None => violations.extend(self.check_unanswered(operation, verdict)),
            }
        }
        verdict.violate(Rule::Responses, violations);
    }

    fn check_response(
        &self,
        operation: &OperationTrace,
        response: &Response,
        verdict: &mut Verdict,
    ) -> Option<String> {
        let deadline = operation.sent_at + operation.timeout;
        if response.at > deadline + self.slack {
            verdict.unanswered += 1;
            let late_ms = (response.at - deadline) / MICROS_PER_MS;
            return Some(format!("{} was answered {late_ms} ms late", operation.id));
        }
        match response.status {
            200 => {
                verdict.served += 1;
                let latency = response.at - operation.sent_at;
                verdict.within_objective += u64::from(latency <= operation.objective());
                let executed = operation
                    .attempts
                    .iter()
                    .any(|a| a.was_executed_by(response.at));
                (!response.authentic || !executed).then(|| {
                    let at = seconds(response.at);
                    format!(
                        "{} was served what no node made for it, at {at}",
                        operation.id
                    )
                })
            }
            429 | 503 => {
                verdict.refused += 1;
                None
            }
            _ => {
                verdict.failed += 1;
                None
            }
        }
    }

    /// A host may close an idle connection while a request crosses the close, if it has not read the request. It had not
    /// if it sent nothing to a node, and if the request did not lie in its socket for long.
    fn check_untaken(&self, operation: &OperationTrace, verdict: &mut Verdict) -> Option<String> {
        let untaken = operation.untaken?;
        verdict.unread += 1;
        let host = untaken.host;
        let is_of_later_sending = |attempt: &Attempt| {
            untaken.sent_again && operation.host == host && attempt.at >= operation.sent_at
        };
        let was_forwarded = operation
            .attempts
            .iter()
            .any(|attempt| attempt.host == host && !is_of_later_sending(attempt));
        if was_forwarded {
            return Some(format!(
                "{} was forwarded by host {host}, which closed its connection",
                operation.id
            ));
        }
        let is_late = untaken.after > self.slack && !operation.excused;
        is_late.then(|| {
            let unread_ms = untaken.after / MICROS_PER_MS;
            format!(
                "{} was left unread at host {host} for {unread_ms} ms",
                operation.id
            )
        })
    }

    /// A host that was killed need not respond, unless it was told before; one that exited by itself must have.
    fn check_unanswered(
        &self,
        operation: &OperationTrace,
        verdict: &mut Verdict,
    ) -> Option<String> {
        let deadline = operation.sent_at + operation.timeout;
        let killed = self
            .trace
            .host_run_of(operation)
            .is_some_and(|run| run.is_excused_by_kill(operation.sent_at, deadline + self.slack));
        let awaits_host = operation.untaken.is_some_and(|untaken| !untaken.sent_again);
        if killed || operation.excused || awaits_host {
            return None;
        }
        verdict.unanswered += 1;
        let how = if operation.timed_out {
            "not answered in time"
        } else {
            "its connection ended"
        };
        let sent_at = seconds(operation.sent_at);
        Some(format!(
            "{} at host {}, asked at {sent_at}: {how}",
            operation.id, operation.host
        ))
    }

    /// Rule 2: a write is executed once at most, and no operation has two attempts in flight.
    pub(super) fn check_effects(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for operation in self.trace.operations.values() {
            let may_be_executed = operation
                .attempts
                .iter()
                .filter(|a| !a.was_rejected())
                .count();
            if operation.write && may_be_executed > 1 {
                violations.push(format!(
                    "{} may have run {may_be_executed} times",
                    operation.id
                ));
            }
            for pair in operation.attempts.windows(2) {
                if pair[0]
                    .ended_at()
                    .is_none_or(|ended_at| ended_at > pair[1].at + ORDER_SLACK)
                {
                    let at = seconds(pair[1].at);
                    violations.push(format!("{} had two submits out at {at}", operation.id));
                }
            }
        }
        violations
    }

    /// Rule 5: writes of one key go out one at a time at a host, in the order in which it received them.
    pub(super) fn check_write_order(&self) -> Vec<String> {
        let mut by_key: BTreeMap<(u32, u32, u64), Vec<&OperationTrace>> = BTreeMap::new();
        for write in self.trace.operations.values().filter(|o| o.write) {
            by_key
                .entry((write.host, write.volume, write.extent))
                .or_default()
                .push(write);
        }
        let mut violations = Vec::new();
        for writes in by_key.values_mut() {
            writes.sort_by_key(|write| write.sent_at);
            for (index, later) in writes.iter().enumerate() {
                for earlier in writes[..index].iter().rev().take(COMPARED_WRITES) {
                    check_order(earlier, later, &mut violations);
                }
            }
        }
        violations
    }

    /// Rule 6: each host's retries within its budget.
    pub(super) fn check_retry_budget(&self) -> Vec<String> {
        (0..self.run.hosts)
            .filter_map(|host| self.check_retries_of(host))
            .collect()
    }

    fn check_retries_of(&self, host: u32) -> Option<String> {
        let operations = || self.trace.operations.values().filter(|o| o.host == host);
        let mut admitted: Vec<Micros> = operations().map(|o| o.sent_at).collect();
        let mut retries: Vec<Micros> = operations()
            .flat_map(|o| o.attempts.iter().skip(1).map(|a| a.at))
            .collect();
        admitted.sort_unstable();
        retries.sort_unstable();
        let count_between = |times: &[Micros], from: Micros, to: Micros| {
            times.partition_point(|t| *t <= to) - times.partition_point(|t| *t < from)
        };
        let window = RETRY_BUDGET.window_ms * MICROS_PER_MS;
        retries.iter().find_map(|at| {
            let sent = count_between(&retries, at.saturating_sub(window), *at);
            let earned = count_between(&admitted, at.saturating_sub(window + self.slack), *at);
            let allowed = RETRY_BUDGET.free_retries + RETRY_BUDGET.retry_ratio * earned as f64;
            (sent as f64 > allowed + 1.0).then(|| {
                let at = seconds(*at);
                format!("host {host} sent {sent} further submits of {allowed:.1} by {at}")
            })
        })
    }

    /// Rule 7: what all hosts send for a limited volume; each operation counts when it is first sent.
    pub(super) fn check_volume_limits(&self) -> Vec<String> {
        let mut sent: BTreeMap<u32, Vec<(Micros, f64)>> = BTreeMap::new();
        for operation in self
            .trace
            .operations
            .values()
            .filter(|o| has_limit(o.volume))
        {
            if let Some(attempt) = operation.attempts.first() {
                sent.entry(operation.volume)
                    .or_default()
                    .push((attempt.at, f64::from(operation.units)));
            }
        }
        sent.into_iter()
            .filter_map(|(volume, sent)| self.check_limit_of(volume, sent))
            .collect()
    }

    fn check_limit_of(&self, volume: u32, mut sent: Vec<(Micros, f64)>) -> Option<String> {
        let VolumeLimit {
            units_per_second: limit,
            burst,
        } = VOLUME_LIMIT;
        let units_per_micro = limit * (1.0 + LIMIT_TOLERANCE) / 1e6;
        let tolerance = (burst * LIMIT_TOLERANCE).max(f64::from(self.run.max_operation_units));
        let tolerance = tolerance + limit * (self.slack as f64 / 1e6);
        sent.sort_by_key(|(at, _)| *at);
        let mut tokens = burst;
        let mut last = 0;
        for (at, units) in sent {
            tokens = (tokens + (at - last) as f64 * units_per_micro).min(burst) - units;
            last = at;
            if tokens < -tolerance {
                let at = seconds(at);
                return Some(format!(
                    "volume {volume} was {:.1} units past its limit at {at}",
                    -tokens
                ));
            }
        }
        None
    }
}

fn check_order(earlier: &OperationTrace, later: &OperationTrace, violations: &mut Vec<String>) {
    let (Some(first), Some(last)) = (later.attempts.first(), earlier.attempts.last()) else {
        return;
    };
    // Either of two that are sent within the link's slack may have arrived first.
    if later.sent_at <= earlier.sent_at + ORDER_SLACK {
        return;
    }
    let ended_at = last.ended_at().unwrap_or(Micros::MAX);
    if last.at < first.at && ended_at > first.at + ORDER_SLACK {
        violations.push(format!(
            "{} went out at {} with {} out",
            later.id,
            seconds(first.at),
            earlier.id
        ));
    }
    if last.at > first.at + ORDER_SLACK {
        violations.push(format!(
            "{} went out behind {}, which came later",
            earlier.id, later.id
        ));
    }
}
