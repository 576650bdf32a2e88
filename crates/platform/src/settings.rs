//! Reads the settings object, as the simulator's first message and a real host's configuration hold it, into
//! the scheduler's terms.
use mallowseam_scheduler::interface::{
    DeduplicationScope, Idempotency, IoClass, Plan, SchedulerConfig, Tick,
};
use serde_json::Value;

/// The terms, the names that go with them, and what the settings say of connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformSettings {
    pub scheduler: SchedulerConfig,
    pub class_names: Vec<String>,
    pub plan_names: Vec<String>,
    pub zone_names: Vec<String>,
    /// A connect that is not up by then has failed.
    pub connect_timeout: Tick,
    /// A node closes a connection that has stood idle for so long.
    pub idle_timeout: Tick,
    /// Block I/Os that a host may hold; 0: not told.
    pub max_in_flight: usize,
    /// The longest hard limit of any I/O group.
    pub longest_deadline: Tick,
}

/// Microseconds as ticks: a deadline rounded down, a wait up.
fn down(micros: f64) -> Tick {
    (micros / 100.0).floor() as Tick
}

fn up(micros: f64) -> Tick {
    (micros / 100.0).ceil() as Tick
}

/// Reads fields and notes whatever is amiss, each with its place. A figure that is absent is none, where the page of
/// the settings says what that means; one that is there and no figure is refused.
#[derive(Default)]
struct Reader(Vec<String>);

impl Reader {
    fn wrong(&mut self, at: &str, key: &str, expected: &str) {
        self.0.push(format!("settings.{at}{key}: expected {expected}"));
    }

    fn num(&mut self, v: &Value, at: &str, key: &str) -> f64 {
        match &v[key] {
            Value::Null => 0.0,
            found => found.as_f64().filter(|n| n.is_finite() && *n >= 0.0).unwrap_or_else(|| {
                self.wrong(at, key, "a figure of 0 or more");
                0.0
            }),
        }
    }

    /// A figure without which nothing safe can be decided.
    fn must(&mut self, v: &Value, at: &str, key: &str) -> f64 {
        let found = self.num(v, at, key);
        if found == 0.0 && !self.0.iter().any(|w| w.starts_with(&format!("settings.{at}{key}:"))) {
            self.wrong(at, key, "a figure above 0");
        }
        found
    }

    fn down(&mut self, v: &Value, at: &str, key: &str) -> Tick {
        down(self.num(v, at, key))
    }

    fn up(&mut self, v: &Value, at: &str, key: &str) -> Tick {
        up(self.num(v, at, key))
    }

    /// Something allowed or promised: not, where nothing says so.
    fn flag(&mut self, v: &Value, at: &str, key: &str) -> bool {
        match &v[key] {
            Value::Null => false,
            found => found.as_bool().unwrap_or_else(|| {
                self.wrong(at, key, "true or false");
                false
            }),
        }
    }

    /// One of some words, or none.
    fn word<'a>(&mut self, v: &'a Value, at: &str, key: &str, words: &[&str]) -> Option<&'a str> {
        let found = v[key].as_str().filter(|w| words.contains(w));
        if found.is_none() && !v[key].is_null() {
            self.wrong(at, key, &words.join(" or "));
        }
        found
    }

    /// A name that no other of its kind has.
    fn name(&mut self, v: &Value, at: &str, others: &mut Vec<String>) {
        let name = v["name"].as_str().unwrap_or_default().to_owned();
        if name.is_empty() || others.contains(&name) {
            self.wrong(at, "name", "a name of its own");
        }
        others.push(name);
    }

    /// An I/O group and its hard limit.
    fn group(&mut self, g: &Value, at: &str, writes: bool) -> (IoClass, Tick) {
        let scope = match self.word(g, at, "key_scope", &["all", "zone", "cell"]) {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            // The narrowest, where nothing says how far repeats are dropped.
            _ => DeduplicationScope::Shard,
        };
        let window = self.down(g, at, "key_ttl_us");
        let repeat = ["idempotent", "deduplicated", "at_most_once"];
        let effect = match self.word(g, at, "repeat", &repeat) {
            Some("idempotent") => Idempotency::Idempotent,
            Some("deduplicated") => Idempotency::IdempotentByKey { scope, window },
            Some(_) => Idempotency::NonIdempotent,
            None => {
                if g["repeat"].is_null() {
                    self.wrong(at, "repeat", &repeat.join(" or "));
                }
                Idempotency::NonIdempotent
            }
        };
        let group = IoClass {
            idempotency: effect,
            latency_objective: down(self.must(g, at, "aim_us")),
            late_weight_factor: self.num(g, at, "late_share"),
            priority_weight: self.num(g, at, "worth"),
            ordered: self.flag(g, at, "keep_order"),
            writes,
        };
        (group, up(self.must(g, at, "deadline_us")))
    }

    fn plan(&mut self, p: &Value, at: &str) -> Plan {
        // 0 is no limit: what is absent must not become that.
        if p["limit"].is_null() {
            self.wrong(at, "limit", "a figure, 0 for none");
        }
        Plan {
            usual_rate: self.num(p, at, "usual_rate"),
            reserved_rate: self.num(p, at, "floor_rate"),
            rate_limit: self.num(p, at, "limit"),
            burst: self.num(p, at, "limit_burst"),
            weight: self.num(p, at, "weight"),
            priority_factor: if p["worth_factor"].is_null() { 1.0 } else { self.num(p, at, "worth_factor") },
        }
    }

    /// Figures of one rule: all of them, or the rule is not there.
    fn together(&mut self, v: &Value, at: &str, keys: &[&str]) {
        if keys.iter().any(|k| !v[*k].is_null()) {
            for key in keys.iter().filter(|k| v[**k].is_null()) {
                self.wrong(at, key, "a figure, as others of its rule are there");
            }
        }
    }
}

fn list<'a>(v: &'a Value, key: &str) -> &'a [Value] {
    v[key].as_array().map_or(&[], Vec::as_slice)
}

pub fn parse(text: &str) -> Result<PlatformSettings, String> {
    let v: Value =
        serde_json::from_str(text).map_err(|e| format!("settings: expected a JSON object ({e})"))?;
    from_json(&v)
}

pub fn from_json(v: &Value) -> Result<PlatformSettings, String> {
    if !v.is_object() {
        return Err("settings: expected a JSON object".into());
    }
    let (extra, limits, rules) = (&v["extra"], &v["limits"], &v["rules"]);
    let mut r = Reader::default();
    let writes = list(extra, "class_writes");
    let (mut terms, mut groups, mut plans) = (SchedulerConfig::default(), Vec::new(), Vec::new());
    let mut longest = 0;
    for (i, g) in list(v, "profiles").iter().enumerate() {
        let at = format!("profiles[{i}].");
        r.name(g, &at, &mut groups);
        let (group, hard_limit) = r.group(g, &at, writes.get(i).and_then(Value::as_bool).unwrap_or(false));
        terms.classes.push(group);
        longest = longest.max(hard_limit);
    }
    for (i, p) in list(v, "service_levels").iter().enumerate() {
        let at = format!("service_levels[{i}].");
        r.name(p, &at, &mut plans);
        terms.plans.push(r.plan(p, &at));
    }
    // Where nothing says how lists come, what the service knows counts at once: the strictest.
    let on_request = r.word(v, "", "registry_mode", &["on_request", "pushed"]) == Some("on_request");
    r.together(rules, "rules.", &["cold_from", "cold_us", "fall_multiple", "fall_us"]);
    r.together(rules, "rules.", &["extra_ratio", "look_back_us"]);
    let terms = SchedulerConfig {
        hosts: r.must(v, "", "balancers") as u32,
        mean_io_units: r.num(extra, "extra.", "mean_units"),
        max_io_units: r.num(extra, "extra.", "largest"),
        share_weight_factor: r.num(extra, "extra.", "within_share"),
        spare_weight_factor: r.num(extra, "extra.", "spare_worth"),
        metering_window: r.down(extra, "extra.", "meter_us"),
        other_hosts_usage_reported: r.flag(extra, "extra.", "counts_others"),
        allow_cancel: r.flag(limits, "limits.", "cancel"),
        allow_health_checks: r.flag(limits, "limits.", "probes"),
        allow_peer_messages: r.flag(limits, "limits.", "peer_messages"),
        allow_hedging: r.flag(limits, "limits.", "may_duplicate"),
        allow_retry_after: r.flag(limits, "limits.", "retry_after"),
        max_retry_after: r.down(limits, "limits.", "max_retry_after_us"),
        max_attempts: r.num(limits, "limits.", "max_attempts") as u32,
        endpoints_polled: on_request,
        endpoints_pushed: !on_request,
        max_poll_delay: r.down(rules, "rules.", "ask_within_us"),
        slow_start_capacity: r.num(extra, "extra.", "cold_bears"),
        slow_start_initial_rate: r.num(rules, "rules.", "cold_from"),
        slow_start_duration: r.up(rules, "rules.", "cold_us"),
        overload_window: r.up(rules, "rules.", "fall_us"),
        overload_factor: r.num(rules, "rules.", "fall_multiple"),
        key_cooldown: r.up(rules, "rules.", "order_pause_us"),
        retry_budget_floor: r.num(rules, "rules.", "free_resends"),
        retry_budget_ratio: r.num(rules, "rules.", "extra_ratio"),
        retry_budget_window: r.up(rules, "rules.", "look_back_us"),
        // No settings tell the rest: a host knows where it serves.
        ..terms
    };
    let zones = list(v, "localities").iter().filter_map(|z| z.as_str().map(str::to_owned)).collect();
    let named = PlatformSettings {
        scheduler: terms,
        class_names: groups,
        plan_names: plans,
        zone_names: zones,
        connect_timeout: up(r.must(limits, "limits.", "connect_timeout_us")),
        idle_timeout: r.down(limits, "limits.", "idle_close_us"),
        max_in_flight: r.num(limits, "limits.", "open_cap") as usize,
        longest_deadline: longest,
    };
    if r.0.is_empty() { Ok(named) } else { Err(r.0.join("\n")) }
}
