//! Short scenarios in which hosts are restarted repeatedly while nodes, links and the discovery service have faults.
//! All faults and times are drawn from a seed.
use crate::fleet::{
    FaultAction, IndexRange, InitialList, MembershipScenario, Scenario, ScheduledFault,
};
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Micros;
use mallowseam_load::client_load::LoadProfile;
use mallowseam_models::discovery_queue::ServiceBehavior;
use mallowseam_stand_ins::links::{LinkFault, Peer, PeerSet};
use mallowseam_stand_ins::simulated_node::NodeLimits;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
/// Start of the first fault, when all hosts have started.
const FIRST_FAULT: Micros = SECOND;
/// Time from the last restart to the end of the run, in which the hosts become ready again.
const LAST_RESTART_BEFORE_END: Micros = 8 * SECOND;
/// Time beyond the longest deadline that the platform waits between SIGTERM and SIGKILL.
const KILL_DELAY: Micros = 700 * MILLISECOND;
/// Longest deadline that the platform waits for between SIGTERM and SIGKILL; a longer one counts as this.
const MAX_COUNTED_DEADLINE: Micros = 3 * SECOND;
/// Minimum time from the kill of a host to its next start.
const RESTART_MARGIN: Micros = 100 * MILLISECOND;
/// Load on a node, in block I/Os per second.
const RATE_PER_NODE: f64 = 40.0;
/// Factor by which a node is slowed that hangs for the whole shutdown of a host.
const HANG_FACTOR: f64 = 1_000.0;
/// Salt that makes these draws differ from others with the same seed.
const SEED_SALT: u64 = 0x7e57_a127;

/// Draws a scenario of 14 to 22 s, with 3 to 8 hosts unless their number is given.
pub fn random_scenario(seed: u64, hosts: Option<u32>) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT);
    let drawn_hosts = rng.random_range(3..=8);
    let scenario = draw_scenario(&mut rng, seed, hosts.unwrap_or(drawn_hosts));
    let mut schedule = Schedule {
        host_free_at: vec![FIRST_FAULT; scenario.hosts as usize],
        rng,
        scenario,
    };
    schedule.add_restarts();
    schedule.add_node_faults();
    schedule.add_discovery_fault();
    schedule.add_link_fault();
    let mut scenario = schedule.scenario;
    scenario.faults.sort_by_key(|fault| fault.at);
    scenario
}

fn draw_scenario(rng: &mut Pcg64Mcg, seed: u64, hosts: u32) -> Scenario {
    let nodes = rng.random_range(3..=8);
    let membership = MembershipScenario {
        period: 100 * MILLISECOND,
        seeds: 2,
        retention: 3_600 * SECOND,
        participants: IndexRange::ALL,
    };
    Scenario {
        name: format!("restarts of seed {seed}"),
        duration: draw(rng, 14 * SECOND..22 * SECOND),
        hosts,
        initial_list: draw_initial_list(rng),
        zones: rng.random_range(1..=3),
        nodes,
        node_model: ServiceModel::warm(2, 5_000.0, 32),
        node_limits: NodeLimits {
            max_connections: 64,
            handshake: MILLISECOND,
            restart_after: 3 * SECOND,
        },
        nodes_start_cold: false,
        load: draw_load(rng, hosts, nodes),
        service_time: draw(rng, 5 * MILLISECOND..60 * MILLISECOND),
        queue_timeout: SECOND,
        discovery_lag: draw(rng, 0..200 * MILLISECOND),
        memory_mb: 32,
        max_descriptors: 256,
        membership: rng.random_bool(0.5).then_some(membership),
        faults: Vec::new(),
    }
}

fn draw_initial_list(rng: &mut Pcg64Mcg) -> InitialList {
    if rng.random_bool(0.3) {
        InitialList::None
    } else {
        InitialList::Current
    }
}

fn draw_load(rng: &mut Pcg64Mcg, hosts: u32, nodes: u32) -> LoadProfile {
    let read_timeout = draw(rng, 300 * MILLISECOND..2 * SECOND);
    LoadProfile {
        operations_per_second: RATE_PER_NODE * f64::from(nodes),
        write_fraction: 0.3,
        volumes: 2 * hosts,
        skew: 6.0,
        max_retries: 1,
        backs_off: rng.random_bool(0.5),
        read_timeout,
        write_timeout: read_timeout + draw(rng, 0..2 * SECOND),
        max_units: 4,
    }
}

fn draw(rng: &mut Pcg64Mcg, range: Range<Micros>) -> Micros {
    rng.random_range(range)
}

/// Schedule under construction.
struct Schedule {
    rng: Pcg64Mcg,
    scenario: Scenario,
    /// Time from which on each host may be restarted again. The host has started by then, but may not be ready.
    host_free_at: Vec<Micros>,
}

impl Schedule {
    fn add(&mut self, at: Micros, action: FaultAction) {
        self.scenario.faults.push(ScheduledFault { at, action });
    }

    /// Returns the longest time that the platform waits between SIGTERM and SIGKILL.
    fn time_to_kill(&self) -> Micros {
        let load = &self.scenario.load;
        load.write_timeout
            .max(load.read_timeout)
            .min(MAX_COUNTED_DEADLINE)
            + KILL_DELAY
    }

    /// Adds restarts of one host, or of two at once, up to the last time at which a restart fits into the run.
    fn add_restarts(&mut self) {
        let last = self.scenario.duration - LAST_RESTART_BEFORE_END;
        let mut at = FIRST_FAULT;
        while at < last {
            let first = self.rng.random_range(0..self.scenario.hosts);
            self.add_restart(at, first);
            if self.rng.random_bool(0.4) {
                self.add_restart(at, (first + 1) % self.scenario.hosts);
            }
            at += draw(&mut self.rng, 150 * MILLISECOND..1_500 * MILLISECOND);
        }
    }

    /// Adds a restart of a host, unless the host is being restarted.
    fn add_restart(&mut self, at: Micros, host: u32) {
        if self.host_free_at[host as usize] > at {
            return;
        }
        let hosts = single(host);
        let until_start = match self.rng.random_range(0..8) {
            0 => {
                self.add(at, FaultAction::KillHosts(hosts));
                draw(&mut self.rng, 50 * MILLISECOND..SECOND)
            }
            kind => {
                self.add(at, FaultAction::TerminateHosts(hosts));
                self.add_signals_around(at, hosts, kind);
                let pause = draw(&mut self.rng, 0..500 * MILLISECOND);
                self.time_to_kill() + RESTART_MARGIN + pause
            }
        };
        let start = at + until_start;
        self.add(start, FaultAction::StartHosts(hosts));
        // The host may receive the next SIGTERM right after its start, before it has a list.
        let until_next = draw(&mut self.rng, 20 * MILLISECOND..2 * SECOND);
        self.host_free_at[host as usize] = start + until_next;
    }

    /// Adds further signals shortly before, during or after the shutdown.
    fn add_signals_around(&mut self, at: Micros, hosts: IndexRange, kind: u32) {
        let offset = draw(&mut self.rng, MILLISECOND..300 * MILLISECOND);
        match kind {
            1 => self.add(at + offset, FaultAction::TerminateHosts(hosts)),
            2 => self.add(at + offset, FaultAction::RedirectHosts(hosts)),
            3 => self.add(at - offset, FaultAction::RedirectHosts(hosts)),
            4 => {
                self.add(at + offset, FaultAction::PauseHosts(hosts));
                self.add(at + 2 * offset, FaultAction::ResumeHosts(hosts));
            }
            _ => {}
        }
    }

    /// Adds nodes that hang, are slow, stop without notice or drain during some of the restarts.
    fn add_node_faults(&mut self) {
        for _ in 0..self.rng.random_range(0..=3) {
            let node = single(self.rng.random_range(0..self.scenario.nodes));
            let at = self.draw_fault_time();
            let end = at + draw(&mut self.rng, 500 * MILLISECOND..5 * SECOND);
            let (begins, ends) = match self.rng.random_range(0..4) {
                0 => (
                    FaultAction::SlowNodes(node, HANG_FACTOR),
                    FaultAction::SlowNodes(node, 1.0),
                ),
                1 => (
                    FaultAction::SlowNodes(node, 20.0),
                    FaultAction::SlowNodes(node, 1.0),
                ),
                2 => (FaultAction::StopNodes(node), FaultAction::StartNodes(node)),
                _ => (
                    FaultAction::ReplaceNodes(node),
                    FaultAction::RemoveNodes(node),
                ),
            };
            self.add(at, begins);
            self.add(end, ends);
        }
    }

    fn add_discovery_fault(&mut self) {
        let at = self.draw_fault_time();
        let end = at + draw(&mut self.rng, 500 * MILLISECOND..4 * SECOND);
        let behavior = match self.rng.random_range(0..5) {
            0 => ServiceBehavior::Down,
            1 => ServiceBehavior::Hung,
            2 => ServiceBehavior::Rejecting(0.8),
            3 => return self.add(at, FaultAction::StallWatches(IndexRange::ALL)),
            _ => return,
        };
        self.add(at, FaultAction::SetDiscoveryBehavior(behavior));
        self.add(
            end,
            FaultAction::SetDiscoveryBehavior(ServiceBehavior::Normal),
        );
    }

    /// Adds a fault of the links between one host and the nodes, the discovery services or the other hosts. The links
    /// of clients have no faults, because the responses to clients are checked for the whole run.
    fn add_link_fault(&mut self) {
        let host = PeerSet::Single(Peer::Host(self.rng.random_range(0..self.scenario.hosts)));
        let (peers, fault) = match self.rng.random_range(0..5) {
            0 => (
                PeerSet::Nodes,
                LinkFault {
                    blackholed: true,
                    ..LinkFault::default()
                },
            ),
            1 => (
                PeerSet::Nodes,
                LinkFault {
                    reset_after_bytes: Some(300),
                    ..LinkFault::default()
                },
            ),
            2 => (
                PeerSet::Lists,
                LinkFault {
                    blackholed: true,
                    ..LinkFault::default()
                },
            ),
            3 => (
                PeerSet::Hosts,
                LinkFault {
                    loss: 0.3,
                    duplication: 0.1,
                    ..LinkFault::default()
                },
            ),
            _ => return,
        };
        let at = self.draw_fault_time();
        let end = at + draw(&mut self.rng, 500 * MILLISECOND..4 * SECOND);
        for (from, to) in [(host, peers), (peers, host)] {
            let healed = LinkFault::default();
            self.add(at, FaultAction::SetLink { from, to, fault });
            self.add(
                end,
                FaultAction::SetLink {
                    from,
                    to,
                    fault: healed,
                },
            );
        }
    }

    /// Draws a time between the first fault and the last restart.
    fn draw_fault_time(&mut self) -> Micros {
        let last = self.scenario.duration - LAST_RESTART_BEFORE_END;
        draw(&mut self.rng, FIRST_FAULT..last)
    }
}

fn single(index: u32) -> IndexRange {
    IndexRange {
        start: index,
        end: index + 1,
    }
}
