//! A soak: many short scenarios, each drawn by its seed, played several at a time. What breaks a rule is a finding, with
//! the history of the request or process that it is about.
use super::error::TestbedError;
use super::history;
use super::outcome::Outcome;
use super::processes::Program;
use super::testbed;
use mallowseam_audit::fleet::record::{Event, Observation};
use mallowseam_audit::trace::Micros;
use mallowseam_scenarios::fleet::Scenario;
use mallowseam_scenarios::restart_schedule;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};

/// A restarted host counts as ready in time within this, in microseconds.
const READY_TIME: Micros = 10_000_000;
/// Of ten restarted hosts, so many are ready in time.
const READY_IN_TEN: usize = 9;

/// What to play.
pub struct Soak {
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Number of hosts, where the seed does not draw it.
    pub hosts: Option<u32>,
    /// Directory in which logs and configurations of each seed are kept.
    pub keep: Option<PathBuf>,
    /// Scenarios that are played at once.
    pub parallel: usize,
    /// The host.
    pub program: Program,
}

/// What one seed brought.
pub struct SeedReport {
    /// The seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: u64,
    /// Starts of hosts.
    pub host_starts: usize,
    /// Requests that crossed the close of their connection and were sent once more.
    pub not_taken: u64,
    /// The longest delay of the event loop of the simulated peers, in microseconds.
    pub max_lag: Micros,
    /// Each violation, followed by the history of what it is about.
    pub findings: Vec<String>,
}

impl Soak {
    /// Plays all seeds; `on_report` gets each report as its seed ends.
    ///
    /// # Errors
    /// The testbed itself fails.
    pub fn play(&self, mut on_report: impl FnMut(SeedReport)) -> Result<(), TestbedError> {
        let next = AtomicUsize::new(0);
        let (sender, reports) = channel();
        std::thread::scope(|scope| {
            for _ in 0..self.parallel {
                let sender = sender.clone();
                scope.spawn({
                    let next = &next;
                    move || self.play_next(next, &sender)
                });
            }
            drop(sender);
            reports
                .into_iter()
                .try_for_each(|report| report.map(&mut on_report))
        })
    }

    fn play_next(&self, next: &AtomicUsize, reports: &Sender<Result<SeedReport, TestbedError>>) {
        while let Some(seed) = self.seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
            if reports.send(self.play_seed(*seed)).is_err() {
                return;
            }
        }
    }

    fn scenario(&self, seed: u64) -> Scenario {
        restart_schedule::random_scenario(seed, self.hosts)
    }

    fn play_seed(&self, seed: u64) -> Result<SeedReport, TestbedError> {
        let scenario = self.scenario(seed);
        let temporary = tempfile::tempdir().map_err(TestbedError::Directory)?;
        let dir = match &self.keep {
            Some(keep) => keep.join(seed.to_string()),
            None => temporary.path().to_owned(),
        };
        std::fs::create_dir_all(&dir).map_err(TestbedError::Directory)?;
        let program = self.program.clone().with_arguments(&["--log", "debug"]);
        let outcome = testbed::run(&scenario, seed, &program, &dir, &mut |_, _| {})?;
        Ok(report(seed, &scenario, &outcome, &dir))
    }
}

fn report(seed: u64, scenario: &Scenario, outcome: &Outcome, dir: &Path) -> SeedReport {
    let mut findings = outcome.violations();
    findings.extend(late_hosts(scenario, &outcome.observations));
    findings.extend(hosts_past_limits(scenario, outcome));
    let findings = findings
        .into_iter()
        .map(|finding| history::with_history(&finding, outcome, dir))
        .collect();
    let verdict = &outcome.verdict;
    SeedReport {
        seed,
        requests: verdict.requests,
        host_starts: ready_times(&outcome.observations).len(),
        not_taken: verdict.unread,
        max_lag: outcome.max_lag,
        findings,
    }
}

/// For each start of a host that was not ended within the time for it to be ready: the time until it was, if it was.
fn ready_times(observations: &[Observation]) -> Vec<Option<Micros>> {
    let mut starting: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut times = Vec::new();
    for Observation { at, event } in observations {
        match *event {
            Event::HostStarted { host } => drop(starting.insert(host, *at)),
            Event::HostReady { host } => {
                times.extend(starting.remove(&host).map(|start| Some(at - start)));
            }
            Event::HostStopped { host, .. } => {
                let start = starting.remove(&host);
                times.extend(start.filter(|start| at - start > READY_TIME).map(|_| None));
            }
            _ => {}
        }
    }
    let end = observations.last().map_or(0, |last| last.at);
    let late = starting.values().filter(|start| end - **start > READY_TIME);
    times.extend(late.map(|_| None));
    times
}

fn late_hosts(scenario: &Scenario, observations: &[Observation]) -> Option<String> {
    let times = ready_times(observations);
    let in_time = |time: &&Option<Micros>| time.is_some_and(|time| time <= READY_TIME);
    let ready = times.iter().filter(in_time).count();
    (ready * 10 < times.len() * READY_IN_TEN).then(|| {
        format!(
            "{ready} of {} starts were ready within 10 s, with {} hosts",
            times.len(),
            scenario.hosts
        )
    })
}

fn hosts_past_limits(scenario: &Scenario, outcome: &Outcome) -> Vec<String> {
    let is_past_limit = |kilobytes: u64, descriptors: usize| {
        kilobytes > u64::from(scenario.memory_mb) * 1_024
            || descriptors > scenario.max_descriptors as usize
    };
    let past = outcome
        .usage
        .iter()
        .filter(|usage| is_past_limit(usage.memory_kb, usage.descriptors));
    past.map(|usage| format!("a host is past its limits: {usage:?}"))
        .collect()
}
