//! The end of a block I/O: its final answer and the release of its resources.
use super::super::request::Request;
use super::Scheduler;
use crate::interface::{BioId, Host, Tick};

impl Scheduler {
    /// Gives up block I/Os that have reached the end of their time in the queue.
    pub(super) fn give_up_overdue(&mut self, host: &mut dyn Host, now: Tick) {
        while let Some(id) = self.request_timers.pop_due(now) {
            // The block I/O may have been sent since the timer was set, or its index may have been reused.
            let request = self.requests.get(id);
            if request.is_some_and(|request| request.is_overdue(now)) {
                self.give_up(host, now, id);
            }
        }
    }

    /// Sends the final answer for a block I/O that will not be served, and ends the block I/O.
    pub(super) fn give_up(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let request = self.requests[id];
        if self.is_unmet_warm_demand(now, &request) {
            self.slow_start.warm_demand_mut().record_not_sent();
        }
        let bio = request.bio();
        self.shed_history.record(bio, request.objective_end());
        let class = self.classes.of(bio);
        if class.has_highest_weight() && !request.has_tokens() {
            self.rate_limiter.hold_tokens_for_top_class(now, bio);
        }
        let harmless = class.idempotency().repeats_are_harmless();
        if request.possible_run().is_none() || harmless {
            host.shed(id, self.answer_rules.retry_after);
        } else {
            host.fail(id);
        }
        self.finish(host, now, id);
    }

    /// Returns whether a block I/O was never sent because a warm node had no capacity for it.
    fn is_unmet_warm_demand(&self, now: Tick, request: &Request) -> bool {
        let Some(node) = request.node().filter(|_| !request.was_sent()) else {
            return false;
        };
        let node = &self.nodes[node];
        node.is_warm(now, &self.slow_start) && self.may_send(now, request, node)
    }

    /// Ends a block I/O. If it has no attempt in flight, it is removed from its queues and its index is released;
    /// otherwise its attempt is cancelled, if the configuration allows it.
    pub(super) fn finish(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        self.requests[id].finish();
        let request = self.requests[id];
        if let Some(attempt) = request.attempt_in_flight() {
            if self.answer_rules.allow_cancel {
                host.cancel(id, attempt);
            }
            return;
        }
        if let Some(node) = request.node() {
            self.nodes[node].queue_mut().remove(id);
        }
        let bio = request.bio();
        self.rate_limiter.end_block_io(bio.volume);
        if let Some(key) = bio.key {
            self.ordering_keys.leave(host, now, key, id);
        }
        self.requests.remove(id);
        host.release_bio(id);
    }
}
