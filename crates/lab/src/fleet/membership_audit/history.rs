//! What was done to hosts and to the links between them, by time.
use crate::fleet::links::{Links, Peer};
use crate::fleet::record::{Event, Observation, Termination};
use crate::fleet::scenario::{FaultAction, Scenario};
use crate::trace::Micros;
use std::collections::BTreeSet;

/// Fraction of a period that a link may take and still counts as connected: a ping and its ack must fit in.
const MAX_LATENCY_PERIODS: f64 = 0.5;
/// Loss of datagrams up to which a link counts as connected.
const MAX_LOSS: f64 = 0.15;

/// One process of a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostRun {
    pub host: u32,
    pub started_at: Micros,
    pub ended_at: Micros,
    pub killed: bool,
}

/// A time for which a host was stopped by SIGSTOP.
struct Pause {
    host: u32,
    from: Micros,
    to: Micros,
}

/// The faults of links from a time on.
struct LinkState {
    from: Micros,
    links: Links,
}

pub(super) struct FaultHistory {
    pub runs: Vec<HostRun>,
    pauses: Vec<Pause>,
    links: Vec<LinkState>,
}

impl FaultHistory {
    pub fn new(scenario: &Scenario, observations: &[Observation]) -> Self {
        FaultHistory {
            runs: host_runs(observations),
            pauses: pauses(scenario),
            links: link_states(scenario),
        }
    }

    /// Hosts that run at a time and were started before it.
    pub fn running_through(&self, time: Micros) -> BTreeSet<u32> {
        let running = self
            .runs
            .iter()
            .filter(|run| run.started_at < time && run.ended_at >= time);
        running.map(|run| run.host).collect()
    }

    /// When the host of this run was started again.
    pub fn next_start(&self, run: &HostRun) -> Micros {
        let later = self
            .runs
            .iter()
            .filter(|r| r.host == run.host && r.started_at > run.started_at);
        later.map(|r| r.started_at).min().unwrap_or(Micros::MAX)
    }

    /// Whether a host ran all the time, in one process and without a pause.
    pub fn ran(&self, host: u32, from: Micros, to: Micros) -> bool {
        let in_one_process = self
            .runs
            .iter()
            .any(|run| run.host == host && run.started_at <= from && run.ended_at > to);
        in_one_process
            && !self
                .pauses
                .iter()
                .any(|p| p.host == host && p.from < to && p.to > from)
    }

    /// Whether two hosts reached each other all the time. `period`: the protocol period in microseconds.
    pub fn reached(&self, a: u32, b: u32, from: Micros, to: Micros, period: f64) -> bool {
        let in_force = |(index, state): &(usize, &LinkState)| {
            state.from < to
                && self
                    .links
                    .get(index + 1)
                    .is_none_or(|next| next.from > from)
        };
        let connected = |links: &Links, from: u32, to: u32| {
            let fault = links.fault_between(Peer::Host(from), Peer::Host(to));
            let slow = (fault.latency + fault.jitter) as f64 > MAX_LATENCY_PERIODS * period;
            !fault.blocks() && fault.loss <= MAX_LOSS && !slow
        };
        self.links
            .iter()
            .enumerate()
            .filter(in_force)
            .all(|(_, state)| connected(&state.links, a, b) && connected(&state.links, b, a))
    }
}

fn host_runs(observations: &[Observation]) -> Vec<HostRun> {
    let mut runs: Vec<HostRun> = Vec::new();
    for Observation { at, event } in observations {
        match *event {
            Event::HostStarted { host } => {
                runs.push(HostRun {
                    host,
                    started_at: *at,
                    ended_at: Micros::MAX,
                    killed: false,
                });
            }
            Event::HostStopped { host, by } => {
                if let Some(run) = runs.iter_mut().rev().find(|run| run.host == host) {
                    run.ended_at = run.ended_at.min(*at);
                    run.killed |= by == Termination::Killed && run.ended_at == *at;
                }
            }
            _ => {}
        }
    }
    runs
}

fn pauses(scenario: &Scenario) -> Vec<Pause> {
    let mut pauses: Vec<Pause> = Vec::new();
    for fault in &scenario.faults {
        match fault.action {
            FaultAction::PauseHosts(range) => {
                let pause = |host| Pause {
                    host,
                    from: fault.at,
                    to: Micros::MAX,
                };
                pauses.extend((range.start..range.end.min(scenario.hosts)).map(pause));
            }
            FaultAction::ResumeHosts(range) => {
                for host in range.start..range.end.min(scenario.hosts) {
                    if let Some(pause) = pauses.iter_mut().rev().find(|p| p.host == host) {
                        pause.to = fault.at;
                    }
                }
            }
            _ => {}
        }
    }
    pauses
}

fn link_states(scenario: &Scenario) -> Vec<LinkState> {
    let mut links = Links::new(scenario.zones);
    let mut states = vec![LinkState {
        from: 0,
        links: links.clone(),
    }];
    for scheduled in &scenario.faults {
        if let FaultAction::SetLink { from, to, fault } = scheduled.action {
            links.set(from, to, fault);
            states.push(LinkState {
                from: scheduled.at,
                links: links.clone(),
            });
        }
    }
    states
}
