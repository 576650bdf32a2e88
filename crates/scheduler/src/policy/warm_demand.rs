//! The fraction of the demand for warm nodes that is accepted.

/// Fraction of demand assumed to be accepted initially: demand may be twice what a node can serve.
const PRIOR_ACCEPTED: f64 = 0.5;
/// Weight of [`PRIOR_ACCEPTED`], in block I/Os for warm nodes.
const PRIOR_WEIGHT: f64 = 4.0;
/// Fraction of the counts that is kept in each allocation interval: they cover about the last 10 s.
const DECAY: f64 = 0.99;

/// Decaying counts of the block I/Os for warm nodes, and of those sent to them.
#[derive(Default)]
pub(super) struct WarmDemand {
    sent: f64,
    total: f64,
}

impl WarmDemand {
    /// Records a block I/O that was sent to a warm node.
    pub(super) fn record_sent(&mut self) {
        self.sent += 1.0;
        self.total += 1.0;
    }

    /// Records a block I/O that a warm node had no capacity for.
    pub(super) fn record_not_sent(&mut self) {
        self.total += 1.0;
    }

    /// Decays the counts by one allocation interval.
    pub(super) fn decay(&mut self) {
        self.sent *= DECAY;
        self.total *= DECAY;
    }

    /// Returns the fraction of the demand that was sent.
    pub(super) fn accepted_fraction(&self) -> f64 {
        (self.sent + PRIOR_ACCEPTED * PRIOR_WEIGHT) / (self.total + PRIOR_WEIGHT)
    }
}
