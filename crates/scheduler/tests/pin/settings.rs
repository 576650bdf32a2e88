//! Deployments that turn each option of the scheduler on and off.
use super::random::Random;
use mallowseam_scheduler::host::*;

pub const PLANS: u64 = 6;

/// Host count and the fields that decide when the node list is asked for.
struct Asking {
    hosts: u32,
    ask_turn: Option<Tick>,
    ask_within: Tick,
    list_pushed: bool,
}

fn asking(seed: u64) -> Asking {
    let row = |hosts, ask_turn, ask_within, list_pushed| Asking { hosts, ask_turn, ask_within, list_pushed };
    match seed % 10 {
        0 => row(1, None, 0, false),
        1 => row(3, None, 0, false),
        2 => row(60, None, 0, false),
        // Just above and just below what the service can answer in time.
        3 => row(300, Some(181), 0, false),
        4 => row(300, Some(179), 0, false),
        5 => row(300, Some(250), 60_000, false),
        6 => row(200, None, 0, true),
        7 => row(24, None, 9_000, false),
        8 => row(0, Some(50), 0, false),
        _ => row(9, Some(200), 100_000, false),
    }
}

fn groups() -> Vec<IoGroup> {
    let keyed = |scope, memory| Effect::Fingerprinted { scope, memory };
    let group = |effect, goal, gain, ordered| IoGroup {
        effect,
        goal,
        late_share: 0.1,
        gain,
        ordered,
        writes: ordered,
    };
    vec![
        group(Effect::Idempotent, 2_000, 2.0, false),
        group(Effect::Idempotent, 3_000, 0.7, true),
        group(Effect::SideEffecting, 2_500, 1.5, true),
        group(Effect::SideEffecting, 4_000, 1.0, false),
        group(keyed(Scope::All, 3_000), 4_000, 2.0, false),
        group(keyed(Scope::Zone, 5_000), 3_000, 1.2, false),
        group(keyed(Scope::Cell, 2_000), 6_000, 0.5, true),
    ]
}

fn plans() -> Vec<Plan> {
    let plan = |reserve, limit, limit_burst, wt, price| Plan {
        usual: reserve + 5.0,
        reserve,
        limit,
        limit_burst,
        wt,
        price,
    };
    vec![
        plan(40.0, 0.0, 0.0, 3.0, 1.0),
        plan(20.0, 120.0, 60.0, 2.0, 1.3),
        plan(0.0, 60.0, 30.0, 1.0, 0.8),
        plan(5.0, 0.0, 0.0, 0.0, 0.4),
        plan(10.0, 250.0, 150.0, 1.5, 0.6),
        plan(1.0, 40.0, 4.0, 9.0, 1.6),
    ]
}

pub fn terms(seed: u64, random: &mut Random) -> Terms {
    let Asking { hosts, ask_turn, ask_within, list_pushed } = asking(seed);
    let one_in = |n: u64| seed.is_multiple_of(n);
    Terms {
        hosts,
        groups: groups(),
        plans: plans(),
        // Small means make small budgets, so that these decide.
        mean_units: if one_in(7) { 0.0 } else { 0.5 + random.fraction() * 2.0 },
        largest: 8.0,
        share_gain: 0.35 + random.fraction() / 4.0,
        spare_gain: 0.1 + random.fraction() / 4.0,
        meter: 0,
        counts_others: !one_in(3),
        may_cancel: !one_in(4),
        may_probe: false,
        may_tell: false,
        may_duplicate: false,
        may_name_return: one_in(2),
        longest_return: 500 + 100 * seed as Tick,
        max_submits: 1 + ((seed + 2) % 4) as u32,
        list_on_request: !one_in(11),
        ask_turn,
        list_pushed,
        ask_within,
        word_by_half: one_in(3),
        cold_bears: if one_in(9) { 0.0 } else { 6.0 + random.fraction() * 30.0 },
        cold_from: 0.2,
        cold_span: 60_000,
        fall_span: if one_in(13) { 0 } else { 8_000 },
        fall_multiple: 2.0,
        order_rest: 600,
        budget_free: 5.0,
        budget_share: 0.1,
        budget_span: if one_in(5) { 0 } else { 10_000 },
    }
}
