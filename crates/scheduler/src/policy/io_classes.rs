//! I/O classes, in the form that the decisions use.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::{Bio, Idempotency, IoClass, SchedulerConfig, Tick};

/// Maximum number of attempts of a block I/O whose priority weight is below the mean: one retry.
const MAX_ATTEMPTS_OF_LOW_WEIGHT: u32 = 2;

/// An I/O class, in the form that the decisions use.
pub(super) struct ClassPolicy {
    idempotency: Idempotency,
    latency_objective: Tick,
    priority_weight: f64,
    /// Whether no other class has a higher priority weight.
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

    /// Returns whether block I/Os of the class may be repeated.
    pub(super) fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// Returns the time from arrival within which an answer earns the full priority weight.
    pub(super) fn latency_objective(&self) -> Tick {
        self.latency_objective
    }

    /// Returns the value of an answer within the latency objective.
    pub(super) fn priority_weight(&self) -> f64 {
        self.priority_weight
    }

    /// Returns whether no other class has a higher priority weight.
    pub(super) fn has_highest_weight(&self) -> bool {
        self.has_highest_weight
    }

    /// Returns whether block I/Os with the same ordering key run one after another.
    pub(super) fn is_ordered(&self) -> bool {
        self.ordered
    }

    /// Returns the maximum number of attempts of a block I/O, including the first one.
    pub(super) fn max_attempts(&self) -> u32 {
        self.max_attempts
    }
}

/// Mean and maximum of the priority weights of all classes.
struct ClassWeights {
    mean: f64,
    highest: f64,
}

/// All I/O classes.
pub(super) struct IoClasses {
    classes: Vec<ClassPolicy>,
}

impl IoClasses {
    /// Creates the classes of a configuration.
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

    /// Returns the class of a block I/O.
    pub(super) fn of(&self, bio: &Bio) -> &ClassPolicy {
        &self.classes[usize::from(bio.class)]
    }
}

/// Returns the shortest latency objective of all classes, in ticks. Latencies are judged relative to it.
pub(super) fn shortest_objective(classes: &[IoClass]) -> f64 {
    let objectives = classes.iter().map(|class| class.latency_objective);
    objectives.min().unwrap_or(ALLOCATION_INTERVAL).max(1) as f64
}

/// Returns the arithmetic mean, or 0 if there are no values.
pub(super) fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}
