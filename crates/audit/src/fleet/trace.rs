//! Observations of a run, grouped by operation and by host process.
use super::{Rule, Verdict};
use crate::evidence::seconds;
use crate::fleet::record::{Event, Observation, Termination};
use crate::fleet::terms::{READ_OBJECTIVE_MS, WRITE_OBJECTIVE_MS};
use crate::trace::Micros;
use std::collections::BTreeMap;

/// Time after SIGTERM, in microseconds. A request that was sent later than this, and that SIGKILL leaves unanswered,
/// counts as lost by the host.
const SHUTDOWN_GRACE: Micros = 700_000;

/// Observations of one operation at its client and at the nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct OperationTrace {
    pub id: u64,
    pub host: u32,
    pub volume: u32,
    pub extent: u64,
    pub write: bool,
    pub units: u32,
    pub sent_at: Micros,
    pub timeout: Micros,
    pub responses: Vec<Response>,
    pub timed_out: bool,
    pub excused: bool,
    /// Set if a host closed an idle connection and left this request unread on it.
    pub unread: Option<UnreadRequest>,
    pub attempts: Vec<Attempt>,
}

impl OperationTrace {
    /// Returns the latency objective in microseconds.
    pub fn objective(&self) -> Micros {
        super::MICROS_PER_MS
            * if self.write {
                WRITE_OBJECTIVE_MS
            } else {
                READ_OBJECTIVE_MS
            }
    }
}

/// Request that a host left unread when it closed the idle connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreadRequest {
    pub host: u32,
    /// Time from sending the request to the end of the connection, in microseconds.
    pub after: Micros,
    /// Whether the client has sent the request once more.
    pub sent_again: bool,
}

/// Response that a client received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Response {
    pub at: Micros,
    pub status: u16,
    pub authentic: bool,
}

/// Attempt of an operation at a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub at: Micros,
    /// Time at which the host had sent the first byte.
    pub sent_at: Micros,
    pub node: u32,
    pub host: u32,
    pub end: Option<AttemptEnd>,
}

/// End of an attempt, with its time.
#[derive(Clone, Copy, Debug)]
pub(super) enum AttemptEnd {
    Executed(Micros),
    Rejected(Micros),
    ConnectionLost(Micros),
}

impl Attempt {
    pub fn ended_at(&self) -> Option<Micros> {
        self.end.map(|end| match end {
            AttemptEnd::Executed(at)
            | AttemptEnd::Rejected(at)
            | AttemptEnd::ConnectionLost(at) => at,
        })
    }

    pub fn was_rejected(&self) -> bool {
        matches!(self.end, Some(AttemptEnd::Rejected(_)))
    }

    pub fn was_executed_by(&self, time: Micros) -> bool {
        matches!(self.end, Some(AttemptEnd::Executed(at)) if at <= time)
    }
}

/// Lifetime of one process of a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostRun {
    pub host: u32,
    pub started_at: Micros,
    /// When the process received its first SIGTERM.
    pub terminated_at: Option<Micros>,
    pub ended: Option<(Micros, Termination)>,
}

impl HostRun {
    pub fn runs_at(&self, time: Micros) -> bool {
        self.started_at <= time && self.ended.is_none_or(|(at, _)| at >= time)
    }

    /// Returns whether the process was killed by `time` and need not have responded to a request sent at `sent_at`. The
    /// kill is no excuse for requests that were sent later than [`SHUTDOWN_GRACE`] after SIGTERM.
    pub fn is_excused_by_kill(&self, sent_at: Micros, time: Micros) -> bool {
        let is_responsible = self
            .terminated_at
            .is_some_and(|at| sent_at > at + SHUTDOWN_GRACE);
        let killed = |(at, how)| how == Termination::Killed && at <= time;
        !is_responsible && self.ended.is_some_and(killed)
    }
}

/// Observations of a run, by operation and by host process.
#[derive(Default)]
pub(super) struct RunTrace {
    pub operations: BTreeMap<u64, OperationTrace>,
    pub host_runs: Vec<HostRun>,
}

impl RunTrace {
    /// Groups the observations, and counts those that only need counting.
    pub fn collect(observations: &[Observation], verdict: &mut Verdict) -> Self {
        let mut trace = RunTrace::default();
        for Observation { at, event } in observations {
            trace.add(*at, event, verdict);
            count(event, verdict);
        }
        trace
    }

    fn add(&mut self, at: Micros, event: &Event, verdict: &mut Verdict) {
        self.add_of_client(at, event);
        self.add_of_node(at, event, verdict);
        self.add_of_host(at, event);
    }

    fn add_of_client(&mut self, at: Micros, event: &Event) {
        match *event {
            Event::RequestSent {
                op: id,
                host,
                volume,
                extent,
                write,
                units,
                timeout,
            } => {
                let earlier = self.operations.remove(&id).unwrap_or_default();
                let unread = earlier.unread.map(|unread| UnreadRequest {
                    sent_again: true,
                    ..unread
                });
                let sent = OperationTrace {
                    unread,
                    attempts: earlier.attempts,
                    id,
                    host,
                    volume,
                    extent,
                    write,
                    units,
                    sent_at: at,
                    timeout,
                    ..OperationTrace::default()
                };
                self.operations.insert(id, sent);
            }
            Event::ResponseReceived {
                op,
                status,
                authentic,
            } => {
                let response = Response {
                    at,
                    status,
                    authentic,
                };
                self.update(op, |o| o.responses.push(response));
            }
            Event::RequestUnread { op } => self.update(op, |o| {
                o.unread = Some(UnreadRequest {
                    host: o.host,
                    after: at.saturating_sub(o.sent_at),
                    sent_again: false,
                });
            }),
            Event::ClientTimedOut { op } => self.update(op, |o| o.timed_out = true),
            Event::Excused { op } => self.update(op, |o| o.excused = true),
            _ => {}
        }
    }

    fn add_of_node(&mut self, at: Micros, event: &Event, verdict: &mut Verdict) {
        match *event {
            Event::NodeReceived {
                node,
                host,
                op,
                sent_at,
                ..
            } => {
                if !self.operations.contains_key(&op) {
                    let at = seconds(at);
                    let violation = format!(
                        "node{node} received operation {op}, which no client requested, at {at}"
                    );
                    verdict.violate(Rule::Responses, vec![violation]);
                }
                let attempt = Attempt {
                    at,
                    sent_at,
                    node,
                    host,
                    end: None,
                };
                self.update(op, |o| o.attempts.push(attempt));
            }
            Event::NodeResponded { node, op, executed } => {
                let end = if executed {
                    AttemptEnd::Executed(at)
                } else {
                    AttemptEnd::Rejected(at)
                };
                self.end_attempt(op, node, end);
            }
            Event::NodeConnectionLost { node, op } => {
                self.end_attempt(op, node, AttemptEnd::ConnectionLost(at));
            }
            _ => {}
        }
    }

    fn add_of_host(&mut self, at: Micros, event: &Event) {
        match *event {
            Event::HostStarted { host } => self.host_runs.push(HostRun {
                host,
                started_at: at,
                terminated_at: None,
                ended: None,
            }),
            Event::HostStopped {
                host,
                by: Termination::Requested,
            } => {
                if let Some(run) = self.host_runs.iter_mut().rev().find(|run| run.host == host) {
                    run.terminated_at.get_or_insert(at);
                }
            }
            Event::HostStopped { host, by } => {
                if let Some(run) = self.host_runs.iter_mut().rev().find(|run| run.host == host) {
                    run.ended = run.ended.or(Some((at, by)));
                }
            }
            _ => {}
        }
    }

    fn update(&mut self, op: u64, change: impl FnOnce(&mut OperationTrace)) {
        if let Some(operation) = self.operations.get_mut(&op) {
            change(operation);
        }
    }

    fn end_attempt(&mut self, op: u64, node: u32, end: AttemptEnd) {
        let pending = |attempt: &&mut Attempt| attempt.node == node && attempt.end.is_none();
        self.update(op, |o| {
            if let Some(attempt) = o.attempts.iter_mut().find(pending) {
                attempt.end = Some(end);
            }
        });
    }

    /// Returns the process of its host that ran when an operation was sent.
    pub fn host_run_of(&self, operation: &OperationTrace) -> Option<&HostRun> {
        let serves = |run: &&HostRun| run.host == operation.host && run.runs_at(operation.sent_at);
        self.host_runs.iter().rev().find(serves)
    }
}

fn count(event: &Event, verdict: &mut Verdict) {
    match *event {
        Event::NoHostAvailable { .. } => verdict.no_host += 1,
        Event::NodeCollapsed { .. } => verdict.collapses += 1,
        Event::PollReceived { queued, .. } => {
            verdict.polls += 1;
            verdict.max_queued = verdict.max_queued.max(queued);
        }
        Event::PollRejected { .. } => verdict.rejected += 1,
        _ => {}
    }
}
