//! Changes of a configuration that a running host applies, and those that need a restart.
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{Plan, Volume};
use mallowseam_settings::reload::evaluate;

fn config() -> GatewayConfig {
    let plan = |name: &str| Plan {
        name: name.into(),
        reserved_rate: 5.0,
        weight: 1.0,
        ..Plan::default()
    };
    let volume = |name: &str, plan| Volume {
        name: name.into(),
        plan,
        block_count: 8,
        ..Volume::default()
    };
    GatewayConfig {
        plans: vec![plan("gold"), plan("tin")],
        volumes: vec![volume("a", 0), volume("b", 1)],
        ..GatewayConfig::default()
    }
}

#[test]
fn changed_plans_and_assignments_are_applied_and_reported() {
    let (running, mut wanted) = (config(), config());
    wanted.plans.reverse();
    wanted.plans[1].weight = 3.0;
    wanted.plans[1].reserved_rate = 7.0;
    wanted.plans.push(Plan {
        name: "gold-b".into(),
        ..Plan::default()
    });
    wanted.volumes[0].plan = 1;
    wanted.volumes[1].plan = 2;
    let outcome = evaluate(&running, &wanted).expect("only plans are changed");
    let names: Vec<&str> = outcome.plans.iter().map(|p| p.name.as_str()).collect();
    assert_eq!(
        (names, &outcome.volume_plans),
        (vec!["gold", "tin", "gold-b"], &vec![0, 2])
    );
    let changes = [
        "plan gold: reserve 7 instead of 5, weight 3 instead of 1",
        "plan gold-b: new",
        "volume b: plan gold-b instead of tin",
    ];
    assert_eq!(outcome.summary(), changes.join("\n"));
}

#[test]
fn plan_without_volumes_keeps_its_index() {
    let (running, mut wanted) = (config(), config());
    wanted.plans.remove(0);
    wanted.volumes.iter_mut().for_each(|v| v.plan = 0);
    let outcome = evaluate(&running, &wanted).expect("only plans are changed");
    assert_eq!((outcome.plans.len(), outcome.volume_plans), (2, vec![1, 1]));
}

#[test]
fn all_restart_reasons_are_reported_and_nothing_is_applied() {
    let (running, mut wanted) = (config(), config());
    wanted.plans[0].weight = 3.0;
    wanted.fleet.hosts = 9;
    wanted.volumes[0].block_count = 16;
    wanted.volumes[1].name = "c".into();
    let error = evaluate(&running, &wanted).expect_err("more than plans is changed");
    let lines: Vec<String> = error.0.iter().map(ToString::to_string).collect();
    let is_named = |prefix: &str| lines.iter().any(|line| line.starts_with(prefix));
    assert!(
        ["section fleet", "volume a", "volume b", "volume c"]
            .into_iter()
            .all(is_named),
        "{lines:?}"
    );
    assert_eq!(lines.len(), 4);
}
