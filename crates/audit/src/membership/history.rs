//! What was done to hosts and to the links between them, by time.
use crate::fleet::record::{Event, Observation, Termination};
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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pause {
    /// The host.
    pub host: u32,
    /// When it was stopped.
    pub from: Micros,
    /// When it was resumed; none if it never was.
    pub to: Option<Micros>,
}

/// What one direction of a link does to a message that is sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkCondition {
    /// Nothing passes.
    pub blocked: bool,
    /// The longest that it takes, in microseconds.
    pub max_delay: Micros,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
}

/// The links between hosts at some time.
pub trait HostLinks {
    /// The condition of the direction from one host to another, by their indexes.
    fn condition(&self, from: u32, to: u32) -> LinkCondition;
}

/// The links between hosts from a time on.
#[derive(Clone, Debug)]
pub struct LinksSince<L> {
    /// When they became so.
    pub from: Micros,
    /// The links.
    pub links: L,
}

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
                .any(|p| p.host == host && p.from < to && p.to.is_none_or(|end| end > from))
    }

    /// Whether two hosts reached each other all the time. `period`: the protocol period in microseconds.
    pub fn reached(&self, a: u32, b: u32, from: Micros, to: Micros, period: f64) -> bool {
        let in_force = |(index, state): &(usize, &LinksSince<L>)| {
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
