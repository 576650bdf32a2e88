//! Soak test: many short scenarios, each drawn by its seed, several of them played concurrently. Each violation of a
//! rule is a finding, reported with the history of the request or process that it concerns.
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

/// Time after its start within which a host must be ready, in microseconds.
const READY_DEADLINE: Micros = 10_000_000;
/// Number of starts, of every ten, after which the host must be ready in time.
const READY_IN_TEN: usize = 9;

/// Parameters of a soak test.
pub struct Soak {
    /// Seeds of the scenarios.
    pub seeds: Vec<u64>,
    /// Number of hosts, or `None` for the number that each seed draws.
    pub hosts: Option<u32>,
    /// Directory in which the logs and configurations of each seed are kept, or `None` to delete them.
    pub keep: Option<PathBuf>,
    /// Number of scenarios that are played concurrently.
    pub parallel: usize,
    /// Program of the hosts.
    pub program: Program,
}

/// Result of the scenario of one seed.
pub struct SeedReport {
    /// Seed of the scenario.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: u64,
    /// Number of host starts that the readiness check covers.
    pub host_starts: usize,
    /// Number of requests that were sent while the host closed their connection, and then once more.
    pub not_taken: u64,
    /// Longest delay of the event loop of the simulated peers, in microseconds.
    pub max_lag: Micros,
    /// Violations, each followed by the history of the request or host that it concerns.
    pub findings: Vec<String>,
}

impl Soak {
    /// Plays the scenarios of all seeds, and calls `on_report` with the report of each as it ends.
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
    findings.extend(hosts_exceeding_limits(scenario, outcome));
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

/// Returns the time from start to readiness for each start of a host, or `None` if the host was not ready by its stop
/// or the end of the run. Starts without readiness that lasted no longer than [`READY_DEADLINE`] are left out.
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
                times.extend(
                    start
                        .filter(|start| at - start > READY_DEADLINE)
                        .map(|_| None),
                );
            }
            _ => {}
        }
    }
    let end = observations.last().map_or(0, |last| last.at);
    let late = starting
        .values()
        .filter(|start| end - **start > READY_DEADLINE);
    times.extend(late.map(|_| None));
    times
}

fn late_hosts(scenario: &Scenario, observations: &[Observation]) -> Option<String> {
    let times = ready_times(observations);
    let in_time = |time: &&Option<Micros>| time.is_some_and(|time| time <= READY_DEADLINE);
    let ready = times.iter().filter(in_time).count();
    (ready * 10 < times.len() * READY_IN_TEN).then(|| {
        format!(
            "only {ready} of {} host starts led to readiness within 10 s, in a run with {} hosts",
            times.len(),
            scenario.hosts
        )
    })
}

fn hosts_exceeding_limits(scenario: &Scenario, outcome: &Outcome) -> Vec<String> {
    let exceeds_limit = |kilobytes: u64, descriptors: usize| {
        kilobytes > u64::from(scenario.memory_mb) * 1_024
            || descriptors > scenario.max_descriptors as usize
    };
    let exceeding = outcome
        .usage
        .iter()
        .filter(|usage| exceeds_limit(usage.memory_kb, usage.descriptors));
    exceeding
        .map(|usage| format!("a host exceeds its memory or descriptor limit: {usage:?}"))
        .collect()
}
