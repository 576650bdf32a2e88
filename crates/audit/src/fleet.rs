//! Audits a fleet of hosts on the users' platform by the traffic observed on the sockets of their peers: seven rules
//! over all hosts, and a summary of each second.
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
/// Tolerance for link delays where the order of two block I/Os is checked, in microseconds.
const ORDER_SLACK: Micros = 50_000;
/// Number of consecutive seconds that count as steady service.
const STEADY_SECONDS: usize = 3;
/// Fraction of the success rate of the run's last quarter that steady service reaches.
const STEADY_FRACTION: f64 = 0.9;

/// Rule of the audit, by its index in [`Verdict::violations`].
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
    /// Writes of one key are sent one at a time, in the order of their arrival at the host.
    WriteOrder,
    /// The retries of each host stay within its budget.
    RetryBudget,
    /// All hosts together stay within the limits of volumes.
    VolumeLimits,
}

/// Counts of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondSummary {
    /// Requests sent.
    pub requests: u32,
    /// Requests of this second that were served within their latency objective.
    pub within_objective: u32,
    /// Requests of this second that were served.
    pub served: u32,
    /// Requests of this second that were rejected with status 429 or 503.
    pub refused: u32,
    /// Operations for which no host accepted clients.
    pub no_host: u32,
    /// Polls that the discovery service received.
    pub polls: u32,
    /// Highest number of polls that waited at one time.
    pub queued: u32,
    /// Connections opened to nodes.
    pub opened: u32,
}

impl SecondSummary {
    /// Returns the number of operations that clients issued, with or without an available host.
    pub fn offered(&self) -> u32 {
        self.requests + self.no_host
    }
}

/// Result of an audit of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Lines of evidence of the violations of each [`Rule`].
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
    /// Requests that hosts left unread when they closed an idle connection, and that clients sent once more.
    pub unread: u64,
    /// Operations for which no host accepted clients.
    pub no_host: u64,
    /// Collapses of cold nodes.
    pub collapses: u64,
    /// Polls that the discovery service received.
    pub polls: u64,
    /// Polls that the discovery service rejected.
    pub rejected: u64,
    /// Highest number of polls that waited at one time.
    pub max_queued: u32,
    /// Time from each start of a host to the first response that it got from the discovery service, in microseconds.
    pub list_delays: Vec<Micros>,
    /// Number of host starts, without hosts that were stopped before that response.
    pub host_starts: u64,
    /// Counts of each second of the run.
    pub timeline: Vec<SecondSummary>,
}

impl Verdict {
    /// Returns whether no rule was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.iter().all(Vec::is_empty)
    }

    /// Returns the number of rules without a violation.
    pub fn rules_upheld(&self) -> usize {
        self.violations
            .iter()
            .filter(|violations| violations.is_empty())
            .count()
    }

    /// Returns lines of evidence of the violations, up to a limit for each rule.
    pub fn evidence(&self) -> Vec<String> {
        broken_rules(&self.violations)
    }

    /// Returns the time in microseconds within which this fraction of the started hosts had a list; none if fewer had
    /// one.
    pub fn list_delay_within(&self, fraction: f64) -> Option<Micros> {
        let mut delays = self.list_delays.clone();
        delays.sort_unstable();
        let count = (self.host_starts as f64 * fraction).ceil() as usize;
        delays.get(count.max(1) - 1).copied()
    }

    /// Returns the first second of steady service: three consecutive seconds that reach nine tenths of the success rate
    /// of the run's last quarter. None if there is none, or if the run is too short to tell.
    pub fn steady_from(&self) -> Option<usize> {
        let seconds: Vec<&SecondSummary> =
            self.timeline.iter().filter(|s| s.offered() > 0).collect();
        // The last second is cut off by the end of the run.
        let seconds = seconds.split_last()?.1;
        let final_rate = success_rate(&seconds[seconds.len() - seconds.len() / 4..]);
        let is_steady = |window: &[&SecondSummary]| {
            final_rate > 0.0 && success_rate(window) >= final_rate * STEADY_FRACTION
        };
        let first = seconds.windows(STEADY_SECONDS).position(is_steady)?;
        (seconds.len() >= 4 * STEADY_SECONDS).then_some(first)
    }

    fn violate(&mut self, rule: Rule, violations: Vec<String>) {
        self.violations[rule as usize].extend(violations);
    }
}

/// Returns the fraction of offered operations that were served within their latency objective.
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

/// Parameters of a run that the audit needs beyond the observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// Number of hosts.
    pub hosts: u32,
    /// Size of the largest operation, in units.
    pub max_operation_units: u32,
    /// Window over which a cold node counts the units that it receives, in microseconds.
    pub overload_window: Micros,
}

/// Audits a run. `machine_lag` is the delay, in microseconds, that a busy machine may have added to any observed time,
/// as measured in the run.
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
    /// Tolerance of time limits, in microseconds.
    slack: Micros,
}
