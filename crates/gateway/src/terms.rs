//! From the configuration to the scheduler's terms and the volumes' layouts.
use crate::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};
use mallowseam_connection_policy::request_splitting::{ClassRule, Extent, VolumeLayout};
use mallowseam_scheduler::host::{Effect, IoGroup, Plan, Terms};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{self, Direction};

pub fn terms(site: &GatewayConfig) -> Terms {
    let fleet = &site.fleet;
    let group = |g: &config::IoClass| IoGroup {
        effect: match g.effect {
            config::Effect::Idempotent => Effect::Idempotent,
            config::Effect::NonIdempotent => Effect::SideEffecting,
        },
        goal: ticks_from_micros_floor(g.latency_objective),
        late_share: g.late_weight_ratio,
        gain: g.priority_weight,
        ordered: g.ordered,
        writes: false,
    };
    Terms {
        hosts: fleet.hosts,
        groups: site.io_classes.iter().map(group).collect(),
        plans: plans(site),
        mean_units: fleet.mean_units,
        largest: fleet.max_units,
        share_gain: fleet.share_gain,
        spare_gain: fleet.spare_gain,
        // iSCSI has no field in which a node could tell what it does for other hosts, nor one for peers.
        counts_others: false,
        may_cancel: true,
        may_name_return: fleet.max_retry_after > 0,
        longest_return: ticks_from_micros_floor(fleet.max_retry_after),
        max_submits: fleet.max_attempts,
        list_on_request: site.host.endpoint_service.is_some(),
        ask_turn: None,
        list_pushed: false,
        ask_within: 0,
        word_by_half: false,
        cold_bears: fleet.cold_floor_units,
        cold_from: fleet.cold_capacity,
        cold_span: ticks_from_micros_ceil(fleet.warmup_time),
        fall_span: ticks_from_micros_ceil(fleet.overload_window),
        fall_multiple: fleet.overload_multiple,
        order_rest: ticks_from_micros_ceil(fleet.ordering_cooldown),
        budget_free: fleet.retry_budget_min,
        budget_share: fleet.retry_budget_ratio,
        budget_span: ticks_from_micros_ceil(fleet.retry_budget_window),
        ..Terms::default()
    }
}

pub fn plans(site: &GatewayConfig) -> Vec<Plan> {
    let plan = |p: &config::Plan| Plan {
        usual: p.usual_rate,
        reserve: p.reserved_rate,
        limit: p.rate_limit,
        limit_burst: p.burst_units,
        wt: p.weight,
        price: p.priority_factor,
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
