//! Deadlines, attempts after the first, the retry budget, and final answers.
use super::constants::DEADLINE_MARGIN;
use crate::interface::{
    AttemptOutcome, AttemptResult, Bio, BioId, DeduplicationScope, Host, Idempotency, NodeId, Tick,
};
use crate::state::{Node, PossibleRun, Request, RetryBudget, Scheduler, ShedRecord};

const SAME_DEADLINE: Tick = 5; // ticks, at most, between the deadlines of a block I/O and its client's retry

impl RetryBudget {
    /// Whether it allows another retry at this moment.
    pub(super) fn allows(&mut self, now: Tick) -> bool {
        let (retries_from, arrivals_from) = (now - self.window - 1, now - self.window + 1);
        let allowed = |b: &mut Self| b.min + b.ratio * b.arrivals.after(arrivals_from);
        self.window == 0 || self.retries.after(retries_from) + 1.0 <= allowed(self)
    }
}

impl Request {
    /// Until when it may be queued. A client that is answered in the first half of its time can go elsewhere,
    /// if nothing was tried; later, it waited in vain. Drawback: costly where capacity comes just in time.
    pub(super) fn queued_until(&self) -> Tick {
        if self.attempts == 0 {
            self.objective_end.min(self.unsent_until)
        } else {
            self.objective_end
        }
    }
}

impl Scheduler {
    /// The request for a block I/O that arrives. A client's retry is known by the deadline of its first try,
    /// and keeps its objective too. A short time left proves nothing: some clients give up early.
    pub(super) fn new_request(&self, now: Tick, bio: Bio) -> Request {
        let same = |s: &&ShedRecord| {
            s.volume == bio.volume && (s.deadline - bio.deadline).abs() <= SAME_DEADLINE
        };
        let fresh = now + self.classes[bio.class as usize].latency_objective;
        let objective_end = self
            .recently_shed
            .iter()
            .find(same)
            .map_or(fresh, |s| s.objective_end);
        let objective_end = objective_end.min(bio.deadline - DEADLINE_MARGIN);
        let half_time = now + (bio.deadline - now) / 2 - DEADLINE_MARGIN;
        let unsent_until = if self.config.shed_at_half_deadline {
            half_time
        } else {
            bio.deadline
        };
        Request {
            bio,
            objective_end,
            unsent_until,
            ..Request::default()
        }
    }

    /// Records that an attempt may have run. With an idempotency key, the objective ends with its window.
    pub(super) fn record_possible_run(&mut self, now: Tick, id: BioId, outcome: &AttemptOutcome) {
        use AttemptResult::{ConnectFailed, NotSent, Rejected};
        if matches!(outcome.result, Rejected | ConnectFailed | NotSent) {
            return;
        }
        let sent_at = now - outcome.latency;
        let request = &mut self.requests[id.0];
        let first = *request.possible_run.get_or_insert(PossibleRun {
            sent_at,
            node: outcome.node,
        });
        let class = &self.classes[request.bio.class as usize];
        if let Idempotency::IdempotentByKey { window, .. } = class.idempotency {
            request.objective_end = request
                .objective_end
                .min(first.sent_at + window - DEADLINE_MARGIN);
        }
    }

    /// The rule on idempotency: whether a node may get a block I/O that may have run elsewhere.
    pub(super) fn may_run_at(&self, request: &Request, now: Tick, node: &Node) -> bool {
        let Some(first) = request.possible_run else {
            return true;
        };
        let first_node = self.nodes.get(first.node.0);
        let in_scope = |scope| match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first_node.is_some_and(|n| n.zone == node.zone),
            DeduplicationScope::Shard => first_node.is_some_and(|n| n.shard == node.shard),
        };
        let remembered = |window: Tick| now + DEADLINE_MARGIN < first.sent_at + window;
        match self.class(request).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotentByKey { scope, window } => remembered(window) && in_scope(scope),
        }
    }

    /// Another attempt for a block I/O whose client still waits, if one is left and may run; else its answer.
    pub(super) fn retry_or_give_up(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let request = &self.requests[id.0];
        let class = self.class(request);
        let may_repeat =
            request.possible_run.is_none() || class.idempotency != Idempotency::NonIdempotent;
        if may_repeat && request.objective_end > now && request.attempts < class.max_attempts {
            self.place(host, now, id);
        } else {
            self.give_up(host, now, id);
        }
    }

    /// The final answer to a block I/O that will not be served.
    pub(super) fn give_up(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let request = self.requests[id.0];
        let sendable = |node: NodeId| self.is_warm(now, node) && self.may_send(&request, now, node);
        if request.attempts == 0 && request.node.is_some_and(sendable) {
            self.warm_demand.total += 1.0;
        }
        let Request {
            bio: Bio {
                volume, deadline, ..
            },
            objective_end,
            ..
        } = request;
        self.recently_shed.push(ShedRecord {
            volume,
            deadline,
            objective_end,
        });
        self.keep_tokens_for_top_class(now, &request);
        let repeats_dropped = match self.class(&request).idempotency {
            Idempotency::IdempotentByKey { scope, .. } => scope == DeduplicationScope::All,
            idempotency => idempotency == Idempotency::Idempotent,
        };
        if request.possible_run.is_none() || repeats_dropped {
            host.shed(id, self.retry_after);
        } else {
            host.fail(id);
        }
        self.finish(host, now, id);
    }

    /// Ends a block I/O: it leaves its queue, and with no attempt in flight, its key and its index as well.
    pub(super) fn finish(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        self.requests[id.0].finished = true;
        let request = self.requests[id.0];
        if request.in_flight {
            if self.config.allow_cancel {
                host.cancel(id, request.attempts - 1);
            }
            return;
        }
        if let Some(node) = request.node {
            self.nodes[node.0].queue.retain(|queued| *queued != id);
        }
        self.volumes[request.bio.volume.0].in_progress -= 1;
        if let Some(key) = request.bio.key {
            self.leave_key(host, now, key, id);
        }
        self.requests.remove(id.0);
        host.release_bio(id);
    }
}
