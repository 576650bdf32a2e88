//! From the configuration to the scheduler's terms and the volumes' layouts.
use crate::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};
use mallowseam_connection_policy::request_splitting::{ClassRule, Extent, VolumeLayout};
use mallowseam_scheduler::interface::{Idempotency, IoClass, Plan, SchedulerConfig};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{self, Direction};

pub fn terms(site: &GatewayConfig) -> SchedulerConfig {
    let fleet = &site.fleet;
    let group = |g: &config::IoClass| IoClass {
        idempotency: match g.effect {
            config::Effect::Idempotent => Idempotency::Idempotent,
            config::Effect::NonIdempotent => Idempotency::NonIdempotent,
        },
        latency_objective: ticks_from_micros_floor(g.latency_objective),
        late_weight_ratio: g.late_weight_ratio,
        priority_weight: g.priority_weight,
        ordered: g.ordered,
        writes: false,
    };
    SchedulerConfig {
        hosts: fleet.hosts,
        classes: site.io_classes.iter().map(group).collect(),
        plans: plans(site),
        mean_io_units: fleet.mean_units,
        max_io_units: fleet.max_units,
        share_weight_factor: fleet.share_gain,
        spare_weight_factor: fleet.spare_gain,
        // iSCSI has no field in which a node could tell what it does for other hosts, nor one for peers.
        other_hosts_usage_reported: false,
        allow_cancel: true,
        allow_retry_after: fleet.max_retry_after > 0,
        max_retry_after: ticks_from_micros_floor(fleet.max_retry_after),
        max_attempts: fleet.max_attempts,
        endpoints_polled: site.host.endpoint_service.is_some(),
        poll_service_time: None,
        endpoints_pushed: false,
        max_poll_delay: 0,
        shed_at_half_deadline: false,
        slow_start_capacity: fleet.cold_floor_units,
        slow_start_initial_rate: fleet.cold_capacity,
        slow_start_duration: ticks_from_micros_ceil(fleet.warmup_time),
        overload_window: ticks_from_micros_ceil(fleet.overload_window),
        overload_multiple: fleet.overload_multiple,
        ordering_cooldown: ticks_from_micros_ceil(fleet.ordering_cooldown),
        retry_budget_min: fleet.retry_budget_min,
        retry_budget_ratio: fleet.retry_budget_ratio,
        retry_budget_window: ticks_from_micros_ceil(fleet.retry_budget_window),
        ..SchedulerConfig::default()
    }
}

pub fn plans(site: &GatewayConfig) -> Vec<Plan> {
    let plan = |p: &config::Plan| Plan {
        usual_rate: p.usual_rate,
        reserved_rate: p.reserved_rate,
        rate_limit: p.rate_limit,
        burst_units: p.burst_units,
        weight: p.weight,
        priority_factor: p.priority_factor,
    };
    site.plans.iter().map(plan).collect()
}

pub fn layout(site: &GatewayConfig, volume: &config::Volume) -> VolumeLayout {
    let extent = |e: &config::Extent| Extent {
        first_block: e.first_block,
        blocks: e.block_count,
        shard: site.nodes[e.node].shard,
        first_node_block: e.first_node_block,
    };
    let rule = |r: &config::Rule| ClassRule {
        matches_reads: r.direction != Direction::Write,
        matches_writes: r.direction != Direction::Read,
        first_block: r.first_block,
        last_block: r.last_block,
        class: r.io_class as u16,
        blocks_per_key: r.blocks_per_key,
    };
    VolumeLayout {
        extents: volume.extents.iter().map(extent).collect(),
        rules: volume.rules.iter().map(rule).collect(),
    }
}

/// A plan's figures in thousandths, as the control service keeps them.
pub fn to_figures(p: &config::Plan) -> mallowseam_plans::state::Plan {
    let thousandths =
        |n: f64| (n * 1000.0).round().clamp(0.0, mallowseam_plans::state::MAX_PARAMETER as f64) as u64;
    mallowseam_plans::state::Plan {
        usual: thousandths(p.usual_rate),
        reserve: thousandths(p.reserved_rate),
        limit: thousandths(p.rate_limit),
        burst: thousandths(p.burst_units),
        weight: thousandths(p.weight),
        price: thousandths(p.priority_factor),
    }
}

pub fn from_figures(name: &str, p: &mallowseam_plans::state::Plan) -> config::Plan {
    let whole = |n: u64| n as f64 / 1000.0;
    config::Plan {
        name: name.to_owned(),
        usual_rate: whole(p.usual),
        reserved_rate: whole(p.reserve),
        rate_limit: whole(p.limit),
        burst_units: whole(p.burst),
        weight: whole(p.weight),
        priority_factor: whole(p.price),
    }
}
