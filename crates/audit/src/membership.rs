//! Checks the membership tables of hosts against the injected faults: all tables converge after the last fault, no
//! running, connected host is held unreachable, no killed host goes undetected, and no member that left returns to
//! another state.
mod history;

pub use history::{HostLinks, LinkCondition, LinksSince, Pause};

use crate::fleet::record::{Event, Observation};
use crate::trace::Micros;
use history::FaultHistory;
use mallowseam_fleet::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Returns the protocol periods within which all tables converge: T(N) of docs/fleet.md.
pub fn convergence_periods(hosts: u32) -> f64 {
    100.0 + 20.0 * f64::from(hosts.max(10)).log10()
}

/// Returns the protocol periods within which every host holds a killed host unreachable: the timeout of a suspicion
/// that no other host confirms, and its dissemination.
fn detection_periods(hosts: u32) -> f64 {
    15.0 * f64::from(hosts.max(10)).log10() + 20.0
}

/// Protocol periods that two hosts need to discover each other once their link works again. Until then each may hold
/// the other unreachable.
const REDISCOVERY_PERIODS: f64 = 75.0;
/// Maximum number of differing tables that the evidence lists.
const MAX_DIFFERENCES: usize = 5;
/// Maximum number of undetected kills and resurrections that the evidence lists.
const MAX_OTHER_EVIDENCE: usize = 10;

/// Member of a sampled membership table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampledMember {
    /// Index of the member's host.
    pub host: u32,
    /// State of the member.
    pub state: MemberState,
    /// Generation of the member.
    pub generation: u64,
}

/// Summary of a host's membership table.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSample {
    /// When the sample was requested.
    pub requested_at: Micros,
    /// Host that reported the table.
    pub host: u32,
    /// Digest of the table.
    pub digest: u64,
    /// Members of the table.
    pub members: Vec<SampledMember>,
}

/// Run with its injected faults. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Run<L> {
    /// Number of hosts.
    pub hosts: u32,
    /// Duration of the run; at its end all hosts are terminated.
    pub duration: Micros,
    /// Protocol period.
    pub period: Micros,
    /// Times at which a fault of any kind began or ended.
    pub fault_times: Vec<Micros>,
    /// Intervals for which hosts were stopped by SIGSTOP.
    pub pauses: Vec<Pause>,
    /// Links between hosts at the start of the run and after each change, in order of time.
    pub links: Vec<LinksSince<L>>,
}

/// Result of the check of the membership tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipVerdict {
    /// Number of running hosts whose last table is correct and the same as that of most hosts.
    pub converged_hosts: usize,
    /// Number of hosts that run at the end.
    pub running_hosts: usize,
    /// Seconds from the last fault until all tables were correct and the same.
    pub convergence_seconds: f64,
    /// Upper bound of `convergence_seconds`.
    pub convergence_bound_seconds: f64,
    /// Seconds for which running, connected hosts were held unreachable, summed over all pairs.
    pub false_unreachable_seconds: f64,
    /// Differences between the last tables and the hosts that run.
    pub differences: Vec<String>,
    /// Killed hosts that were held alive for longer than the detection time.
    pub undetected_kills: Vec<String>,
    /// Members that had left and were held in another state later.
    pub resurrections: Vec<String>,
}

impl fmt::Display for MembershipVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "views settled {} of {}, longest {:.1} s of {:.1}; running hosts wrongly held unreachable: {:.1} s in all; \
             killed hosts unseen: {}; back from the dead: {}",
            self.converged_hosts,
            self.running_hosts,
            self.convergence_seconds,
            self.convergence_bound_seconds,
            self.false_unreachable_seconds,
            self.undetected_kills.len(),
            self.resurrections.len()
        )
    }
}

impl MembershipVerdict {
    /// Returns a line for each fault that was found, up to a limit for each kind; empty if there is none.
    pub fn evidence(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.converged_hosts < self.running_hosts {
            let others = self.running_hosts - self.converged_hosts;
            lines.push(format!(
                "membership tables of {others} running hosts are incorrect or differ from the rest"
            ));
        }
        lines.extend(self.differences.iter().take(MAX_DIFFERENCES).cloned());
        if self.convergence_seconds > self.convergence_bound_seconds {
            lines.push(format!(
                "membership tables converged after {:.1} s, later than the bound of {:.1} s",
                self.convergence_seconds, self.convergence_bound_seconds
            ));
        }
        if self.false_unreachable_seconds > 0.0 {
            lines.push(format!(
                "running, connected hosts were held unreachable for {:.1} s in total",
                self.false_unreachable_seconds
            ));
        }
        lines.extend(
            self.undetected_kills
                .iter()
                .chain(&self.resurrections)
                .take(MAX_OTHER_EVIDENCE)
                .cloned(),
        );
        lines
    }
}

/// Checks the samples of all hosts. `observations` contain the starts and stops of hosts.
pub fn check<L: HostLinks>(
    run: &Run<L>,
    observations: &[Observation],
    samples: &[MembershipSample],
) -> MembershipVerdict {
    // All hosts are terminated at the end of the run, so later samples are not checked.
    let samples: Vec<&MembershipSample> = samples
        .iter()
        .filter(|s| s.requested_at < run.duration)
        .collect();
    let audit = MembershipAudit {
        run,
        period: run.period as f64,
        history: FaultHistory::new(observations, &run.pauses, &run.links),
        samples,
    };
    let mut verdict = MembershipVerdict::default();
    audit.check_convergence(&mut verdict);
    verdict.false_unreachable_seconds = audit.false_unreachable_seconds();
    verdict.undetected_kills = audit.undetected_kills();
    verdict.resurrections = audit.resurrections(observations);
    verdict
}

struct MembershipAudit<'a, L> {
    run: &'a Run<L>,
    /// Protocol period in microseconds.
    period: f64,
    history: FaultHistory<'a, L>,
    samples: Vec<&'a MembershipSample>,
}

/// Returns whether a member is in this state only for a limited time.
fn is_transient(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Suspect | MemberState::Joining | MemberState::Leaving
    )
}

/// Returns whether a table holds exactly the running hosts as alive, and no member in a transient state.
fn is_correct(sample: &MembershipSample, running: &BTreeSet<u32>) -> bool {
    let alive: BTreeSet<u32> = sample
        .members
        .iter()
        .filter(|m| m.state == MemberState::Alive)
        .map(|m| m.host)
        .collect();
    alive == *running && !sample.members.iter().any(|m| is_transient(m.state))
}

impl<L: HostLinks> MembershipAudit<'_, L> {
    /// Converts protocol periods to microseconds.
    fn periods_to_micros(&self, periods: f64) -> Micros {
        (periods * self.period) as Micros
    }

    /// Returns whether a host ran, and was connected with the observer, for a whole interval.
    fn ran_connected(&self, observer: u32, host: u32, from: Micros, to: Micros) -> bool {
        self.history.ran(host, from, to) && self.were_connected(observer, host, from, to)
    }

    fn were_connected(&self, a: u32, b: u32, from: Micros, to: Micros) -> bool {
        self.history.were_connected(a, b, from, to, self.period)
    }

    fn check_convergence(&self, verdict: &mut MembershipVerdict) {
        let running = self.history.running_at(self.run.duration);
        let mut last: BTreeMap<u32, &MembershipSample> = BTreeMap::new();
        for sample in self.samples.iter().filter(|s| running.contains(&s.host)) {
            last.insert(sample.host, sample);
        }
        let shared =
            most_frequent_digest(last.values().copied().filter(|s| is_correct(s, &running)));
        let converged = |s: &MembershipSample| is_correct(s, &running) && Some(s.digest) == shared;
        verdict.differences = last
            .values()
            .filter(|s| !converged(s))
            .map(|s| describe_difference(s, &running, self.run.hosts))
            .collect();
        verdict.converged_hosts = last.values().filter(|s| converged(s)).count();
        verdict.running_hosts = running.len();
        let last_fault = self.last_fault_at();
        let differing = self
            .samples
            .iter()
            .filter(|s| s.requested_at >= last_fault && running.contains(&s.host) && !converged(s));
        let longest = differing
            .map(|s| s.requested_at - last_fault)
            .max()
            .unwrap_or(0);
        verdict.convergence_seconds = longest as f64 / 1e6;
        verdict.convergence_bound_seconds = convergence_periods(self.run.hosts) * self.period / 1e6;
    }

    fn last_fault_at(&self) -> Micros {
        let times = self.run.fault_times.iter().copied();
        times
            .filter(|at| *at < self.run.duration)
            .max()
            .unwrap_or(0)
    }

    fn false_unreachable_seconds(&self) -> f64 {
        let rediscovery = self.periods_to_micros(REDISCOVERY_PERIODS);
        let mut last: BTreeMap<u32, Micros> = BTreeMap::new();
        let mut seconds = 0.0;
        for sample in &self.samples {
            let now = sample.requested_at;
            let before = last.insert(sample.host, now).unwrap_or(now);
            let from = now.saturating_sub(rediscovery);
            if now < rediscovery || !self.history.ran(sample.host, from, now) {
                continue;
            }
            let unreachable = sample
                .members
                .iter()
                .filter(|m| m.state == MemberState::Unreachable && m.host != sample.host);
            let wrong = unreachable
                .filter(|m| self.ran_connected(sample.host, m.host, from, now))
                .count();
            seconds += wrong as f64 * (now - before) as f64 / 1e6;
        }
        seconds
    }

    /// Returns the killed hosts that another host, which ran and was connected all the time, held alive for longer than
    /// the detection time.
    fn undetected_kills(&self) -> Vec<String> {
        let detection = self.periods_to_micros(detection_periods(self.run.hosts));
        let mut undetected = Vec::new();
        for killed in self.history.runs.iter().filter(|run| run.killed) {
            let restarted_at = self.history.next_start(killed);
            let holds_alive = |s: &&&MembershipSample| {
                s.requested_at > killed.ended_at + detection
                    && s.requested_at < restarted_at
                    && self.history.ran(s.host, killed.ended_at, s.requested_at)
                    && self.were_connected(s.host, killed.host, killed.ended_at, s.requested_at)
                    && s.members
                        .iter()
                        .any(|m| m.host == killed.host && m.state == MemberState::Alive)
            };
            if let Some(sample) = self.samples.iter().find(holds_alive) {
                undetected.push(format!(
                    "host {} was killed at {:.1} s, but host {} still held it alive at {:.1} s",
                    killed.host,
                    killed.ended_at as f64 / 1e6,
                    sample.host,
                    sample.requested_at as f64 / 1e6
                ));
            }
        }
        undetected
    }

    /// Returns the members that one process of a host held as left, and in another state later.
    fn resurrections(&self, observations: &[Observation]) -> Vec<String> {
        let is_start = |o: &&Observation| matches!(o.event, Event::HostStarted { .. });
        let mut starts = observations.iter().filter(is_start).peekable();
        // Observing host, member and generation of the member.
        let mut left: BTreeSet<(u32, u32, u64)> = BTreeSet::new();
        let mut resurrections = Vec::new();
        for sample in &self.samples {
            while let Some(start) = starts.next_if(|start| start.at <= sample.requested_at) {
                if let Event::HostStarted { host } = start.event {
                    left.retain(|key| key.0 != host);
                }
            }
            for member in &sample.members {
                let key = (sample.host, member.host, member.generation);
                if member.state == MemberState::Left {
                    left.insert(key);
                } else if left.contains(&key) {
                    resurrections.push(format!(
                        "host {} holds member {} as {:?}, although that member had left",
                        sample.host, member.host, member.state
                    ));
                }
            }
        }
        resurrections
    }
}

fn most_frequent_digest<'a>(samples: impl Iterator<Item = &'a MembershipSample>) -> Option<u64> {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    samples.for_each(|sample| *counts.entry(sample.digest).or_default() += 1);
    counts
        .iter()
        .max_by_key(|(_, count)| *count)
        .map(|(digest, _)| *digest)
}

fn describe_difference(sample: &MembershipSample, running: &BTreeSet<u32>, hosts: u32) -> String {
    let difference = |host: u32| {
        let state = sample
            .members
            .iter()
            .find(|m| m.host == host)
            .map(|m| m.state);
        let runs = running.contains(&host);
        let is_right =
            runs == (state == Some(MemberState::Alive)) && !state.is_some_and(is_transient);
        (!is_right).then(|| {
            format!(
                "host {host}, which {}, is held as {state:?}",
                if runs { "runs" } else { "does not run" }
            )
        })
    };
    let differences: Vec<String> = (0..hosts).filter_map(difference).collect();
    format!(
        "last table of host {} (digest {:016x}) is incorrect or differs: {}",
        sample.host,
        sample.digest,
        differences.join(", ")
    )
}
