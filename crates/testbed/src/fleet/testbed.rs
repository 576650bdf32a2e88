//! Plays a scenario with host processes and simulated peers, injects the scheduled faults, and audits the run.
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

/// Maximum duration of an iteration of the event loop. Processes are checked between iterations.
const ITERATION: Duration = Duration::from_millis(20);
/// Time after a run in which requests in flight may complete, and then again for hosts to exit. Longer than the longest
/// deadline of a request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after SIGTERM and the longest deadline of a request at which a host is killed, in microseconds; as on the
/// users' platform.
const KILL_DELAY: Micros = 700_000;
/// Upper bound of the longest deadline in the computation of the time at which a host is killed, in microseconds.
const MAX_LONGEST_DEADLINE: Micros = 3_000_000;
/// Delay of the event loop, in microseconds, above which the audit allows for the delay.
const LAG_TOLERANCE: Micros = 60_000;
/// Interval at which each host's membership table is queried, in microseconds. It is longer in fleets of more than
/// [`MAX_QUERIES_PER_INTERVAL`] hosts.
const QUERY_INTERVAL: Micros = 1_000_000;
/// Maximum number of queries of membership tables in one interval.
const MAX_QUERIES_PER_INTERVAL: u32 = 100;
/// Makes the seeds of hosts independent of other random numbers of the run's seed.
const HOST_SEED_SALT: u64 = 0x5eed;

/// Next query of a host's membership table.
struct NextQuery {
    host: u32,
    at: Micros,
}

/// Run in progress.
pub struct Testbed {
    scenario: Scenario,
    /// Host processes. Dropped, and so killed, before the peers, which hold the claim of the run's addresses.
    pub processes: HostProcesses,
    /// Simulated peers of the hosts.
    pub peers: SimulatedPeers,
    host_seeds: Pcg64Mcg,
    /// Index of the discovery service that each host is configured with.
    discovery_services: Vec<u32>,
    /// Time at which each host was sent SIGTERM; `None` for a host without SIGTERM or after its exit.
    terminated_at: Vec<Option<Micros>>,
    crashed: Vec<String>,
    max_lag: Micros,
    next_query: Option<NextQuery>,
}

/// Plays a scenario. Calls `on_fault` with the time and a line of text for each fault as it is injected.
///
/// # Errors
/// The testbed itself fails. Wrong behaviour of hosts is reported in the outcome.
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
    /// Opens the sockets of all peers, without starting any host. Configurations and logs of hosts are written to
    /// `dir`.
    ///
    /// # Errors
    /// A socket cannot be opened.
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
            discovery_services: vec![0; hosts],
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
    /// A process cannot be started.
    pub fn start_all(&mut self) -> Result<(), TestbedError> {
        (0..self.scenario.hosts).try_for_each(|host| self.start(host))
    }

    /// Starts a host. If the host is still running, its process is killed first.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start(&mut self, host: u32) -> Result<(), TestbedError> {
        let config = self.draw_config(host);
        self.kill(host);
        self.processes.start(host, &config)?;
        self.terminated_at[host as usize] = None;
        self.peers.host_started(host);
        Ok(())
    }

    /// Returns a configuration for a host, with a new seed for its random numbers.
    fn draw_config(&mut self, host: u32) -> String {
        self.peers.host_config(
            host,
            self.discovery_services[host as usize],
            self.host_seeds.random(),
        )
    }

    /// Sends SIGKILL to a host, if it is running.
    pub fn kill(&mut self, host: u32) {
        if self.processes.is_running(host) {
            self.processes.kill(host);
            self.record_stop(host, Termination::Killed);
        }
    }

    /// Sends SIGTERM to a host, if it is running. A host that does not exit in time gets SIGKILL, as on the users'
    /// platform.
    pub fn terminate(&mut self, host: u32) {
        if self.processes.is_running(host) {
            self.processes.signal(host, Signal::SIGTERM);
            // The first SIGTERM determines the time of the kill.
            self.terminated_at[host as usize].get_or_insert(self.peers.now());
            self.peers.host_terminated(host);
            self.record_stop(host, Termination::Requested);
        }
    }

    /// Pauses a host's process with SIGSTOP, or resumes it with SIGCONT.
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

    /// Runs one iteration: handles sockets and timers, then checks the processes.
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
                    "host {host} exited with code {code}, see {}",
                    log.display()
                ));
            }
            self.record_stop(host, Termination::Exited(code));
        }
    }

    /// Returns the time at which a host that was sent SIGTERM is killed, or `None` for other hosts.
    fn kill_time(&self, host: u32) -> Option<Micros> {
        let load = &self.scenario.load;
        let longest = load.write_timeout.max(load.read_timeout);
        let terminated_at = self.terminated_at[host as usize]?;
        Some(terminated_at + longest.min(MAX_LONGEST_DEADLINE) + KILL_DELAY)
    }

    /// Returns the time until the next host is killed, but at most the duration of an iteration.
    fn time_to_next_kill(&self, now: Micros) -> Duration {
        let kills = (0..self.scenario.hosts).filter_map(|host| self.kill_time(host));
        let next = kills.map(|at| Duration::from_micros(at.saturating_sub(now)));
        next.fold(ITERATION, Duration::min)
    }

    /// Kills the hosts that have not exited in time after SIGTERM.
    fn kill_overdue(&mut self) {
        let now = self.peers.now();
        for host in 0..self.scenario.hosts {
            if self.kill_time(host).is_some_and(|at| now >= at) {
                self.terminated_at[host as usize] = None;
                self.kill(host);
            }
        }
    }

    /// Queries the membership tables of hosts in turn, as far as queries are due.
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
            if self.processes.is_running(host) && self.scenario.has_membership(host) {
                self.peers.query_membership(host);
            }
            host = (host + 1) % self.scenario.hosts;
            at = at.max(now.saturating_sub(QUERY_INTERVAL)) + gap;
        }
        self.next_query = Some(NextQuery { host, at });
    }

    /// Runs until a given time since the start of the run.
    pub fn run_until(&mut self, time: Micros) {
        while self.peers.now() < time {
            self.run_once();
        }
    }

    /// Runs until a condition holds or the timeout expires. Returns whether the condition holds.
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

    /// Injects a fault, or ends it.
    ///
    /// # Errors
    /// A process cannot be started or configured, or a socket cannot be opened.
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

    /// Reloads a host's configuration, changed to the second discovery service.
    fn redirect(&mut self, host: u32) -> Result<(), TestbedError> {
        self.discovery_services[host as usize] = 1;
        let config = self.draw_config(host);
        self.processes.reload(host, &config)
    }

    /// Adds another node of the same shard, which starts cold, and drains this one.
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

    /// Ends the run: stops clients, waits for the responses to requests in flight, terminates the hosts, and audits the
    /// run.
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
        let all_exited =
            |testbed: &mut Testbed| !hosts.clone().any(|host| testbed.processes.is_running(host));
        if !self.wait_for(DRAIN_TIMEOUT, all_exited) {
            let remaining = hosts
                .filter(|host| self.processes.is_running(*host))
                .count();
            self.crashed
                .push(format!("{remaining} hosts did not exit after SIGTERM"));
        }
    }
}
