//! Plans and the volumes that they are assigned to, in numbered versions. The JSON text is stored data: its names must
//! not change, and a field or variant that is renamed in the code keeps its JSON name by `serde(rename)`.
use crate::MilliUnits;
use crate::error::ChangeError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest parameter of a plan, in thousandths of a unit: sums over thousands of hosts stay far below 2^64.
pub const MAX_PARAMETER: MilliUnits = 1_000_000_000_000;
/// Maximum length of the name of a plan or volume, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The parameters of a plan; rates are in thousandths of a unit a second. They are stored under the names that they
/// have in the configuration file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Normal rate of a volume.
    #[serde(rename = "usual")]
    pub usual_rate: MilliUnits,
    /// Rate that is reserved for a volume.
    #[serde(rename = "reserve")]
    pub reserved_rate: MilliUnits,
    /// Rate that a volume may not exceed, as it is stored: 0 means no limit. [`Plan::limit`] decodes it.
    #[serde(rename = "limit")]
    pub rate_limit: MilliUnits,
    /// Amount that the limit admits at once, in thousandths of a unit.
    #[serde(rename = "burst")]
    pub burst_units: MilliUnits,
    /// Weight of the volume's share of a node, in thousandths.
    pub weight: MilliUnits,
    /// Factor on the priority weight of the volume's block I/Os, in thousandths.
    #[serde(rename = "price")]
    pub priority_factor: MilliUnits,
}

/// One change, which leads from a version to the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Sets the parameters of a plan, which is created if it does not exist.
    #[serde(rename = "Plan")]
    SetPlan {
        /// Name of the plan.
        name: String,
        /// New parameters of the plan.
        #[serde(rename = "figures")]
        plan: Plan,
    },
    /// Removes a plan that is assigned to no volume.
    #[serde(rename = "PlanGone")]
    RemovePlan {
        /// Name of the plan.
        name: String,
    },
    /// Assigns a plan to a volume, which is created if it does not exist.
    #[serde(rename = "Volume")]
    AssignPlan {
        /// Name of the volume.
        #[serde(rename = "name")]
        volume: String,
        /// Name of the plan.
        plan: String,
    },
    /// Removes a volume.
    #[serde(rename = "VolumeGone")]
    RemoveVolume {
        /// Name of the volume.
        #[serde(rename = "name")]
        volume: String,
    },
}

/// All plans and volumes at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Number of changes made so far.
    pub version: u64,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// Name of each volume's plan, by name of the volume.
    pub volumes: BTreeMap<String, String>,
}

impl Plan {
    /// Returns the rate that a volume may not exceed; none if the plan has no limit.
    #[must_use]
    pub fn limit(&self) -> Option<MilliUnits> {
        (self.rate_limit > 0).then_some(self.rate_limit)
    }

    fn check(&self) -> Result<(), ChangeError> {
        let parameters = [
            ("usual", self.usual_rate),
            ("reserve", self.reserved_rate),
            ("limit", self.rate_limit),
            ("burst", self.burst_units),
            ("weight", self.weight),
            ("price", self.priority_factor),
        ];
        let too_large = parameters
            .into_iter()
            .find(|(_, value)| *value > MAX_PARAMETER);
        if let Some((parameter, _)) = too_large {
            return Err(ChangeError::InvalidParameter {
                parameter,
                expected: "at most a thousand million units",
            });
        }
        let Some(limit) = self.limit() else {
            return Ok(());
        };
        // A limit without a burst would admit nothing.
        if self.burst_units == 0 {
            return Err(ChangeError::InvalidParameter {
                parameter: "burst",
                expected: "above 0 where there is a limit",
            });
        }
        if self.reserved_rate > limit {
            return Err(ChangeError::InvalidParameter {
                parameter: "reserve",
                expected: "no more than the limit",
            });
        }
        Ok(())
    }
}

impl State {
    /// Returns the plan of a volume; none if the volume is unknown.
    #[must_use]
    pub fn plan_of(&self, volume: &str) -> Option<&Plan> {
        self.plans.get(self.volumes.get(volume)?)
    }

    /// Checks whether a change can be made to this state.
    ///
    /// # Errors
    ///
    /// The reason why the change cannot be made.
    pub fn check(&self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::SetPlan { name, plan } => {
                check_name(name)?;
                plan.check()?;
                expect_difference(self.plans.get(name), plan)
            }
            Change::RemovePlan { name } => self.check_removal_of_plan(name),
            Change::AssignPlan { volume, plan } => {
                check_name(volume)?;
                if !self.plans.contains_key(plan) {
                    return Err(ChangeError::UnknownPlan(plan.clone()));
                }
                expect_difference(self.volumes.get(volume), plan)
            }
            Change::RemoveVolume { volume } if self.volumes.contains_key(volume) => Ok(()),
            Change::RemoveVolume { volume } => Err(ChangeError::UnknownVolume(volume.clone())),
        }
    }

    fn check_removal_of_plan(&self, name: &str) -> Result<(), ChangeError> {
        if !self.plans.contains_key(name) {
            return Err(ChangeError::UnknownPlan(name.to_owned()));
        }
        match self.volumes.iter().find(|(_, plan)| *plan == name) {
            Some((volume, _)) => Err(ChangeError::PlanInUse {
                plan: name.to_owned(),
                volume: volume.clone(),
            }),
            None => Ok(()),
        }
    }

    /// Applies a change, which leads to the next version.
    ///
    /// # Errors
    ///
    /// The reason why the change cannot be made; the state is unchanged then.
    pub fn apply(&mut self, change: &Change) -> Result<(), ChangeError> {
        self.check(change)?;
        self.version += 1;
        match change.clone() {
            Change::SetPlan { name, plan } => drop(self.plans.insert(name, plan)),
            Change::RemovePlan { name } => drop(self.plans.remove(&name)),
            Change::AssignPlan { volume, plan } => drop(self.volumes.insert(volume, plan)),
            Change::RemoveVolume { volume } => drop(self.volumes.remove(&volume)),
        }
        Ok(())
    }

    /// Returns the change that reverts `change`, which was made to this state. Changes made since are not reverted; the
    /// caller checks the result against the current state like any other change.
    #[must_use]
    pub fn revert(&self, change: &Change) -> Change {
        match change {
            Change::SetPlan { name, .. } | Change::RemovePlan { name } => {
                match self.plans.get(name) {
                    Some(plan) => Change::SetPlan {
                        name: name.clone(),
                        plan: plan.clone(),
                    },
                    None => Change::RemovePlan { name: name.clone() },
                }
            }
            Change::AssignPlan { volume, .. } | Change::RemoveVolume { volume } => {
                match self.volumes.get(volume) {
                    Some(plan) => Change::AssignPlan {
                        volume: volume.clone(),
                        plan: plan.clone(),
                    },
                    None => Change::RemoveVolume {
                        volume: volume.clone(),
                    },
                }
            }
        }
    }

    /// Returns the changes that lead from this state to `target`, in an order in which they can be applied.
    #[must_use]
    pub fn diff(&self, target: &State) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, plan) in &target.plans {
            if self.plans.get(name) != Some(plan) {
                changes.push(Change::SetPlan {
                    name: name.clone(),
                    plan: plan.clone(),
                });
            }
        }
        for (volume, plan) in &target.volumes {
            if self.volumes.get(volume) != Some(plan) {
                changes.push(Change::AssignPlan {
                    volume: volume.clone(),
                    plan: plan.clone(),
                });
            }
        }
        for volume in self.volumes.keys() {
            if !target.volumes.contains_key(volume) {
                changes.push(Change::RemoveVolume {
                    volume: volume.clone(),
                });
            }
        }
        for name in self.plans.keys() {
            if !target.plans.contains_key(name) {
                changes.push(Change::RemovePlan { name: name.clone() });
            }
        }
        changes
    }
}

fn check_name(name: &str) -> Result<(), ChangeError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        return Err(ChangeError::InvalidName(name.to_owned()));
    }
    Ok(())
}

fn expect_difference<T: PartialEq>(current: Option<&T>, next: &T) -> Result<(), ChangeError> {
    if current == Some(next) {
        Err(ChangeError::NoEffect)
    } else {
        Ok(())
    }
}
