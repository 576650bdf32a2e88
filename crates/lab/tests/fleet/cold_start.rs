use crate::stage::{changed, close, program, scene, stage, until};
use mallowseam_lab::fleet::links::{Fault, Party, Side};
use mallowseam_lab::fleet::play;

#[test]
fn five_hosts_start_at_once_each_has_a_list_by_one_call_and_all_serve() {
    let (mut stage, _dir) = stage(&changed(&[]), 1);
    stage.start_all().expect("processes");
    until(&mut stage, "all are ready", |s| (0..5).all(|h| s.world.is_ready(h)));
    stage.world.clients_ask(true);
    until(&mut stage, "all watch", |s| s.world.watching() == 5);
    let from = stage.world.now();
    stage.until(from + 2_000_000).expect("a while");
    let v = close(stage).verdict;
    assert_eq!((v.calls, v.fresh.len()), (5, 5));
    // Stores of limits open empty, and a third of the volumes has one.
    assert!(v.served * 10 > v.asked * 6, "{} of {}", v.served, v.asked);
}

#[test]
fn a_host_cut_off_from_the_list_service_alone_serves_on_and_hears_of_news_once_it_is_back() {
    let (mut stage, _dir) = stage(&changed(&[]), 2);
    stage.start_all().expect("processes");
    until(&mut stage, "all watch", |s| s.world.watching() == 5);
    stage.world.clients_ask(true);
    let cut = Fault { silent: true, ..Fault::default() };
    stage.world.link(Side::Lists, Side::One(Party::Host(2)), cut);
    stage.world.stop_node(0);
    stage.world.start_node(0);
    let version = stage.world.version() + 2;
    let told = |s: &mut mallowseam_lab::fleet::play::Stage, host: u32| s.world.told(host) >= version;
    until(&mut stage, "the others have heard", |s| [0, 1, 3, 4].iter().all(|h| told(s, *h)));
    assert!(!told(&mut stage, 2) || stage.world.waits_for_news(2), "one way is cut");
    stage.world.link(Side::Lists, Side::One(Party::Host(2)), Fault::default());
    until(&mut stage, "it has heard", |s| told(s, 2) && !s.world.waits_for_news(2));
    close(stage);
}

#[test]
fn where_nodes_hold_fewer_connections_than_there_are_hosts_every_host_is_served_again_and_again() {
    let few = [("hosts 5", "hosts 10"), ("lines 64 1ms", "lines 4 1ms"), ("rate 60/s", "rate 80/s")];
    let (mut stage, _dir) = stage(&changed(&few), 3);
    stage.start_all().expect("processes");
    until(&mut stage, "all watch", |s| s.world.watching() == 10);
    stage.world.clients_ask(true);
    let from = stage.world.now();
    stage.until(from + 5_000_000).expect("a while");
    // Past that, places must go from hand to hand.
    let mark = stage.world.seen.len();
    let served = |s: &mallowseam_lab::fleet::play::Stage, node: u32, host: u32| {
        s.world.served(mark).filter(|g| *g == (node, host)).count() > 1
    };
    until(&mut stage, "every host by every node, twice", |s| {
        (0..3).all(|node| (0..10).all(|host| served(s, node, host)))
    });
    close(stage);
}

#[test]
fn a_cold_fleet_before_cold_nodes_pushes_none_over_though_clients_ask_for_far_more_than_they_do() {
    let cold = [
        ("hosts 5", "hosts 40"),
        ("nodes 3 cores 2 work 5ms queue 32", "nodes 2 cores 1 work 20ms queue 32 start-cold"),
        ("cold 25% 3s 4 1s 60 3s", "cold 25% 8s 1.5 2s 37 4s"),
        ("rate 60/s posts 30% again 1", "rate 200/s posts 30% again 2 at-once"),
    ];
    let (mut stage, _dir) = stage(&changed(&cold), 4);
    stage.start_all().expect("processes");
    stage.world.clients_ask(true);
    let from = stage.world.now();
    stage.until(from + 8_000_000).expect("a while");
    let outcome = close(stage);
    assert_eq!(outcome.verdict.falls, 0);
    assert!(outcome.most_cold > 0.1 && outcome.most_cold < 1.0, "{}", outcome.most_cold);
    let late = &outcome.verdict.lines[6..8];
    assert!(late.iter().all(|l| l.served > 10), "and they work: {late:?}");
}

#[test]
fn what_twenty_four_hosts_send_in_sum_pushes_no_cold_node_over_though_some_are_late_killed_or_do_not_know() {
    let text = include_str!("../../scripts/cold-sum.fleet");
    let dir = tempfile::tempdir().expect("a directory");
    let outcome = play::run(&scene(text), 7, &program(), dir.path(), &mut |_, _| {}).expect("a run");
    let v = &outcome.verdict;
    assert!(outcome.crashed.is_empty() && v.kept(), "{:?} {:?}", outcome.crashed, v.evidence());
    assert_eq!((v.falls, v.unanswered, v.doubled), (0, 0, 0));
    // Chance may add twice the root of what a node bears; the nodes of the rig bear none of that.
    assert!(outcome.most_cold > 0.3 && outcome.most_cold < 1.0, "{}", outcome.most_cold);
}
