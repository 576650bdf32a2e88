//! From the configuration to the scheduler's terms and the volumes' layouts.
use crate::clock::{ticks_from_micros_ceil, ticks_from_micros_floor};
use mallowseam_connection_policy::request_splitting::{ClassRule, Extent, VolumeLayout};
use mallowseam_scheduler::host::{Effect, IoGroup, Plan, Terms};
use mallowseam_settings::Site;
use mallowseam_settings::site::{self, Direction};

pub fn terms(site: &Site) -> Terms {
    let fleet = &site.fleet;
    let group = |g: &site::Group| IoGroup {
        effect: match g.effect {
            site::Effect::Idempotent => Effect::Idempotent,
            site::Effect::SideEffecting => Effect::SideEffecting,
        },
        goal: ticks_from_micros_floor(g.goal),
        late_share: g.late_share,
        gain: g.gain,
        ordered: g.ordered,
        writes: false,
    };
    Terms {
        hosts: fleet.hosts,
        groups: site.groups.iter().map(group).collect(),
        plans: plans(site),
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

pub fn plans(site: &Site) -> Vec<Plan> {
    let plan = |p: &site::Plan| Plan {
        usual: p.usual,
        reserve: p.reserve,
        limit: p.limit,
        limit_burst: p.limit_burst,
        wt: p.weight,
        price: p.price,
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
