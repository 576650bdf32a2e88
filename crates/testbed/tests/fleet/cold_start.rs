//! Start of many hosts at once, and nodes that start cold. Guards against a thundering herd of polls, updates lost in a
//! partition, nodes whose few connections serve only some hosts, and cold nodes that collapse from the sum of all
//! hosts' load.
use crate::support::{assert_clean, changed, finish, open, play, program, wait_for};
use mallowseam_scenarios::builtin;
use mallowseam_stand_ins::links::{LinkFault, Peer, PeerSet};
use mallowseam_testbed::fleet::testbed::Testbed;

#[test]
fn hosts_that_start_at_once_poll_once_each_and_serve() {
    let (mut testbed, _dir) = open(&changed(&[]), 1);
    testbed.start_all().expect("cannot start the hosts");
    wait_for(&mut testbed, "all hosts are ready", |testbed| {
        (0..5).all(|h| testbed.peers.is_ready(h))
    });
    testbed.peers.set_clients_active(true);
    wait_for(&mut testbed, "all hosts have a watch", |testbed| {
        testbed.peers.watch_count() == 5
    });
    let from = testbed.peers.now();
    testbed.run_until(from + 2_000_000);
    let verdict = finish(testbed).verdict;
    assert_eq!((verdict.polls, verdict.list_delays.len()), (5, 5));
    // A third of the volumes has a limit, with a token bucket that is empty at first.
    assert!(
        verdict.served * 10 > verdict.requests * 6,
        "{} of {} requests served",
        verdict.served,
        verdict.requests
    );
}

#[test]
fn a_host_partitioned_from_discovery_receives_updates_after_the_partition_heals() {
    let (mut testbed, _dir) = open(&changed(&[]), 2);
    testbed.start_all().expect("cannot start the hosts");
    wait_for(&mut testbed, "all hosts have a watch", |testbed| {
        testbed.peers.watch_count() == 5
    });
    testbed.peers.set_clients_active(true);
    let blackhole = LinkFault {
        blackholed: true,
        ..LinkFault::default()
    };
    testbed
        .peers
        .set_link(PeerSet::Lists, PeerSet::Single(Peer::Host(2)), blackhole);
    testbed.peers.stop_node(0);
    testbed.peers.start_node(0);
    let version = testbed.peers.version() + 2;
    let received =
        |testbed: &mut Testbed, host: u32| testbed.peers.last_version_sent(host) >= version;
    wait_for(
        &mut testbed,
        "the other hosts have received the update",
        |testbed| [0, 1, 3, 4].iter().all(|h| received(testbed, *h)),
    );
    assert!(
        !received(&mut testbed, 2) || testbed.peers.has_discovery_bytes_in_flight(2),
        "host 2 has received the update although the direction from the service is cut"
    );
    testbed.peers.set_link(
        PeerSet::Lists,
        PeerSet::Single(Peer::Host(2)),
        LinkFault::default(),
    );
    wait_for(&mut testbed, "host 2 has received the update", |testbed| {
        received(testbed, 2) && !testbed.peers.has_discovery_bytes_in_flight(2)
    });
    finish(testbed);
}

#[test]
fn nodes_with_fewer_connections_than_hosts_serve_every_host_repeatedly() {
    let few_connections = [
        ("hosts 5", "hosts 10"),
        ("lines 64 1ms", "lines 4 1ms"),
        ("rate 60/s", "rate 80/s"),
    ];
    let (mut testbed, _dir) = open(&changed(&few_connections), 3);
    testbed.start_all().expect("cannot start the hosts");
    wait_for(&mut testbed, "all hosts have a watch", |testbed| {
        testbed.peers.watch_count() == 10
    });
    testbed.peers.set_clients_active(true);
    let from = testbed.peers.now();
    testbed.run_until(from + 5_000_000);
    // All connections are in use by now, so that hosts must release connections to others.
    let mark = testbed.peers.observations.len();
    let served = |testbed: &Testbed, node: u32, host: u32| {
        testbed
            .peers
            .executed_since(mark)
            .filter(|g| *g == (node, host))
            .count()
            > 1
    };
    wait_for(
        &mut testbed,
        "every node serves every host twice",
        |testbed| (0..3).all(|node| (0..10).all(|host| served(testbed, node, host))),
    );
    finish(testbed);
}

#[test]
fn cold_hosts_do_not_overload_cold_nodes_under_excess_load() {
    let cold = [
        ("hosts 5", "hosts 40"),
        (
            "nodes 3 cores 2 work 5ms queue 32",
            "nodes 2 cores 1 work 20ms queue 32 start-cold",
        ),
        ("cold 25% 3s 4 1s 60 3s", "cold 25% 8s 1.5 2s 37 4s"),
        (
            "rate 60/s posts 30% again 1",
            "rate 200/s posts 30% again 2 at-once",
        ),
    ];
    let (mut testbed, _dir) = open(&changed(&cold), 4);
    testbed.start_all().expect("cannot start the hosts");
    testbed.peers.set_clients_active(true);
    let from = testbed.peers.now();
    testbed.run_until(from + 8_000_000);
    let outcome = finish(testbed);
    assert_eq!(outcome.verdict.collapses, 0);
    assert!(
        outcome.peak_cold_load > 0.1 && outcome.peak_cold_load < 1.0,
        "peak load on a cold node: {}",
        outcome.peak_cold_load
    );
    let late = &outcome.verdict.timeline[6..8];
    assert!(
        late.iter().all(|l| l.served > 10),
        "cold nodes serve too few requests: {late:?}"
    );
}

#[test]
fn the_sum_of_24_hosts_does_not_overload_cold_nodes_when_some_are_late_killed_or_uninformed() {
    let text = builtin::fleet("cold-sum").expect("no built-in script of this name");
    let outcome = play(text, 7, &program());
    assert_clean(&outcome);
    assert_eq!(outcome.verdict.collapses, 0);
    // Random variation may add twice the square root of the load that a node sustains. The simulated nodes make no
    // allowance for it.
    assert!(
        outcome.peak_cold_load > 0.3 && outcome.peak_cold_load < 1.0,
        "peak load on a cold node: {}",
        outcome.peak_cold_load
    );
}
