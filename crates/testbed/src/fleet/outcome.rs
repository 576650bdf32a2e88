//! Result of a run, and its report.
use super::processes::ResourceUsage;
use mallowseam_audit::fleet::Verdict;
use mallowseam_audit::fleet::record::{Event, Observation};
use mallowseam_audit::membership::MembershipSample;
use mallowseam_audit::trace::Micros;
use mallowseam_scenarios::fleet::Scenario;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Result of a run.
pub struct Outcome {
    /// Result of the audit.
    pub verdict: Verdict,
    /// All observations of the peers.
    pub observations: Vec<Observation>,
    /// Descriptions of host processes that exited without SIGTERM, exited with an error, or did not exit after SIGTERM.
    pub crashed: Vec<String>,
    /// Resource usage of each host at the end of the run.
    pub usage: Vec<ResourceUsage>,
    /// Longest delay of the event loop, in microseconds.
    pub max_lag: Micros,
    /// Number of watches of the discovery service that were open at the end of the run.
    pub open_watches: usize,
    /// Hosts' membership tables, one sample for each query.
    pub membership_samples: Vec<MembershipSample>,
    /// Mean rate of membership traffic that a host sent to other hosts, in bytes per second.
    pub membership_bytes_per_second: f64,
    /// Highest load on a cold node, as a fraction of the load that the node could sustain.
    pub peak_cold_load: f64,
}

/// Latencies and CPU time of a group of hosts.
#[derive(Default)]
struct GroupFigures {
    latencies: Vec<Micros>,
    cpu_ms: u64,
    hosts: u32,
}

impl GroupFigures {
    fn quantile_ms(&self, quantile: f64) -> f64 {
        let index = (self.latencies.len() as f64 * quantile) as usize;
        self.latencies
            .get(index)
            .map_or(0.0, |micros| *micros as f64 / 1e3)
    }

    fn describe(&mut self, run_seconds: f64) -> String {
        self.latencies.sort_unstable();
        let cpu = self.cpu_ms as f64 / f64::from(self.hosts.max(1)) / run_seconds;
        format!(
            "{} served, median {:.1} ms, p99 {:.1} ms, {cpu:.1} ms of processor time a second",
            self.latencies.len(),
            self.quantile_ms(0.5),
            self.quantile_ms(0.99)
        )
    }
}

impl Outcome {
    fn hosts_with_list(&self) -> u64 {
        self.verdict.list_delays.len() as u64
    }

    /// Returns violated rules, and processes that did not exit as they should.
    pub fn violations(&self) -> Vec<String> {
        let mut lines = self.verdict.evidence();
        lines.extend(self.crashed.iter().cloned());
        lines
    }

    /// Returns all violations and exceeded bounds of the run; empty if the run passed.
    pub fn evidence(&self, scenario: &Scenario) -> Vec<String> {
        let verdict = &self.verdict;
        let mut lines = self.violations();
        let without_list = verdict.host_starts.saturating_sub(self.hosts_with_list());
        if without_list > 0 {
            lines.push(format!(
                "{without_list} host starts without an endpoint list from the discovery service"
            ));
        }
        let allowed = scenario.max_queued_polls();
        if verdict.max_queued > allowed {
            lines.push(format!(
                "{} polls queued at the discovery service, expected {allowed} at most",
                verdict.max_queued
            ));
        }
        if verdict.collapses > 0 {
            lines.push(format!("{} node collapses", verdict.collapses));
        }
        lines
    }

    /// Returns the last line of the report.
    pub fn summary(&self, scenario: &Scenario) -> String {
        let verdict = &self.verdict;
        let starts = verdict.host_starts;
        format!(
            "hosts fresh {} of {starts}; list calls {} for {starts} hosts, most waiting {} of {}; {verdict}",
            self.hosts_with_list(),
            verdict.polls,
            verdict.max_queued,
            scenario.max_queued_polls()
        )
    }

    /// Compares the latency of served requests and the CPU time of hosts that take part in the membership protocol with
    /// those of hosts that do not. Returns `None` unless the run has both kinds of hosts.
    pub fn compare_membership_groups(&self, scenario: &Scenario) -> Option<String> {
        let participants = scenario.membership?.participants;
        if participants.start == 0 && participants.end >= scenario.hosts {
            return None;
        }
        let mut with = GroupFigures::default();
        let mut without = GroupFigures::default();
        let mut sent = BTreeMap::new();
        for Observation { at, event } in &self.observations {
            match *event {
                Event::RequestSent { op, host, .. } => drop(sent.insert(op, (*at, host))),
                Event::ResponseReceived {
                    op, status: 200, ..
                } => {
                    if let Some((sent_at, host)) = sent.remove(&op) {
                        let group = if participants.contains(host) {
                            &mut with
                        } else {
                            &mut without
                        };
                        group.latencies.push(at - sent_at);
                    }
                }
                _ => {}
            }
        }
        for (host, usage) in self.usage.iter().enumerate() {
            let group = if participants.contains(host as u32) {
                &mut with
            } else {
                &mut without
            };
            group.cpu_ms += usage.cpu_ms;
            group.hosts += 1;
        }
        let seconds = scenario.duration as f64 / 1e6;
        let with = with.describe(seconds);
        let without = without.describe(seconds);
        Some(format!(
            "hosts with a view: {with}\nhosts without: {without}"
        ))
    }

    /// Returns a table of the run second by second, followed by its totals.
    pub fn table(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = self.write_table(&mut out);
        out
    }

    fn write_table(&self, out: &mut String) -> std::fmt::Result {
        self.write_timeline(out)?;
        let verdict = &self.verdict;
        let ms = |fraction| match verdict.list_delay_within(fraction) {
            Some(delay) => format!("{} ms", delay / 1_000),
            None => "never".to_owned(),
        };
        writeln!(
            out,
            "fresh list: half of the starts after {}, 95 in 100 after {}, all after {}",
            ms(0.5),
            ms(0.95),
            ms(1.0)
        )?;
        let steady = verdict
            .steady_from()
            .map_or("never".to_owned(), |s| format!("from {s} s on"));
        writeln!(out, "nine tenths of usual service: {steady}")?;
        let count = self.usage.len().max(1) as f64;
        let mean =
            |metric: fn(&ResourceUsage) -> f64| self.usage.iter().map(metric).sum::<f64>() / count;
        writeln!(
            out,
            "a host at the end: {:.1} MB, {:.0} ms of processor time, {:.0} descriptors; most to a cold node: {:.0} \
             in 100 of what it bears; stand-ins late by {} ms at most",
            mean(|u| u.memory_kb as f64 / 1024.0),
            mean(|u| u.cpu_ms as f64),
            mean(|u| u.descriptors as f64),
            100.0 * self.peak_cold_load,
            self.max_lag / 1_000
        )
    }

    fn write_timeline(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "{:>4}{:>8}{:>9}{:>8}{:>9}{:>9}{:>7}{:>9}{:>8}",
            "s", "asked", "in goal", "served", "refused", "no host", "calls", "waiting", "opened"
        )?;
        for (second, s) in self.verdict.timeline.iter().enumerate() {
            let percent = 100.0 * f64::from(s.within_objective) / f64::from(s.offered().max(1));
            writeln!(
                out,
                "{second:>4}{:>8}{percent:>8.1}%{:>8}{:>9}{:>9}{:>7}{:>9}{:>8}",
                s.requests, s.served, s.refused, s.no_host, s.polls, s.queued, s.opened
            )?;
        }
        Ok(())
    }
}
