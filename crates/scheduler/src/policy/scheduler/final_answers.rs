//! The end of a block I/O: its final answer, and what is released with it.
use super::super::request::Request;
use super::Scheduler;
use crate::interface::{BioId, Host, Tick};

impl Scheduler {
    /// Gives up block I/Os whose time in the queue is over.
    pub(super) fn give_up_overdue(&mut self, host: &mut dyn Host, now: Tick) {
        while let Some(id) = self.request_timers.pop_due(now) {
            // The index may stand for a later block I/O by now, or for one that was sent meanwhile.
            let request = self.requests.get(id);
            if request.is_some_and(|request| request.is_overdue(now)) {
                self.give_up(host, now, id);
            }
        }
    }

    /// Gives the final answer to a block I/O that will not be served.
    pub(super) fn give_up(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        let request = self.requests[id];
        if self.is_unmet_warm_demand(now, &request) {
            self.slow_start.warm_demand_mut().record_not_sent();
        }
        let bio = request.bio();
        self.shed_history.record(bio, request.objective_end());
        let class = self.classes.of(bio);
        if class.has_highest_weight() && !request.has_tokens() {
            self.rate_limiter.keep_tokens_for_top_class(now, bio);
        }
        let harmless = class.idempotency().repeats_are_harmless();
        if request.possible_run().is_none() || harmless {
            host.shed(id, self.answer_rules.retry_after);
        } else {
            host.fail(id);
        }
        self.finish(host, now, id);
    }

    /// Whether a block I/O was never sent for want of capacity at a warm node.
    fn is_unmet_warm_demand(&self, now: Tick, request: &Request) -> bool {
        let Some(node) = request.node().filter(|_| !request.was_sent()) else {
            return false;
        };
        let node = &self.nodes[node];
        node.is_warm(now, &self.slow_start) && self.may_send(now, request, node)
    }

    /// Ends a block I/O: it leaves its queue, and with no attempt in flight, its key and its index as well.
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
