//! Measures the effects of the scheduler's assumptions about a deployment, using the recording host of the tests. The
//! seed is 7, so that every run prints the same figures. `docs/design.md` has a table that quotes them and identifies
//! each line.
#[path = "../tests/support/mod.rs"]
mod support;

use mallowseam_scheduler::interface::{
    AttemptResult, Bio, DeduplicationScope, EndpointEvent, Idempotency, IoClass, NodeEndpoint,
    NodeState, SchedulerConfig, Tick, VolumeId,
};
use support::{Action, DEADLINE, Harness, OBJECTIVE, config, node, slow_start_config};

/// A forwarded attempt.
struct Forwarded {
    time: Tick,
    bio: u32,
    node: u32,
}

/// Returns the attempts forwarded since the last call.
fn take_forwarded(harness: &mut Harness) -> Vec<Forwarded> {
    let actions = std::mem::take(&mut harness.host.actions);
    let forwarded = |(time, action): (Tick, Action)| match action {
        Action::Forwarded(bio, node) => Some(Forwarded { time, bio, node }),
        _ => None,
    };
    actions.into_iter().filter_map(forwarded).collect()
}

/// Completes each attempt forwarded since the last call after this latency. Returns the nodes that the attempts were
/// sent to.
fn complete_all(harness: &mut Harness, latency: Tick) -> Vec<u32> {
    let attempts = take_forwarded(harness);
    if !attempts.is_empty() {
        harness.advance(latency);
    }
    for attempt in &attempts {
        harness.finish_attempt(attempt.bio, attempt.node, AttemptResult::Completed, latency);
    }
    attempts.iter().map(|attempt| attempt.node).collect()
}

/// Returns active nodes in two zones that hold these shards.
fn active(shards: &[u32]) -> Vec<NodeEndpoint> {
    let endpoint = |(index, shard): (usize, &u32)| NodeEndpoint {
        shard: *shard,
        zone: index as u32 % 2,
        ..node(index as u32, NodeState::Active, None)
    };
    shards.iter().enumerate().map(endpoint).collect()
}

/// Measures how often a block I/O is sent again after its attempt was cut off after 5 ms, and otherwise when its client
/// is answered. There are 200 runs, each of which starts one block I/O later in the sequence of random numbers.
fn after_a_reset(what: &str, nodes: &[NodeEndpoint], idempotency: Idempotency, shard: Option<u32>) {
    let (mut retried, mut answered) = (0, Vec::new());
    for before in 0..200 {
        let mut settings = config();
        settings.classes[3].idempotency = idempotency;
        let mut harness = Harness::new(&settings);
        harness.on_endpoints(EndpointEvent::FullSnapshot, nodes);
        harness.advance(5_000);
        for id in 0..before {
            harness.arrive(Bio {
                shard,
                ..harness.bio(1_000 + id)
            });
            complete_all(&mut harness, 20);
            harness.advance(100);
        }
        harness.host.actions.clear();
        harness.arrive(Bio {
            class: 3,
            shard,
            ..harness.bio(0)
        });
        let first = harness.nodes_of(0)[0];
        harness.advance(50);
        harness.finish_attempt(0, first, AttemptResult::ConnectionReset, 50);
        let reset = harness.host.now;
        harness.advance(OBJECTIVE);
        if harness.forwarded().len() > 1 {
            retried += 1;
        } else if let Some(time) = harness.answered_at(0).first() {
            answered.push((time - reset) / 10);
        }
    }
    let latest = answered.iter().max();
    let when = latest.map_or(String::new(), |ms| {
        format!(", the rest answered after up to {ms} ms")
    });
    println!("reset, {what}: sent again {retried} of 200{when}");
}

fn idempotency_window_over() {
    let mut settings = config();
    settings.classes[3].latency_objective = 8_000;
    let mut harness = Harness::new(&settings);
    harness.arrive(Bio {
        class: 3,
        ..harness.bio(0)
    });
    harness.advance(2_990);
    harness.finish_attempt(0, 0, AttemptResult::ConnectionReset, 2_990);
    let reset = harness.host.now;
    harness.advance(DEADLINE);
    let answer = harness.answered_at(0)[0];
    println!(
        "reset with the idempotency window over: answered after {} ms",
        (answer - reset) / 10
    );
}

fn three_nodes_of_one_shard() {
    let mut harness = Harness::new(&config());
    harness.on_endpoints(EndpointEvent::FullSnapshot, &active(&[0, 0, 0]));
    harness.advance(5_000);
    let mut served = [0; 3];
    for id in 0..3_000 {
        harness.arrive(harness.bio(id));
        for node in complete_all(&mut harness, 15 + Tick::from((id * 7_919) % 46)) {
            served[node as usize] += 1;
        }
        harness.advance(100);
        if [299, 999, 2_999].contains(&id) {
            println!(
                "three nodes of one shard, up to block I/O {}: {served:?}",
                id + 1
            );
            served = [0; 3];
        }
    }
}

/// Measures how many block I/Os complete if the classes have very different objectives. Fifty hosts share nodes that
/// answer in 30 ms; all load is of the class with the long objective.
fn objectives_far_apart(shortest: Tick) {
    const LATENCY: Tick = 300;
    let mut settings = config();
    settings.classes.truncate(2);
    settings.classes[0].latency_objective = shortest;
    settings.classes[1] = IoClass {
        latency_objective: 20_000,
        ..settings.classes[0].clone()
    };
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: 50,
        ..settings
    });
    let (mut in_flight, mut completed): (Vec<Forwarded>, u32) = (Vec::new(), 0);
    for step in 0..2_000 {
        if step % 4 == 0 {
            let deadline = harness.host.now + 40_000;
            harness.arrive(Bio {
                class: 1,
                deadline,
                ..harness.bio(step / 4)
            });
        }
        let now = harness.host.now;
        let (due, rest) = in_flight
            .into_iter()
            .partition::<Vec<_>, _>(|a| a.time + LATENCY <= now);
        in_flight = rest;
        for attempt in &due {
            harness.finish_attempt(attempt.bio, 0, AttemptResult::Completed, LATENCY);
        }
        completed += due.len() as u32;
        harness.advance(100);
        in_flight.extend(take_forwarded(&mut harness));
    }
    println!(
        "objectives of {} and 2000 ms, latency of 30 ms: completed {completed} of 500",
        shortest / 10
    );
}

fn volume_of_fewer_hosts(first: u32, then: u32) {
    let mut harness = Harness::new(&SchedulerConfig {
        hosts: 4,
        ..config()
    });
    let limited = |harness: &Harness, id, hosts| Bio {
        plan: 1,
        volume: VolumeId(5),
        hosts,
        ..harness.bio(id)
    };
    harness.arrive(limited(&harness, 0, first));
    harness.advance(30_000);
    complete_all(&mut harness, 20);
    let mut attempts = 0;
    for id in 1..200 {
        harness.arrive(limited(&harness, id, then));
        attempts += complete_all(&mut harness, 20).len();
        harness.advance(230);
    }
    println!(
        "limited volume stated with {first} hosts, then with {then}: {attempts} attempts in 5 s"
    );
}

fn warming_node(what: &str, change: impl Fn(&mut SchedulerConfig)) {
    let mut settings = SchedulerConfig {
        overload_multiple: 2.0,
        ..slow_start_config()
    };
    change(&mut settings);
    let mut harness = Harness::new(&settings);
    let started = node(0, NodeState::Active, harness.host.now);
    harness.on_endpoints(EndpointEvent::Incremental, &[started]);
    harness.advance(3_100);
    let mut units = 0;
    for id in 0..80 {
        harness.arrive(harness.bio(id));
        units += 2 * complete_all(&mut harness, 50).len();
        harness.advance(150);
    }
    println!("warming node, {what}: {units} units in 1.6 s");
}

fn limit_without_a_burst() {
    let mut settings = config();
    settings.plans[1].burst_units = 0.0;
    let mut harness = Harness::new(&settings);
    harness.arrive(Bio {
        plan: 1,
        volume: VolumeId(9),
        ..harness.bio(0)
    });
    let arrival = harness.host.now;
    harness.advance(DEADLINE);
    let (attempts, answer) = (harness.forwarded().len(), harness.answered_at(0)[0]);
    println!(
        "limit with a burst of 0: attempts {attempts}, answered after {} ms",
        (answer - arrival) / 10
    );
}

fn main() {
    let by_key = |scope| Idempotency::IdempotentByKey {
        scope,
        window: 30_000,
    };
    let scopes = [
        ("shard", by_key(DeduplicationScope::Shard)),
        ("zone", by_key(DeduplicationScope::Zone)),
        ("all", by_key(DeduplicationScope::All)),
    ];
    for nodes in [2, 8] {
        let own = active(&(0..nodes).collect::<Vec<u32>>());
        for (name, idempotency) in scopes {
            let what = format!("new object, {nodes} nodes in two zones, {name}");
            after_a_reset(&what, &own, idempotency, None);
        }
        let what = format!("new object, {nodes} nodes, idempotent");
        after_a_reset(&what, &own, Idempotency::Idempotent, None);
    }
    for (name, idempotency) in scopes {
        let what = format!("one shard on two nodes in two zones, {name}");
        after_a_reset(&what, &active(&[0, 0]), idempotency, Some(0));
    }
    idempotency_window_over();
    three_nodes_of_one_shard();
    objectives_far_apart(500);
    objectives_far_apart(20_000);
    for (first, then) in [(4, 4), (4, 1), (1, 1)] {
        volume_of_fewer_hosts(first, then);
    }
    warming_node("as configured", |_| {});
    warming_node("overload_window 0", |settings| settings.overload_window = 0);
    warming_node("slow_start_capacity 0", |settings| {
        settings.slow_start_capacity = 0.0;
    });
    limit_without_a_burst();
}
