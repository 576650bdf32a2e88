//! The priority of a block I/O: what one of its units earns if it is sent now.
use super::io_classes::{ClassPolicy, mean};
use super::rate_limiter::RateLimiter;
use crate::interface::{Bio, SchedulerConfig};

/// Minimum size of a block I/O when compared with the reservation, as a fraction of the mean size.
const MIN_COUNTED_IO: f64 = 1.0 / 8.0;

/// The rules by which the priorities of block I/Os are computed.
pub(super) struct PriorityRules {
    /// Fraction of the priority weight that units within the volume's share of a node earn.
    share_weight_factor: f64,
    /// Fraction of the priority weight that units beyond the volume's share of a node earn.
    spare_weight_factor: f64,
    /// Minimum size of a block I/O when compared with the reservation, in units.
    min_counted_units: f64,
    /// Full value of a block I/O of mean class and mean plan.
    typical: f64,
}

impl PriorityRules {
    /// Creates the configured rules.
    pub(super) fn new(config: &SchedulerConfig, mean_io_units: f64) -> Self {
        let mean_weight = mean(config.classes.iter().map(|class| class.priority_weight));
        let mean_factor = mean(config.plans.iter().map(|plan| plan.priority_factor));
        PriorityRules {
            share_weight_factor: config.share_weight_factor,
            spare_weight_factor: config.spare_weight_factor,
            min_counted_units: mean_io_units * MIN_COUNTED_IO,
            typical: (mean_weight * mean_factor).max(f64::MIN_POSITIVE),
        }
    }

    /// Returns what a unit earns: the full weight within the volume's reservation, and beyond it the share fraction
    /// while the volume's own allocation has a balance, or else the spare fraction.
    pub(super) fn priority(
        &self,
        bio: &Bio,
        class: &ClassPolicy,
        limiter: &RateLimiter,
        has_balance: bool,
    ) -> f64 {
        let beyond = if has_balance {
            self.share_weight_factor
        } else {
            self.spare_weight_factor
        };
        let counted_units = bio.units.max(self.min_counted_units);
        let inside = (limiter.unused_reservation(bio.volume) / counted_units).min(1.0);
        let factor = inside + (1.0 - inside) * beyond;
        factor * class.priority_weight() * limiter.priority_factor(bio.volume)
    }

    /// Returns the fraction by which a priority is below the typical one, or 0 if it is not below.
    pub(super) fn deficit(&self, priority: f64) -> f64 {
        (1.0 - priority / self.typical).max(0.0)
    }
}
