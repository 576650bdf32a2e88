//! When hosts poll the endpoint list. Hosts that start, lose their watches or move to another discovery service
//! together would overload it if they polled at once; a host that polls too late would send to a draining node.
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
            .expect("the host polls")
            .0;
        assert!(at - from <= 20_100, "{} after the move", at - from);
    }
}

/// Returns the times at which each host polls a service that fails `failing` times, counted from the start of the
/// hosts, or if `lost`, from the loss of all watches.
fn poll_times(hosts: u32, failing: usize, lost: bool) -> Vec<Vec<Tick>> {
    let config = SchedulerConfig { hosts, ..config() };
    let poll_times_of_host = |seed| {
        let mut harness = Harness::starting(&config, u64::from(seed));
        if lost {
            harness.advance(1_000_000);
            harness.on_endpoints(EndpointEvent::Incremental, &[]);
            harness.host.actions.clear();
            harness.on_endpoints(EndpointEvent::PollFailed, &[]);
        }
        let start = harness.host.now;
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
            .map(|d| d.0 - start)
            .collect()
    };
    (0..hosts).map(poll_times_of_host).collect()
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
        // With 30 ms per poll, the service answers 33 polls per second; random times add some.
        let max_per_second = all
            .iter()
            .map(|at| {
                all.iter()
                    .filter(|b| (*at..at + 10_000).contains(*b))
                    .count()
            })
            .max();
        assert!(
            max_per_second.is_some_and(|max| max < 60),
            "{max_per_second:?} polls in a second, watches lost: {lost}"
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
    // The 6 s count from the start of a poll that just missed the return. The next poll needs 1.2 s of them.
    let max_interval = 60_000 - 12_000;
    for hosts in [100, 300, 4_600] {
        for at in poll_times(hosts.min(300), 4, true) {
            assert!(
                at[0] <= max_interval && at.windows(2).all(|w| w[1] - w[0] <= max_interval),
                "{hosts} hosts: polls at {at:?}"
            );
        }
        // A poll that fails after 1.2 s without a response head, or after 4 s without the first line, does not delay
        // the next one.
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
                at.windows(2).all(|w| w[1] - w[0] <= max_interval),
                "{hosts} hosts, failure after {took}: polls at {at:?}"
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

/// Returns the delay after which the last of 300 hosts makes its first poll.
fn latest_first_poll(config: &SchedulerConfig, before: impl Fn(&mut Harness)) -> Tick {
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
            .expect("the host polls")
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
    let last = latest_first_poll(&paced, |_| {});
    assert!(
        (40_000..=46_000).contains(&last),
        "the host must know everything that the service has after 6 s: {last}"
    );
    let known_slow = SchedulerConfig {
        poll_service_time: Some(300),
        ..paced.clone()
    };
    let last = latest_first_poll(&known_slow, |_| {});
    assert!(
        last > 80_000,
        "the polls of 300 hosts are known to take 30 ms each: {last}"
    );
    let fewer = SchedulerConfig {
        hosts: 100,
        ..paced.clone()
    };
    let last = latest_first_poll(&fewer, |_| {});
    assert!(
        (27_000..=30_100).contains(&last),
        "the polls of 100 hosts are assumed to take 30 ms each: {last}"
    );
    let within = SchedulerConfig {
        max_poll_delay: 50_000,
        ..paced.clone()
    };
    assert!(
        latest_first_poll(&within, |_| {}) <= 40_100,
        "the host polls within four fifths of the maximum poll delay"
    );
    let pushed = SchedulerConfig {
        endpoints_pushed: true,
        max_poll_delay: 100_000,
        ..paced.clone()
    };
    assert!(
        latest_first_poll(&pushed, |_| {}) <= 2_100,
        "the host must know everything that the service knows at once"
    );
    let silent = |harness: &mut Harness| {
        harness.advance(100_000);
        harness.on_endpoints(EndpointEvent::Incremental, &[]);
        harness.host.actions.clear();
        harness.on_endpoints(EndpointEvent::WatchSilent, &[]);
    };
    let last = latest_first_poll(&paced, silent);
    assert!(
        (10_000..=16_100).contains(&last),
        "the host must know updates that a silent watch failed to send: {last}"
    );
    let unanswered = |harness: &mut Harness| {
        harness.advance(100_000);
        harness.host.actions.clear();
        harness.on_endpoints(EndpointEvent::WatchSilent, &[]);
    };
    assert!(
        latest_first_poll(&paced, unanswered) <= 16_100,
        "the host must know updates that follow a poll without an answer"
    );
    let again = |harness: &mut Harness| {
        unanswered(harness);
        harness.advance(20_000);
        harness.host.actions.clear();
        harness.on_endpoints(EndpointEvent::WatchSilent, &[]);
    };
    let last = latest_first_poll(&paced, again);
    // The host polled within 1.6 s, and the service was silent again after 2 s. The next poll is due within 4.6 s of
    // that poll.
    assert!(
        (26_000..=46_000).contains(&last),
        "a service that stays silent is not polled in short succession: {last}"
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
                .expect("the host polls")
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
