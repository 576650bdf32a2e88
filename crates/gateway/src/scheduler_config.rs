//! From the configuration to the scheduler's terms, the volumes' layouts and the replicated form of plans.
use crate::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};
use mallowseam_connection_policy::request_splitting::{ClassRule, Extent, VolumeLayout};
use mallowseam_plans::state;
use mallowseam_scheduler::host::{Effect, IoGroup, Plan, Terms};
use mallowseam_settings::Site;
use mallowseam_settings::site::{self, Direction};

/// Replicated figures are in thousandths.
const THOUSANDTHS: f64 = 1000.0;

/// The terms that the scheduler decides by.
pub(crate) fn scheduler_terms(site: &Site) -> Terms {
    let fleet = &site.fleet;
    Terms {
        hosts: fleet.hosts,
        groups: site.groups.iter().map(io_class).collect(),
        plans: scheduler_plans(site),
        mean_units: fleet.mean_units,
        largest: fleet.largest_units,
        share_gain: fleet.share_gain,
        spare_gain: fleet.spare_gain,
        // iSCSI has no field in which a node could tell what it does for other hosts, nor one for peers.
        counts_others: false,
        may_cancel: true,
        may_name_return: fleet.come_back > 0,
        longest_return: ticks_from_micros_floor(fleet.come_back),
        max_submits: fleet.submits,
        list_on_request: site.host.node_list.is_some(),
        ask_turn: None,
        list_pushed: false,
        ask_within: 0,
        word_by_half: false,
        cold_bears: fleet.cold_bears,
        cold_from: fleet.cold_from,
        cold_span: ticks_from_micros_ceil(fleet.cold_span),
        fall_span: ticks_from_micros_ceil(fleet.fall_span),
        fall_multiple: fleet.fall_multiple,
        order_rest: ticks_from_micros_ceil(fleet.order_rest),
        budget_free: fleet.further_free,
        budget_share: fleet.further_part,
        budget_span: ticks_from_micros_ceil(fleet.further_span),
        ..Terms::default()
    }
}

fn io_class(class: &site::Group) -> IoGroup {
    IoGroup {
        effect: match class.effect {
            site::Effect::Idempotent => Effect::Idempotent,
            site::Effect::SideEffecting => Effect::SideEffecting,
        },
        goal: ticks_from_micros_floor(class.goal),
        late_share: class.late_share,
        gain: class.gain,
        ordered: class.ordered,
        writes: false,
    }
}

/// The plans as the scheduler takes them.
pub(crate) fn scheduler_plans(site: &Site) -> Vec<Plan> {
    let plan = |plan: &site::Plan| Plan {
        usual: plan.usual,
        reserve: plan.reserve,
        limit: plan.limit,
        limit_burst: plan.limit_burst,
        wt: plan.weight,
        price: plan.price,
    };
    site.plans.iter().map(plan).collect()
}

/// Where a volume's blocks lie, and which I/O class they belong to.
pub(crate) fn volume_layout(site: &Site, volume: &site::Volume) -> VolumeLayout {
    let extent = |extent: &site::Extent| Extent {
        first_block: extent.first,
        blocks: extent.blocks,
        shard: site.nodes[extent.node].shard,
        first_node_block: extent.node_first,
    };
    VolumeLayout { extents: volume.extents.iter().map(extent).collect(), rules: class_rules(volume) }
}

/// The layout of a mapped volume: extents of `extent_blocks` blocks, each a shard of its own until it is looked
/// up.
pub(crate) fn mapped_layout(volume: &site::Volume, extent_blocks: u64) -> VolumeLayout {
    let extent = |index: u64| Extent {
        first_block: index * extent_blocks,
        blocks: extent_blocks,
        shard: index as u32,
        first_node_block: 0,
    };
    let count = volume.blocks / extent_blocks.max(1);
    VolumeLayout { extents: (0..count).map(extent).collect(), rules: class_rules(volume) }
}

fn class_rules(volume: &site::Volume) -> Vec<ClassRule> {
    let rule = |rule: &site::Rule| ClassRule {
        matches_reads: rule.direction != Direction::Write,
        matches_writes: rule.direction != Direction::Read,
        first_block: rule.first,
        last_block: rule.last,
        class: rule.group as u16,
        blocks_per_key: rule.key,
    };
    volume.rules.iter().map(rule).collect()
}

/// A plan of a configuration in the form that the plan service keeps: figures in thousandths.
pub fn replicated_plan(plan: &site::Plan) -> state::Plan {
    let thousandths =
        |figure: f64| (figure * THOUSANDTHS).round().clamp(0.0, state::MAX_PARAMETER as f64) as u64;
    state::Plan {
        usual: thousandths(plan.usual),
        reserve: thousandths(plan.reserve),
        limit: thousandths(plan.limit),
        burst: thousandths(plan.limit_burst),
        weight: thousandths(plan.weight),
        price: thousandths(plan.price),
    }
}

/// A plan of the plan service in the form of a configuration.
pub(crate) fn configured_plan(name: &str, plan: &state::Plan) -> site::Plan {
    let units = |thousandths: u64| thousandths as f64 / THOUSANDTHS;
    site::Plan {
        name: name.to_owned(),
        usual: units(plan.usual),
        reserve: units(plan.reserve),
        limit: units(plan.limit),
        limit_burst: units(plan.burst),
        weight: units(plan.weight),
        price: units(plan.price),
    }
}
