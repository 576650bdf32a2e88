//! Settings object of a deployment, converted to the scheduler's configuration. The simulator's first message and a
//! host's configuration contain this object.
//!
//! `docs/configuration.md` lists the meaning of absent and unreadable fields. Unknown fields are ignored, as the
//! users' specification requires.
mod reader;

use crate::field_error::{self, FieldError};
use mallowseam_scheduler::interface::{
    DeduplicationScope, Idempotency, IoClass, Plan, SchedulerConfig, Tick,
};
use reader::{Object, Reader};
use serde_json::Value;
use thiserror::Error;

/// Settings of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformSettings {
    /// Configuration of the scheduler.
    pub scheduler: SchedulerConfig,
    /// Names of the I/O classes, in the scheduler's order.
    pub class_names: Vec<String>,
    /// Names of the plans, in the scheduler's order.
    pub plan_names: Vec<String>,
    /// Names of the zones.
    pub zone_names: Vec<String>,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Tick,
    /// Time for which a node keeps an idle connection open, if the settings state it.
    pub idle_timeout: Option<Tick>,
    /// Maximum number of block I/Os that a host may have in flight, if the settings state it.
    pub max_in_flight: Option<usize>,
    /// Longest deadline of any I/O class. 0: there is no class.
    pub longest_deadline: Tick,
}

/// All errors of a settings object. `Display` writes one line per field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", field_error::lines(.0))]
pub struct SettingsError(pub Vec<FieldError>);

/// Parses the settings from JSON text.
///
/// # Errors
///
/// Returns an error if the text is not a JSON object, or if fields are missing or invalid.
pub fn parse(text: &str) -> Result<PlatformSettings, SettingsError> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| not_an_object(&format!("expected a JSON object ({e})")))?;
    from_json(&value)
}

/// Reads the settings from a parsed JSON value.
///
/// # Errors
///
/// Returns an error if the value is not an object, or if fields are missing or invalid.
pub fn from_json(value: &Value) -> Result<PlatformSettings, SettingsError> {
    if !value.is_object() {
        return Err(not_an_object("expected a JSON object"));
    }
    let root = Object::root(value);
    let mut reader = Reader::default();
    let classes = read_classes(&mut reader, &root);
    let plans = read_plans(&mut reader, &root);
    // If the settings do not state how endpoint lists arrive, they count as pushed. That is the stricter case: a
    // change applies as soon as the service knows it.
    let endpoints_polled =
        reader.choice(&root, "registry_mode", &["on_request", "pushed"]) == Some("on_request");
    check_rules(&mut reader, &root.object("rules"));
    let scheduler = SchedulerConfig {
        classes: classes.configs,
        plans: plans.configs,
        ..read_scheduler(&mut reader, &root, endpoints_polled)
    };
    let limits = root.object("limits");
    let settings = PlatformSettings {
        scheduler,
        class_names: classes.names,
        plan_names: plans.names,
        zone_names: read_zones(value),
        connect_timeout: ticks_up(reader.positive(&limits, "connect_timeout_us")),
        // 0 means "not stated", as does an absent number.
        idle_timeout: Some(reader.ticks_down(&limits, "idle_close_us")).filter(|t| *t > 0),
        max_in_flight: Some(reader.number(&limits, "open_cap") as usize).filter(|n| *n > 0),
        longest_deadline: classes.longest_deadline,
    };
    let errors = reader.into_errors();
    if errors.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError(errors))
    }
}

/// Checks that the numbers of each rule are either all present or all absent.
fn check_rules(reader: &mut Reader, rules: &Object) {
    let slow_start = ["cold_from", "cold_us", "fall_multiple", "fall_us"];
    reader.all_or_none(rules, &slow_start);
    reader.all_or_none(rules, &["extra_ratio", "look_back_us"]);
}

fn read_zones(settings: &Value) -> Vec<String> {
    let names = array(settings, "localities").iter();
    names
        .filter_map(|name| name.as_str().map(str::to_owned))
        .collect()
}

fn not_an_object(reason: &str) -> SettingsError {
    SettingsError(vec![FieldError::new("settings", reason)])
}

/// Converts microseconds to whole ticks, rounded down, for deadlines.
fn ticks_down(micros: f64) -> Tick {
    (micros / 100.0).floor() as Tick
}

/// Converts microseconds to whole ticks, rounded up, for minimum durations.
fn ticks_up(micros: f64) -> Tick {
    (micros / 100.0).ceil() as Tick
}

fn array<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map_or(&[], Vec::as_slice)
}

/// I/O classes by index.
#[derive(Default)]
struct Classes {
    names: Vec<String>,
    configs: Vec<IoClass>,
    longest_deadline: Tick,
}

/// Plans by index.
#[derive(Default)]
struct Plans {
    names: Vec<String>,
    configs: Vec<Plan>,
}

fn read_classes(reader: &mut Reader, root: &Object) -> Classes {
    let writes = array(&root.value["extra"], "class_writes");
    let mut classes = Classes::default();
    for (i, value) in array(root.value, "profiles").iter().enumerate() {
        let class = Object {
            value,
            path: format!("profiles[{i}]."),
        };
        reader.unique_name(&class, &mut classes.names);
        let writes = writes.get(i).and_then(Value::as_bool).unwrap_or(false);
        classes.configs.push(read_class(reader, &class, writes));
        let deadline = ticks_up(reader.positive(&class, "deadline_us"));
        classes.longest_deadline = classes.longest_deadline.max(deadline);
    }
    classes
}

fn read_class(reader: &mut Reader, class: &Object, writes: bool) -> IoClass {
    IoClass {
        idempotency: read_idempotency(reader, class),
        latency_objective: ticks_down(reader.positive(class, "aim_us")),
        late_weight_ratio: reader.number(class, "late_share"),
        priority_weight: reader.number(class, "worth"),
        ordered: reader.flag(class, "keep_order"),
        writes,
    }
}

/// Reads whether a block I/O may be repeated, and within which scope and time.
fn read_idempotency(reader: &mut Reader, class: &Object) -> Idempotency {
    /// Values of the field `repeat`, from the least to the most restrictive.
    const REPEAT: [&str; 3] = ["idempotent", "deduplicated", "at_most_once"];
    let scope = match reader.choice(class, "key_scope", &["all", "zone", "cell"]) {
        Some("all") => DeduplicationScope::All,
        Some("zone") => DeduplicationScope::Zone,
        // If the settings do not state the scope in which duplicates are recognized, the narrowest one is safe.
        _ => DeduplicationScope::Shard,
    };
    let window = reader.ticks_down(class, "key_ttl_us");
    match reader.choice(class, "repeat", &REPEAT) {
        Some("idempotent") => Idempotency::Idempotent,
        Some("deduplicated") => Idempotency::IdempotentByKey { scope, window },
        Some(_) => Idempotency::NonIdempotent,
        None => {
            if class.value["repeat"].is_null() {
                reader.reject(class, "repeat", &REPEAT.join(" or "));
            }
            Idempotency::NonIdempotent
        }
    }
}

fn read_plans(reader: &mut Reader, root: &Object) -> Plans {
    let mut plans = Plans::default();
    for (i, value) in array(root.value, "service_levels").iter().enumerate() {
        let plan = Object {
            value,
            path: format!("service_levels[{i}]."),
        };
        reader.unique_name(&plan, &mut plans.names);
        plans.configs.push(read_plan(reader, &plan));
    }
    plans
}

fn read_plan(reader: &mut Reader, plan: &Object) -> Plan {
    // 0 means no limit, so an absent limit must not be read as 0.
    if plan.value["limit"].is_null() {
        reader.reject(plan, "limit", "a figure, 0 for none");
    }
    Plan {
        usual_rate: reader.number(plan, "usual_rate"),
        reserved_rate: reader.number(plan, "floor_rate"),
        rate_limit: reader.number(plan, "limit"),
        burst_units: reader.number(plan, "limit_burst"),
        weight: reader.number(plan, "weight"),
        priority_factor: if plan.value["worth_factor"].is_null() {
            1.0
        } else {
            reader.number(plan, "worth_factor")
        },
    }
}

/// Reads the scheduler's configuration without classes and plans.
fn read_scheduler(reader: &mut Reader, root: &Object, endpoints_polled: bool) -> SchedulerConfig {
    let extra = root.object("extra");
    let limits = root.object("limits");
    let rules = root.object("rules");
    SchedulerConfig {
        hosts: reader.positive(root, "balancers") as u32,
        mean_io_units: reader.number(&extra, "mean_units"),
        max_io_units: reader.number(&extra, "largest"),
        share_weight_factor: reader.number(&extra, "within_share"),
        spare_weight_factor: reader.number(&extra, "spare_worth"),
        metering_window: reader.ticks_down(&extra, "meter_us"),
        other_hosts_usage_reported: reader.flag(&extra, "counts_others"),
        allow_cancel: reader.flag(&limits, "cancel"),
        allow_health_checks: reader.flag(&limits, "probes"),
        allow_peer_messages: reader.flag(&limits, "peer_messages"),
        allow_hedging: reader.flag(&limits, "may_duplicate"),
        allow_retry_after: reader.flag(&limits, "retry_after"),
        max_retry_after: reader.ticks_down(&limits, "max_retry_after_us"),
        max_attempts: reader.number(&limits, "max_attempts") as u32,
        endpoints_polled,
        endpoints_pushed: !endpoints_polled,
        max_poll_delay: reader.ticks_down(&rules, "ask_within_us"),
        slow_start_capacity: reader.number(&extra, "cold_bears"),
        slow_start_initial_rate: reader.number(&rules, "cold_from"),
        slow_start_duration: reader.ticks_up(&rules, "cold_us"),
        overload_window: reader.ticks_up(&rules, "fall_us"),
        overload_multiple: reader.number(&rules, "fall_multiple"),
        ordering_cooldown: reader.ticks_up(&rules, "order_pause_us"),
        retry_budget_min: reader.number(&rules, "free_resends"),
        retry_budget_ratio: reader.number(&rules, "extra_ratio"),
        retry_budget_window: reader.ticks_up(&rules, "look_back_us"),
        // The settings do not contain the other fields; the host process sets them.
        ..SchedulerConfig::default()
    }
}
