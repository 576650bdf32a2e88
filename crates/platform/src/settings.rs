//! Reads the settings object, as the simulator's first message and a real host's configuration hold it, into
//! the scheduler's terms.
use mallowseam_scheduler::host::{Effect, IoGroup, Plan, Scope, Terms, Tick};
use serde_json::Value;

/// The terms, the names that go with them, and what the settings say of connections.
#[derive(Clone, Debug, Default)]
pub struct Named {
    pub terms: Terms,
    pub groups: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    /// A connect that is not up by then has failed.
    pub connect_within: Tick,
    /// A node closes a connection that has stood idle for so long.
    pub idle_close: Tick,
    /// Block I/Os that a host may hold; 0: not told.
    pub open_most: usize,
    /// The longest hard limit of any I/O group.
    pub longest: Tick,
}

fn num(v: &Value, key: &str) -> f64 {
    v[key].as_f64().filter(|n| n.is_finite() && *n >= 0.0).unwrap_or(0.0)
}

fn down(v: &Value, key: &str) -> i64 {
    (num(v, key) / 100.0).floor() as i64
}

fn up(v: &Value, key: &str) -> i64 {
    (num(v, key) / 100.0).ceil() as i64
}

fn list<'a>(v: &'a Value, key: &str) -> &'a [Value] {
    v[key].as_array().map_or(&[], Vec::as_slice)
}

fn flag(v: &Value, key: &str) -> bool {
    v[key].as_bool().unwrap_or(false)
}

fn name(v: &Value) -> String {
    v["name"].as_str().unwrap_or_default().to_owned()
}

pub fn read(text: &str) -> Result<Named, String> {
    let v: Value =
        serde_json::from_str(text).map_err(|e| format!("settings: expected a JSON object ({e})"))?;
    of(&v)
}

pub fn of(v: &Value) -> Result<Named, String> {
    if !v.is_object() {
        return Err("settings: expected a JSON object".into());
    }
    let (extra, limits, rules) = (&v["extra"], &v["limits"], &v["rules"]);
    let writes = list(extra, "class_writes");
    let group = |(i, g): (usize, &Value)| {
        let scope = match g["key_scope"].as_str() {
            Some("zone") => Scope::Zone,
            Some("cell") => Scope::Cell,
            _ => Scope::All,
        };
        let effect = match g["repeat"].as_str() {
            Some("idempotent") => Effect::Idempotent,
            Some("deduplicated") => Effect::Fingerprinted { scope, memory: down(g, "key_ttl_us") },
            Some("at_most_once") => Effect::SideEffecting,
            _ => return Err("settings: profiles.repeat: expected idempotent, deduplicated or at_most_once"),
        };
        Ok(IoGroup {
            effect,
            goal: down(g, "aim_us"),
            late_share: num(g, "late_share"),
            gain: num(g, "worth"),
            ordered: flag(g, "keep_order"),
            writes: writes.get(i).and_then(Value::as_bool).unwrap_or(false),
        })
    };
    let plan = |p: &Value| Plan {
        usual: num(p, "usual_rate"),
        reserve: num(p, "floor_rate"),
        limit: num(p, "limit"),
        limit_burst: num(p, "limit_burst"),
        wt: num(p, "weight"),
        price: p["worth_factor"].as_f64().unwrap_or(1.0),
    };
    let on_request = v["registry_mode"].as_str() == Some("on_request");
    let terms = Terms {
        hosts: num(v, "balancers") as u32,
        groups: list(v, "profiles").iter().enumerate().map(group).collect::<Result<_, _>>()?,
        plans: list(v, "service_levels").iter().map(plan).collect(),
        mean_units: num(extra, "mean_units"),
        largest: num(extra, "largest"),
        share_gain: num(extra, "within_share"),
        spare_gain: num(extra, "spare_worth"),
        meter: down(extra, "meter_us"),
        counts_others: flag(extra, "counts_others"),
        may_cancel: flag(limits, "cancel"),
        may_probe: flag(limits, "probes"),
        may_tell: flag(limits, "peer_messages"),
        may_duplicate: flag(limits, "may_duplicate"),
        may_name_return: flag(limits, "retry_after"),
        longest_return: down(limits, "max_retry_after_us"),
        max_submits: num(limits, "max_attempts") as u32,
        list_on_request: on_request,
        list_pushed: !on_request,
        ask_within: down(rules, "ask_within_us"),
        // No settings tell these: a host knows where it serves.
        word_by_half: false,
        ask_turn: None,
        cold_bears: num(extra, "cold_bears"),
        cold_from: num(rules, "cold_from"),
        cold_span: up(rules, "cold_us"),
        fall_span: up(rules, "fall_us"),
        fall_multiple: num(rules, "fall_multiple"),
        order_rest: up(rules, "order_pause_us"),
        budget_free: num(rules, "free_resends"),
        budget_share: num(rules, "extra_ratio"),
        budget_span: up(rules, "look_back_us"),
    };
    let groups = list(v, "profiles").iter().map(name).collect();
    let plans = list(v, "service_levels").iter().map(name).collect();
    let zones = list(v, "localities").iter().filter_map(|z| z.as_str().map(str::to_owned)).collect();
    Ok(Named {
        terms,
        groups,
        plans,
        zones,
        connect_within: up(limits, "connect_timeout_us"),
        idle_close: down(limits, "idle_close_us"),
        open_most: num(limits, "open_cap") as usize,
        longest: list(v, "profiles").iter().map(|g| up(g, "deadline_us")).max().unwrap_or(0),
    })
}
