//! Converts the configuration to the scheduler's configuration, to layouts of volumes and to replicated plans.
use mallowseam_connection_policy::request_splitting::{ClassRule, Extent, VolumeLayout};
use mallowseam_plans::state;
use mallowseam_scheduler::interface::{Idempotency, IoClass, Plan, SchedulerConfig};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{self, Direction};
use mallowseam_sockets::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};
use std::num::NonZeroU64;

/// Factor between values of configured plans and those of replicated plans, which are in thousandths.
const REPLICATED_SCALE: f64 = 1000.0;

/// Returns the configuration of the scheduler.
pub(crate) fn scheduler_config(config: &GatewayConfig) -> SchedulerConfig {
    let fleet = &config.fleet;
    SchedulerConfig {
        hosts: fleet.hosts,
        classes: config.io_classes.iter().map(io_class).collect(),
        plans: scheduler_plans(config),
        mean_io_units: fleet.mean_io_units,
        max_io_units: fleet.max_io_units,
        share_weight_factor: fleet.share_weight_factor,
        spare_weight_factor: fleet.spare_weight_factor,
        // iSCSI has no field in which a node could report the load of other hosts, nor a field for messages
        // from peers.
        other_hosts_usage_reported: false,
        allow_cancel: true,
        allow_retry_after: fleet.max_retry_after > 0,
        max_retry_after: ticks_from_micros_floor(fleet.max_retry_after),
        max_attempts: fleet.max_attempts,
        endpoints_polled: config.host.endpoint_service.is_some(),
        poll_service_time: None,
        endpoints_pushed: false,
        max_poll_delay: 0,
        shed_at_half_deadline: false,
        slow_start_capacity: fleet.slow_start_capacity,
        slow_start_initial_rate: fleet.slow_start_initial_rate,
        slow_start_duration: ticks_from_micros_ceil(fleet.slow_start_duration),
        overload_window: ticks_from_micros_ceil(fleet.overload_window),
        overload_multiple: fleet.overload_multiple,
        ordering_cooldown: ticks_from_micros_ceil(fleet.ordering_cooldown),
        retry_budget_min: fleet.retry_budget_min,
        retry_budget_ratio: fleet.retry_budget_ratio,
        retry_budget_window: ticks_from_micros_ceil(fleet.retry_budget_window),
        ..SchedulerConfig::default()
    }
}

fn io_class(class: &config::IoClass) -> IoClass {
    IoClass {
        idempotency: match class.idempotency {
            config::Idempotency::Idempotent => Idempotency::Idempotent,
            config::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
        },
        latency_objective: ticks_from_micros_floor(class.latency_objective),
        late_weight_ratio: class.late_weight_ratio,
        priority_weight: class.priority_weight,
        ordered: class.ordered,
        writes: false,
    }
}

/// Returns the configured plans in the form that the scheduler takes.
pub(crate) fn scheduler_plans(config: &GatewayConfig) -> Vec<Plan> {
    let plan = |plan: &config::Plan| Plan {
        usual_rate: plan.usual_rate,
        reserved_rate: plan.reserved_rate,
        rate_limit: plan.rate_limit,
        burst_units: plan.burst_units,
        weight: plan.weight,
        priority_factor: plan.priority_factor,
    };
    config.plans.iter().map(plan).collect()
}

/// Returns the layout of a volume: the node blocks that hold its blocks, and the I/O classes of its blocks.
pub(crate) fn volume_layout(config: &GatewayConfig, volume: &config::Volume) -> VolumeLayout {
    let extent = |extent: &config::Extent| Extent {
        first_block: extent.first_block,
        blocks: extent.block_count,
        shard: config.nodes[extent.node].shard,
        first_node_block: extent.first_node_block,
    };
    VolumeLayout {
        extents: volume.extents.iter().map(extent).collect(),
        rules: class_rules(volume),
    }
}

/// Returns the layout of a mapped volume: extents of `extent_blocks` blocks. The shard of an extent is its
/// index until the location of the extent is looked up.
pub(crate) fn mapped_layout(volume: &config::Volume, extent_blocks: u64) -> VolumeLayout {
    let extent = |index: u64| Extent {
        first_block: index * extent_blocks,
        blocks: extent_blocks,
        shard: index as u32,
        first_node_block: 0,
    };
    let count = volume.block_count / extent_blocks.max(1);
    VolumeLayout {
        extents: (0..count).map(extent).collect(),
        rules: class_rules(volume),
    }
}

fn class_rules(volume: &config::Volume) -> Vec<ClassRule> {
    let rule = |rule: &config::Rule| ClassRule {
        matches_reads: rule.direction != Direction::Write,
        matches_writes: rule.direction != Direction::Read,
        first_block: rule.first_block,
        last_block: rule.last_block,
        class: rule.io_class as u16,
        blocks_per_key: NonZeroU64::new(rule.blocks_per_key),
    };
    volume.rules.iter().map(rule).collect()
}

/// Converts a configured plan to the form that the plan service stores, with values in thousandths.
#[must_use]
pub fn replicated_plan(plan: &config::Plan) -> state::Plan {
    let thousandths = |value: f64| {
        (value * REPLICATED_SCALE)
            .round()
            .clamp(0.0, state::MAX_PARAMETER as f64) as u64
    };
    state::Plan {
        usual_rate: thousandths(plan.usual_rate),
        reserved_rate: thousandths(plan.reserved_rate),
        rate_limit: thousandths(plan.rate_limit),
        burst_units: thousandths(plan.burst_units),
        weight: thousandths(plan.weight),
        priority_factor: thousandths(plan.priority_factor),
    }
}

/// Converts a plan of the plan service to a configured plan.
pub(crate) fn configured_plan(name: &str, plan: &state::Plan) -> config::Plan {
    let units = |thousandths: u64| thousandths as f64 / REPLICATED_SCALE;
    config::Plan {
        name: name.to_owned(),
        usual_rate: units(plan.usual_rate),
        reserved_rate: units(plan.reserved_rate),
        rate_limit: units(plan.rate_limit),
        burst_units: units(plan.burst_units),
        weight: units(plan.weight),
        priority_factor: units(plan.priority_factor),
    }
}
