//! Runs and pauses of hosts, and states of the links between them, by time.
use crate::fleet::record::{Event, Observation, Termination};
use crate::trace::Micros;
use std::collections::BTreeSet;

/// Highest latency of a link that counts as connected, as a fraction of the protocol period: a ping and its ack must
/// fit into one period.
const MAX_LATENCY_PERIODS: f64 = 0.5;
/// Highest fraction of lost datagrams of a link that counts as connected.
const MAX_LOSS: f64 = 0.15;

/// Lifetime of one process of a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostRun {
    pub host: u32,
    pub started_at: Micros,
    pub ended_at: Micros,
    pub killed: bool,
}

/// Interval for which a host was stopped by SIGSTOP.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pause {
    /// Index of the host.
    pub host: u32,
    /// When the host was stopped.
    pub from: Micros,
    /// When the host was resumed; none if it never was.
    pub to: Option<Micros>,
}

/// Condition of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkCondition {
    /// Whether the link passes no messages.
    pub blocked: bool,
    /// Longest delay of a message, in microseconds.
    pub max_delay: Micros,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
}

/// Links between hosts at one point in time.
pub trait HostLinks {
    /// Returns the condition of the direction from one host to another, by their indexes.
    fn condition(&self, from: u32, to: u32) -> LinkCondition;
}

/// Links between hosts from one point in time on.
#[derive(Clone, Debug)]
pub struct LinksSince<L> {
    /// Time from which on the links are in this condition.
    pub from: Micros,
    /// Links between hosts.
    pub links: L,
}

/// Runs and pauses of hosts, and states of the links between them.
pub(super) struct FaultHistory<'a, L> {
    pub runs: Vec<HostRun>,
    pauses: &'a [Pause],
    links: &'a [LinksSince<L>],
}

impl<'a, L: HostLinks> FaultHistory<'a, L> {
    pub fn new(
        observations: &[Observation],
        pauses: &'a [Pause],
        links: &'a [LinksSince<L>],
    ) -> Self {
        FaultHistory {
            runs: host_runs(observations),
            pauses,
            links,
        }
    }

    /// Returns the hosts that run at a time and were started before it.
    pub fn running_at(&self, time: Micros) -> BTreeSet<u32> {
        let running = self
            .runs
            .iter()
            .filter(|run| run.started_at < time && run.ended_at >= time);
        running.map(|run| run.host).collect()
    }

    /// Returns when the host of a run was started again; [`Micros::MAX`] if it never was.
    pub fn next_start(&self, run: &HostRun) -> Micros {
        let later = self
            .runs
            .iter()
            .filter(|r| r.host == run.host && r.started_at > run.started_at);
        later.map(|r| r.started_at).min().unwrap_or(Micros::MAX)
    }

    /// Returns whether a host ran for a whole interval, in one process and without a pause.
    pub fn ran(&self, host: u32, from: Micros, to: Micros) -> bool {
        let in_one_process = self
            .runs
            .iter()
            .any(|run| run.host == host && run.started_at <= from && run.ended_at > to);
        in_one_process
            && !self
                .pauses
                .iter()
                .any(|p| p.host == host && p.from < to && p.to.is_none_or(|end| end > from))
    }

    /// Returns whether two hosts were connected in both directions for a whole interval. `period` is the protocol
    /// period in microseconds.
    pub fn were_connected(&self, a: u32, b: u32, from: Micros, to: Micros, period: f64) -> bool {
        let overlaps = |(index, state): &(usize, &LinksSince<L>)| {
            state.from < to
                && self
                    .links
                    .get(index + 1)
                    .is_none_or(|next| next.from > from)
        };
        let connected = |links: &L, from: u32, to: u32| {
            let condition = links.condition(from, to);
            let slow = condition.max_delay as f64 > MAX_LATENCY_PERIODS * period;
            !condition.blocked && condition.loss <= MAX_LOSS && !slow
        };
        self.links
            .iter()
            .enumerate()
            .filter(overlaps)
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
