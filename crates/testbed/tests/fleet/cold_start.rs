//! Hosts that start together, and nodes that start cold.
use crate::support::{assert_clean, changed, finish, open, play, program, wait_for};
use mallowseam_scenarios::builtin;
use mallowseam_stand_ins::links::{LinkFault, Peer, PeerSet};
use mallowseam_testbed::fleet::testbed::Testbed;

#[test]
fn hosts_that_start_at_once_poll_once_each_and_serve() {
    let (mut testbed, _dir) = open(&changed(&[]), 1);
    testbed.start_all().expect("processes");
    wait_for(&mut testbed, "all are ready", |testbed| {
        (0..5).all(|h| testbed.peers.is_ready(h))
    });
    testbed.peers.set_clients_active(true);
    wait_for(&mut testbed, "all watch", |testbed| {
        testbed.peers.watch_count() == 5
    });
    let from = testbed.peers.now();
    testbed.run_until(from + 2_000_000);
    let verdict = finish(testbed).verdict;
    assert_eq!((verdict.polls, verdict.list_delays.len()), (5, 5));
    // Token buckets of limits are empty at first, and a third of the volumes has one.
    assert!(
        verdict.served * 10 > verdict.requests * 6,
        "{} of {}",
        verdict.served,
        verdict.requests
    );
}

#[test]
fn a_host_partitioned_from_discovery_receives_updates_after_the_partition_heals() {
    let (mut testbed, _dir) = open(&changed(&[]), 2);
    testbed.start_all().expect("processes");
    wait_for(&mut testbed, "all watch", |testbed| {
        testbed.peers.watch_count() == 5
    });
    testbed.peers.set_clients_active(true);
    let cut = LinkFault {
        blackholed: true,
        ..LinkFault::default()
    };
    testbed
        .peers
        .set_link(PeerSet::Lists, PeerSet::Single(Peer::Host(2)), cut);
    testbed.peers.stop_node(0);
    testbed.peers.start_node(0);
    let version = testbed.peers.version() + 2;
    let received =
        |testbed: &mut Testbed, host: u32| testbed.peers.last_version_sent(host) >= version;
    wait_for(
        &mut testbed,
        "the others have received the update",
        |testbed| [0, 1, 3, 4].iter().all(|h| received(testbed, *h)),
    );
    assert!(
        !received(&mut testbed, 2) || testbed.peers.has_discovery_bytes_in_flight(2),
        "one direction is cut"
    );
    testbed.peers.set_link(
        PeerSet::Lists,
        PeerSet::Single(Peer::Host(2)),
        LinkFault::default(),
    );
    wait_for(&mut testbed, "it has received the update", |testbed| {
        received(testbed, 2) && !testbed.peers.has_discovery_bytes_in_flight(2)
    });
    finish(testbed);
}

#[test]
fn nodes_with_fewer_connections_than_hosts_serve_every_host_repeatedly() {
    let few = [
        ("hosts 5", "hosts 10"),
        ("lines 64 1ms", "lines 4 1ms"),
        ("rate 60/s", "rate 80/s"),
    ];
    let (mut testbed, _dir) = open(&changed(&few), 3);
    testbed.start_all().expect("processes");
    wait_for(&mut testbed, "all watch", |testbed| {
        testbed.peers.watch_count() == 10
    });
    testbed.peers.set_clients_active(true);
    let from = testbed.peers.now();
    testbed.run_until(from + 5_000_000);
    // From here on, hosts must give connections up for others.
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
        "every host is served by every node, twice",
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
    testbed.start_all().expect("processes");
    testbed.peers.set_clients_active(true);
    let from = testbed.peers.now();
    testbed.run_until(from + 8_000_000);
    let outcome = finish(testbed);
    assert_eq!(outcome.verdict.collapses, 0);
    assert!(
        outcome.peak_cold_load > 0.1 && outcome.peak_cold_load < 1.0,
        "{}",
        outcome.peak_cold_load
    );
    let late = &outcome.verdict.timeline[6..8];
    assert!(late.iter().all(|l| l.served > 10), "they serve: {late:?}");
}

#[test]
fn the_sum_of_24_hosts_does_not_overload_cold_nodes_when_some_are_late_killed_or_uninformed() {
    let text = builtin::fleet("cold-sum").expect("a script");
    let outcome = play(text, 7, &program());
    assert_clean(&outcome);
    assert_eq!(outcome.verdict.collapses, 0);
    // Random variation may add twice the root of what a node sustains; the simulated nodes allow for none of it.
    assert!(
        outcome.peak_cold_load > 0.3 && outcome.peak_cold_load < 1.0,
        "{}",
        outcome.peak_cold_load
    );
}
