//! Pinned parsing of scenario scripts, random scripts and host configurations, as digests. Guards against changes of
//! the language, of random draws and of hosts' settings.
use crate::digest::Digest;
use mallowseam_models::discovery_queue::ServiceBehavior;
use mallowseam_scenarios::fleet::{self as scenario, FaultAction, IndexRange};
use mallowseam_scenarios::{builtin, fault_schedule};
use mallowseam_stand_ins::links::{LinkFault, Peer, PeerSet};
use mallowseam_testbed::fleet::addresses::Addresses;
use mallowseam_testbed::fleet::host_config::HostConfig;

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
        // In the recorded digests, 0 means no limit.
        fault.reset_after_bytes.unwrap_or(0),
    ]);
    digest.float(fault.bytes_per_second.unwrap_or(0.0));
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
    let scenario = scenario::parse("pinned", text).expect("invalid script");
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
        let initial_list = "{\"seq\":1}";
        let config = HostConfig {
            scenario: &scenario,
            addresses: Addresses::new(9),
            host,
            name_number: host + 1,
            discovery_service: 1,
            seed: 0xabc,
            initial_list,
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

/// Script with every directive and fault.
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
    add_scenario(
        &mut digest,
        builtin::fleet("cold-start").expect("no built-in script of this name"),
    );
    add_scenario(
        &mut digest,
        builtin::fleet("cold-overload").expect("no built-in script of this name"),
    );
    add_scenario(
        &mut digest,
        builtin::fleet("cold-sum").expect("no built-in script of this name"),
    );
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
            .expect_err("empty script was accepted")
            .to_string()
            .as_bytes(),
    );
    assert_eq!(format!("{:016x}", digest.value()), "b3598c567b294b23");
}
