//! The view that hosts keep of their fleet, with processes and faults between them; told by each one's own view.
use crate::stage::{changed, close, stage, until};
use mallowseam_fleet::MemberState;
use mallowseam_lab::fleet::links::{Fault, Party, Side};
use mallowseam_lab::fleet::play::Stage;
use mallowseam_lab::fleet::scene::Scene;
use mallowseam_lab::fleet::world::Held;
use std::net::SocketAddr;

/// Periods of 100 ms, so that a suspicion stands for half a second to one and a half.
fn viewing(hosts: u32) -> Scene {
    let hosts = format!("hosts {hosts} known now");
    changed(&[("hosts 5 known now", hosts.as_str()), ("zones 2", "zones 2\nview period 100ms seeds 2")])
}

/// How a host saw another one in its last look.
fn sees(s: &Stage, host: u32, other: u32) -> Option<MemberState> {
    let name = format!("n{}", s.world.names[other as usize]);
    s.world.view(host)?.view.members.iter().find(|m| m.record.name == name.as_str()).map(|m| m.state)
}

/// Looks at all of these until each sees each other one so.
fn all_see(s: &mut Stage, what: &str, lookers: &[u32], others: &[u32], state: MemberState) {
    // What was asked for before tells of another time, maybe of an earlier life.
    let from = s.world.now();
    until(s, what, |s| {
        lookers.iter().for_each(|h| s.world.look_at(*h));
        let fresh = |h: &u32| s.world.view(*h).is_some_and(|v| v.asked >= from);
        lookers.iter().all(|h| fresh(h) && others.iter().all(|o| sees(s, *h, *o) == Some(state)))
    });
}

fn started(scene: &Scene, seed: u64, hosts: &[u32]) -> (Stage, tempfile::TempDir) {
    let (mut stage, dir) = stage(scene, seed);
    for host in hosts {
        stage.start(*host).expect("a process");
    }
    all_see(&mut stage, "all see all", hosts, hosts, MemberState::Alive);
    (stage, dir)
}

#[test]
fn five_processes_see_each_other_one_that_is_killed_is_out_of_reach_and_back_under_its_name() {
    let (mut s, _dir) = started(&viewing(5), 1, &[0, 1, 2, 3, 4]);
    s.world.clients_ask(true);
    s.kill(3);
    all_see(&mut s, "a kill", &[0, 1, 2, 4], &[3], MemberState::Unreachable);
    s.start(3).expect("a process");
    all_see(&mut s, "a start", &[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4], MemberState::Alive);
    close(s);
}

const FIVE: [u32; 5] = [0, 1, 2, 3, 4];

fn cut(s: &mut Stage, from: u32, to: u32, silent: bool) {
    let fault = Fault { silent, ..Fault::default() };
    s.world.link(Side::One(Party::Host(from)), Side::One(Party::Host(to)), fault);
}

/// Cuts every pair of which `apart` says so, both ways; none: heals all.
fn split(s: &mut Stage, hosts: u32, apart: impl Fn(u32, u32) -> bool) {
    for a in 0..hosts {
        (0..hosts).filter(|b| *b != a).for_each(|b| cut(s, a, b, apart(a, b)));
    }
}

#[test]
fn one_that_is_told_to_end_is_seen_as_leaving_within_its_time_and_then_as_left() {
    let (mut s, _dir) = started(&viewing(5), 2, &FIVE);
    s.term(3);
    let from = s.world.now();
    until(&mut s, "leaving", |s| {
        [0, 1, 2, 4].iter().for_each(|h| s.world.look_at(*h));
        [0, 1, 2, 4].iter().all(|h| matches!(sees(s, *h, 3), Some(MemberState::Leaving | MemberState::Left)))
    });
    let took = s.world.now() - from;
    assert!(took < 650_000, "{took}");
    all_see(&mut s, "left", &[0, 1, 2, 4], &[3], MemberState::Left);
    close(s);
}

#[test]
fn a_host_comes_back_under_its_name_at_another_address_and_the_old_one_is_no_more() {
    let (mut s, _dir) = stage(&viewing(6), 3);
    s.world.names[5] = 3;
    FIVE.iter().for_each(|h| s.start(*h).expect("a process"));
    all_see(&mut s, "all see all", &FIVE, &FIVE, MemberState::Alive);
    s.kill(3);
    s.start(5).expect("a process");
    let at = s.world.addresses.way(5);
    until(&mut s, "at its new address", |s| {
        [0, 1, 2, 4].iter().for_each(|h| s.world.look_at(*h));
        let there = |h: &u32| {
            s.world.view(*h).is_some_and(|v| {
                v.view.members.iter().any(|m| m.record.address == at && m.state == MemberState::Alive)
            })
        };
        [0, 1, 2, 4].iter().all(there)
    });
    let members = s.world.view(0).map(|v| v.view.members.len());
    assert_eq!(members, Some(5), "one member by that name");
    close(s);
}

#[test]
fn of_two_under_one_name_the_later_stays_and_the_earlier_says_so_and_serves_on() {
    let (mut s, dir) = stage(&viewing(6), 4);
    s.world.names[5] = 3;
    FIVE.iter().for_each(|h| s.start(*h).expect("a process"));
    all_see(&mut s, "all see all", &FIVE, &FIVE, MemberState::Alive);
    s.world.clients_ask(true);
    s.start(5).expect("a process");
    until(&mut s, "the earlier one gives way", |s| {
        s.world.look_at(3);
        s.world.view(3).is_some_and(|v| v.view.superseded)
    });
    let mark = s.world.seen.len();
    until(&mut s, "and serves on", |s| s.world.served(mark).any(|(_, host)| host == 3));
    s.world.look_at(5);
    until(&mut s, "the later one stays", |s| s.world.view(5).is_some_and(|v| !v.view.superseded));
    let log = std::fs::read_to_string(dir.path().join("h3.log")).expect("a log");
    assert!(log.contains("name conflict: a process that started later has this host's name"), "{log}");
    close(s);
}

#[test]
fn a_host_that_is_stopped_and_goes_on_holds_nobody_for_dead() {
    let (mut s, _dir) = started(&viewing(5), 5, &FIVE);
    s.fleet.signal(2, nix::sys::signal::Signal::SIGSTOP);
    s.world.stall(2, true);
    all_see(&mut s, "a stop longer than any suspicion", &[0, 1, 3, 4], &[2], MemberState::Unreachable);
    s.fleet.signal(2, nix::sys::signal::Signal::SIGCONT);
    s.world.stall(2, false);
    let mark = s.world.ways_udp.held.len();
    all_see(&mut s, "all see all again", &FIVE, &FIVE, MemberState::Alive);
    let wrong = s.world.ways_udp.held[mark..].iter().filter(|v| v.host == 2);
    let wrong: usize =
        wrong.map(|v| v.members.iter().filter(|m| m.1 == MemberState::Unreachable).count()).sum();
    assert_eq!(wrong, 0, "the one that was stopped doubted itself");
    close(s);
}

#[test]
fn with_all_seeds_killed_the_rest_hold_together_and_a_seed_that_comes_back_lets_others_join() {
    let (mut s, _dir) = stage(&viewing(6), 6);
    FIVE.iter().for_each(|h| s.start(*h).expect("a process"));
    all_see(&mut s, "all see all", &FIVE, &FIVE, MemberState::Alive);
    s.kill(0);
    s.kill(1);
    all_see(&mut s, "both are out of reach", &[2, 3, 4], &[0, 1], MemberState::Unreachable);
    all_see(&mut s, "the rest is there", &[2, 3, 4], &[2, 3, 4], MemberState::Alive);
    s.start(5).expect("a process");
    until(&mut s, "it knows itself alone", |s| {
        s.world.look_at(5);
        s.world.view(5).is_some_and(|v| v.view.members.len() == 1)
    });
    s.start(1).expect("a process");
    all_see(&mut s, "all five", &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5], MemberState::Alive);
    close(s);
}

#[test]
fn split_in_two_and_in_three_each_side_holds_its_own_and_healed_all_see_all() {
    let (mut s, _dir) = started(&viewing(6), 7, &[0, 1, 2, 3, 4, 5]);
    for sides in [2, 3] {
        split(&mut s, 6, |a, b| a % sides != b % sides);
        for side in 0..sides {
            let of: Vec<u32> = (0..6).filter(|h| h % sides == side).collect();
            let others: Vec<u32> = (0..6).filter(|h| h % sides != side).collect();
            all_see(&mut s, "the other sides are out of reach", &of, &others, MemberState::Unreachable);
            all_see(&mut s, "its own side is there", &of, &of, MemberState::Alive);
        }
        split(&mut s, 6, |_, _| false);
        let all: Vec<u32> = (0..6).collect();
        all_see(&mut s, "healed", &all, &all, MemberState::Alive);
    }
    close(s);
}

#[test]
fn a_way_cut_in_one_direction_and_a_host_that_reaches_half_take_nobody_out() {
    let (mut s, _dir) = started(&viewing(6), 8, &[0, 1, 2, 3, 4, 5]);
    cut(&mut s, 1, 2, true);
    // Host 5 reaches the even ones alone, both ways.
    [1, 3].iter().for_each(|h| {
        cut(&mut s, 5, *h, true);
        cut(&mut s, *h, 5, true);
    });
    let from = s.world.now();
    let mark = s.world.ways_udp.held.len();
    // Forty periods: each pair is asked some eight times over.
    s.until_holds(std::time::Duration::from_secs(4), |s| {
        (0..6).for_each(|h| s.world.look_at(h));
        s.world.now() > from + 4_000_000
    });
    let out = |v: &&Held| v.members.iter().any(|m| m.1 == MemberState::Unreachable);
    let seen = s.world.ways_udp.held[mark..].len();
    let wrong = s.world.ways_udp.held[mark..].iter().filter(out).count();
    assert!(seen > 60 && wrong == 0, "{wrong} of {seen} looks");
    split(&mut s, 6, |_, _| false);
    close(s);
}

#[test]
fn slow_ways_and_half_of_all_datagrams_lost_are_got_over() {
    let (mut s, _dir) = started(&viewing(5), 9, &FIVE);
    let bad = Fault { loss: 0.5, repeats: 0.2, delay: 30_000, spread: 30_000, ..Fault::default() };
    s.world.link(Side::Hosts, Side::Hosts, bad);
    let from = s.world.now();
    s.until(from + 3_000_000).expect("a while");
    s.world.link(Side::Hosts, Side::Hosts, Fault::default());
    all_see(&mut s, "all see all", &FIVE, &FIVE, MemberState::Alive);
    let lost = s.world.ways_udp.lost;
    assert!(lost > 50, "{lost}");
    close(s);
}

#[test]
fn noise_of_strangers_changes_nothing_and_no_answer_is_longer_than_its_question() {
    let (mut s, _dir) = started(&viewing(5), 10, &FIVE);
    let mut noise = mallowseam_fleet::wire::encode_query(0).to_vec();
    for n in 0..4_000u32 {
        let at = n as usize % noise.len();
        noise[at] = noise[at].wrapping_mul(31).wrapping_add(n as u8);
        let len = 1 + (n as usize * 7) % noise.len();
        s.world.noise(n % 5, &noise[..len]);
        if n % 50 == 0 {
            s.turn();
        }
    }
    all_see(&mut s, "all see all", &FIVE, &FIVE, MemberState::Alive);
    let members = s.world.view(2).map(|v| v.view.members.len());
    assert_eq!(members, Some(5));
    close(s);
}

#[test]
fn a_split_in_the_middle_of_restarts_leaves_one_view_once_it_is_healed() {
    let (mut s, _dir) = started(&viewing(8), 11, &[0, 1, 2, 3, 4, 5, 6, 7]);
    s.world.clients_ask(true);
    for pair in [0, 2, 4, 6] {
        [pair, pair + 1].iter().for_each(|h| s.term(*h));
        until(&mut s, "both are over", |s| !s.fleet.running(pair) && !s.fleet.running(pair + 1));
        if pair == 2 {
            split(&mut s, 8, |a, b| a % 2 != b % 2);
        }
        [pair, pair + 1].iter().for_each(|h| s.start(*h).expect("a process"));
    }
    split(&mut s, 8, |_, _| false);
    let all: Vec<u32> = (0..8).collect();
    all_see(&mut s, "all see all", &all, &all, MemberState::Alive);
    until(&mut s, "one view", |s| {
        all.iter().for_each(|h| s.world.look_at(*h));
        let sums: Vec<_> = all.iter().map(|h| s.world.view(*h).map(|v| v.view.digest)).collect();
        sums.iter().all(|v| v.is_some() && *v == sums[0])
    });
    close(s);
}

#[test]
fn without_a_place_in_a_view_a_host_opens_nothing_for_it_and_says_nothing_of_it() {
    let (mut s, dir) = stage(&changed(&[]), 12);
    s.start_all().expect("processes");
    until(&mut s, "all watch", |s| s.world.watching() == 5);
    let of = |host: u32| s.fleet.uses(host).expect("it runs");
    let without = of(0).descriptors;
    let log = std::fs::read_to_string(dir.path().join("h0.log")).expect("a log");
    assert!(!["fleet", "member"].iter().any(|topic| log.contains(topic)), "{log}");
    let udp = std::fs::read_to_string("/proc/net/udp").expect("sockets");
    let SocketAddr::V4(address) = s.world.addresses.fleet(0) else { panic!("of the fourth version") };
    let listed = format!("{:08X}:{:04X}", u32::from(*address.ip()).swap_bytes(), address.port());
    assert!(!udp.contains(&listed), "it listens for datagrams");
    close(s);
    let (s, _dir) = started(&viewing(5), 12, &FIVE);
    let udp = std::fs::read_to_string("/proc/net/udp").expect("sockets");
    let SocketAddr::V4(address) = s.world.addresses.fleet(0) else { panic!("of the fourth version") };
    let listed = format!("{:08X}:{:04X}", u32::from(*address.ip()).swap_bytes(), address.port());
    assert!(udp.contains(&listed), "with one it does");
    assert!(s.fleet.uses(0).expect("it runs").descriptors > without);
    close(s);
}
