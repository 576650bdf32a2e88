//! What a running host can take up of a new configuration without a new start: plans and which volume has which.
use crate::config::{GatewayConfig, Plan};

/// Plans and volumes as they are to stand. Running plans keep their places, also those that no volume has any
/// more: block I/Os in hand refer to them.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadOutcome {
    pub plans: Vec<Plan>,
    /// The plan of each volume, in the running order.
    pub volume_plans: Vec<usize>,
    /// What is different, a line each.
    pub changes: Vec<String>,
}

/// Works out what is taken up. Errors: all that differs and cannot be taken up, a line each; nothing is then.
pub fn evaluate(running: &GatewayConfig, wanted: &GatewayConfig) -> Result<ReloadOutcome, Vec<String>> {
    let mut against = Vec::new();
    let mut differs = |what: String, differs: bool| {
        if differs {
            against.push(format!("{what}: differs from the running one; that needs a new start"));
        }
    };
    differs("section host".into(), running.host != wanted.host);
    differs("section fleet".into(), running.fleet != wanted.fleet);
    differs("section catalog".into(), running.catalog != wanted.catalog);
    differs("section tariffs".into(), running.plan_service != wanted.plan_service);
    differs("groups".into(), running.io_classes != wanted.io_classes);
    differs("nodes".into(), running.nodes != wanted.nodes);
    for v in &running.volumes {
        let same = |w: &&crate::config::Volume| w.name == v.name;
        let Some(found) = wanted.volumes.iter().find(same) else {
            against.push(format!("volume {}: is gone; that needs a new start", v.name));
            continue;
        };
        if (crate::config::Volume { plan: v.plan, ..found.clone() }) != *v {
            against.push(format!("volume {}: differs in more than its plan; that needs a new start", v.name));
        }
    }
    for w in wanted.volumes.iter().filter(|w| !running.volumes.iter().any(|v| v.name == w.name)) {
        against.push(format!("volume {}: is new; that needs a new start", w.name));
    }
    if !against.is_empty() {
        return Err(against);
    }
    let (mut plans, mut told) = (running.plans.clone(), Vec::new());
    for wanted in &wanted.plans {
        match plans.iter_mut().find(|p| p.name == wanted.name) {
            Some(plan) if plan == wanted => {}
            Some(plan) => {
                told.push(figures(plan, wanted));
                plan.clone_from(wanted);
            }
            None => {
                told.push(format!("plan {}: new", wanted.name));
                plans.push(wanted.clone());
            }
        }
    }
    let mut of = Vec::new();
    for v in &running.volumes {
        let wanted_volume = wanted.volumes.iter().find(|w| w.name == v.name).expect("looked for above");
        let name = &wanted.plans[wanted_volume.plan].name;
        let plan = plans.iter().position(|p| p.name == *name).expect("just put in");
        if plan != v.plan {
            told.push(format!("volume {}: plan {} instead of {}", v.name, name, running.plans[v.plan].name));
        }
        of.push(plan);
    }
    Ok(ReloadOutcome { plans, volume_plans: of, changes: told })
}

fn figures(old: &Plan, new: &Plan) -> String {
    let all = [
        ("usual", old.usual_rate, new.usual_rate),
        ("reserve", old.reserved_rate, new.reserved_rate),
        ("limit", old.rate_limit, new.rate_limit),
        ("burst", old.burst_units, new.burst_units),
        ("weight", old.weight, new.weight),
        ("price", old.priority_factor, new.priority_factor),
    ];
    let changed: Vec<String> =
        all.iter().filter(|f| f.1 != f.2).map(|(name, a, b)| format!("{name} {b} instead of {a}")).collect();
    format!("plan {}: {}", new.name, changed.join(", "))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::Volume;

    fn site() -> GatewayConfig {
        let plan =
            |name: &str| Plan { name: name.into(), reserved_rate: 5.0, weight: 1.0, ..Plan::default() };
        let volume =
            |name: &str, plan| Volume { name: name.into(), plan, block_count: 8, ..Volume::default() };
        GatewayConfig {
            plans: vec![plan("gold"), plan("tin")],
            volumes: vec![volume("a", 0), volume("b", 1)],
            ..GatewayConfig::default()
        }
    }

    #[test]
    fn figures_of_plans_and_plans_of_volumes_are_taken_up_and_told() {
        let (running, mut wanted) = (site(), site());
        wanted.plans.reverse();
        wanted.plans[1].weight = 3.0;
        wanted.plans[1].reserved_rate = 7.0;
        wanted.plans.push(Plan { name: "gold-b".into(), ..Plan::default() });
        wanted.volumes[0].plan = 1;
        wanted.volumes[1].plan = 2;
        let taken = evaluate(&running, &wanted).expect("plans only");
        let names: Vec<&str> = taken.plans.iter().map(|p| p.name.as_str()).collect();
        assert_eq!((names, taken.volume_plans), (vec!["gold", "tin", "gold-b"], vec![0, 2]));
        let told = [
            "plan gold: reserve 7 instead of 5, weight 3 instead of 1",
            "plan gold-b: new",
            "volume b: plan gold-b instead of tin",
        ];
        assert_eq!(taken.changes, told);
    }

    #[test]
    fn a_plan_that_no_volume_has_any_more_keeps_its_place() {
        let (running, mut wanted) = (site(), site());
        wanted.plans.remove(0);
        wanted.volumes.iter_mut().for_each(|v| v.plan = 0);
        let taken = evaluate(&running, &wanted).expect("plans only");
        assert_eq!((taken.plans.len(), taken.volume_plans), (2, vec![1, 1]));
    }

    #[test]
    fn what_needs_a_new_start_is_named_all_at_once_and_nothing_is_taken_up() {
        let (running, mut wanted) = (site(), site());
        wanted.plans[0].weight = 3.0;
        wanted.fleet.hosts = 9;
        wanted.volumes[0].block_count = 16;
        wanted.volumes[1].name = "c".into();
        let against = evaluate(&running, &wanted).expect_err("more than plans");
        let named = |what: &str| against.iter().any(|a| a.starts_with(what));
        assert!(["section fleet", "volume a", "volume b", "volume c"].into_iter().all(named), "{against:?}");
        assert_eq!(against.len(), 4);
    }
}
