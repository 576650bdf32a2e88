//! Membership of host processes with faults between them, according to each host's own membership table. Guards against
//! members that are wrongly unreachable, tables that do not converge after faults, and name conflicts that are not
//! resolved.
use crate::support::{changed, finish, open, wait_for};
use mallowseam_audit::membership::MembershipSample;
use mallowseam_fleet::MemberState;
use mallowseam_scenarios::fleet::Scenario;
use mallowseam_stand_ins::links::{LinkFault, Peer, PeerSet};
use mallowseam_testbed::fleet::testbed::Testbed;
use std::net::SocketAddr;

/// Returns the small fleet with membership. With its protocol periods of 100 ms, a suspicion lasts 0.5 s to 1.5 s.
fn with_membership(hosts: u32) -> Scenario {
    let hosts = format!("hosts {hosts} known now");
    changed(&[
        ("hosts 5 known now", hosts.as_str()),
        ("zones 2", "zones 2\nview period 100ms seeds 2"),
    ])
}

/// Returns the state of another host in the last membership table that a host reported.
fn observed_state(testbed: &Testbed, host: u32, other: u32) -> Option<MemberState> {
    let name = format!("n{}", testbed.peers.name_numbers[other as usize]);
    testbed
        .peers
        .last_view(host)?
        .table
        .members
        .iter()
        .find(|m| m.record.name == name.as_str())
        .map(|m| m.state)
}

fn query_membership(testbed: &mut Testbed, hosts: &[u32]) {
    for host in hosts {
        testbed.peers.query_membership(*host);
    }
}

/// Queries the membership tables of the observers until each has each of the other hosts in a state.
fn wait_until_all_see(
    testbed: &mut Testbed,
    condition: &str,
    observers: &[u32],
    others: &[u32],
    state: MemberState,
) {
    // A table from an earlier query may be that of an earlier process.
    let from = testbed.peers.now();
    wait_for(testbed, condition, |testbed| {
        query_membership(testbed, observers);
        let fresh = |h: &u32| {
            testbed
                .peers
                .last_view(*h)
                .is_some_and(|v| v.requested_at >= from)
        };
        observers.iter().all(|h| {
            fresh(h)
                && others
                    .iter()
                    .all(|o| observed_state(testbed, *h, *o) == Some(state))
        })
    });
}

fn wait_until_all_alive(testbed: &mut Testbed, condition: &str, hosts: &[u32]) {
    wait_until_all_see(testbed, condition, hosts, hosts, MemberState::Alive);
}

/// Starts hosts, and waits until all of them see each other as alive.
fn start_and_wait(testbed: &mut Testbed, hosts: &[u32]) {
    for host in hosts {
        testbed.start(*host).expect("cannot start the process");
    }
    wait_until_all_alive(testbed, "all hosts see each other as alive", hosts);
}

/// Opens a testbed, starts hosts, and waits until all of them see each other as alive.
fn started(scenario: &Scenario, seed: u64, hosts: &[u32]) -> (Testbed, tempfile::TempDir) {
    let (mut testbed, dir) = open(scenario, seed);
    start_and_wait(&mut testbed, hosts);
    (testbed, dir)
}

/// Returns a running fleet of five, with a sixth host that is not started and has the same name as the fourth.
fn started_with_name_conflict(seed: u64) -> (Testbed, tempfile::TempDir) {
    let (mut testbed, dir) = open(&with_membership(6), seed);
    testbed.peers.name_numbers[5] = 3;
    start_and_wait(&mut testbed, &FIVE);
    (testbed, dir)
}

#[test]
fn a_killed_member_becomes_unreachable_and_alive_again_after_its_restart() {
    let (mut testbed, _dir) = started(&with_membership(5), 1, &[0, 1, 2, 3, 4]);
    testbed.peers.set_clients_active(true);
    testbed.kill(3);
    wait_until_all_see(
        &mut testbed,
        "the killed host is unreachable",
        &[0, 1, 2, 4],
        &[3],
        MemberState::Unreachable,
    );
    testbed.start(3).expect("cannot start the process");
    wait_until_all_alive(
        &mut testbed,
        "the restarted host is alive",
        &[0, 1, 2, 3, 4],
    );
    finish(testbed);
}

/// Hosts of a fleet of five.
const FIVE: [u32; 5] = [0, 1, 2, 3, 4];

fn set_blackholed(testbed: &mut Testbed, from: u32, to: u32, blackholed: bool) {
    let fault = LinkFault {
        blackholed,
        ..LinkFault::default()
    };
    testbed.peers.set_link(
        PeerSet::Single(Peer::Host(from)),
        PeerSet::Single(Peer::Host(to)),
        fault,
    );
}

/// Cuts both directions between the pairs of hosts that `is_cut` names, and heals all other links between hosts.
fn partition(testbed: &mut Testbed, hosts: u32, is_cut: impl Fn(u32, u32) -> bool) {
    for a in 0..hosts {
        (0..hosts)
            .filter(|b| *b != a)
            .for_each(|b| set_blackholed(testbed, a, b, is_cut(a, b)));
    }
}

#[test]
fn a_terminated_member_is_seen_as_leaving_and_then_as_left() {
    let (mut testbed, _dir) = started(&with_membership(5), 2, &FIVE);
    testbed.terminate(3);
    let from = testbed.peers.now();
    wait_for(&mut testbed, "the terminated host is leaving", |testbed| {
        query_membership(testbed, &[0, 1, 2, 4]);
        [0, 1, 2, 4].iter().all(|h| {
            matches!(
                observed_state(testbed, *h, 3),
                Some(MemberState::Leaving | MemberState::Left)
            )
        })
    });
    let elapsed = testbed.peers.now() - from;
    assert!(elapsed < 650_000, "seen as leaving after {elapsed} us");
    wait_until_all_see(
        &mut testbed,
        "the terminated host has left",
        &[0, 1, 2, 4],
        &[3],
        MemberState::Left,
    );
    finish(testbed);
}

#[test]
fn a_member_that_returns_at_another_address_replaces_its_old_record() {
    let (mut testbed, _dir) = started_with_name_conflict(3);
    testbed.kill(3);
    testbed.start(5).expect("cannot start the process");
    let address = testbed.peers.addresses.membership_advertise(5);
    wait_for(
        &mut testbed,
        "the host is alive at its new address",
        |testbed| {
            query_membership(testbed, &[0, 1, 2, 4]);
            let there = |h: &u32| {
                testbed.peers.last_view(*h).is_some_and(|v| {
                    v.table
                        .members
                        .iter()
                        .any(|m| m.record.address == address && m.state == MemberState::Alive)
                })
            };
            [0, 1, 2, 4].iter().all(there)
        },
    );
    let members = testbed.peers.last_view(0).map(|v| v.table.members.len());
    assert_eq!(members, Some(5), "number of members with distinct names");
    finish(testbed);
}

#[test]
fn on_a_name_conflict_the_earlier_process_is_superseded_and_continues_to_serve() {
    let (mut testbed, dir) = started_with_name_conflict(4);
    testbed.peers.set_clients_active(true);
    testbed.start(5).expect("cannot start the process");
    wait_for(
        &mut testbed,
        "the earlier process is superseded",
        |testbed| {
            testbed.peers.query_membership(3);
            testbed
                .peers
                .last_view(3)
                .is_some_and(|v| v.table.superseded)
        },
    );
    let mark = testbed.peers.observations.len();
    wait_for(
        &mut testbed,
        "the earlier process still serves requests",
        |testbed| {
            testbed
                .peers
                .executed_since(mark)
                .any(|(_, host)| host == 3)
        },
    );
    testbed.peers.query_membership(5);
    wait_for(
        &mut testbed,
        "the later process is not superseded",
        |testbed| {
            testbed
                .peers
                .last_view(5)
                .is_some_and(|v| !v.table.superseded)
        },
    );
    let log = std::fs::read_to_string(dir.path().join("h3.log")).expect("cannot read the log");
    assert!(
        log.contains("name conflict: a process that started later has this host's name"),
        "{log}"
    );
    finish(testbed);
}

#[test]
fn a_paused_member_suspects_nobody_after_it_resumes() {
    let (mut testbed, _dir) = started(&with_membership(5), 5, &FIVE);
    testbed.set_paused(2, true);
    wait_until_all_see(
        &mut testbed,
        "the paused host is unreachable after the longest suspicion",
        &[0, 1, 3, 4],
        &[2],
        MemberState::Unreachable,
    );
    testbed.set_paused(2, false);
    let mark = testbed.peers.membership.samples.len();
    wait_until_all_alive(
        &mut testbed,
        "all hosts see each other as alive again",
        &FIVE,
    );
    let wrong = testbed.peers.membership.samples[mark..]
        .iter()
        .filter(|v| v.host == 2);
    let wrong: usize = wrong
        .map(|v| {
            v.members
                .iter()
                .filter(|m| m.state == MemberState::Unreachable)
                .count()
        })
        .sum();
    assert_eq!(wrong, 0, "members that the resumed host holds unreachable");
    finish(testbed);
}

#[test]
fn members_stay_connected_without_seeds_and_new_ones_join_by_a_restarted_seed() {
    let (mut testbed, _dir) = open(&with_membership(6), 6);
    start_and_wait(&mut testbed, &FIVE);
    testbed.kill(0);
    testbed.kill(1);
    wait_until_all_see(
        &mut testbed,
        "both killed seeds are unreachable",
        &[2, 3, 4],
        &[0, 1],
        MemberState::Unreachable,
    );
    wait_until_all_alive(&mut testbed, "the other hosts are alive", &[2, 3, 4]);
    testbed.start(5).expect("cannot start the process");
    wait_for(
        &mut testbed,
        "the new host is the only member that it knows",
        |testbed| {
            testbed.peers.query_membership(5);
            testbed
                .peers
                .last_view(5)
                .is_some_and(|v| v.table.members.len() == 1)
        },
    );
    testbed.start(1).expect("cannot start the process");
    wait_until_all_alive(
        &mut testbed,
        "all five running hosts see each other as alive",
        &[1, 2, 3, 4, 5],
    );
    finish(testbed);
}

#[test]
fn partitions_into_two_and_three_sides_heal() {
    let (mut testbed, _dir) = started(&with_membership(6), 7, &[0, 1, 2, 3, 4, 5]);
    for sides in [2, 3] {
        partition(&mut testbed, 6, |a, b| a % sides != b % sides);
        for side in 0..sides {
            let side_members: Vec<u32> = (0..6).filter(|h| h % sides == side).collect();
            let others: Vec<u32> = (0..6).filter(|h| h % sides != side).collect();
            wait_until_all_see(
                &mut testbed,
                "hosts of the other sides are unreachable",
                &side_members,
                &others,
                MemberState::Unreachable,
            );
            wait_until_all_alive(
                &mut testbed,
                "hosts of the same side are alive",
                &side_members,
            );
        }
        partition(&mut testbed, 6, |_, _| false);
        let all: Vec<u32> = (0..6).collect();
        wait_until_all_alive(
            &mut testbed,
            "all hosts see each other as alive after the partition",
            &all,
        );
    }
    finish(testbed);
}

#[test]
fn one_way_and_partial_partitions_make_no_member_unreachable() {
    let (mut testbed, _dir) = started(&with_membership(6), 8, &[0, 1, 2, 3, 4, 5]);
    set_blackholed(&mut testbed, 1, 2, true);
    // Host 5 and the even hosts reach each other. Hosts 1 and 3 are cut off from host 5 in both directions.
    for host in [1, 3] {
        set_blackholed(&mut testbed, 5, host, true);
        set_blackholed(&mut testbed, host, 5, true);
    }
    let from = testbed.peers.now();
    let mark = testbed.peers.membership.samples.len();
    // In forty periods, each host pings each other host about eight times.
    testbed.wait_for(std::time::Duration::from_secs(4), |testbed| {
        (0..6).for_each(|h| testbed.peers.query_membership(h));
        testbed.peers.now() > from + 4_000_000
    });
    let has_unreachable = |s: &&MembershipSample| {
        s.members
            .iter()
            .any(|m| m.state == MemberState::Unreachable)
    };
    let total = testbed.peers.membership.samples[mark..].len();
    let wrong = testbed.peers.membership.samples[mark..]
        .iter()
        .filter(has_unreachable)
        .count();
    assert!(
        total > 60 && wrong == 0,
        "{wrong} of {total} samples have an unreachable member"
    );
    partition(&mut testbed, 6, |_, _| false);
    finish(testbed);
}

#[test]
fn members_recover_from_latency_and_half_of_all_datagrams_lost() {
    let (mut testbed, _dir) = started(&with_membership(5), 9, &FIVE);
    let lossy = LinkFault {
        loss: 0.5,
        duplication: 0.2,
        latency: 30_000,
        jitter: 30_000,
        ..LinkFault::default()
    };
    testbed
        .peers
        .set_link(PeerSet::Hosts, PeerSet::Hosts, lossy);
    let from = testbed.peers.now();
    testbed.run_until(from + 3_000_000);
    testbed
        .peers
        .set_link(PeerSet::Hosts, PeerSet::Hosts, LinkFault::default());
    wait_until_all_alive(&mut testbed, "all hosts see each other as alive", &FIVE);
    let lost = testbed.peers.membership.lost;
    assert!(lost > 50, "only {lost} datagrams lost");
    finish(testbed);
}

#[test]
fn datagrams_from_strangers_change_nothing() {
    let (mut testbed, _dir) = started(&with_membership(5), 10, &FIVE);
    let mut bytes = mallowseam_fleet::wire::encode_query(0).to_vec();
    for n in 0..4_000u32 {
        let index = n as usize % bytes.len();
        bytes[index] = bytes[index].wrapping_mul(31).wrapping_add(n as u8);
        let len = 1 + (n as usize * 7) % bytes.len();
        testbed.peers.send_from_stranger(n % 5, &bytes[..len]);
        if n % 50 == 0 {
            testbed.run_once();
        }
    }
    wait_until_all_alive(&mut testbed, "all hosts see each other as alive", &FIVE);
    let members = testbed.peers.last_view(2).map(|v| v.table.members.len());
    assert_eq!(members, Some(5));
    finish(testbed);
}

#[test]
fn a_partition_during_a_rolling_restart_heals_to_one_table() {
    let (mut testbed, _dir) = started(&with_membership(8), 11, &[0, 1, 2, 3, 4, 5, 6, 7]);
    testbed.peers.set_clients_active(true);
    for pair in [0, 2, 4, 6] {
        for host in [pair, pair + 1] {
            testbed.terminate(host);
        }
        wait_for(
            &mut testbed,
            "both terminated hosts have exited",
            |testbed| {
                !testbed.processes.is_running(pair) && !testbed.processes.is_running(pair + 1)
            },
        );
        if pair == 2 {
            partition(&mut testbed, 8, |a, b| a % 2 != b % 2);
        }
        for host in [pair, pair + 1] {
            testbed.start(host).expect("cannot start the process");
        }
    }
    partition(&mut testbed, 8, |_, _| false);
    let all: Vec<u32> = (0..8).collect();
    wait_until_all_alive(&mut testbed, "all hosts see each other as alive", &all);
    wait_for(&mut testbed, "all hosts have the same table", |testbed| {
        query_membership(testbed, &all);
        let digests: Vec<_> = all
            .iter()
            .map(|h| testbed.peers.last_view(*h).map(|v| v.table.digest))
            .collect();
        digests
            .iter()
            .all(|digest| digest.is_some() && *digest == digests[0])
    });
    finish(testbed);
}

/// Returns whether any process of this machine has a UDP socket bound to an address.
fn is_udp_bound(address: SocketAddr) -> bool {
    let SocketAddr::V4(address) = address else {
        panic!("not an IPv4 address")
    };
    let sockets = std::fs::read_to_string("/proc/net/udp").expect("cannot read /proc/net/udp");
    let listed = format!(
        "{:08X}:{:04X}",
        u32::from(*address.ip()).swap_bytes(),
        address.port()
    );
    sockets.contains(&listed)
}

#[test]
fn a_host_without_membership_opens_no_socket_and_logs_nothing_about_members() {
    let (mut testbed, dir) = open(&changed(&[]), 12);
    testbed.start_all().expect("cannot start the hosts");
    wait_for(&mut testbed, "all hosts have a watch", |testbed| {
        testbed.peers.watch_count() == 5
    });
    let descriptors = |testbed: &Testbed| {
        testbed
            .processes
            .usage(0)
            .expect("process is not running")
            .descriptors
    };
    let without = descriptors(&testbed);
    let log = std::fs::read_to_string(dir.path().join("h0.log")).expect("cannot read the log");
    assert!(
        !["fleet", "member"].iter().any(|topic| log.contains(topic)),
        "{log}"
    );
    let address = testbed.peers.addresses.membership_listen(0);
    assert!(
        !is_udp_bound(address),
        "a host without membership listens for datagrams"
    );
    finish(testbed);
    let (testbed, _dir) = started(&with_membership(5), 12, &FIVE);
    let address = testbed.peers.addresses.membership_listen(0);
    assert!(
        is_udp_bound(address),
        "a host with membership does not listen for datagrams"
    );
    assert!(descriptors(&testbed) > without);
    finish(testbed);
}
