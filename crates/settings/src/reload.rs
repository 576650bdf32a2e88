//! Changes of a configuration that a running host can apply without a restart: plans and their assignment to volumes.
use crate::config::{GatewayConfig, Plan, Volume};
use std::fmt;
use thiserror::Error;

/// Plans and their assignment after a reload. Existing plans keep their indices, also those without any volume left,
/// since block I/Os in flight refer to them.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadOutcome {
    /// All plans, the existing ones first.
    pub plans: Vec<Plan>,
    /// Index of each volume's plan, in the order of volumes in the running configuration.
    pub volume_plans: Vec<usize>,
    /// Changes that take effect.
    pub changes: Vec<Change>,
}

/// A change that takes effect. `Display` writes the line that is shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Parameters of a plan are changed.
    PlanParameters {
        /// Name of the plan.
        plan: String,
        /// Parameters that are changed.
        parameters: Vec<ParameterChange>,
    },
    /// A plan is added.
    PlanAdded {
        /// Name of the plan.
        plan: String,
    },
    /// Another plan is assigned to a volume.
    VolumePlan {
        /// Name of the volume.
        volume: String,
        /// Name of the plan after the change.
        plan: String,
        /// Name of the plan before the change.
        old_plan: String,
    },
}

/// A changed parameter of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ParameterChange {
    /// Directive that sets the parameter.
    pub directive: &'static str,
    /// Value before the change.
    pub old: f64,
    /// Value after the change.
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
    /// Returns the changes, one line each.
    #[must_use]
    pub fn summary(&self) -> String {
        join_lines(&self.changes)
    }
}

/// A change that cannot be applied without a restart.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestartReason {
    /// A section other than plans and volumes is changed.
    #[error("{0}: cannot be changed at run time; restart the host")]
    SectionDiffers(&'static str),
    /// A volume is removed.
    #[error("volume {0}: cannot be removed at run time; restart the host")]
    VolumeRemoved(String),
    /// A volume is changed in more than its plan.
    #[error("volume {0}: only its plan can be changed at run time; restart the host")]
    VolumeDiffers(String),
    /// A volume is added.
    #[error("volume {0}: cannot be added at run time; restart the host")]
    VolumeAdded(String),
}

/// Error for a configuration that cannot be applied without a restart. `Display` writes one line per reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join_lines(.0))]
pub struct RestartRequired(pub Vec<RestartReason>);

fn join_lines<T: ToString>(items: &[T]) -> String {
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Determines the changes that a host with the running configuration applies to get to the wanted one.
///
/// # Errors
///
/// All changes that need a restart; then nothing may be applied.
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

/// Returns the running plans with the wanted parameters, followed by the new plans.
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
