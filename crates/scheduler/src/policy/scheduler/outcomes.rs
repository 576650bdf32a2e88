//! Processing of the outcome of an attempt, and the decision on another attempt.
use super::super::idempotency;
use super::super::request::PossibleRun;
use super::Scheduler;
use crate::interface::{AttemptOutcome, AttemptResult, Bio, BioId, Host, Idempotency, Tick};

impl Scheduler {
    /// Records an outcome in the state of its node and in the latencies over all nodes.
    pub(super) fn record_outcome(&mut self, now: Tick, bio: &Bio, outcome: &AttemptOutcome) {
        let limits = &self.node_limits;
        let node = &mut self.nodes[outcome.node];
        let window_was_full = node.remove_attempt(bio.id);
        match outcome.result {
            AttemptResult::Completed => {
                self.fleet_latency.record_answer(outcome.latency as f64);
                node.record_completion(now, bio.units, outcome, window_was_full, limits);
            }
            AttemptResult::NotSent | AttemptResult::Cancelled => {}
            AttemptResult::Error
            | AttemptResult::Rejected
            | AttemptResult::TimedOut
            | AttemptResult::ConnectFailed
            | AttemptResult::ConnectionReset => {
                let implied = self.fleet_latency.implied_latency(outcome);
                node.record_failure(implied);
                self.fleet_latency.record_failure(implied);
            }
        }
        node.pause_after_attempt(now, limits);
    }

    /// Records an attempt that may have run.
    pub(super) fn record_possible_run(&mut self, now: Tick, id: BioId, outcome: &AttemptOutcome) {
        if !idempotency::may_have_run(outcome.result) {
            return;
        }
        let run = PossibleRun {
            sent_at: now - outcome.latency,
            node: outcome.node,
        };
        let request = &mut self.requests[id];
        let key_window = self.classes.of(request.bio()).idempotency().key_window();
        request.record_possible_run(run, key_window);
    }

    /// Starts the cooldown of the key of an ordered block I/O whose attempt was cut off and may still be running. A
    /// timer at the end of the cooldown allows the next block I/O of the key to be sent before the next allocation
    /// interval.
    pub(super) fn start_key_cooldown(&mut self, now: Tick, bio: &Bio, result: AttemptResult) {
        let Some(key) = bio.key.filter(|_| self.classes.of(bio).is_ordered()) else {
            return;
        };
        if let Some(end) = self.ordering_keys.on_attempt_finished(now, key, result) {
            self.request_timers.push(end, bio.id);
        }
    }

    /// Detects lost responses. A timeout after a later attempt was answered shows that responses are being lost; each
    /// answer that follows then triggers a check for other lost attempts.
    pub(super) fn detect_lost_responses(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        outcome: &AttemptOutcome,
    ) {
        let sent_at = now - outcome.latency;
        match outcome.result {
            AttemptResult::Completed if self.lost_responses.is_losing(now) => {
                self.cancel_lost_attempts(host, now, outcome);
            }
            AttemptResult::TimedOut => {
                let in_flight = self.nodes[outcome.node].in_flight();
                if in_flight.is_overtaken(sent_at) {
                    self.lost_responses.record_loss(now);
                }
            }
            _ => {}
        }
    }

    /// Cancels attempts that are far older than the node's latency and were overtaken by the answer to a later attempt,
    /// because a retry may still be in time. Drawback: costly at a node that serves attempts far out of order.
    fn cancel_lost_attempts(&self, host: &mut dyn Host, now: Tick, outcome: &AttemptOutcome) {
        if !self.answer_rules.allow_cancel {
            return;
        }
        let node = &self.nodes[outcome.node];
        let lost_after = node.lost_after(&self.node_limits);
        for attempt in node.in_flight().overtaken(now, lost_after) {
            let request = &self.requests[attempt.bio];
            let idempotent = self.class(request).idempotency() == Idempotency::Idempotent;
            if idempotent && !request.is_finished() {
                host.cancel(attempt.bio, request.attempts() - 1);
            }
        }
    }

    /// Queues a block I/O for another attempt if one is allowed; otherwise answers it.
    pub(super) fn retry_or_give_up(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let request = &self.requests[id];
        let class = self.class(request);
        let repeatable = class.idempotency() != Idempotency::NonIdempotent;
        let may_repeat = request.possible_run().is_none() || repeatable;
        let attempt_left = request.attempts() < class.max_attempts();
        if may_repeat && request.objective_end() > now && attempt_left {
            self.enqueue_or_give_up(host, now, id);
        } else {
            self.give_up(host, now, id);
        }
    }
}
