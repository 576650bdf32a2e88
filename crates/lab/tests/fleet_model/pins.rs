//! Pinned behaviour: seeded decisions of the testbed, compared with digests that were recorded once.
use crate::digest::Digest;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_lab::fleet::addresses::Addresses;
use mallowseam_lab::fleet::client_load::{ClientLoad, LoadProfile, Operation};
use mallowseam_lab::fleet::fault_schedule;
use mallowseam_lab::fleet::host_config::HostConfig;
use mallowseam_lab::fleet::links::{
    ConnectOutcome, LinkFault, Links, Peer, PeerSet, Pipe, PipeOutput,
};
use mallowseam_lab::fleet::scenario::{self, FaultAction, IndexRange};
use mallowseam_lab::fleet::simulated_node::{Arrival, NodeLimits, NodeRequest, SimulatedNode};
use mallowseam_models::discovery_queue::ServiceBehavior;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn add_peer(digest: &mut Digest, peer: Peer) {
    let (kind, number) = match peer {
        Peer::Host(n) => (0, n),
        Peer::Node(n) => (1, n),
        Peer::List(n) => (2, n),
        Peer::Clients => (3, 0),
    };
    digest.numbers(&[kind, u64::from(number)]);
}

fn add_peer_set(digest: &mut Digest, peers: PeerSet) {
    match peers {
        PeerSet::All => digest.number(0),
        PeerSet::Hosts => digest.number(1),
        PeerSet::Nodes => digest.number(2),
        PeerSet::Lists => digest.number(3),
        PeerSet::Single(peer) => {
            digest.number(4);
            add_peer(digest, peer);
        }
        PeerSet::Zone(zone) => digest.numbers(&[5, u64::from(zone)]),
        PeerSet::HostRange(from, to) => digest.numbers(&[6, u64::from(from), u64::from(to)]),
        PeerSet::NodeRange(from, to) => digest.numbers(&[7, u64::from(from), u64::from(to)]),
    }
}

fn add_link_fault(digest: &mut Digest, fault: &LinkFault) {
    digest.numbers(&[
        fault.latency,
        fault.jitter,
        u64::from(fault.blackholed),
        u64::from(fault.refuses_connections),
        fault.reset_after_bytes,
    ]);
    digest.float(fault.bytes_per_second);
    digest.float(fault.loss);
    digest.float(fault.duplication);
}

fn add_behavior(digest: &mut Digest, behavior: ServiceBehavior) {
    match behavior {
        ServiceBehavior::Normal => digest.number(0),
        ServiceBehavior::Down => digest.number(1),
        ServiceBehavior::Hung => digest.number(2),
        ServiceBehavior::Rejecting(fraction) => {
            digest.number(3);
            digest.float(fraction);
        }
    }
}

fn add_action(digest: &mut Digest, action: &FaultAction) {
    let add_range = |digest: &mut Digest, kind: u64, range: IndexRange| {
        digest.numbers(&[kind, u64::from(range.start), u64::from(range.end)]);
    };
    match *action {
        FaultAction::KillHosts(range) => add_range(digest, 0, range),
        FaultAction::StartHosts(range) => add_range(digest, 1, range),
        FaultAction::TerminateHosts(range) => add_range(digest, 2, range),
        FaultAction::ResumeHosts(range) => add_range(digest, 3, range),
        FaultAction::PauseHosts(range) => add_range(digest, 4, range),
        FaultAction::RedirectHosts(range) => add_range(digest, 5, range),
        FaultAction::StopNodes(range) => add_range(digest, 6, range),
        FaultAction::StartNodes(range) => add_range(digest, 7, range),
        FaultAction::SlowNodes(range, factor) => {
            add_range(digest, 8, range);
            digest.float(factor);
        }
        FaultAction::ReplaceNodes(range) => add_range(digest, 9, range),
        FaultAction::RemoveNodes(range) => add_range(digest, 10, range),
        FaultAction::SetDiscoveryBehavior(behavior) => {
            digest.number(11);
            add_behavior(digest, behavior);
        }
        FaultAction::StallWatches(range) => add_range(digest, 12, range),
        FaultAction::SlowDiscovery(factor) => {
            digest.number(13);
            digest.float(factor);
        }
        FaultAction::SetLink { from, to, fault } => {
            digest.number(14);
            add_peer_set(digest, from);
            add_peer_set(digest, to);
            add_link_fault(digest, &fault);
        }
        FaultAction::ScaleLoad(factor) => {
            digest.number(15);
            digest.float(factor);
        }
    }
}

fn add_scenario(digest: &mut Digest, text: &str) {
    let scenario = scenario::parse("pinned", text).expect("a sound script");
    digest.numbers(&[
        scenario.duration,
        u64::from(scenario.hosts),
        scenario.initial_list as u64,
        u64::from(scenario.zones),
        u64::from(scenario.nodes),
    ]);
    digest.numbers(&[
        scenario.node_limits.max_connections as u64,
        scenario.node_limits.handshake,
        scenario.node_limits.restart_after,
        u64::from(scenario.nodes_start_cold),
    ]);
    digest.numbers(&[
        scenario.node_model.cores as u64,
        scenario.node_model.queue as u64,
        scenario.node_model.warm_up,
        scenario.node_model.overload_window,
    ]);
    digest.float(scenario.node_model.unit_work);
    digest.float(scenario.node_model.initial_speed);
    digest.float(scenario.node_model.overload_factor);
    let load = &scenario.load;
    digest.float(load.operations_per_second);
    digest.float(load.write_fraction);
    digest.float(load.skew);
    digest.numbers(&[
        u64::from(load.volumes),
        u64::from(load.max_retries),
        u64::from(load.backs_off),
        load.read_timeout,
        load.write_timeout,
    ]);
    digest.numbers(&[
        scenario.service_time,
        scenario.queue_timeout,
        scenario.discovery_lag,
        u64::from(scenario.memory_mb),
        u64::from(scenario.max_descriptors),
    ]);
    if let Some(membership) = scenario.membership {
        digest.numbers(&[
            membership.period,
            u64::from(membership.seeds),
            membership.retention,
            u64::from(membership.participants.start),
            u64::from(membership.participants.end),
        ]);
    }
    for event in &scenario.faults {
        digest.number(event.at);
        add_action(digest, &event.action);
    }
    for host in 0..scenario.hosts.min(3) {
        let known = "{\"seq\":1}";
        let config = HostConfig {
            scenario: &scenario,
            addresses: Addresses::new(9),
            host,
            name_number: host + 1,
            list: 1,
            seed: 0xabc,
            initial_list: known,
        };
        digest.bytes(config.to_json().as_bytes());
    }
    let scaled = scenario.scaled(90);
    digest.numbers(&[
        u64::from(scaled.hosts),
        u64::from(scaled.nodes),
        u64::from(scaled.load.volumes),
    ]);
    digest.float(scaled.load.operations_per_second);
}

const EVERY_DIRECTIVE: &str = "day 20s\nhosts 12 known ahead\nlimits 64 512\nzones 3\nview period 250ms seeds 2 keep 9s hosts 1..7\n\
    nodes 5 cores 3 work 7ms queue 9 start-cold\nlines 12 3ms\ncold 20% 4s 3 2s 50 6s\n\
    clients rate 77/s posts 40% again 3 at-once uneven 5\nlist takes 35ms patience 2s lag 90ms\n\
    at 1s host 3 kill for 2s\nat 2s host 2..5 term for 1s\nat 3s host all stall for 500ms\nat 4s host 1 move\n\
    at 5s node 2 kill for 1s\nat 5s node 1 slow 2.5 for 1s\nat 6s node 0..2 replace for 3s\n\
    at 1s list away for 1s\nat 3s list mute for 1s\nat 5s list refuses 30% for 1s\nat 7s list forgets 2..4\n\
    at 8s list slow 3 for 1s\nat 9s load 2.5 for 3s\nat 1500ms link all host3 silent for 1s\n\
    at 2s link nodes node0..3 one-way slow 30ms spread 9ms for 2s\nat 3s link lists list1 refused for 1s\n\
    at 4s link clients zone1 bytes 9000/s cut-after 700 for 1s\nat 5s link host0..4 node2 loss 10% repeats 4% for 1s\n";

#[test]
fn scenario_scripts_are_parsed_as_recorded() {
    let mut digest = Digest::new();
    add_scenario(&mut digest, include_str!("../../scripts/cold-start.fleet"));
    add_scenario(
        &mut digest,
        include_str!("../../scripts/cold-overload.fleet"),
    );
    add_scenario(&mut digest, include_str!("../../scripts/cold-sum.fleet"));
    add_scenario(&mut digest, EVERY_DIRECTIVE);
    for seed in 0..10 {
        add_scenario(&mut digest, &fault_schedule::random_script(30, seed));
    }
    assert_eq!(format!("{:016x}", digest.value()), "995479e908099fbb");
}

#[test]
fn problems_of_scripts_are_reported_as_recorded() {
    let mut digest = Digest::new();
    for line in EVERY_DIRECTIVE.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        for cut in 1..words.len() {
            let broken = format!(
                "{} nonsense {}",
                words[..cut].join(" "),
                words[cut..].join(" ")
            );
            let text = EVERY_DIRECTIVE.replacen(line, &broken, 1);
            let found = scenario::parse("pinned", &text)
                .map_or_else(|problems| problems.to_string(), |_| String::new());
            digest.bytes(found.as_bytes());
        }
    }
    digest.bytes(
        scenario::parse("empty", "")
            .expect_err("nothing in it")
            .to_string()
            .as_bytes(),
    );
    assert_eq!(format!("{:016x}", digest.value()), "64a0922afe91b49e");
}

#[test]
fn drawn_fault_schedules_are_as_recorded() {
    let mut digest = Digest::new();
    for hosts in [3, 10, 40, 300] {
        (0..20)
            .for_each(|seed| digest.bytes(fault_schedule::random_script(hosts, seed).as_bytes()));
    }
    assert_eq!(format!("{:016x}", digest.value()), "dec4785db152f611");
}

fn draw_peer(rng: &mut Pcg64Mcg) -> Peer {
    match rng.random_range(0..4) {
        0 => Peer::Host(rng.random_range(0..6)),
        1 => Peer::Node(rng.random_range(0..4)),
        2 => Peer::List(rng.random_range(0..2)),
        _ => Peer::Clients,
    }
}

fn draw_peer_set(rng: &mut Pcg64Mcg) -> PeerSet {
    let (from, to) = (rng.random_range(0..4), rng.random_range(2..6));
    match rng.random_range(0..8) {
        0 => PeerSet::All,
        1 => PeerSet::Hosts,
        2 => PeerSet::Nodes,
        3 => PeerSet::Lists,
        4 => PeerSet::Single(draw_peer(rng)),
        5 => PeerSet::Zone(from),
        6 => PeerSet::HostRange(from, to),
        _ => PeerSet::NodeRange(from, to),
    }
}

fn draw_fault(rng: &mut Pcg64Mcg) -> LinkFault {
    let mut some = |most: u64| {
        if rng.random_bool(0.4) {
            rng.random_range(0..most)
        } else {
            0
        }
    };
    let (latency, jitter, rate, reset_after_bytes) =
        (some(5_000), some(3_000), some(900_000), some(2_000));
    LinkFault {
        latency,
        jitter,
        bytes_per_second: rate as f64,
        reset_after_bytes,
        blackholed: rng.random_bool(0.2),
        refuses_connections: rng.random_bool(0.2),
        loss: 0.0,
        duplication: 0.0,
    }
}

#[test]
fn faults_of_links_are_decided_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut links = Links::new(3);
        for _ in 0..30 {
            let (from, to) = (draw_peer_set(&mut rng), draw_peer_set(&mut rng));
            let set = if rng.random_bool(0.3) {
                LinkFault::default()
            } else {
                draw_fault(&mut rng)
            };
            links.set(from, to, set);
            for _ in 0..10 {
                let (from, to) = (draw_peer(&mut rng), draw_peer(&mut rng));
                add_link_fault(&mut digest, &links.fault_between(from, to));
                digest.number(match links.connect_outcome(from, to) {
                    ConnectOutcome::Accepted => 0,
                    ConnectOutcome::Refused => 1,
                    ConnectOutcome::Blackholed => 2,
                });
            }
        }
    }
    assert_eq!(format!("{:016x}", digest.value()), "b666e40e9b067225");
}

#[test]
fn bytes_pass_a_link_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pipe = Pipe::default();
        let mut set = draw_fault(&mut rng);
        for step in 0..200u64 {
            let now = step * 40;
            if step % 50 == 49 {
                set = draw_fault(&mut rng);
            }
            let len = rng.random_range(1..400);
            pipe.push(now, &vec![step as u8; len], &set, &mut rng);
            if step == 190 {
                pipe.close(now, &set, &mut rng);
            }
            match pipe.poll(now, &set) {
                PipeOutput::Nothing => digest.number(0),
                PipeOutput::Bytes(bytes) => digest.bytes(&bytes),
                PipeOutput::Closed => digest.number(2),
                PipeOutput::Reset => digest.number(3),
            }
            digest.numbers(&[
                pipe.next_due().map_or(0, |due| due + 1),
                u64::from(pipe.is_full()),
            ]);
        }
    }
    assert_eq!(format!("{:016x}", digest.value()), "98a5ef2fe7411314");
}

fn add_operation(digest: &mut Digest, op: &Operation) {
    digest.numbers(&[
        op.id,
        u64::from(op.volume),
        op.extent,
        u64::from(op.write),
        u64::from(op.units),
    ]);
    digest.numbers(&[
        u64::from(op.shard),
        u64::from(op.hosts),
        op.timeout,
        u64::from(op.retries),
    ]);
}

#[test]
fn clients_draw_their_operations_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let load = LoadProfile {
            operations_per_second: 4_000.0,
            write_fraction: 0.3,
            volumes: 20,
            skew: 6.0,
            max_retries: 3,
            backs_off: seed % 2 == 0,
            read_timeout: 1_000,
            write_timeout: 2_000,
            max_units: 4,
        };
        let mut client_load = ClientLoad::new(load, 9, 4, &mut rng);
        for volume in 0..20 {
            let volume = client_load.volume(volume);
            volume
                .hosts
                .iter()
                .for_each(|h| digest.number(u64::from(*h)));
            digest.number(u64::from(volume.limited));
        }
        client_load.resume(700);
        for now in (700..60_000).step_by(100) {
            client_load.intensity = if now > 30_000 { 2.0 } else { 1.0 };
            let Some(op) = client_load.next_operation(now, &mut rng) else {
                continue;
            };
            add_operation(&mut digest, &op);
            let host = client_load.choose_host(&op, |h| h % 3 != 0, &mut rng);
            digest.numbers(&[host.map_or(0, |h| u64::from(h) + 1), client_load.next_due()]);
            let retry_after = rng.random_bool(0.3).then_some(5_000);
            let mut tried = op;
            while let Some((at, next)) = client_load.retry(now, &tried, retry_after, &mut rng) {
                digest.number(at);
                add_operation(&mut digest, &next);
                tried = next;
            }
        }
    }
    assert_eq!(format!("{:016x}", digest.value()), "0eebf65522231b01");
}

fn draw_request(rng: &mut impl Rng, op: u64) -> NodeRequest<u32> {
    NodeRequest {
        connection: rng.random_range(0..6),
        operation: op,
        units: f64::from(rng.random_range(1..5u32)),
        first_on_connection: rng.random_bool(0.2),
        over_limit: rng.random_bool(0.1),
    }
}

#[test]
fn a_simulated_node_serves_and_falls_as_recorded() {
    let mut digest = Digest::new();
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let model = ServiceModel {
            initial_speed: 0.25,
            warm_up: 800_000,
            overload_factor: 4.0,
            overload_window: 200_000,
            ..ServiceModel::warm(2, 10_000.0, 3)
        };
        let mut node = SimulatedNode::new(
            model,
            NodeLimits {
                max_connections: 2,
                handshake: 5_000,
                restart_after: 300_000,
            },
        );
        for op in 0..400u64 {
            let now = op * 4_000;
            match rng.random_range(0..100) {
                0 => node.start(now),
                1 => node.stop(),
                2 => node.slowdown = 1.5,
                3 => node.connection_closed(rng.random_range(0..6)),
                4 => digest.number(u64::from(node.connection_opened())),
                _ => {}
            }
            digest.number(match node.receive(now, draw_request(&mut rng, op)) {
                Arrival::Queued => 0,
                Arrival::Rejected => 1,
                Arrival::Collapsed => 2,
            });
            while let Some(done) = node.complete_next(now) {
                digest.numbers(&[done.operation, u64::from(done.connection)]);
            }
            digest.numbers(&[
                node.next_due().map_or(0, |due| due + 1),
                u64::from(node.is_up(now)),
                node.connections as u64,
            ]);
            digest.float(node.speed_fraction(now));
        }
        digest.number(node.collapses);
        digest.float(node.peak_cold_load);
    }
    assert_eq!(format!("{:016x}", digest.value()), "40c4c261142c5026");
}
