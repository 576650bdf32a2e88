//! Plays a scenario: hosts as processes, their peers simulated, faults by schedule, and the audit in the end.
use super::error::TestbedError;
use super::outcome::Outcome;
use super::peers::{ListedNode, NodeStatus, SimulatedPeers};
use super::processes::{HostProcesses, Program};
use mallowseam_audit::fleet as audit;
use mallowseam_audit::fleet::record::{Event, Observation, Termination};
use mallowseam_audit::trace::Micros;
use mallowseam_scenarios::fleet::{FaultAction, IndexRange, Scenario, ScheduledFault};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::Path;
use std::time::Duration;

/// Longest iteration of the event loop: processes are checked in between.
const ITERATION: Duration = Duration::from_millis(20);
/// After the run, time for requests in flight, and then for hosts to end: longer than the longest deadline.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// A host that was sent SIGTERM is killed so long after the longest deadline, as on the users' platform.
const KILL_DELAY: Micros = 700_000;
/// The longest deadline counts as so much at most.
const MAX_LONGEST_DEADLINE: Micros = 3_000_000;
/// A longer delay of the event loop is taken into account by the audit.
const LAG_TOLERANCE: Micros = 60_000;
/// Each host's membership table is queried at this interval, unless there are many hosts.
const QUERY_INTERVAL: Micros = 1_000_000;
/// Queries in one interval at most.
const MAX_QUERIES_PER_INTERVAL: u32 = 100;
/// Distinguishes the hosts' seeds from other draws of the run's seed.
const HOST_SEED_SALT: u64 = 0x5eed;

/// The next query of a host's membership table.
struct NextQuery {
    host: u32,
    at: Micros,
}

/// A run in progress.
pub struct Testbed {
    scenario: Scenario,
    /// The simulated peers of the hosts.
    pub peers: SimulatedPeers,
    /// The host processes.
    pub processes: HostProcesses,
    host_seeds: Pcg64Mcg,
    /// The discovery service that each host is configured with.
    lists: Vec<u32>,
    /// When each host was sent SIGTERM, while it still runs.
    terminated_at: Vec<Option<Micros>>,
    crashed: Vec<String>,
    max_lag: Micros,
    next_query: Option<NextQuery>,
}

/// Plays a scenario. `on_fault` gets a line for each fault as it happens.
///
/// # Errors
/// The testbed itself fails; what hosts do wrong is in the outcome.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    dir: &Path,
    on_fault: &mut dyn FnMut(Micros, &str),
) -> Result<Outcome, TestbedError> {
    let mut testbed = Testbed::open(scenario, seed, program, dir)?;
    testbed.start_all()?;
    testbed.peers.set_clients_active(true);
    testbed.next_query = scenario.membership.map(|_| NextQuery { host: 0, at: 0 });
    for fault in scenario
        .faults
        .iter()
        .filter(|fault| fault.at < scenario.duration)
    {
        testbed.run_until(fault.at);
        on_fault(testbed.peers.now(), &format!("{:?}", fault.action));
        testbed.apply(fault)?;
    }
    testbed.run_until(scenario.duration);
    Ok(testbed.finish())
}

impl Testbed {
    /// Opens the sockets of all peers; no host runs yet. Configurations and logs of hosts are written to `dir`.
    ///
    /// # Errors
    /// A socket can't be opened.
    pub fn open(
        scenario: &Scenario,
        seed: u64,
        program: &Program,
        dir: &Path,
    ) -> Result<Self, TestbedError> {
        let hosts = scenario.hosts as usize;
        Ok(Testbed {
            peers: SimulatedPeers::open(scenario, seed)?,
            processes: HostProcesses::new(
                program.clone(),
                dir,
                scenario.hosts,
                scenario.max_descriptors,
            ),
            host_seeds: Pcg64Mcg::seed_from_u64(seed ^ HOST_SEED_SALT),
            lists: vec![0; hosts],
            terminated_at: vec![None; hosts],
            crashed: Vec::new(),
            max_lag: 0,
            next_query: None,
            scenario: scenario.clone(),
        })
    }

    /// Starts all hosts.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start_all(&mut self) -> Result<(), TestbedError> {
        (0..self.scenario.hosts).try_for_each(|host| self.start(host))
    }

    /// Starts a host; one that runs is killed first.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn start(&mut self, host: u32) -> Result<(), TestbedError> {
        let config = self.draw_config(host);
        self.kill(host);
        self.processes.start(host, &config)?;
        self.terminated_at[host as usize] = None;
        self.peers.host_started(host);
        Ok(())
    }

    fn draw_config(&mut self, host: u32) -> String {
        self.peers
            .host_config(host, self.lists[host as usize], self.host_seeds.random())
    }

    /// Sends SIGKILL to a host that runs.
    pub fn kill(&mut self, host: u32) {
        if self.processes.running(host) {
            self.processes.kill(host);
            self.record_stop(host, Termination::Killed);
        }
    }

    /// Sends SIGTERM to a host that runs, and SIGKILL later, as on the users' platform.
    pub fn terminate(&mut self, host: u32) {
        if self.processes.running(host) {
            self.processes.signal(host, Signal::SIGTERM);
            // The first signal counts.
            self.terminated_at[host as usize].get_or_insert(self.peers.now());
            self.peers.host_terminated(host);
            self.record_stop(host, Termination::Requested);
        }
    }

    /// Stops a host's process by SIGSTOP, or lets it continue by SIGCONT.
    pub fn set_paused(&mut self, host: u32, paused: bool) {
        self.processes.signal(
            host,
            if paused {
                Signal::SIGSTOP
            } else {
                Signal::SIGCONT
            },
        );
        self.peers.set_paused(host, paused);
    }

    fn record_stop(&mut self, host: u32, by: Termination) {
        let at = self.peers.now();
        self.peers.observations.push(Observation {
            at,
            event: Event::HostStopped { host, by },
        });
        if by != Termination::Requested {
            self.peers.host_stopped(host);
        }
    }

    /// One iteration: sockets, then processes.
    pub fn run_once(&mut self) {
        self.query_memberships();
        let before = self.peers.now();
        self.peers.run_once(self.time_to_next_kill(before));
        let elapsed = self.peers.now() - before;
        self.max_lag = self
            .max_lag
            .max(elapsed.saturating_sub(ITERATION.as_micros() as Micros));
        self.kill_overdue();
        for (host, code) in self.processes.reap_exited() {
            let was_requested = self.terminated_at[host as usize].take().is_some();
            if !was_requested || code != 0 {
                let log = self.processes.log(host);
                self.crashed.push(format!(
                    "host {host} ended with {code}, see {}",
                    log.display()
                ));
            }
            self.record_stop(host, Termination::Exited(code));
        }
    }

    /// When the platform kills a host that was sent SIGTERM, at the earliest.
    fn kill_time(&self, host: u32) -> Option<Micros> {
        let load = &self.scenario.load;
        let longest = load.write_timeout.max(load.read_timeout);
        let terminated_at = self.terminated_at[host as usize]?;
        Some(terminated_at + longest.min(MAX_LONGEST_DEADLINE) + KILL_DELAY)
    }

    /// The time until a host is killed, if that comes within an iteration.
    fn time_to_next_kill(&self, now: Micros) -> Duration {
        let kills = (0..self.scenario.hosts).filter_map(|host| self.kill_time(host));
        let next = kills.map(|at| Duration::from_micros(at.saturating_sub(now)));
        next.fold(ITERATION, Duration::min)
    }

    /// Kills the hosts that have not ended in time after SIGTERM.
    fn kill_overdue(&mut self) {
        let now = self.peers.now();
        for host in 0..self.scenario.hosts {
            if self.kill_time(host).is_some_and(|at| now >= at) {
                self.terminated_at[host as usize] = None;
                self.kill(host);
            }
        }
    }

    /// Queries the membership tables of hosts, one after the other.
    fn query_memberships(&mut self) {
        let Some(NextQuery { mut host, mut at }) = self.next_query else {
            return;
        };
        let now = self.peers.now();
        let gap = QUERY_INTERVAL / Micros::from(self.scenario.hosts.min(MAX_QUERIES_PER_INTERVAL));
        for _ in 0..self.scenario.hosts {
            if at > now {
                break;
            }
            if self.processes.running(host) && self.scenario.has_membership(host) {
                self.peers.query_membership(host);
            }
            host = (host + 1) % self.scenario.hosts;
            at = at.max(now.saturating_sub(QUERY_INTERVAL)) + gap;
        }
        self.next_query = Some(NextQuery { host, at });
    }

    /// Runs until a time of the run.
    pub fn run_until(&mut self, time: Micros) {
        while self.peers.now() < time {
            self.run_once();
        }
    }

    /// Runs until a condition holds, for so long at most. Returns whether it does.
    pub fn wait_for(
        &mut self,
        timeout: Duration,
        mut condition: impl FnMut(&mut Testbed) -> bool,
    ) -> bool {
        let end = self.peers.now() + timeout.as_micros() as Micros;
        loop {
            if condition(self) {
                return true;
            }
            if self.peers.now() >= end {
                return false;
            }
            self.run_once();
        }
    }

    /// Applies a fault, or ends one.
    ///
    /// # Errors
    /// A process can't be started or configured, or a socket can't be opened.
    fn apply(&mut self, fault: &ScheduledFault) -> Result<(), TestbedError> {
        match fault.action {
            FaultAction::KillHosts(hosts) => self.hosts(hosts).for_each(|host| self.kill(host)),
            FaultAction::StartHosts(hosts) => {
                self.hosts(hosts).try_for_each(|host| self.start(host))?;
            }
            FaultAction::TerminateHosts(hosts) => {
                self.hosts(hosts).for_each(|host| self.terminate(host));
            }
            FaultAction::PauseHosts(hosts) => {
                self.hosts(hosts)
                    .for_each(|host| self.set_paused(host, true));
            }
            FaultAction::ResumeHosts(hosts) => {
                self.hosts(hosts)
                    .for_each(|host| self.set_paused(host, false));
            }
            FaultAction::RedirectHosts(hosts) => {
                self.hosts(hosts).try_for_each(|host| self.redirect(host))?;
            }
            FaultAction::StopNodes(nodes) | FaultAction::RemoveNodes(nodes) => {
                self.nodes(nodes)
                    .for_each(|node| self.peers.stop_node(node));
            }
            FaultAction::StartNodes(nodes) => {
                self.nodes(nodes)
                    .for_each(|node| self.peers.start_node(node));
            }
            FaultAction::SlowNodes(nodes, factor) => {
                self.nodes(nodes)
                    .for_each(|node| self.peers.nodes[node as usize].slowdown = factor);
            }
            FaultAction::ReplaceNodes(nodes) => {
                self.nodes(nodes)
                    .try_for_each(|node| self.replace_node(node))?;
            }
            FaultAction::SetDiscoveryBehavior(behavior) => {
                self.peers.set_discovery_behavior(0, behavior);
            }
            FaultAction::StallWatches(hosts) => self.peers.stall_watches(self.hosts(hosts)),
            FaultAction::SlowDiscovery(factor) => {
                let service_time = (self.scenario.service_time as f64 * factor) as Micros;
                self.peers.discovery[0].service_time = service_time;
            }
            FaultAction::SetLink { from, to, fault } => self.peers.set_link(from, to, fault),
            FaultAction::ScaleLoad(factor) => self.peers.client_load.intensity = factor,
        }
        Ok(())
    }

    fn hosts(&self, range: IndexRange) -> std::ops::Range<u32> {
        range.below(self.scenario.hosts)
    }

    fn nodes(&self, range: IndexRange) -> std::ops::Range<u32> {
        range.below(self.scenario.nodes)
    }

    /// Reloads a host's configuration with the second discovery service in it.
    fn redirect(&mut self, host: u32) -> Result<(), TestbedError> {
        self.lists[host as usize] = 1;
        let config = self.draw_config(host);
        self.processes.reload(host, &config)
    }

    /// Starts another node of the same shard, and drains this one.
    fn replace_node(&mut self, node: u32) -> Result<(), TestbedError> {
        let entry = self.peers.listed_node(node);
        self.peers.add_node(entry.shard, true)?;
        self.peers.schedule_update(
            node,
            ListedNode {
                status: NodeStatus::Draining,
                ..entry
            },
        );
        Ok(())
    }

    /// Ends the run: clients send no more, requests in flight get their responses, and hosts are terminated.
    pub fn finish(mut self) -> Outcome {
        self.peers.set_clients_active(false);
        self.wait_for(DRAIN_TIMEOUT, |testbed| testbed.peers.in_flight() == 0);
        let usage = (0..self.scenario.hosts)
            .filter_map(|host| self.processes.usage(host))
            .collect();
        let open_watches = self.peers.watch_count();
        let observations = std::mem::take(&mut self.peers.observations);
        self.terminate_all();
        let bytes_sent: u64 = self.peers.membership.bytes_sent.iter().sum();
        let host_seconds = f64::from(self.scenario.hosts) * self.peers.now() as f64 / 1e6;
        let lag = if self.max_lag > LAG_TOLERANCE {
            self.max_lag
        } else {
            0
        };
        Outcome {
            verdict: audit::check(self.scenario.audited_run(), &observations, lag),
            observations,
            usage,
            max_lag: self.max_lag,
            open_watches,
            membership_samples: std::mem::take(&mut self.peers.membership.samples),
            membership_bytes_per_second: bytes_sent as f64 / host_seconds,
            peak_cold_load: self
                .peers
                .nodes
                .iter()
                .map(|node| node.peak_cold_load)
                .fold(0.0, f64::max),
            crashed: self.crashed,
        }
    }

    fn terminate_all(&mut self) {
        let hosts = 0..self.scenario.hosts;
        hosts.clone().for_each(|host| self.terminate(host));
        let all_ended =
            |testbed: &mut Testbed| !hosts.clone().any(|host| testbed.processes.running(host));
        if !self.wait_for(DRAIN_TIMEOUT, all_ended) {
            let left = hosts.filter(|host| self.processes.running(*host)).count();
            self.crashed
                .push(format!("{left} hosts did not end when told to"));
        }
    }
}
