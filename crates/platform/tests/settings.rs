//! Settings: an unreadable field is rejected with its name; an absent field is rejected or takes the strictest value.
use mallowseam_platform::settings;
use mallowseam_scheduler::interface::{DeduplicationScope, Idempotency};
use serde_json::{Value, json};

fn complete_settings() -> Value {
    json!({"balancers": 3, "localities": ["a"], "registry_mode": "on_request",
        "profiles": [
            {"name": "scan", "aim_us": 200000, "deadline_us": 1000000, "repeat": "idempotent", "worth": 3.0},
            {"name": "stamp", "aim_us": 250000, "deadline_us": 2000000, "repeat": "deduplicated", "key_scope": "zone",
             "key_ttl_us": 900000, "worth": 2.0}],
        "service_levels": [{"name": "copper", "limit": 15.0, "limit_burst": 48.0}, {"name": "steel", "limit": 0.0}],
        "extra": {"class_writes": [false, true], "cold_bears": 70.0, "largest": 8, "mean_units": 2.19},
        "limits": {"cancel": true, "connect_timeout_us": 250000, "idle_close_us": 30000000, "max_attempts": 3},
        "rules": {"ask_within_us": 10000000, "cold_from": 0.2, "cold_us": 18000000, "fall_multiple": 4.0,
                  "fall_us": 2000000, "extra_ratio": 0.25, "look_back_us": 5000000, "free_resends": 3.0}})
}

/// Returns the complete settings with the value at a JSON pointer replaced or removed.
fn with(path: &str, value: Option<Value>) -> Value {
    let mut settings = complete_settings();
    let (parent, key) = path.rsplit_once('/').expect("the path has a parent");
    let parent = settings
        .pointer_mut(parent)
        .expect("the parent exists")
        .as_object_mut()
        .expect("the parent is an object");
    match value {
        Some(value) => drop(parent.insert(key.to_owned(), value)),
        None => drop(parent.remove(key).expect("the field exists")),
    }
    settings
}

#[test]
fn valid_settings_are_read() {
    let settings = settings::from_json(&complete_settings()).expect("input is valid");
    assert_eq!(
        (settings.class_names, settings.plan_names),
        (
            vec!["scan".into(), "stamp".into()],
            vec!["copper".into(), "steel".into()]
        )
    );
    assert!(
        !settings.scheduler.endpoints_pushed
            && settings.scheduler.hosts == 3
            && settings.longest_deadline == 20_000
    );
}

#[test]
fn absent_field_without_a_strict_default_is_rejected_with_its_name() {
    for path in [
        "/balancers",
        "/profiles/0/name",
        "/profiles/0/aim_us",
        "/profiles/1/deadline_us",
        "/profiles/1/repeat",
        "/service_levels/0/name",
        "/service_levels/0/limit",
        "/limits/connect_timeout_us",
        "/rules/cold_from",
        "/rules/fall_us",
        "/rules/look_back_us",
    ] {
        let errors = settings::from_json(&with(path, None))
            .expect_err(path)
            .to_string();
        let field = path[1..]
            .replace("/0/", "[0].")
            .replace("/1/", "[1].")
            .replace('/', ".");
        assert_eq!(errors.lines().count(), 1, "{path}: {errors}");
        assert!(
            errors.starts_with(&format!("settings.{field}: expected ")),
            "{path}: {errors}"
        );
    }
}

#[test]
fn unreadable_field_is_rejected_with_its_name() {
    for (path, value) in [
        ("/registry_mode", json!("sometimes")),
        ("/profiles/1/key_scope", json!("planet")),
        ("/profiles/0/repeat", json!("twice")),
        ("/profiles/0/aim_us", json!("soon")),
        ("/profiles/0/worth", json!(-1.0)),
        ("/profiles/1/name", json!("scan")),
        ("/service_levels/0/limit", json!("none")),
        ("/limits/cancel", json!("yes")),
        ("/limits/max_attempts", json!(-3)),
        ("/rules/cold_us", json!([])),
    ] {
        let errors = settings::from_json(&with(path, Some(value)))
            .expect_err(path)
            .to_string();
        let field = path.rsplit('/').next().expect("the path ends in a field");
        assert_eq!(errors.lines().count(), 1, "{path}: {errors}");
        assert!(
            errors.contains(&format!("{field}: expected ")),
            "{path}: {errors}"
        );
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut settings = with("/profiles/0/repeat", Some(json!("twice")));
    settings["limits"]["cancel"] = json!(3);
    assert_eq!(
        settings::from_json(&settings)
            .expect_err("two fields are invalid")
            .to_string()
            .lines()
            .count(),
        2
    );
}

#[test]
fn absent_field_takes_the_strictest_value() {
    let read = |path: &str| settings::from_json(&with(path, None)).expect("input is valid");
    let idempotency = |path: &str| read(path).scheduler.classes[1].idempotency;
    assert_eq!(
        idempotency("/profiles/1/key_scope"),
        Idempotency::IdempotentByKey {
            scope: DeduplicationScope::Shard,
            window: 9_000
        }
    );
    assert_eq!(
        idempotency("/profiles/1/key_ttl_us"),
        Idempotency::IdempotentByKey {
            scope: DeduplicationScope::Zone,
            window: 0
        }
    );
    assert!(
        read("/registry_mode").scheduler.endpoints_pushed,
        "without registry_mode, endpoint lists count as pushed"
    );
    assert!(!read("/limits/cancel").scheduler.allow_cancel);
    assert_eq!(
        read("/service_levels/0/limit_burst").scheduler.plans[0].burst_units,
        0.0
    );
}
