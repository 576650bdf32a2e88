//! Changes of plans during a rehearsal, and the plan service's change log of them.
use super::{ChangeLogReport, Rehearsal, Rollouts};
use mallowseam_audit::rehearsal::{EffectiveLimit, Layout};
use mallowseam_audit::trace::Micros;
use mallowseam_control_protocol::{PlanRequest, RequestError, send_request};
use mallowseam_plans::change_log::LogEntry;
use mallowseam_plans::state::{Change, Plan};
use mallowseam_scenarios::rehearsal::{Event, Fault, Scenario};
use mallowseam_settings::{GatewayConfig, config};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::Path;
use std::sync::{Arc, PoisonError};

/// Makes the random numbers for plan changes independent of a rehearsal's other random numbers of the same seed.
const SEED_SALT: u64 = 0x7a71;
/// Time before the end of a rehearsal in which no change is requested, in microseconds.
const QUIET_END: Micros = 2_000_000;
/// Maximum number of entries of the change log that are read back.
const MAX_LOG_ENTRIES: usize = 10_000;

/// Requested change of a plan's limit.
pub(super) struct RequestedChange {
    reason: String,
    at: Micros,
    /// Time of the plan service's answer that all hosts apply the change; `None` after any other answer.
    effective_at: Option<Micros>,
}

/// Returns the changes of plans' limits during a rehearsal, drawn by the seed.
pub fn plan_changes(scenario: &Scenario, config: &GatewayConfig, seed: u64) -> Vec<Event> {
    let Some(interval) = scenario.plan_change_interval else {
        return Vec::new();
    };
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT);
    let limited: Vec<usize> = (0..config.plans.len())
        .filter(|p| config.plans[*p].rate_limit > 0.0)
        .collect();
    if limited.is_empty() {
        return Vec::new();
    }
    let times = (1..)
        .map(|n| n * interval)
        .take_while(|at| at + QUIET_END < scenario.duration);
    times
        .map(|at| {
            let plan = limited[rng.random_range(0..limited.len())];
            Event {
                at,
                fault: Fault::PlanChange(plan, rng.random_range(0.4..1.6)),
            }
        })
        .collect()
}

/// Returns a plan with its limit and burst multiplied by a factor. The limit is at least the reserved rate.
fn scaled_plan(plan: config::Plan, times: f64) -> Plan {
    let rate_limit = (plan.rate_limit * times).max(plan.reserved_rate);
    let burst_units = plan.burst_units * times;
    mallowseam_iscsi_host::replicated_plan(&config::Plan {
        rate_limit,
        burst_units,
        ..plan
    })
}

fn request(socket: &Path, request: &PlanRequest) -> Result<String, RequestError> {
    let line = serde_json::to_string(request).expect("plan requests serialize to JSON");
    send_request(socket, &line)
}

impl Rehearsal<'_> {
    /// Requests a change of a plan's limit, in a separate thread that waits until all hosts apply the change.
    pub(super) fn change_plan(&mut self, plan: usize, times: f64) {
        let trace = self.trace.clone();
        let requested_changes = Arc::clone(&self.requested_changes);
        let socket = self.dir.join("control.sock");
        let plan = self.config.plans[plan].clone();
        let number = self.request_threads.len();
        self.request_threads.push(std::thread::spawn(move || {
            let reason = format!("change {number}");
            let set = PlanRequest::Set {
                change: Change::SetPlan {
                    name: plan.name.clone(),
                    plan: scaled_plan(plan, times),
                },
                expected: None,
                author: "rehearsal".into(),
                reason: reason.clone(),
                dry_run: false,
                wait: true,
            };
            let at = trace.now();
            let applied = request(&socket, &set).is_ok();
            let effective_at = applied.then(|| trace.now());
            let mut requested = requested_changes
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            requested.push(RequestedChange {
                reason,
                at,
                effective_at,
            });
        }));
    }

    /// Returns how long the requested changes took to reach all hosts.
    pub(super) fn rollouts(&self) -> Rollouts {
        let requested = self
            .requested_changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut durations_ms: Vec<u64> = requested
            .iter()
            .filter_map(|change| Some((change.effective_at? - change.at) / 1_000))
            .collect();
        durations_ms.sort_unstable();
        Rollouts {
            durations_ms,
            requested: requested.len(),
        }
    }

    /// Adds the time in which each limit was effective to the layout, derived from the change log and the answers, and
    /// lets the plan service replay the log.
    pub(super) fn read_change_log(&mut self, layout: &mut Layout) -> ChangeLogReport {
        self.join_request_threads();
        let socket = self.dir.join("control.sock");
        let history = PlanRequest::History {
            from: 1,
            limit: MAX_LOG_ENTRIES,
        };
        let history = match request(&socket, &history) {
            Ok(text) => text,
            Err(e) => {
                self.failures
                    .push(format!("cannot read the change log of plans: {e}"));
                return ChangeLogReport {
                    versions: 0,
                    replayed: 0,
                };
            }
        };
        let log: Vec<LogEntry> = history
            .lines()
            .filter_map(|l| serde_json::from_str(l).ok())
            .collect();
        self.add_limits(&log, layout);
        let versions = log.len() as u64;
        let failure = replay_failure(&socket, versions);
        let replayed = if failure.is_none() { versions } else { 0 };
        self.failures.extend(failure);
        ChangeLogReport { versions, replayed }
    }

    fn add_limits(&self, log: &[LogEntry], layout: &mut Layout) {
        let requested = self
            .requested_changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (plan, limit) in effective_limits(log, &requested) {
            layout.limits.entry(plan).or_default().push(limit);
        }
    }
}

/// Lets the plan service replay its change log. Returns a description of the failure unless all versions replay.
fn replay_failure(socket: &Path, versions: u64) -> Option<String> {
    match request(socket, &PlanRequest::Replay) {
        Ok(text) if text == format!("trail replays: {versions} of {versions}") => None,
        Ok(text) => Some(text),
        Err(e) => Some(format!("cannot replay the change log of plans: {e}")),
    }
}

/// Returns each limit in the log with its plan's name and the time in which some host may have applied the limit.
fn effective_limits(
    log: &[LogEntry],
    requested: &[RequestedChange],
) -> Vec<(String, EffectiveLimit)> {
    let request_of = |entry: &LogEntry| requested.iter().find(|r| r.reason == entry.reason);
    // Once all hosts apply a version, no host applies an earlier one.
    let superseded_at = |version: u64| {
        let later = log.iter().filter(|e| e.version >= version);
        later
            .filter_map(|e| request_of(e)?.effective_at)
            .min()
            .unwrap_or(Micros::MAX)
    };
    let mut limits = Vec::new();
    for (i, entry) in log.iter().enumerate() {
        let Change::SetPlan { name, plan } = &entry.change else {
            continue;
        };
        let same_plan =
            |e: &&LogEntry| matches!(&e.change, Change::SetPlan { name: n, .. } if n == name);
        let next = log[i + 1..].iter().find(same_plan);
        let limit = EffectiveLimit {
            from: request_of(entry).map_or(0, |r| r.at),
            until: next.map_or(Micros::MAX, |next| superseded_at(next.version)),
            limit: plan.rate_limit as f64 / 1000.0,
            burst: plan.burst_units as f64 / 1000.0,
        };
        limits.push((name.clone(), limit));
    }
    limits
}
