//! The entry points, one for each kind of event; those of endpoints and plans stand with their concern.
use super::constants::ALLOCATION_INTERVAL;
use super::slow_start::WARM_DEMAND_DECAY;
use crate::interface::{AttemptOutcome, AttemptResult, Bio, BioId, Host, NodeId, Tick, VolumeId};
use crate::state::{Request, Scheduler};

const FORGET_VOLUME: Tick = 100_000; // ticks without an arrival until a volume with full tokens is forgotten

impl Scheduler {
    /// A block I/O has arrived.
    pub fn on_arrival(&mut self, host: &mut dyn Host, now: Tick, bio: Bio) {
        self.retry_budget.arrivals.add(now, 1.0);
        let request = self.new_request(now, bio);
        self.count_in_volume(now, &bio);
        self.requests.get_or_insert_with(bio.id.0, || request);
        if let Some(key) = bio.key {
            self.join_key(key, bio.id, self.classes[bio.class as usize].ordered);
        }
        if request.objective_end <= now {
            self.give_up(host, now, bio.id);
        } else if let Some(node) = self.place(host, now, bio.id) {
            self.dispatch(host, now, node);
        }
        self.arm_timer(host, now);
    }

    /// An attempt is over. Ignored if its block I/O has no attempt in flight, also where the index is reused.
    pub fn on_attempt_finished(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        id: BioId,
        outcome: &AttemptOutcome,
    ) {
        let Some(request) = self.requests.get_mut(id.0).filter(|r| r.in_flight) else {
            return;
        };
        request.in_flight = false;
        let (finished, bio) = (request.finished, request.bio);
        let completed = outcome.result == AttemptResult::Completed;
        self.record_outcome(now, &bio, outcome);
        self.record_possible_run(now, id, outcome);
        if self.config.other_hosts_usage_reported && completed {
            self.record_other_hosts_usage(bio.volume, outcome.units_by_other_hosts);
        }
        self.cool_key_down(now, id, outcome.result);
        self.watch_for_loss(host, now, outcome);
        if finished || outcome.client_answered || completed {
            self.finish(host, now, id);
        } else {
            self.retry_or_give_up(host, now, id);
        }
        self.dispatch(host, now, outcome.node);
        self.arm_timer(host, now);
    }

    /// The client has disconnected, or the host has answered it.
    pub fn on_disconnect(&mut self, host: &mut dyn Host, now: Tick, id: BioId) {
        if self.requests.get(id.0).is_some_and(|r| !r.finished) {
            self.finish(host, now, id);
        }
        self.arm_timer(host, now);
    }

    /// The timer that [`Host::set_timer`] set has fired.
    pub fn on_timer(&mut self, host: &mut dyn Host, now: Tick) {
        if now >= self.armed_for {
            self.armed_for = Tick::MAX;
        }
        if self.polling.take_due(now) {
            host.poll_endpoints();
        }
        self.give_up_overdue(host, now);
        if now >= self.next_allocation {
            self.next_allocation = now + ALLOCATION_INTERVAL;
            self.start_allocation_interval(host, now);
        } else {
            self.dispatch_all(host, now);
        }
        self.arm_timer(host, now);
    }

    /// Gives up block I/Os whose time in the queue is over.
    fn give_up_overdue(&mut self, host: &mut dyn Host, now: Tick) {
        while let Some(id) = self.timers.pop_due(now) {
            // The index may stand for a later block I/O by now, or for one that was sent meanwhile.
            let overdue = |r: &Request| !r.finished && !r.in_flight && r.queued_until() <= now;
            if self.requests.get(id.0).is_some_and(overdue) {
                self.give_up(host, now, id);
            }
        }
    }

    /// Forgets what is of no more use, then grants each node's allocations and sends by them.
    fn start_allocation_interval(&mut self, host: &mut dyn Host, now: Tick) {
        self.warm_demand.sent *= WARM_DEMAND_DECAY;
        self.warm_demand.total *= WARM_DEMAND_DECAY;
        self.recently_shed.retain(|shed| shed.deadline > now);
        self.forget_nodes(host, now);
        self.forget_volumes(host, now);
        self.end_cooldowns(host, now);
        for id in self.nodes.indices().map(NodeId) {
            if self.nodes.get(id.0).is_some() {
                self.age_node(now, id);
                self.reallocate(id);
                self.dispatch(host, now, id);
            }
        }
    }

    fn forget_volumes(&mut self, host: &mut dyn Host, now: Tick) {
        for id in self.volumes.indices().map(VolumeId) {
            let Some(volume) = self.volumes.get_mut(id.0) else {
                continue;
            };
            let plan = &self.plans[volume.plan];
            volume.refill(now, plan, self.max_io_units);
            volume.record_other_hosts_rate();
            let idle = volume.in_progress == 0 && now - volume.last_arrival > FORGET_VOLUME;
            if idle && volume.tokens >= plan.burst_units / volume.hosts {
                self.volumes.remove(id.0);
                self.nodes
                    .values_mut()
                    .for_each(|n| n.allocations.retain(|a| a.volume != id));
                host.release_volume(id);
            }
        }
    }

    /// Arms the host's timer for the next thing that is due.
    pub(super) fn arm_timer(&mut self, host: &mut dyn Host, now: Tick) {
        let paused = self
            .nodes
            .iter()
            .filter(|(_, n)| !n.queue.is_empty() && n.paused_until > now);
        let pause_end = paused
            .map(|(_, n)| n.paused_until)
            .min()
            .unwrap_or(Tick::MAX);
        let due = self
            .next_allocation
            .min(self.timers.next())
            .min(self.polling.next_poll);
        let due = due.min(pause_end).max(now + 1);
        if due < self.armed_for {
            self.armed_for = due;
            host.set_timer(due - now);
        }
    }
}
