//! Rules 6 and 7: the retry budget of each host, and the limits of volumes over all hosts together.
use super::commands::Attempt;
use super::verdict::Rule;
use super::{Audit, EffectiveLimit, LIMIT_TOLERANCE};
use crate::evidence::SLACK;
use crate::evidence::seconds;
use crate::trace::Micros;
use std::collections::{BTreeMap, HashMap};

impl Audit<'_> {
    /// Checks rule 6: the retries of each host stay within its budget over any window.
    pub(super) fn check_retry_budget(&mut self) {
        let mut retries: HashMap<u32, Vec<Micros>> = HashMap::new();
        let mut sent: HashMap<u32, Vec<Micros>> = HashMap::new();
        for command in &self.commands {
            sent.entry(command.host).or_default().push(command.sent_at);
            let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
            for attempt in &command.attempts {
                let count = attempts.entry(attempt.lba).or_default();
                *count += 1;
                if *count > 1 {
                    retries.entry(command.host).or_default().push(attempt.at);
                }
            }
        }
        self.verdict.retries = retries.values().map(|times| times.len() as u64).sum();
        if self.config.fleet.retry_budget_window == 0 {
            return;
        }
        for (host, mut times) in retries {
            times.sort_unstable();
            let sent = sent.remove(&host).unwrap_or_default();
            if let Some(line) = self.budget_violation(host, &times, &sent) {
                self.verdict.violation(Rule::RetryBudget, line);
            }
        }
    }

    /// Returns a line for the first retry of a host beyond its budget.
    fn budget_violation(&self, host: u32, retries: &[Micros], sent: &[Micros]) -> Option<String> {
        let fleet = &self.config.fleet;
        let window = fleet.retry_budget_window;
        retries.iter().enumerate().find_map(|(i, end)| {
            let count = retries[..=i]
                .iter()
                .filter(|at| **at + window >= *end + SLACK)
                .count() as f64;
            let recent = |at: &&Micros| **at + window + SLACK > *end && **at <= *end + SLACK;
            let commands = sent.iter().filter(recent).count() as f64;
            let allowed = fleet.retry_budget_min + fleet.retry_budget_ratio * commands;
            let by = seconds(*end);
            (count > allowed).then(|| {
                format!("gw{host} sent {count} retries within the budget window by {by}, of {allowed:.1} allowed")
            })
        })
    }

    /// Checks rule 7: all hosts together stay within the limit of a volume. Each sub-request counts when it is first
    /// sent.
    pub(super) fn check_limits(&mut self) {
        for volume in 0..self.config.volumes.len() {
            let limits = self.limits_of(volume);
            // If the volume had no limit at some time, the tokens that had accumulated by the next limit are unknown.
            if limits.iter().all(|l| l.limit > 0.0) {
                self.check_limits_of(volume, &limits);
            }
        }
    }

    /// Returns the limits of a volume's plan, in the order in which they were requested.
    fn limits_of(&self, volume: usize) -> Vec<EffectiveLimit> {
        let plan = &self.config.plans[self.config.volumes[volume].plan];
        let constant = EffectiveLimit {
            from: 0,
            until: Micros::MAX,
            limit: plan.rate_limit,
            burst: plan.burst_units,
        };
        let changed = self.layout.limits.get(&plan.name);
        changed.cloned().unwrap_or_else(|| vec![constant])
    }

    fn check_limits_of(&mut self, volume: usize, limits: &[EffectiveLimit]) {
        let burst = limits.iter().map(|l| l.burst).fold(0.0, f64::max);
        let tolerance = (burst * LIMIT_TOLERANCE).max(self.config.fleet.max_io_units);
        let mut tokens = limits[0].burst;
        let mut last = 0;
        for (at, units) in self.first_attempts(volume) {
            // The largest limit that any host may have applied since the previous block I/O.
            let applies = |l: &&EffectiveLimit| l.from <= at && l.until >= last;
            let largest = |of: fn(&EffectiveLimit) -> f64| {
                limits.iter().filter(applies).map(of).fold(0.0, f64::max)
            };
            let rate = largest(|l| l.limit) * (1.0 + LIMIT_TOLERANCE) / 1e6;
            tokens = (tokens + (at - last) as f64 * rate).min(largest(|l| l.burst)) - units;
            last = at;
            self.verdict.overshoot = self.verdict.overshoot.max(-tokens / tolerance);
            if tokens < -tolerance {
                let name = &self.config.volumes[volume].name;
                let line = format!(
                    "volume {name} was sent {:.1} units more than its limit by {}",
                    -tokens,
                    seconds(at)
                );
                return self.verdict.violation(Rule::Limits, line);
            }
        }
    }

    /// Returns time and units of the first attempt of each sub-request of a volume, in order of time.
    fn first_attempts(&self, volume: usize) -> Vec<(Micros, f64)> {
        let mut out: Vec<(Micros, f64)> = Vec::new();
        for command in self.commands.iter().filter(|c| c.volume == volume) {
            let mut first: BTreeMap<u64, &Attempt> = BTreeMap::new();
            for attempt in &command.attempts {
                first.entry(attempt.lba).or_insert(attempt);
            }
            out.extend(
                first
                    .values()
                    .map(|attempt| (attempt.at, self.units(attempt.blocks))),
            );
        }
        out.sort_by_key(|(at, _)| *at);
        out
    }
}
