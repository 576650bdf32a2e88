//! Twenty hosts and a list service of ten calls a second, of which each host is told: whatever happens to them, no more
//! calls wait than the service handles in a second, and everyone has a list in time.
use crate::stage::{program, scene};
use mallowseam_lab::fleet::play::{self, Outcome};

const HEAD: &str = "hosts 20 known now\nzones 2\nnodes 4 cores 2 work 5ms queue 32\nlines 64 1ms\n\
    cold 25% 3s 4 1s 60 3s\nclients rate 60/s posts 30% again 1\nlist takes 100ms patience 1s lag 100ms\n";
/// Calls that the service handles in a second.
const HANDLED: u32 = 10;

fn played(text: &str, turn: &str) -> Outcome {
    let dir = tempfile::tempdir().expect("a directory");
    let program = program().with(&["--list-turn", turn]);
    let text = format!("{HEAD}{text}");
    play::run(&scene(&text), 5, &program, dir.path(), &mut |_, _| {}).expect("a run")
}

/// Plays it, with rules kept and a list for all; what came of the calls is for the story to judge.
fn kept(text: &str) -> Outcome {
    kept_with(text, HANDLED)
}

fn kept_with(text: &str, waiting: u32) -> Outcome {
    let outcome = played(text, "120");
    let v = &outcome.verdict;
    assert!(outcome.crashed.is_empty() && v.kept(), "{:?} {:?}", outcome.crashed, v.evidence());
    assert_eq!((v.unanswered, v.doubled, v.falls), (0, 0, 0));
    assert_eq!(v.fresh.len() as u64, v.starts, "every start had its list");
    assert!(v.most_waiting <= waiting, "{} calls waited", v.most_waiting);
    outcome
}

/// Plays it before a quick service, of which hosts think that it takes 250 ms for each of them: rules are kept.
fn told_in_time(text: &str) {
    let dir = tempfile::tempdir().expect("a directory");
    let program = program().with(&["--list-turn", "250"]);
    let text = format!("{HEAD}{text}").replace("takes 100ms", "takes 20ms");
    let outcome = play::run(&scene(&text), 5, &program, dir.path(), &mut |_, _| {}).expect("a run");
    assert!(outcome.crashed.is_empty() && outcome.verdict.kept(), "{:?}", outcome.verdict.evidence());
    assert_eq!(outcome.watching, 20, "and all watch again");
}

fn fresh_within(outcome: &Outcome, ms: u64) {
    let last = outcome.verdict.fresh_within(1.0).expect("all");
    assert!(last <= ms * 1_000, "the last after {} ms", last / 1_000);
}

#[test]
fn all_start_at_once_with_the_service_up_and_each_calls_once() {
    let outcome = kept("day 4s\n");
    assert_eq!(outcome.verdict.calls, 20);
    // Half as much again as twenty calls take, and the start of the processes.
    fresh_within(&outcome, 3_000 + 300);
    let storm = played("day 4s\n", "0");
    assert!(storm.verdict.most_waiting > HANDLED, "without its pacing {} waited", storm.verdict.most_waiting);
}

#[test]
fn all_start_while_the_service_is_down_and_have_a_list_soon_after_it_is_back() {
    let outcome = kept("day 9s\nat 0s list away for 4s\n");
    fresh_within(&outcome, 4_000 + 3_000 + 300);
}

#[test]
fn the_service_goes_away_under_all_and_comes_back_without_a_crowd() {
    let outcome = kept("day 12s\nat 4s list away for 3s\n");
    assert_eq!(outcome.watching, 20, "all watch again");
}

#[test]
fn what_the_service_had_while_it_was_away_is_heard_within_six_seconds_of_its_return() {
    // With 250 ms of the service for each host, turns of all of them take 5 s. Three nodes drain as it comes back, and
    // stay up.
    told_in_time("day 19s\nat 4s list away for 5s\nat 8500ms node 0..3 replace for 9s\n");
}

#[test]
fn the_service_takes_calls_and_says_nothing_and_then_answers() {
    // It handles none meanwhile: so many wait as call within the time that a host gives a call, by chance some more.
    let outcome = kept_with("day 12s\nat 0s list mute for 3s\n", 16);
    assert_eq!(outcome.watching, 20);
}

#[test]
fn nine_in_ten_calls_are_turned_away_for_a_while() {
    let outcome = kept("day 14s\nat 0s list refuses 90% for 4s\n");
    assert_eq!(outcome.watching, 20);
}

#[test]
fn half_of_the_hosts_are_cut_off_from_the_service_alone() {
    let outcome = kept("day 13s\nat 0s link host0..10 lists silent for 5s\n");
    assert_eq!(outcome.watching, 20);
}

#[test]
fn the_link_to_some_drops_half_way_through_the_list() {
    let outcome = kept("day 12s\nat 0s link lists host0..6 one-way cut-after 300 for 4s\n");
    assert_eq!(outcome.watching, 20);
}

#[test]
fn seven_in_ten_are_killed_at_one_instant_and_come_back_at_once() {
    let outcome = kept("day 9s\nat 4s host 0..14 kill for 500ms\n");
    assert_eq!(outcome.verdict.starts, 34);
    assert!(outcome.verdict.calls <= 34 + 7, "{}", outcome.verdict.calls);
}

#[test]
fn hosts_are_restarted_a_few_at_a_time_while_nodes_are_replaced() {
    let terms =
        (0..5).map(|n| format!("at {}ms host {}..{} term for 2800ms\n", 3_500 + 700 * n, 4 * n, 4 * n + 4));
    let nodes = "at 4s node 0..2 replace for 2s\n";
    let outcome = kept(&format!("day 13s\n{}{nodes}", terms.collect::<String>()));
    assert_eq!((outcome.verdict.starts, outcome.watching), (40, 20));
}

#[test]
fn a_host_that_is_stopped_in_its_start_is_no_later_than_it_was_stopped() {
    let outcome = kept("day 9s\nat 100ms host 3..6 stall for 3s\n");
    assert_eq!(outcome.watching, 20);
}

#[test]
fn one_host_that_starts_again_and_again_costs_the_others_nothing() {
    let loops = (0..12).map(|n| format!("at {}ms host 7 kill for 100ms\n", 200 + 200 * n));
    let outcome = kept(&format!("day 7s\n{}", loops.collect::<String>()));
    assert_eq!(outcome.watching, 20);
}

#[test]
fn all_hear_of_another_service_at_once_and_it_is_not_overrun() {
    let outcome = kept("day 9s\nat 4s host all move\n");
    assert_eq!(outcome.watching, 20);
}

#[test]
fn lists_of_yesterday_of_tomorrow_and_none_at_all_are_made_good() {
    for known in ["none", "old", "ahead"] {
        let text = format!("{HEAD}day 5s\n").replace("known now", &format!("known {known}"));
        let dir = tempfile::tempdir().expect("a directory");
        let program = program().with(&["--list-turn", "120"]);
        let outcome = play::run(&scene(&text), 6, &program, dir.path(), &mut |_, _| {}).expect("a run");
        let v = &outcome.verdict;
        assert!(v.kept() && v.fresh.len() == 20 && v.most_waiting <= HANDLED, "{known}: {:?}", v.evidence());
        let late: Vec<_> = v.lines.iter().skip(4).collect();
        assert!(late.iter().any(|l| l.served * 2 > l.asked), "{known}: {:?}", v.lines);
    }
}

#[test]
fn slow_replies_over_the_links_cost_their_delay_and_no_second_call() {
    // Half a second there and back, with as much spread: within what a host gives a call.
    let outcome = kept("day 9s\nat 0s link lists hosts one-way slow 400ms spread 200ms for 6s\n");
    assert_eq!((outcome.verdict.calls, outcome.watching), (20, 20));
    fresh_within(&outcome, 3_000 + 300 + 600);
}

#[test]
fn a_zone_comes_back_cold_under_load_and_none_of_its_nodes_is_pushed_over() {
    let cold = [
        ("nodes 4 cores 2 work 5ms queue 32", "nodes 4 cores 1 work 20ms queue 32"),
        ("cold 25% 3s 4 1s 60 3s", "cold 25% 8s 1.5 2s 37 4s"),
        ("rate 60/s", "rate 150/s"),
    ];
    let head = cold.iter().fold(HEAD.to_owned(), |text, (was, is)| {
        assert!(text.contains(was), "{was}");
        text.replace(was, is)
    });
    // Nodes 1 and 3 and the odd hosts: hosts start anew two seconds after the nodes, with a list that knows of it.
    // Those killed in the middle of an answer leave it and their end on one connection, which clients use no more.
    let zone = "at 4s node 1 kill for 2s\nat 4s node 3 kill for 2s\n";
    let hosts: String = (0..10).map(|n| format!("at 4s host {} kill for 4s\n", 2 * n + 1)).collect();
    let dir = tempfile::tempdir().expect("a directory");
    let program = program().with(&["--list-turn", "120"]);
    let text = format!("{head}day 15s\n{zone}{hosts}");
    let outcome = play::run(&scene(&text), 5, &program, dir.path(), &mut |_, _| {}).expect("a run");
    let v = &outcome.verdict;
    assert!(outcome.crashed.is_empty() && v.kept(), "{:?} {:?}", outcome.crashed, v.evidence());
    assert_eq!((v.falls, v.unanswered, v.doubled), (0, 0, 0));
    assert!(outcome.most_cold > 0.1 && outcome.most_cold < 1.0, "{}", outcome.most_cold);
}

#[test]
fn watches_fall_silent_and_each_host_has_asked_anew_before_what_it_misses_counts_as_told() {
    // Of 20 hosts 12 hear no more from 6 s on, and three nodes drain at 9 s. With 250 ms of the service for each host, a
    // draw over all of it (5 s) would leave some of them asking later than at 12 s.
    told_in_time("day 15s\nat 6s list forgets 0..12\nat 9s node 0..3 replace for 5s\n");
}
