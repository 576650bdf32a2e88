//! Judges a fleet of hosts on the users' platform by what was observed on the sockets of their peers: seven rules over
//! all hosts, and a summary of each second.
mod client_rules;
mod node_rules;
pub mod record;
pub mod terms;
mod timeline;
mod trace;

use crate::evidence::{RULES, SLACK, broken_rules};
use crate::trace::Micros;
use record::Observation;
use std::fmt;
use trace::RunTrace;

const MICROS_PER_MS: Micros = 1_000;
/// Time that a link may add between two sockets where the order of two block I/Os is judged.
const ORDER_SLACK: Micros = 50_000;
/// Seconds in a row, and the fraction of the run's last quarter that each must reach, that count as steady service.
const STEADY_SECONDS: usize = 3;
const STEADY_FRACTION: f64 = 0.9;

/// The rules, by their index in [`Verdict::violations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets one response before its deadline, and a success was produced by a node.
    Responses,
    /// A write is executed once at most, and no operation has two attempts in flight.
    Effects,
    /// No attempt goes to a node that the host was notified is draining, past the grace time.
    Drains,
    /// No cold node collapses under hosts that knew of its start.
    ColdNodes,
    /// Writes of one key go out one at a time, in the order of their arrival at the host.
    WriteOrder,
    /// Retries stay within each host's budget.
    RetryBudget,
    /// All hosts together keep the limits of volumes.
    VolumeLimits,
}

/// What one second of a run brought.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondSummary {
    /// Requests sent.
    pub requests: u32,
    /// Of these, those served within their latency objective.
    pub within_objective: u32,
    /// Of these, those served.
    pub served: u32,
    /// Of these, those rejected with status 429 or 503.
    pub refused: u32,
    /// Operations for which no host accepted clients.
    pub no_host: u32,
    /// Polls of the discovery service.
    pub polls: u32,
    /// The most polls that waited at one time.
    pub queued: u32,
    /// Connections opened to nodes.
    pub opened: u32,
}

impl SecondSummary {
    /// Operations that clients wanted, with or without a host.
    pub fn offered(&self) -> u32 {
        self.requests + self.no_host
    }
}

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// A line for each violation, by [`Rule`].
    pub violations: [Vec<String>; RULES.len()],
    /// Requests sent.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests served within their latency objective.
    pub within_objective: u64,
    /// Requests rejected with status 429 or 503.
    pub refused: u64,
    /// Requests that got another status.
    pub failed: u64,
    /// Requests without a response before the deadline.
    pub unanswered: u64,
    /// Requests with more than one response.
    pub duplicated: u64,
    /// Requests that crossed the close of an idle connection, and were sent once more.
    pub unread: u64,
    /// Operations for which no host accepted clients.
    pub no_host: u64,
    /// Collapses of cold nodes.
    pub collapses: u64,
    /// Polls of the discovery service.
    pub polls: u64,
    /// Polls that it rejected.
    pub rejected: u64,
    /// The most polls that waited at one time.
    pub max_queued: u32,
    /// Microseconds from each start of a host to its first response of the discovery service.
    pub list_delays: Vec<Micros>,
    /// Starts of hosts that were not stopped before that response.
    pub host_starts: u64,
    /// Each second of the run.
    pub timeline: Vec<SecondSummary>,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.iter().all(Vec::is_empty)
    }

    /// How many rules were not violated.
    pub fn rules_upheld(&self) -> usize {
        self.violations
            .iter()
            .filter(|violations| violations.is_empty())
            .count()
    }

    /// Lines that describe the violations.
    pub fn evidence(&self) -> Vec<String> {
        broken_rules(&self.violations)
    }

    /// The time within which this fraction of the started hosts had a list; none if they had not.
    pub fn list_delay_within(&self, fraction: f64) -> Option<Micros> {
        let mut delays = self.list_delays.clone();
        delays.sort_unstable();
        let count = (self.host_starts as f64 * fraction).ceil() as usize;
        delays.get(count.max(1) - 1).copied()
    }

    /// The second from which on three seconds in a row brought nine tenths of the success rate of the run's last
    /// quarter. None if there is none, or if the run is too short to tell.
    pub fn steady_from(&self) -> Option<usize> {
        let seconds: Vec<&SecondSummary> =
            self.timeline.iter().filter(|s| s.offered() > 0).collect();
        // The last second is cut off by the end of the run.
        let seconds = seconds.split_last()?.1;
        let usual = success_rate(&seconds[seconds.len() - seconds.len() / 4..]);
        let is_steady = |window: &[&SecondSummary]| {
            usual > 0.0 && success_rate(window) >= usual * STEADY_FRACTION
        };
        let first = seconds.windows(STEADY_SECONDS).position(is_steady)?;
        (seconds.len() >= 4 * STEADY_SECONDS).then_some(first)
    }

    fn violate(&mut self, rule: Rule, violations: Vec<String>) {
        self.violations[rule as usize].extend(violations);
    }
}

/// Fraction of the offered operations that were served within their objective.
fn success_rate(seconds: &[&SecondSummary]) -> f64 {
    let offered: u32 = seconds.iter().map(|s| s.offered()).sum();
    f64::from(seconds.iter().map(|s| s.within_objective).sum::<u32>()) / f64::from(offered.max(1))
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "nodes fallen {}; rules kept: {} of {}; unanswered {}, doubled {}",
            self.collapses,
            self.rules_upheld(),
            RULES.len(),
            self.unanswered,
            self.duplicated
        )
    }
}

/// What the audit needs to know of a run beyond the observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// Number of hosts.
    pub hosts: u32,
    /// Units of the largest operation.
    pub max_operation_units: u32,
    /// The time over which a cold node counts what it receives, in microseconds.
    pub overload_window: Micros,
}

/// Audits a run. `machine_lag`: what a busy machine may have added to any time, as the run measured it.
pub fn check(run: Run, observations: &[Observation], machine_lag: Micros) -> Verdict {
    let mut verdict = Verdict::default();
    let trace = RunTrace::collect(observations, &mut verdict);
    let audit = Audit {
        run,
        observations,
        trace,
        slack: SLACK + machine_lag,
    };
    audit.check_responses(&mut verdict);
    verdict.violate(Rule::Effects, audit.check_effects());
    verdict.violate(Rule::Drains, audit.check_drains());
    verdict.violate(Rule::ColdNodes, audit.check_cold_nodes());
    verdict.violate(Rule::WriteOrder, audit.check_write_order());
    verdict.violate(Rule::RetryBudget, audit.check_retry_budget());
    verdict.violate(Rule::VolumeLimits, audit.check_volume_limits());
    audit.measure_list_delays(&mut verdict);
    verdict.timeline = audit.timeline();
    verdict
}

struct Audit<'a> {
    run: Run,
    observations: &'a [Observation],
    trace: RunTrace,
    /// Tolerance of time limits.
    slack: Micros,
}
