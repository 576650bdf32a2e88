//! Outages of a discovery service that serves ten polls per second, with twenty hosts that are configured for this
//! rate. Guards against a thundering herd: in every outage, at most as many polls are queued as the service serves in a
//! second, and every host has an endpoint list in time.
use crate::support::{assert_clean, play, program, replaced};
use mallowseam_testbed::fleet::outcome::Outcome;

/// Start of all scripts: the fleet without faults.
const HEAD: &str = "hosts 20 known now\nzones 2\nnodes 4 cores 2 work 5ms queue 32\nlines 64 1ms\n\
    cold 25% 3s 4 1s 60 3s\nclients rate 60/s posts 30% again 1\nlist takes 100ms patience 1s lag 100ms\n";
/// Number of polls that the service serves per second.
const POLLS_PER_SECOND: u32 = 10;

/// Plays a script with hosts that assume the service to take `turn` milliseconds for a poll.
fn play_with(text: &str, turn: &str) -> Outcome {
    let program = program().with_arguments(&["--list-turn", turn]);
    let text = format!("{HEAD}{text}");
    play(&text, 5, &program)
}

/// Plays a script, and asserts that no rule is violated, every host gets a list, and few polls are queued.
fn play_clean(text: &str) -> Outcome {
    play_clean_with_queue(text, POLLS_PER_SECOND)
}

/// Plays a script like [`play_clean`], with at most `max_queued` polls in the queue.
fn play_clean_with_queue(text: &str, max_queued: u32) -> Outcome {
    let outcome = play_with(text, "120");
    assert_clean(&outcome);
    let v = &outcome.verdict;
    assert_eq!(v.collapses, 0);
    assert_eq!(
        v.list_delays.len() as u64,
        v.host_starts,
        "number of starts after which the host has a list"
    );
    assert!(v.max_queued <= max_queued, "{} polls queued", v.max_queued);
    outcome
}

/// Plays a script with a fast service that hosts assume to take 250 ms for a poll, and asserts that no rule is
/// violated.
fn play_with_slow_pacing(text: &str) {
    let program = program().with_arguments(&["--list-turn", "250"]);
    let text = format!("{HEAD}{text}").replace("takes 100ms", "takes 20ms");
    let outcome = play(&text, 5, &program);
    assert!(
        outcome.crashed.is_empty() && outcome.verdict.is_clean(),
        "{:?}",
        outcome.verdict.evidence()
    );
    assert_eq!(outcome.open_watches, 20, "number of hosts with a watch");
}

/// Asserts that every host had a list within some milliseconds of its start.
fn assert_lists_within(outcome: &Outcome, ms: u64) {
    let last = outcome
        .verdict
        .list_delay_within(1.0)
        .expect("a host has no list");
    assert!(
        last <= ms * 1_000,
        "the last host had a list after {} ms",
        last / 1_000
    );
}

#[test]
fn hosts_that_start_at_once_poll_once_each() {
    let outcome = play_clean("day 4s\n");
    assert_eq!(outcome.verdict.polls, 20);
    // One and a half times the service's time for twenty polls, and the start of the processes.
    assert_lists_within(&outcome, 3_000 + 300);
    let unpaced = play_with("day 4s\n", "0");
    assert!(
        unpaced.verdict.max_queued > POLLS_PER_SECOND,
        "only {} polls queued without pacing",
        unpaced.verdict.max_queued
    );
}

#[test]
fn hosts_started_during_an_outage_have_a_list_soon_after_recovery() {
    let outcome = play_clean("day 9s\nat 0s list away for 4s\n");
    assert_lists_within(&outcome, 4_000 + 3_000 + 300);
}

#[test]
fn recovery_from_an_outage_causes_no_thundering_herd() {
    let outcome = play_clean("day 12s\nat 4s list away for 3s\n");
    assert_eq!(outcome.open_watches, 20, "number of hosts with a watch");
}

#[test]
fn updates_during_an_outage_are_received_within_six_seconds_of_recovery() {
    // At 250 ms for a poll, the polls of all hosts take 5 s. Three nodes are drained as the service recovers, and stay
    // up.
    play_with_slow_pacing("day 19s\nat 4s list away for 5s\nat 8500ms node 0..3 replace for 9s\n");
}

#[test]
fn a_service_that_hangs_and_recovers_is_watched_by_all() {
    // A hung service serves no poll: the polls that hosts send within the timeout of a poll are queued, and by chance
    // some more.
    let outcome = play_clean_with_queue("day 12s\nat 0s list mute for 3s\n", 16);
    assert_eq!(outcome.open_watches, 20);
}

#[test]
fn a_service_that_rejects_nine_in_ten_polls_is_watched_by_all() {
    let outcome = play_clean("day 14s\nat 0s list refuses 90% for 4s\n");
    assert_eq!(outcome.open_watches, 20);
}

#[test]
fn a_service_that_half_of_the_hosts_cannot_reach_is_watched_by_all_after_the_partition() {
    let outcome = play_clean("day 13s\nat 0s link host0..10 lists silent for 5s\n");
    assert_eq!(outcome.open_watches, 20);
}

#[test]
fn connections_that_reset_in_the_middle_of_the_list_are_retried() {
    let outcome = play_clean("day 12s\nat 0s link lists host0..6 one-way cut-after 300 for 4s\n");
    assert_eq!(outcome.open_watches, 20);
}

#[test]
fn seven_in_ten_hosts_that_restart_at_once_poll_about_once_each() {
    let outcome = play_clean("day 9s\nat 4s host 0..14 kill for 500ms\n");
    assert_eq!(outcome.verdict.host_starts, 34);
    assert!(outcome.verdict.polls <= 34 + 7, "{}", outcome.verdict.polls);
}

#[test]
fn all_hosts_watch_after_a_rolling_restart_that_overlaps_with_node_replacements() {
    let terms = (0..5).map(|n| {
        format!(
            "at {}ms host {}..{} term for 2800ms\n",
            3_500 + 700 * n,
            4 * n,
            4 * n + 4
        )
    });
    let nodes = "at 4s node 0..2 replace for 2s\n";
    let outcome = play_clean(&format!("day 13s\n{}{nodes}", terms.collect::<String>()));
    assert_eq!(
        (outcome.verdict.host_starts, outcome.open_watches),
        (40, 20)
    );
}

#[test]
fn hosts_paused_during_their_start_are_late_by_the_pause_only() {
    let outcome = play_clean("day 9s\nat 100ms host 3..6 stall for 3s\n");
    assert_eq!(outcome.open_watches, 20);
}

#[test]
fn a_crash_looping_host_does_not_affect_the_others() {
    let loops = (0..12).map(|n| format!("at {}ms host 7 kill for 100ms\n", 200 + 200 * n));
    let outcome = play_clean(&format!("day 7s\n{}", loops.collect::<String>()));
    assert_eq!(outcome.open_watches, 20);
}

#[test]
fn redirecting_all_hosts_at_once_does_not_overload_the_new_service() {
    let outcome = play_clean("day 9s\nat 4s host all move\n");
    assert_eq!(outcome.open_watches, 20);
}

#[test]
fn stale_future_and_missing_initial_lists_are_replaced() {
    for known in ["none", "old", "ahead"] {
        let text = format!("{HEAD}day 5s\n").replace("known now", &format!("known {known}"));
        let program = program().with_arguments(&["--list-turn", "120"]);
        let outcome = play(&text, 6, &program);
        let v = &outcome.verdict;
        assert!(
            v.is_clean() && v.list_delays.len() == 20 && v.max_queued <= POLLS_PER_SECOND,
            "{known}: {:?}",
            v.evidence()
        );
        let late: Vec<_> = v.timeline.iter().skip(4).collect();
        assert!(
            late.iter().any(|l| l.served * 2 > l.requests),
            "{known}: {:?}",
            v.timeline
        );
    }
}

#[test]
fn link_latency_delays_the_list_without_a_second_poll() {
    // 400 ms of latency and 200 ms of jitter are within the timeout of a poll.
    let outcome =
        play_clean("day 9s\nat 0s link lists hosts one-way slow 400ms spread 200ms for 6s\n");
    assert_eq!((outcome.verdict.polls, outcome.open_watches), (20, 20));
    assert_lists_within(&outcome, 3_000 + 300 + 600);
}

#[test]
fn a_zone_that_recovers_cold_under_load_is_not_overloaded() {
    let cold = [
        (
            "nodes 4 cores 2 work 5ms queue 32",
            "nodes 4 cores 1 work 20ms queue 32",
        ),
        ("cold 25% 3s 4 1s 60 3s", "cold 25% 8s 1.5 2s 37 4s"),
        ("rate 60/s", "rate 150/s"),
    ];
    let head = replaced(HEAD, &cold);
    // The zone consists of nodes 1 and 3 and the odd hosts. The hosts restart two seconds after the nodes, with a list
    // that contains the nodes' start. A host that is killed in the middle of a response closes the connection after it,
    // so that clients do not reuse the connection.
    let zone = "at 4s node 1 kill for 2s\nat 4s node 3 kill for 2s\n";
    let hosts: Vec<String> = (0..10)
        .map(|n| format!("at 4s host {} kill for 4s\n", 2 * n + 1))
        .collect();
    let program = program().with_arguments(&["--list-turn", "120"]);
    let text = format!("{head}day 15s\n{zone}{}", hosts.concat());
    let outcome = play(&text, 5, &program);
    assert_clean(&outcome);
    assert_eq!(outcome.verdict.collapses, 0);
    assert!(
        outcome.peak_cold_load > 0.1 && outcome.peak_cold_load < 1.0,
        "peak load on a cold node: {}",
        outcome.peak_cold_load
    );
}

#[test]
fn hosts_with_stalled_watches_poll_again_before_the_notification_deadline() {
    // The watches of 12 of 20 hosts stall at 6 s, and three nodes are drained at 9 s. At 250 ms for a poll, jitter over
    // the time of all polls (5 s) would let some hosts poll after 12 s.
    play_with_slow_pacing("day 15s\nat 6s list forgets 0..12\nat 9s node 0..3 replace for 5s\n");
}
