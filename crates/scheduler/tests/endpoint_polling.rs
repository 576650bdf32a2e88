//! When hosts poll the endpoint list.
mod support;

use mallowseam_scheduler::interface::{EndpointEvent, SchedulerConfig, Tick};
use support::{Action, Harness, config};

#[test]
fn poll_of_another_service_is_not_delayed_when_the_old_watch_ends() {
    let config = SchedulerConfig {
        hosts: 300,
        max_poll_delay: 100_000,
        ..config()
    };
    for seed in 0..20 {
        let mut harness = Harness::starting(&config, seed);
        harness.advance(100_000);
        harness.on_endpoints(EndpointEvent::Incremental, &[]);
        harness.host.actions.clear();
        let from = harness.host.now;
        harness.move_discovery();
        harness.advance(5);
        harness.on_endpoints(EndpointEvent::PollFailed, &[]);
        harness.advance(90_000);
        let at = harness
            .host
            .actions
            .iter()
            .find(|d| d.1 == Action::PolledEndpoints)
            .expect("a poll")
            .0;
        assert!(at - from <= 20_100, "{} after the move", at - from);
    }
}

/// When each of so many hosts polls a service that fails so often, from its start or from the loss of all watches.
fn poll_times(hosts: u32, failing: usize, lost: bool) -> Vec<Vec<Tick>> {
    let config = SchedulerConfig { hosts, ..config() };
    let one = |seed| {
        let mut harness = Harness::starting(&config, u64::from(seed));
        if lost {
            harness.advance(1_000_000);
            harness.on_endpoints(EndpointEvent::Incremental, &[]);
            harness.host.actions.clear();
            harness.on_endpoints(EndpointEvent::PollFailed, &[]);
        }
        let began = harness.host.now;
        for _ in 0..failing {
            let polls = harness.count(Action::PolledEndpoints);
            while harness.count(Action::PolledEndpoints) == polls {
                harness.advance(100);
            }
            harness.on_endpoints(EndpointEvent::PollFailed, &[]);
        }
        harness
            .host
            .actions
            .iter()
            .filter(|d| d.1 == Action::PolledEndpoints)
            .map(|d| d.0 - began)
            .collect()
    };
    (0..hosts).map(one).collect()
}

#[test]
fn few_hosts_back_off_to_one_poll_a_second_while_the_service_is_down() {
    for at in poll_times(3, 8, false) {
        assert!(at[0] < 2_000 && at[1] - at[0] < 5_000, "{at:?}");
        assert!((10_000..11_000).contains(&(at[7] - at[6])), "{at:?}");
    }
}

#[test]
fn many_hosts_that_start_or_lose_their_watch_together_poll_within_the_service_rate() {
    for lost in [false, true] {
        let mut all: Vec<Tick> = poll_times(150, 3, lost).into_iter().flatten().collect();
        all.sort_unstable();
        // At 30 ms a poll the service handles 33 in a second; random turns add some.
        let most = all
            .iter()
            .map(|at| {
                all.iter()
                    .filter(|b| (*at..at + 10_000).contains(*b))
                    .count()
            })
            .max();
        assert!(
            most.is_some_and(|most| most < 60),
            "{most:?}, lost at once: {lost}"
        );
    }
    for at in poll_times(150, 3, true) {
        assert!(
            at[0] < 45_000 && at.windows(2).all(|w| (w[1] - w[0] - 45_000).abs() < 200),
            "{at:?}"
        );
    }
}

#[test]
fn host_whose_poll_failed_polls_again_within_six_seconds_of_the_service_return() {
    // Counted from the start of a poll that just missed the return: what is left must hold the next one.
    let left = 60_000 - 12_000;
    for hosts in [100, 300, 4_600] {
        for at in poll_times(hosts.min(300), 4, true) {
            assert!(
                at[0] <= left && at.windows(2).all(|w| w[1] - w[0] <= left),
                "{hosts}: {at:?}"
            );
        }
        // After a failure at 1.2 s without a response head, or at 4 s without its first line, the next is no later.
        for (took, event) in [
            (12_500, EndpointEvent::PollFailed),
            (12_500, EndpointEvent::WatchSilent),
            (40_500, EndpointEvent::PollFailed),
        ] {
            let mut harness =
                Harness::starting(&SchedulerConfig { hosts, ..config() }, u64::from(hosts));
            for _ in 0..4 {
                let before = harness.count(Action::PolledEndpoints);
                while harness.count(Action::PolledEndpoints) == before {
                    harness.advance(100);
                }
                harness.advance(took);
                harness.on_endpoints(event, &[]);
            }
            let at: Vec<Tick> = harness
                .host
                .actions
                .iter()
                .filter(|d| d.1 == Action::PolledEndpoints)
                .map(|d| d.0)
                .collect();
            assert!(
                at.windows(2).all(|w| w[1] - w[0] <= left),
                "{hosts}, {took}: {at:?}"
            );
        }
    }
}

#[test]
fn host_that_was_stopped_past_its_next_poll_polls_at_once() {
    let mut harness = Harness::starting(
        &SchedulerConfig {
            hosts: 300,
            ..config()
        },
        3,
    );
    while harness.count(Action::PolledEndpoints) == 0 {
        harness.advance(100);
    }
    harness.host.now += 90_000;
    harness.on_endpoints(EndpointEvent::PollFailed, &[]);
    harness.advance(100);
    assert_eq!(harness.count(Action::PolledEndpoints), 2);
}

/// When the last of 300 hosts makes its first poll.
fn last_first_poll(config: &SchedulerConfig, before: impl Fn(&mut Harness)) -> Tick {
    let first = |seed| {
        let mut harness = Harness::starting(config, seed);
        before(&mut harness);
        let from = harness.host.now;
        harness.advance(200_000);
        harness
            .host
            .actions
            .iter()
            .find(|d| d.1 == Action::PolledEndpoints)
            .expect("a poll")
            .0
            - from
    };
    (0..300).map(first).max().expect("hosts")
}

#[test]
fn no_host_polls_later_than_the_rule_on_draining_nodes_allows() {
    let paced = SchedulerConfig {
        hosts: 300,
        ..config()
    };
    let last = last_first_poll(&paced, |_| {});
    assert!(
        (40_000..=46_000).contains(&last),
        "what the service has counts as known after 6 s: {last}"
    );
    let known_slow = SchedulerConfig {
        poll_service_time: Some(300),
        ..paced.clone()
    };
    let last = last_first_poll(&known_slow, |_| {});
    assert!(
        last > 80_000,
        "30 ms for each of 300 hosts, where they are known to take it: {last}"
    );
    let fewer = SchedulerConfig {
        hosts: 100,
        ..paced.clone()
    };
    let last = last_first_poll(&fewer, |_| {});
    assert!(
        (27_000..=30_100).contains(&last),
        "30 ms for each of 100 hosts: {last}"
    );
    let within = SchedulerConfig {
        max_poll_delay: 50_000,
        ..paced.clone()
    };
    assert!(
        last_first_poll(&within, |_| {}) <= 40_100,
        "four fifths of the time that it may go without"
    );
    let pushed = SchedulerConfig {
        endpoints_pushed: true,
        max_poll_delay: 100_000,
        ..paced.clone()
    };
    assert!(
        last_first_poll(&pushed, |_| {}) <= 2_100,
        "what the service knows counts as known at once"
    );
    let silent = |harness: &mut Harness| {
        harness.advance(100_000);
        harness.on_endpoints(EndpointEvent::Incremental, &[]);
        harness.host.actions.clear();
        harness.on_endpoints(EndpointEvent::WatchSilent, &[]);
    };
    let last = last_first_poll(&paced, silent);
    assert!(
        (10_000..=16_100).contains(&last),
        "what a silent watch misses counts as known: {last}"
    );
    let unanswered = |harness: &mut Harness| {
        harness.advance(100_000);
        harness.host.actions.clear();
        harness.on_endpoints(EndpointEvent::WatchSilent, &[]);
    };
    assert!(
        last_first_poll(&paced, unanswered) <= 16_100,
        "as does what follows a poll without an answer"
    );
    let again = |harness: &mut Harness| {
        unanswered(harness);
        harness.advance(20_000);
        harness.host.actions.clear();
        harness.on_endpoints(EndpointEvent::WatchSilent, &[]);
    };
    let last = last_first_poll(&paced, again);
    // It polled within 1.6 s, and the service was silent again at 2 s: from that poll on it has 4.6 s.
    assert!(
        (26_000..=46_000).contains(&last),
        "a silent service is not polled for ever: {last}"
    );
}

#[test]
fn hosts_that_move_to_another_service_spread_their_polls_over_two_seconds() {
    let config = SchedulerConfig {
        hosts: 300,
        ..config()
    };
    let delays: Vec<Tick> = (0..100)
        .map(|seed| {
            let mut harness = Harness::starting(&config, seed);
            harness.advance(200_000);
            harness.on_endpoints(EndpointEvent::Incremental, &[]);
            harness.host.actions.clear();
            let from = harness.host.now;
            harness.move_discovery();
            harness.advance(30_000);
            let at = harness
                .host
                .actions
                .iter()
                .find(|d| d.1 == Action::PolledEndpoints)
                .expect("a poll")
                .0;
            at - from
        })
        .collect();
    assert!(delays.iter().all(|at| *at <= 20_100));
    assert!(
        (1..20).all(|n| delays.iter().filter(|at| (**at / 1_000) == n).count() < 20),
        "{delays:?}"
    );
}
