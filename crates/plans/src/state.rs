//! Plans and the volumes that have them, in numbered versions.
use crate::Units;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Figures of a plan: units a second, units, and parts, all in thousandths. Limit 0: none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub usual: Units,
    pub reserve: Units,
    pub limit: Units,
    pub burst: Units,
    pub weight: Units,
    pub price: Units,
}

/// Largest figure: sums over thousands of hosts stay far inside 64 bits.
pub const MOST: Units = 1_000_000_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A plan has these figures; it is new if there was none of this name.
    Plan {
        name: String,
        figures: Plan,
    },
    /// A plan that no volume has goes.
    PlanGone {
        name: String,
    },
    /// A volume has this plan; it is new if there was none of this name.
    Volume {
        name: String,
        plan: String,
    },
    VolumeGone {
        name: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Another change came first: the version that was expected, and the one that stands.
    Late {
        expected: u64,
        stands: u64,
    },
    NoSuchPlan(String),
    NoSuchVolume(String),
    /// A volume still has it.
    InUse {
        plan: String,
        volume: String,
    },
    BadName(String),
    /// A figure that no plan can have, and what was expected.
    BadFigure {
        what: &'static str,
        expected: &'static str,
    },
    /// Nothing would be different.
    Same,
    NoReason,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Late { expected, stands } => {
                write!(f, "made for version {expected}, and version {stands} stands: look at what came first")
            }
            Refused::NoSuchPlan(n) => write!(f, "`{n}`: no such plan"),
            Refused::NoSuchVolume(n) => write!(f, "`{n}`: no such volume"),
            Refused::InUse { plan, volume } => write!(f, "`{plan}`: volume {volume} has this plan"),
            Refused::BadName(n) => write!(f, "`{n}`: expected 1 to 64 letters, digits and -_.:"),
            Refused::BadFigure { what, expected } => write!(f, "{what}: expected {expected}"),
            Refused::Same => write!(f, "nothing would be different"),
            Refused::NoReason => write!(f, "expected an author and a reason"),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Changes made so far.
    pub version: u64,
    pub plans: BTreeMap<String, Plan>,
    /// The plan of each volume.
    pub volumes: BTreeMap<String, String>,
}

fn named(name: &str) -> Result<(), Refused> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(fits) {
        return Err(Refused::BadName(name.to_owned()));
    }
    Ok(())
}

impl Plan {
    fn check(&self) -> Result<(), Refused> {
        let all = [
            ("usual", self.usual),
            ("reserve", self.reserve),
            ("limit", self.limit),
            ("burst", self.burst),
            ("weight", self.weight),
            ("price", self.price),
        ];
        if let Some((what, _)) = all.into_iter().find(|f| f.1 > MOST) {
            return Err(Refused::BadFigure { what, expected: "at most a thousand million units" });
        }
        // A limit without anything at once would let nothing through.
        if self.limit > 0 && self.burst == 0 {
            return Err(Refused::BadFigure { what: "burst", expected: "above 0 where there is a limit" });
        }
        if self.limit > 0 && self.reserve > self.limit {
            return Err(Refused::BadFigure { what: "reserve", expected: "no more than the limit" });
        }
        Ok(())
    }
}

impl State {
    pub fn plan_of(&self, volume: &str) -> Option<&Plan> {
        self.plans.get(self.volumes.get(volume)?)
    }

    /// Whether a change can be made to what stands.
    pub fn check(&self, change: &Change) -> Result<(), Refused> {
        match change {
            Change::Plan { name, figures } => {
                named(name)?;
                figures.check()?;
                if self.plans.get(name) == Some(figures) { Err(Refused::Same) } else { Ok(()) }
            }
            Change::PlanGone { name } => {
                if !self.plans.contains_key(name) {
                    return Err(Refused::NoSuchPlan(name.clone()));
                }
                match self.volumes.iter().find(|v| v.1 == name) {
                    Some((volume, _)) => Err(Refused::InUse { plan: name.clone(), volume: volume.clone() }),
                    None => Ok(()),
                }
            }
            Change::Volume { name, plan } => {
                named(name)?;
                if !self.plans.contains_key(plan) {
                    return Err(Refused::NoSuchPlan(plan.clone()));
                }
                if self.volumes.get(name) == Some(plan) { Err(Refused::Same) } else { Ok(()) }
            }
            Change::VolumeGone { name } if self.volumes.contains_key(name) => Ok(()),
            Change::VolumeGone { name } => Err(Refused::NoSuchVolume(name.clone())),
        }
    }

    /// Makes a change; the next version. Error, and nothing changed, where it cannot be made.
    pub fn apply(&mut self, change: &Change) -> Result<(), Refused> {
        self.check(change)?;
        self.version += 1;
        match change.clone() {
            Change::Plan { name, figures } => drop(self.plans.insert(name, figures)),
            Change::PlanGone { name } => drop(self.plans.remove(&name)),
            Change::Volume { name, plan } => drop(self.volumes.insert(name, plan)),
            Change::VolumeGone { name } => drop(self.volumes.remove(&name)),
        }
        Ok(())
    }

    /// The change that takes a change back, made on what stood before it. What has changed since is not
    /// touched: the answer is checked like any other change.
    pub fn undo(&self, change: &Change) -> Change {
        match change {
            Change::Plan { name, .. } | Change::PlanGone { name } => match self.plans.get(name) {
                Some(figures) => Change::Plan { name: name.clone(), figures: figures.clone() },
                None => Change::PlanGone { name: name.clone() },
            },
            Change::Volume { name, .. } | Change::VolumeGone { name } => match self.volumes.get(name) {
                Some(plan) => Change::Volume { name: name.clone(), plan: plan.clone() },
                None => Change::VolumeGone { name: name.clone() },
            },
        }
    }

    /// What is different in another state, a change each; applied in this order they lead there.
    pub fn diff(&self, to: &State) -> Vec<Change> {
        let plan = |(name, figures): (&String, &Plan)| {
            let differs = self.plans.get(name) != Some(figures);
            differs.then(|| Change::Plan { name: name.clone(), figures: figures.clone() })
        };
        let volume = |(name, plan): (&String, &String)| {
            let differs = self.volumes.get(name) != Some(plan);
            differs.then(|| Change::Volume { name: name.clone(), plan: plan.clone() })
        };
        let gone = self.volumes.keys().filter(|n| !to.volumes.contains_key(*n));
        let idle = self.plans.keys().filter(|n| !to.plans.contains_key(*n));
        let mut all: Vec<Change> = to.plans.iter().filter_map(plan).collect();
        all.extend(to.volumes.iter().filter_map(volume));
        all.extend(gone.map(|name| Change::VolumeGone { name: name.clone() }));
        all.extend(idle.map(|name| Change::PlanGone { name: name.clone() }));
        all
    }
}
