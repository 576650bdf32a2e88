//! What a unit of a block I/O earns if it is sent now.
use super::io_classes::{ClassPolicy, mean};
use super::rate_limiter::RateLimiter;
use crate::interface::{Bio, SchedulerConfig};

/// Fraction of a mean block I/O that the smallest ones count as, where they are compared with the reservation.
const MIN_COUNTED_IO: f64 = 1.0 / 8.0;

/// The figures by which block I/Os are compared.
pub(super) struct PriorityRules {
    /// Fraction of the priority weight earned by units within the volume's share of a node.
    share_weight_factor: f64,
    /// Fraction of the priority weight earned by units beyond that share.
    spare_weight_factor: f64,
    /// Units that a block I/O counts as, at least, where it is compared with the reservation.
    min_counted_units: f64,
    /// What a block I/O of mean class and plan earns in full.
    typical: f64,
}

impl PriorityRules {
    /// The rules of a configuration.
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

    /// What a unit earns: all of the weight inside the volume's reservation; beyond it, the share's part while the
    /// volume's own allocation lasts, then the spare part.
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

    /// The fraction by which a priority is below the typical one; 0 if it is not.
    pub(super) fn deficit(&self, priority: f64) -> f64 {
        (1.0 - priority / self.typical).max(0.0)
    }
}
