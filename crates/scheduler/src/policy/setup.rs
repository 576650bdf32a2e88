//! The scheduler as it starts, from the deployment's configuration.
use super::constants::ALLOCATION_INTERVAL;
use super::node_health::{INITIAL_WINDOW, MAX_BACKOFF, WIDEN_BELOW};
use crate::interface::{IoClass, SchedulerConfig, Tick};
use crate::pcg::Pcg;
use crate::state::{
    ClassPolicy, FleetLatency, PlanRates, PollSchedule, RetryBudget, Scheduler, SlowStart,
};

impl Scheduler {
    /// A scheduler that starts at `now`, with no node known. The seed decides all that it draws at random.
    #[must_use]
    pub fn new(config: &SchedulerConfig, seed: u64, now: Tick) -> Self {
        let hosts = f64::from(config.hosts.max(1));
        let objectives = config.classes.iter().map(|c| c.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(ALLOCATION_INTERVAL).max(1) as f64;
        let initial_latency = WIDEN_BELOW * shortest_objective;
        let max_retry_after = if config.allow_retry_after {
            config.max_retry_after
        } else {
            0
        };
        let rng = Pcg::new(seed);
        Scheduler {
            config: config.clone(),
            plans: config.plans.iter().map(PlanRates::from).collect(),
            classes: class_policies(config),
            mean_io_units: if config.mean_io_units > 0.0 {
                config.mean_io_units
            } else {
                1.0
            },
            max_io_units: config.max_io_units.max(1.0),
            shortest_objective,
            typical_priority: typical_priority(config),
            hosts: if config.hosts > 0 {
                config.hosts
            } else {
                u32::MAX
            },
            load_by_other_hosts: 1.0 - 1.0 / hosts.sqrt(),
            initial_window: 1.0 + INITIAL_WINDOW / hosts,
            max_backoff: (MAX_BACKOFF * hosts.sqrt()) as Tick,
            slow_start: SlowStart::new(config, hosts),
            retry_budget: RetryBudget::from(config),
            retry_after: max_retry_after.min(ALLOCATION_INTERVAL),
            started_at: now,
            next_allocation: now + ALLOCATION_INTERVAL,
            polling: PollSchedule::new(config, now, &rng),
            rng,
            armed_for: Tick::MAX,
            losing_answers_until: now,
            fleet_latency: FleetLatency {
                mean: initial_latency,
                best: initial_latency,
                threshold: 0.0,
            },
            ..Scheduler::default()
        }
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

/// Attempts go by priority: a block I/O of less than the mean weight gets one retry at most.
fn class_policies(config: &SchedulerConfig) -> Vec<ClassPolicy> {
    let weights = config.classes.iter().map(|c| c.priority_weight);
    let highest = weights.clone().fold(f64::MIN_POSITIVE, f64::max);
    let mean_weight = mean(weights);
    let policy = |c: &IoClass| {
        let few = c.priority_weight < mean_weight;
        ClassPolicy {
            idempotency: c.idempotency,
            latency_objective: c.latency_objective,
            priority_weight: c.priority_weight,
            weight_deficit: 1.0 - c.priority_weight / highest,
            ordered: c.ordered,
            max_attempts: if few {
                config.max_attempts.min(2)
            } else {
                config.max_attempts
            }
            .max(1),
        }
    };
    config.classes.iter().map(policy).collect()
}

fn typical_priority(config: &SchedulerConfig) -> f64 {
    let mean_weight = mean(config.classes.iter().map(|c| c.priority_weight));
    let mean_factor = mean(config.plans.iter().map(|p| p.priority_factor));
    (mean_weight * mean_factor).max(f64::MIN_POSITIVE)
}
