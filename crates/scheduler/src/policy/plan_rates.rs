//! Plans, in the form that the decisions use.
use super::constants::{ALLOCATION_INTERVAL, TICKS_PER_SECOND};
use crate::interface::Plan;

/// A plan with its rates in units per tick.
pub(super) struct PlanRates {
    /// Rate reserved for a volume, over all hosts.
    pub(super) reserved: f64,
    /// Rate limit of a volume, over all hosts; `None` if there is no limit.
    pub(super) limit: Option<f64>,
    /// Burst size: units by which the limit may be exceeded at once, over all hosts.
    pub(super) burst_units: f64,
    /// Weight by which spare capacity is divided among volumes.
    pub(super) weight: f64,
    /// Factor by which the priority weight of the volume's block I/Os is multiplied.
    pub(super) priority_factor: f64,
}

impl PlanRates {
    /// Returns the cost that the reservation covers in an allocation interval, at one of this many hosts.
    pub(super) fn base(&self, hosts: f64) -> f64 {
        self.reserved * ALLOCATION_INTERVAL as f64 / hosts
    }
}

impl From<&Plan> for PlanRates {
    fn from(plan: &Plan) -> Self {
        let limited = plan.rate_limit > 0.0;
        PlanRates {
            reserved: plan.reserved_rate / TICKS_PER_SECOND,
            limit: limited.then_some(plan.rate_limit / TICKS_PER_SECOND),
            burst_units: plan.burst_units,
            weight: if plan.weight > 0.0 { plan.weight } else { 1.0 },
            priority_factor: plan.priority_factor,
        }
    }
}
