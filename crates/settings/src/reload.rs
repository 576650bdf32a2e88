//! What a running host can take over from a changed configuration without a restart: plans, and which volume has which.
use crate::config::{GatewayConfig, Plan, Volume};
use std::fmt;
use thiserror::Error;

/// The plans and volumes to go on with. Running plans keep their indices, also those that no volume has any more:
/// block I/Os in flight refer to them.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadOutcome {
    /// All plans, running ones first.
    pub plans: Vec<Plan>,
    /// The index of each volume's plan, in the running order of volumes.
    pub volume_plans: Vec<usize>,
    /// What changes.
    pub changes: Vec<Change>,
}

/// One change that takes effect. `Display` gives the line that operators are shown.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Parameters of a plan change.
    PlanParameters {
        /// The plan's name.
        plan: String,
        /// The parameters that change.
        parameters: Vec<ParameterChange>,
    },
    /// A plan is added.
    PlanAdded {
        /// Its name.
        plan: String,
    },
    /// A volume gets another plan.
    VolumePlan {
        /// The volume's name.
        volume: String,
        /// The name of its plan from now on.
        plan: String,
        /// The name of its plan so far.
        old_plan: String,
    },
}

/// A parameter of a plan that changes.
#[derive(Clone, Debug, PartialEq)]
pub struct ParameterChange {
    /// The directive that sets it.
    pub directive: &'static str,
    /// Its value so far.
    pub old: f64,
    /// Its value from now on.
    pub new: f64,
}

impl fmt::Display for ParameterChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} instead of {}", self.directive, self.new, self.old)
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::PlanParameters { plan, parameters } => {
                let parameters: Vec<String> = parameters.iter().map(ToString::to_string).collect();
                write!(f, "plan {plan}: {}", parameters.join(", "))
            }
            Change::PlanAdded { plan } => write!(f, "plan {plan}: new"),
            Change::VolumePlan {
                volume,
                plan,
                old_plan,
            } => {
                write!(f, "volume {volume}: plan {plan} instead of {old_plan}")
            }
        }
    }
}

impl ReloadOutcome {
    /// The changes, one line each.
    #[must_use]
    pub fn summary(&self) -> String {
        join_lines(&self.changes)
    }
}

/// A difference that only a restart can take over.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestartReason {
    /// A section other than plans and volumes differs.
    #[error("{0}: differs from the running one; that needs a new start")]
    SectionDiffers(&'static str),
    /// A volume is missing.
    #[error("volume {0}: is gone; that needs a new start")]
    VolumeRemoved(String),
    /// A volume differs in more than its plan.
    #[error("volume {0}: differs in more than its plan; that needs a new start")]
    VolumeDiffers(String),
    /// A volume is added.
    #[error("volume {0}: is new; that needs a new start")]
    VolumeAdded(String),
}

/// The configuration can't be taken over. `Display` gives one line a reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join_lines(.0))]
pub struct RestartRequired(pub Vec<RestartReason>);

fn join_lines<T: ToString>(items: &[T]) -> String {
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Works out what a host that runs with one configuration takes over from another.
///
/// # Errors
///
/// All differences that need a restart; then nothing is taken over.
///
/// # Panics
///
/// Never on validated configurations.
pub fn evaluate(
    running: &GatewayConfig,
    wanted: &GatewayConfig,
) -> Result<ReloadOutcome, RestartRequired> {
    let mut reasons = differing_sections(running, wanted);
    reasons.extend(differing_volumes(running, wanted));
    if !reasons.is_empty() {
        return Err(RestartRequired(reasons));
    }
    let mut changes = Vec::new();
    let plans = merge_plans(running, wanted, &mut changes);
    let mut volume_plans = Vec::new();
    for volume in &running.volumes {
        let wanted_volume = find_volume(wanted, &volume.name).expect("the volumes are the same");
        let name = &wanted.plans[wanted_volume.plan].name;
        let plan = plans
            .iter()
            .position(|p| p.name == *name)
            .expect("all wanted plans are merged");
        if plan != volume.plan {
            changes.push(Change::VolumePlan {
                volume: volume.name.clone(),
                plan: name.clone(),
                old_plan: running.plans[volume.plan].name.clone(),
            });
        }
        volume_plans.push(plan);
    }
    Ok(ReloadOutcome {
        plans,
        volume_plans,
        changes,
    })
}

fn differing_sections(running: &GatewayConfig, wanted: &GatewayConfig) -> Vec<RestartReason> {
    let sections = [
        ("section host", running.host != wanted.host),
        ("section fleet", running.fleet != wanted.fleet),
        ("section catalog", running.catalog != wanted.catalog),
        (
            "section tariffs",
            running.plan_service != wanted.plan_service,
        ),
        ("groups", running.io_classes != wanted.io_classes),
        ("nodes", running.nodes != wanted.nodes),
    ];
    let differing = sections.into_iter().filter(|s| s.1);
    differing
        .map(|s| RestartReason::SectionDiffers(s.0))
        .collect()
}

fn differing_volumes(running: &GatewayConfig, wanted: &GatewayConfig) -> Vec<RestartReason> {
    let mut reasons = Vec::new();
    for volume in &running.volumes {
        match find_volume(wanted, &volume.name) {
            None => reasons.push(RestartReason::VolumeRemoved(volume.name.clone())),
            Some(found)
                if Volume {
                    plan: volume.plan,
                    ..found.clone()
                } != *volume =>
            {
                reasons.push(RestartReason::VolumeDiffers(volume.name.clone()));
            }
            Some(_) => {}
        }
    }
    let added = wanted
        .volumes
        .iter()
        .filter(|v| find_volume(running, &v.name).is_none());
    reasons.extend(added.map(|v| RestartReason::VolumeAdded(v.name.clone())));
    reasons
}

fn find_volume<'a>(config: &'a GatewayConfig, name: &str) -> Option<&'a Volume> {
    config.volumes.iter().find(|v| v.name == name)
}

/// The running plans with the wanted parameters, and the wanted plans that are new behind them.
fn merge_plans(
    running: &GatewayConfig,
    wanted: &GatewayConfig,
    changes: &mut Vec<Change>,
) -> Vec<Plan> {
    let mut plans = running.plans.clone();
    for wanted in &wanted.plans {
        match plans.iter_mut().find(|p| p.name == wanted.name) {
            Some(plan) if plan == wanted => {}
            Some(plan) => {
                let parameters = parameter_changes(plan, wanted);
                changes.push(Change::PlanParameters {
                    plan: wanted.name.clone(),
                    parameters,
                });
                plan.clone_from(wanted);
            }
            None => {
                changes.push(Change::PlanAdded {
                    plan: wanted.name.clone(),
                });
                plans.push(wanted.clone());
            }
        }
    }
    plans
}

fn parameter_changes(old: &Plan, new: &Plan) -> Vec<ParameterChange> {
    let parameters = [
        ("usual", old.usual_rate, new.usual_rate),
        ("reserve", old.reserved_rate, new.reserved_rate),
        ("limit", old.rate_limit, new.rate_limit),
        ("burst", old.burst_units, new.burst_units),
        ("weight", old.weight, new.weight),
        ("price", old.priority_factor, new.priority_factor),
    ];
    let changed = parameters.into_iter().filter(|(_, old, new)| old != new);
    changed
        .map(|(directive, old, new)| ParameterChange {
            directive,
            old,
            new,
        })
        .collect()
}
