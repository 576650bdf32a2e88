//! From the configuration to the scheduler's terms and the volumes' layouts.
use crate::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};
use mallowseam_connection_policy::request_splitting::{ClassRule, Extent, VolumeLayout};
use mallowseam_scheduler::interface::{Idempotency, IoClass, Plan, SchedulerConfig};
use mallowseam_settings::Site;
use mallowseam_settings::site::{self, Direction};

pub fn terms(site: &Site) -> SchedulerConfig {
    let fleet = &site.fleet;
    let group = |g: &site::Group| IoClass {
        idempotency: match g.effect {
            site::Effect::Idempotent => Idempotency::Idempotent,
            site::Effect::SideEffecting => Idempotency::NonIdempotent,
        },
        latency_objective: ticks_from_micros_floor(g.goal),
        late_weight_factor: g.late_share,
        priority_weight: g.gain,
        ordered: g.ordered,
        writes: false,
    };
    SchedulerConfig {
        hosts: fleet.hosts,
        classes: site.groups.iter().map(group).collect(),
        plans: plans(site),
        mean_io_units: fleet.mean_units,
        max_io_units: fleet.largest_units,
        share_weight_factor: fleet.share_gain,
        spare_weight_factor: fleet.spare_gain,
        // iSCSI has no field in which a node could tell what it does for other hosts, nor one for peers.
        other_hosts_usage_reported: false,
        allow_cancel: true,
        allow_retry_after: fleet.come_back > 0,
        max_retry_after: ticks_from_micros_floor(fleet.come_back),
        max_attempts: fleet.submits,
        endpoints_polled: site.host.node_list.is_some(),
        poll_service_time: None,
        endpoints_pushed: false,
        max_poll_delay: 0,
        shed_at_half_deadline: false,
        slow_start_capacity: fleet.cold_bears,
        slow_start_initial_rate: fleet.cold_from,
        slow_start_duration: ticks_from_micros_ceil(fleet.cold_span),
        overload_window: ticks_from_micros_ceil(fleet.fall_span),
        overload_factor: fleet.fall_multiple,
        key_cooldown: ticks_from_micros_ceil(fleet.order_rest),
        retry_budget_floor: fleet.further_free,
        retry_budget_ratio: fleet.further_part,
        retry_budget_window: ticks_from_micros_ceil(fleet.further_span),
        ..SchedulerConfig::default()
    }
}

pub fn plans(site: &Site) -> Vec<Plan> {
    let plan = |p: &site::Plan| Plan {
        usual_rate: p.usual,
        reserved_rate: p.reserve,
        rate_limit: p.limit,
        burst: p.limit_burst,
        weight: p.weight,
        priority_factor: p.price,
    };
    site.plans.iter().map(plan).collect()
}

pub fn layout(site: &Site, volume: &site::Volume) -> VolumeLayout {
    let extent = |e: &site::Extent| Extent {
        first_block: e.first,
        blocks: e.blocks,
        shard: site.nodes[e.node].shard,
        first_node_block: e.node_first,
    };
    let rule = |r: &site::Rule| ClassRule {
        matches_reads: r.direction != Direction::Write,
        matches_writes: r.direction != Direction::Read,
        first_block: r.first,
        last_block: r.last,
        class: r.group as u16,
        blocks_per_key: r.key,
    };
    VolumeLayout {
        extents: volume.extents.iter().map(extent).collect(),
        rules: volume.rules.iter().map(rule).collect(),
    }
}

/// A plan's figures in thousandths, as the control service keeps them.
pub fn to_figures(p: &site::Plan) -> mallowseam_plans::state::Plan {
    let thousandths =
        |n: f64| (n * 1000.0).round().clamp(0.0, mallowseam_plans::state::MAX_PARAMETER as f64) as u64;
    mallowseam_plans::state::Plan {
        usual: thousandths(p.usual),
        reserve: thousandths(p.reserve),
        limit: thousandths(p.limit),
        burst: thousandths(p.limit_burst),
        weight: thousandths(p.weight),
        price: thousandths(p.price),
    }
}

pub fn from_figures(name: &str, p: &mallowseam_plans::state::Plan) -> site::Plan {
    let whole = |n: u64| n as f64 / 1000.0;
    site::Plan {
        name: name.to_owned(),
        usual: whole(p.usual),
        reserve: whole(p.reserve),
        limit: whole(p.limit),
        limit_burst: whole(p.burst),
        weight: whole(p.weight),
        price: whole(p.price),
    }
}
