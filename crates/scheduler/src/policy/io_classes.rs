//! I/O classes, as far as decisions depend on them.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::{Bio, Idempotency, IoClass, SchedulerConfig, Tick};

/// Attempts that a block I/O of less than the mean priority weight may have, at most: one retry.
const MAX_ATTEMPTS_OF_LOW_WEIGHT: u32 = 2;

/// What the decisions use of one I/O class.
pub(super) struct ClassPolicy {
    idempotency: Idempotency,
    latency_objective: Tick,
    priority_weight: f64,
    /// No other class has a higher priority weight.
    has_highest_weight: bool,
    ordered: bool,
    max_attempts: u32,
}

impl ClassPolicy {
    fn new(class: &IoClass, weights: &ClassWeights, max_attempts: u32) -> Self {
        let low_weight = class.priority_weight < weights.mean;
        let max_attempts = if low_weight {
            max_attempts.min(MAX_ATTEMPTS_OF_LOW_WEIGHT)
        } else {
            max_attempts
        };
        ClassPolicy {
            idempotency: class.idempotency,
            latency_objective: class.latency_objective,
            priority_weight: class.priority_weight,
            has_highest_weight: class.priority_weight == weights.highest,
            ordered: class.ordered,
            max_attempts: max_attempts.max(1),
        }
    }

    /// Whether its block I/Os may be repeated.
    pub(super) fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// Time from arrival within which an answer earns the whole priority weight.
    pub(super) fn latency_objective(&self) -> Tick {
        self.latency_objective
    }

    /// What an answer in time is worth.
    pub(super) fn priority_weight(&self) -> f64 {
        self.priority_weight
    }

    /// Whether no other class has a higher priority weight.
    pub(super) fn has_highest_weight(&self) -> bool {
        self.has_highest_weight
    }

    /// Whether its block I/Os with the same key run one after another.
    pub(super) fn is_ordered(&self) -> bool {
        self.ordered
    }

    /// Attempts that a block I/O may have, the first one included.
    pub(super) fn max_attempts(&self) -> u32 {
        self.max_attempts
    }
}

/// The priority weights of all classes, summed up.
struct ClassWeights {
    mean: f64,
    highest: f64,
}

/// All I/O classes.
pub(super) struct IoClasses {
    classes: Vec<ClassPolicy>,
}

impl IoClasses {
    /// The classes of a configuration.
    pub(super) fn new(config: &SchedulerConfig) -> Self {
        let weights = config.classes.iter().map(|class| class.priority_weight);
        let weights = ClassWeights {
            mean: mean(weights.clone()),
            highest: weights.fold(f64::MIN_POSITIVE, f64::max),
        };
        let classes = config.classes.iter();
        let classes = classes.map(|class| ClassPolicy::new(class, &weights, config.max_attempts));
        IoClasses {
            classes: classes.collect(),
        }
    }

    /// The class of a block I/O.
    pub(super) fn of(&self, bio: &Bio) -> &ClassPolicy {
        &self.classes[usize::from(bio.class)]
    }
}

/// The shortest latency objective of all classes, in ticks. It is the scale on which latencies are judged.
pub(super) fn shortest_objective(classes: &[IoClass]) -> f64 {
    let objectives = classes.iter().map(|class| class.latency_objective);
    objectives.min().unwrap_or(ALLOCATION_INTERVAL).max(1) as f64
}

/// The arithmetic mean; 0 of no values.
pub(super) fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}
