//! Configurations that enable and disable each option of the scheduler.
use super::random::Random;
use mallowseam_scheduler::interface::{
    DeduplicationScope, Idempotency, IoClass, Plan, SchedulerConfig, Tick,
};

pub const PLANS: u64 = 6;

/// Host count and the options that determine when endpoints are polled.
struct Polling {
    hosts: u32,
    poll_service_time: Option<Tick>,
    max_poll_delay: Tick,
    endpoints_pushed: bool,
}

fn polling(seed: u64) -> Polling {
    let row = |hosts, poll_service_time, max_poll_delay, endpoints_pushed| Polling {
        hosts,
        poll_service_time,
        max_poll_delay,
        endpoints_pushed,
    };
    match seed % 10 {
        0 => row(1, None, 0, false),
        1 => row(3, None, 0, false),
        2 => row(60, None, 0, false),
        // Service times just above and just below what the service can answer in time.
        3 => row(300, Some(181), 0, false),
        4 => row(300, Some(179), 0, false),
        5 => row(300, Some(250), 60_000, false),
        6 => row(200, None, 0, true),
        7 => row(24, None, 9_000, false),
        8 => row(0, Some(50), 0, false),
        _ => row(9, Some(200), 100_000, false),
    }
}

fn classes() -> Vec<IoClass> {
    let keyed = |scope, window| Idempotency::IdempotentByKey { scope, window };
    let class = |idempotency, latency_objective, priority_weight, ordered| IoClass {
        idempotency,
        latency_objective,
        late_weight_ratio: 0.1,
        priority_weight,
        ordered,
        writes: ordered,
    };
    vec![
        class(Idempotency::Idempotent, 2_000, 2.0, false),
        class(Idempotency::Idempotent, 3_000, 0.7, true),
        class(Idempotency::NonIdempotent, 2_500, 1.5, true),
        class(Idempotency::NonIdempotent, 4_000, 1.0, false),
        class(keyed(DeduplicationScope::All, 3_000), 4_000, 2.0, false),
        class(keyed(DeduplicationScope::Zone, 5_000), 3_000, 1.2, false),
        class(keyed(DeduplicationScope::Shard, 2_000), 6_000, 0.5, true),
    ]
}

fn plans() -> Vec<Plan> {
    let plan = |reserved_rate, rate_limit, burst_units, weight, priority_factor| Plan {
        usual_rate: reserved_rate + 5.0,
        reserved_rate,
        rate_limit,
        burst_units,
        weight,
        priority_factor,
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

pub fn config(seed: u64, random: &mut Random) -> SchedulerConfig {
    let Polling {
        hosts,
        poll_service_time,
        max_poll_delay,
        endpoints_pushed,
    } = polling(seed);
    let one_in = |n: u64| seed.is_multiple_of(n);
    SchedulerConfig {
        hosts,
        classes: classes(),
        plans: plans(),
        // A small mean size leads to small budgets, so that budgets limit what is sent.
        mean_io_units: if one_in(7) {
            0.0
        } else {
            0.5 + random.fraction() * 2.0
        },
        max_io_units: 8.0,
        share_weight_factor: 0.35 + random.fraction() / 4.0,
        spare_weight_factor: 0.1 + random.fraction() / 4.0,
        metering_window: 0,
        other_hosts_usage_reported: !one_in(3),
        allow_cancel: !one_in(4),
        allow_health_checks: false,
        allow_peer_messages: false,
        allow_hedging: false,
        allow_retry_after: one_in(2),
        max_retry_after: 500 + 100 * seed as Tick,
        max_attempts: 1 + ((seed + 2) % 4) as u32,
        endpoints_polled: !one_in(11),
        poll_service_time,
        endpoints_pushed,
        max_poll_delay,
        shed_at_half_deadline: one_in(3),
        slow_start_capacity: if one_in(9) {
            0.0
        } else {
            6.0 + random.fraction() * 30.0
        },
        slow_start_initial_rate: 0.2,
        slow_start_duration: 60_000,
        overload_window: if one_in(13) { 0 } else { 8_000 },
        overload_multiple: 2.0,
        ordering_cooldown: 600,
        retry_budget_min: 5.0,
        retry_budget_ratio: 0.1,
        retry_budget_window: if one_in(5) { 0 } else { 10_000 },
    }
}
