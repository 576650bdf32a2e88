//! Rules on the guarantees to clients: responses, effects, the order of writes, retries and limits.
use super::trace::{Attempt, OperationTrace, Response};
use super::{Audit, MICROS_PER_MS, ORDER_SLACK, Rule, Verdict};
use crate::evidence::seconds;
use crate::fleet::terms::{RETRY_BUDGET, VOLUME_LIMIT, VolumeLimit, has_limit};
use crate::trace::Micros;
use std::collections::BTreeMap;

/// Fraction by which a volume's limit may be exceeded.
const LIMIT_TOLERANCE: f64 = 0.1;
/// Number of preceding writes of its key that each write is compared with.
const COMPARED_WRITES: usize = 8;

impl Audit<'_> {
    /// Checks rule 1: each request gets one response before its deadline, and a node produced each success.
    pub(super) fn check_responses(&self, verdict: &mut Verdict) {
        let mut violations = Vec::new();
        for operation in self.trace.operations.values() {
            verdict.requests += 1;
            violations.extend(self.check_unread(operation, verdict));
            if operation.responses.len() > 1 {
                verdict.duplicated += 1;
                violations.push(format!(
                    "{} received {} responses",
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
            return Some(format!(
                "{} received its response {late_ms} ms after its deadline",
                operation.id
            ));
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
                        "{} received a success that no node produced, at {at}",
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

    /// Checks a request that a host left unread when it closed an idle connection. The host may do so if it sent no
    /// attempt to a node, and if the request was not in its socket for long.
    fn check_unread(&self, operation: &OperationTrace, verdict: &mut Verdict) -> Option<String> {
        let unread = operation.unread?;
        verdict.unread += 1;
        let host = unread.host;
        let is_of_later_sending = |attempt: &Attempt| {
            unread.sent_again && operation.host == host && attempt.at >= operation.sent_at
        };
        let was_forwarded = operation
            .attempts
            .iter()
            .any(|attempt| attempt.host == host && !is_of_later_sending(attempt));
        if was_forwarded {
            return Some(format!(
                "{} was forwarded by host {host}, which then closed its connection as idle",
                operation.id
            ));
        }
        let is_late = unread.after > self.slack && !operation.excused;
        is_late.then(|| {
            let unread_ms = unread.after / MICROS_PER_MS;
            format!(
                "{} was left unread at host {host} for {unread_ms} ms",
                operation.id
            )
        })
    }

    /// Checks a request without a response. A killed host need not have responded, unless SIGTERM gave it time to shut
    /// down; a host that exited by itself must have responded.
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
        let awaits_resend = operation.unread.is_some_and(|unread| !unread.sent_again);
        if killed || operation.excused || awaits_resend {
            return None;
        }
        verdict.unanswered += 1;
        let how = if operation.timed_out {
            "no response before its deadline"
        } else {
            "its connection ended without a response"
        };
        let sent_at = seconds(operation.sent_at);
        Some(format!(
            "{} at host {}, sent at {sent_at}: {how}",
            operation.id, operation.host
        ))
    }

    /// Checks rule 2: a write is executed at most once, and no operation has two attempts in flight.
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
                    "{} may have been executed {may_be_executed} times",
                    operation.id
                ));
            }
            for pair in operation.attempts.windows(2) {
                if pair[0]
                    .ended_at()
                    .is_none_or(|ended_at| ended_at > pair[1].at + ORDER_SLACK)
                {
                    let at = seconds(pair[1].at);
                    violations.push(format!(
                        "{} had two attempts in flight at {at}",
                        operation.id
                    ));
                }
            }
        }
        violations
    }

    /// Checks rule 5: a host sends writes of one key one at a time, in the order in which it received them.
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

    /// Checks rule 6: the retries of each host stay within its budget.
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
                format!("host {host} sent {sent} retries within the budget window by {at}, of {allowed:.1} allowed")
            })
        })
    }

    /// Checks rule 7: all hosts together stay within the limit of a volume. Each operation counts when it is first
    /// sent.
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
                    "volume {volume} was sent {:.1} units more than its limit by {at}",
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
    // Of two writes that are sent within the tolerance for link delays, either may have arrived first.
    if later.sent_at <= earlier.sent_at + ORDER_SLACK {
        return;
    }
    let ended_at = last.ended_at().unwrap_or(Micros::MAX);
    if last.at < first.at && ended_at > first.at + ORDER_SLACK {
        violations.push(format!(
            "{} was sent at {} while {} was in flight",
            later.id,
            seconds(first.at),
            earlier.id
        ));
    }
    if last.at > first.at + ORDER_SLACK {
        violations.push(format!(
            "{} was sent after {}, which the host received later",
            earlier.id, later.id
        ));
    }
}
