//! Slow start: how much this host may send to a node whose process has just started.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::{NodeId, SchedulerConfig, Tick};
use crate::state::{Node, Scheduler, SlowStart, SlowStartCapacity};

const SAFE_LOAD: f64 = 0.8; // fraction of the load at which a warming node fails: the rest is for surges
const UNUSED_LOAD: f64 = 0.5; // prior fraction of demand that is accepted: it may be twice what a node does
const WARM_DEMAND_PRIOR: f64 = 4.0; // weight of UNUSED_LOAD, in block I/Os for warm nodes
pub(super) const WARM_DEMAND_DECAY: f64 = 0.99; // fraction of the counts kept per interval: the last 10 s
const USUAL_RATE_ALPHA: f64 = 0.01; // weight of one interval in the usual rate: about ten seconds' worth

impl SlowStart {
    pub(super) fn new(config: &SchedulerConfig, hosts: f64) -> Self {
        let safe_multiple = SAFE_LOAD * config.overload_multiple * config.slow_start_initial_rate;
        SlowStart {
            even_share: config.slow_start_capacity / hosts,
            per_usual_rate: safe_multiple * config.overload_window as f64,
            initial_rate: config.slow_start_initial_rate.clamp(0.01, 1.0),
            duration: config.slow_start_duration,
            overload_window: config.overload_window,
        }
    }

    /// The rate as a multiple of the first one, by the slowest growth allowed, half an overload window late.
    fn growth(&self, age: Tick) -> f64 {
        let grown = (age - self.overload_window / 2).max(0) as f64 / self.duration.max(1) as f64;
        (self.initial_rate + (1.0 - self.initial_rate) * grown.min(1.0)) / self.initial_rate
    }
}

impl Node {
    /// Records an interval's rate in the usual one; a host that is itself young weighs intervals by its age.
    pub(super) fn record_usual_rate(&mut self, rate: f64, host_age: Tick) {
        let young = ALLOCATION_INTERVAL as f64 / host_age.max(ALLOCATION_INTERVAL) as f64;
        self.usual_rate += (rate - self.usual_rate) * young.max(USUAL_RATE_ALPHA);
    }
}

impl Scheduler {
    /// Whether a node has long been up, or started so long ago that it does all it can.
    pub(super) fn is_warm(&self, now: Tick, id: NodeId) -> bool {
        let started_at = self.nodes[id.0].started_at;
        started_at == 0 || now > started_at + self.slow_start.duration
    }

    /// Units that this host may still send to a node that has just started. Its share is even, or goes by
    /// what it sent here when all was well, since all hosts together sent no more than the node could do.
    pub(super) fn slow_start_capacity(&mut self, now: Tick, id: NodeId) -> SlowStartCapacity {
        let (limits, node) = (&self.slow_start, &mut self.nodes[id.0]);
        let (window, age) = (limits.overload_window, now - node.started_at);
        if node.started_at == 0 || window == 0 || age >= limits.duration + window / 2 {
            return SlowStartCapacity {
                left: f64::INFINITY,
                share: 0.0,
            };
        }
        let growth = limits.growth(age);
        let share = limits
            .even_share
            .max(node.usual_rate * limits.per_usual_rate)
            * growth;
        let sent = node.slow_start_units.after(now - window - 1);
        let small = share < self.max_io_units;
        let share = if small {
            self.rounded_share(now, id, share, sent, growth)
        } else {
            share
        };
        SlowStartCapacity {
            left: share - sent,
            share,
        }
    }

    /// A share below the largest block I/O goes out whole, by a number drawn each overload window. A host
    /// that never sent here sends less often, by the fraction that warm nodes accept: even shares
    /// fall to hosts with nothing to send. Drawback: costly where all hosts surge at a return.
    fn rounded_share(&mut self, now: Tick, id: NodeId, share: f64, sent: f64, growth: f64) -> f64 {
        let (limits, node) = (&self.slow_start, &mut self.nodes[id.0]);
        if now >= node.slow_start_draw_until {
            node.slow_start_draw_until = now + limits.overload_window;
            node.slow_start_draw = self.rng.fraction();
        }
        let demand = &self.warm_demand;
        let taken =
            (demand.sent + UNUSED_LOAD * WARM_DEMAND_PRIOR) / (demand.total + WARM_DEMAND_PRIOR);
        let used = if node.usual_rate > 0.0 { 1.0 } else { taken };
        let flow = limits.per_usual_rate * growth / limits.overload_window as f64 * used;
        if node.slow_start_draw + f64::from(sent > 0.0) < flow {
            self.max_io_units
        } else if sent == 0.0 {
            (share / node.slow_start_draw).min(self.max_io_units)
        } else {
            share
        }
    }
}
