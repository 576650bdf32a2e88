//! Configuration of a host process, in the gateway's JSON format.
use super::addresses::Addresses;
use mallowseam_audit::fleet::terms::{
    DRAIN_GRACE_MS, POLL_DEADLINE_MS, READ_OBJECTIVE_MS, RETRY_BUDGET, VOLUME_LIMIT,
    WRITE_OBJECTIVE_MS,
};
use mallowseam_scenarios::fleet::{MembershipScenario, Scenario};
use serde_json::{Value, json};

/// Pause between two writes with the same ordering key, in milliseconds.
const ORDER_PAUSE_MS: u64 = 200;

/// Values that determine the configuration of one host.
pub struct HostConfig<'a> {
    /// Scenario of the run.
    pub scenario: &'a Scenario,
    /// Addresses of the run.
    pub addresses: Addresses,
    /// Index of the host.
    pub host: u32,
    /// Number in the host's name: the host's index, except in runs with two hosts of the same name.
    pub name_number: u32,
    /// Index of the discovery service that the host polls.
    pub discovery_service: u32,
    /// Seed of the host's random numbers.
    pub seed: u64,
    /// Endpoint list that the host starts with, as JSON.
    pub initial_list: &'a str,
}

impl HostConfig<'_> {
    /// Returns the configuration as JSON text.
    pub fn to_json(&self) -> String {
        let HostConfig {
            scenario,
            addresses,
            host,
            name_number,
            discovery_service,
            seed,
            initial_list,
        } = self;
        let membership = match scenario.membership {
            Some(membership) if scenario.has_membership(*host) => {
                format!(",\"fleet\":{}", self.membership(membership))
            }
            _ => String::new(),
        };
        format!(
            "{{\"name\":\"n{name_number}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{initial_list},\
             \"settings\":{}{membership}}}",
            addresses.host(*host),
            addresses.discovery_service(*host, *discovery_service),
            scenario.memory_mb,
            scenario.max_descriptors,
            settings(scenario)
        )
    }

    fn membership(&self, membership: MembershipScenario) -> Value {
        let scenario = self.scenario;
        let host = self.host;
        let advertise = |host| self.addresses.membership_advertise(host).to_string();
        let seeds: Vec<String> = (0..membership.seeds.min(scenario.hosts))
            .map(advertise)
            .collect();
        json!({
            "name": "rig", "listen": self.addresses.membership_listen(host).to_string(),
            "reached_at": advertise(host), "zone": format!("z{}", host % scenario.zones), "seeds": seeds,
            "period_ms": membership.period / 1_000, "keep_s": membership.retention / 1_000_000,
        })
    }
}

/// Returns the settings that all hosts of a run share.
fn settings(scenario: &Scenario) -> Value {
    let node = &scenario.node_model;
    let load = &scenario.load;
    let zones: Vec<String> = (0..scenario.zones).map(|z| format!("z{z}")).collect();
    json!({
        "balancers": scenario.hosts,
        "localities": zones,
        "registry_mode": "on_request",
        "profiles": [
            {"name": "look", "aim_us": READ_OBJECTIVE_MS * 1_000, "deadline_us": load.read_timeout,
             "repeat": "idempotent", "worth": 3.0},
            {"name": "book", "aim_us": WRITE_OBJECTIVE_MS * 1_000, "deadline_us": load.write_timeout,
             "repeat": "at_most_once", "worth": 2.0, "keep_order": true}],
        "service_levels": [
            {"name": "basic", "floor_rate": 0.5, "usual_rate": 1.0, "weight": 1.0, "worth_factor": 0.7,
             "limit": VOLUME_LIMIT.units_per_second, "limit_burst": VOLUME_LIMIT.burst},
            {"name": "priority", "floor_rate": 1.2, "usual_rate": 2.0, "limit": 0.0, "weight": 6.0,
             "worth_factor": 1.5}],
        "extra": {"class_writes": [false, true], "largest": load.max_units, "mean_units": 1.6,
                  "within_share": 0.35, "spare_worth": 0.1, "cold_bears": node.tolerated_units},
        "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": 1_000_000,
                   "idle_close_us": 30_000_000, "connect_timeout_us": 250_000},
        "rules": {"drain_grace_us": DRAIN_GRACE_MS * 1_000, "ask_within_us": POLL_DEADLINE_MS * 1_000,
                  "order_pause_us": ORDER_PAUSE_MS * 1_000, "free_resends": RETRY_BUDGET.free_retries,
                  "extra_ratio": RETRY_BUDGET.retry_ratio, "look_back_us": RETRY_BUDGET.window_ms * 1_000,
                  "cold_from": node.initial_speed, "cold_us": node.warm_up,
                  "fall_multiple": node.overload_factor, "fall_us": node.overload_window},
    })
}
