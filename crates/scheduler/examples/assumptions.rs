//! Measures what the scheduler takes for granted about a layout, on the stories' fake host; seed 7, same figures
//! every time. The table in `docs/design.md` that quotes them says which line is which.
#[allow(dead_code)]
#[path = "../tests/fake/mod.rs"]
mod fake;

use fake::{Did, GOAL, LIMIT, Story, node, terms};
use mallowseam_scheduler::interface::*;

/// The submits since the last call: when, of which block I/O, to which node.
fn submits(s: &mut Story) -> Vec<(Tick, u32, u32)> {
    let did = std::mem::take(&mut s.log.did);
    did.iter().filter_map(|d| if let Did::Sent(id, at) = d.1 { Some((d.0, id, at)) } else { None }).collect()
}

/// Gives each submit since the last call its good answer after this long; where they went.
fn answer_all(s: &mut Story, wait: Tick) -> Vec<u32> {
    let sent = submits(s);
    if !sent.is_empty() {
        s.pass(wait);
    }
    sent.iter().for_each(|(_, id, at)| s.end(*id, *at, AttemptResult::Completed, wait));
    sent.iter().map(|(_, _, at)| *at).collect()
}

fn active(shards: &[u32]) -> Vec<NodeEndpoint> {
    let place = |(n, shard): (usize, &u32)| NodeEndpoint {
        shard: *shard,
        zone: n as u32 % 2,
        ..node(n as u32, NodeState::Active, 0)
    };
    shards.iter().enumerate().map(place).collect()
}

/// A submit is cut off after 5 ms: is it sent again, and if not, when does its client hear? 200 times, each with
/// chance one block I/O further on.
fn after_a_reset(what: &str, nodes: &[NodeEndpoint], idempotency: Idempotency, shard: Option<u32>) {
    let (mut again, mut heard) = (0, Vec::new());
    for before in 0..200 {
        let mut t = terms();
        t.classes[3].idempotency = idempotency;
        let mut s = Story::new(&t);
        s.list(EndpointEvent::FullSnapshot, nodes);
        s.pass(5_000);
        for id in 0..before {
            s.take(Bio { shard, ..s.bio(1_000 + id) });
            answer_all(&mut s, 20);
            s.pass(100);
        }
        s.log.did.clear();
        s.take(Bio { class: 3, shard, ..s.bio(0) });
        let first = s.log.did.iter().find_map(|d| if let Did::Sent(0, at) = d.1 { Some(at) } else { None });
        s.pass(50);
        s.end(0, first.expect("sent"), AttemptResult::ConnectionReset, 50);
        let reset = s.log.now;
        s.pass(GOAL);
        let word = s.log.did.iter().find(|d| matches!(d.1, Did::Shed(0) | Did::Failed(0)));
        match word {
            _ if s.sent().len() > 1 => again += 1,
            Some(word) => heard.push((word.0 - reset) / 10),
            None => {}
        }
    }
    let when = heard.iter().max().map_or(String::new(), |ms| format!(", the rest told after up to {ms} ms"));
    println!("reset, {what}: sent again {again} of 200{when}");
}

fn memory_over() {
    let mut t = terms();
    t.classes[3].latency_objective = 8_000;
    let mut s = Story::new(&t);
    s.take(Bio { class: 3, ..s.bio(0) });
    s.pass(2_990);
    s.end(0, 0, AttemptResult::ConnectionReset, 2_990);
    let reset = s.log.now;
    s.pass(LIMIT);
    let word = s.log.did.iter().find(|d| d.1 == Did::Failed(0)).expect("answered");
    println!("reset with the fingerprint's memory over: told after {} ms", (word.0 - reset) / 10);
}

fn three_nodes_of_one_shard() {
    let mut s = Story::new(&terms());
    s.list(EndpointEvent::FullSnapshot, &active(&[0, 0, 0]));
    s.pass(5_000);
    let mut to = [0; 3];
    for id in 0..3_000 {
        s.take(s.bio(id));
        for at in answer_all(&mut s, 15 + Tick::from((id * 7_919) % 46)) {
            to[at as usize] += 1;
        }
        s.pass(100);
        if [299, 999, 2_999].contains(&id) {
            println!("three nodes of one shard, up to block I/O {}: {to:?}", id + 1);
            to = [0; 3];
        }
    }
}

/// Fifty hosts share nodes that answer in 30 ms; all traffic is of the group with the long goal.
fn goals_far_apart(short: Tick) {
    let mut t = terms();
    t.classes.truncate(2);
    t.classes[0].latency_objective = short;
    t.classes[1] = IoClass { latency_objective: 20_000, ..t.classes[0].clone() };
    let mut s = Story::new(&SchedulerConfig { hosts: 50, ..t });
    let (mut out, mut ended): (Vec<(Tick, u32)>, u32) = (Vec::new(), 0);
    for step in 0..2_000 {
        if step % 4 == 0 {
            s.take(Bio { class: 1, deadline: s.log.now + 40_000, ..s.bio(step / 4) });
        }
        let now = s.log.now;
        let due: Vec<u32> = out.iter().filter(|o| o.0 <= now).map(|o| o.1).collect();
        out.retain(|o| o.0 > now);
        due.iter().for_each(|id| s.end(*id, 0, AttemptResult::Completed, 300));
        ended += due.len() as u32;
        s.pass(100);
        out.extend(submits(&mut s).iter().map(|(at, id, _)| (at + 300, *id)));
    }
    println!("goals of {} and 2000 ms, waits of 30 ms: ended {ended} of 500", short / 10);
}

fn a_volume_of_fewer_hosts(told: [u32; 2]) {
    let mut s = Story::new(&SchedulerConfig { hosts: 4, ..terms() });
    let limited = |s: &Story, id, hosts| Bio { plan: 1, volume: VolumeId(5), hosts, ..s.bio(id) };
    s.take(limited(&s, 0, told[0]));
    s.pass(30_000);
    answer_all(&mut s, 20);
    let mut sent = 0;
    for id in 1..200 {
        s.take(limited(&s, id, told[1]));
        sent += answer_all(&mut s, 20).len();
        s.pass(230);
    }
    println!("limited volume told of {} hosts, then of {}: {sent} submits in 5 s", told[0], told[1]);
}

fn a_cold_node(what: &str, change: impl Fn(&mut SchedulerConfig)) {
    let mut t = SchedulerConfig {
        hosts: 3,
        slow_start_capacity: 24.0,
        slow_start_initial_rate: 0.2,
        slow_start_duration: 180_000,
        overload_window: 20_000,
        overload_multiple: 2.0,
        ..terms()
    };
    change(&mut t);
    let mut s = Story::new(&t);
    s.list(EndpointEvent::Incremental, &[node(0, NodeState::Active, s.log.now)]);
    s.pass(3_100);
    let mut units = 0;
    for id in 0..80 {
        s.take(s.bio(id));
        units += 2 * answer_all(&mut s, 50).len();
        s.pass(150);
    }
    println!("cold node, {what}: {units} units in 1.6 s");
}

fn a_limit_without_a_burst() {
    let mut t = terms();
    t.plans[1].burst_units = 0.0;
    let mut s = Story::new(&t);
    s.take(Bio { plan: 1, volume: VolumeId(9), ..s.bio(0) });
    let from = s.log.now;
    s.pass(LIMIT);
    let word = s.log.did.iter().find(|d| d.1 == Did::Shed(0)).expect("answered");
    println!("limit with a burst of 0: submits {}, told after {} ms", s.sent().len(), (word.0 - from) / 10);
}

fn main() {
    let marked = |scope| Idempotency::IdempotentByKey { scope, window: 30_000 };
    let scopes = [
        ("cell", marked(DeduplicationScope::Shard)),
        ("zone", marked(DeduplicationScope::Zone)),
        ("all", marked(DeduplicationScope::All)),
    ];
    for nodes in [2, 8] {
        let own = active(&(0..nodes).collect::<Vec<u32>>());
        for (name, effect) in scopes {
            after_a_reset(&format!("new object, {nodes} nodes in two zones, {name}"), &own, effect, None);
        }
        after_a_reset(&format!("new object, {nodes} nodes, idempotent"), &own, Idempotency::Idempotent, None);
    }
    for (name, effect) in scopes {
        after_a_reset(
            &format!("one shard on two nodes in two zones, {name}"),
            &active(&[0, 0]),
            effect,
            Some(0),
        );
    }
    memory_over();
    three_nodes_of_one_shard();
    goals_far_apart(500);
    goals_far_apart(20_000);
    [[4, 4], [4, 1], [1, 1]].into_iter().for_each(a_volume_of_fewer_hosts);
    a_cold_node("as told", |_| {});
    a_cold_node("overload_window 0", |t| t.overload_window = 0);
    a_cold_node("slow_start_capacity 0", |t| t.slow_start_capacity = 0.0);
    a_limit_without_a_burst();
}
