//! Cold starts in simulated time. Guards against hosts that poll all at once, so that the queue of the discovery service
//! grows with the number of hosts, and against hosts that receive their list later than the bound.
use mallowseam_models::cold_start::{ColdStartCase, run};

/// Maximum simulated duration of a cold start, in microseconds.
const MAX_DURATION: u64 = 600_000_000;

fn case(hosts: u32) -> ColdStartCase {
    ColdStartCase {
        hosts,
        service_time: 25_000,
        advertised_service_time: Some(30_000),
        down_until: 0,
        already_running: false,
    }
}

#[test]
fn paced_polls_keep_the_queue_short_for_any_number_of_hosts() {
    for hosts in [100, 1_000] {
        let paced = run(case(hosts), 1, MAX_DURATION);
        let bound = 1.5 * f64::from(hosts) * 25_000.0;
        assert!(
            paced.max_queued <= 40,
            "{hosts} hosts: {} polls queued",
            paced.max_queued
        );
        assert!(
            paced.polls * 10 <= u64::from(hosts) * 12,
            "{hosts} hosts: {} polls in total",
            paced.polls
        );
        let last = paced.list_delay_within(1.0);
        assert!(
            last.is_some_and(|t| (t as f64) < bound + 1e6),
            "{hosts} hosts: last list after {last:?} microseconds"
        );
        assert_eq!(paced.list_delays.len(), hosts as usize);
        let unpaced = run(
            ColdStartCase {
                advertised_service_time: Some(0),
                ..case(hosts)
            },
            1,
            MAX_DURATION,
        );
        assert!(
            unpaced.max_queued > 40,
            "{hosts} hosts: only {} polls queued",
            unpaced.max_queued
        );
    }
}

#[test]
fn after_an_outage_all_hosts_receive_a_list_within_the_bound() {
    for already_running in [false, true] {
        let outage = ColdStartCase {
            down_until: 20_000_000,
            already_running,
            ..case(300)
        };
        let outcome = run(outage, 2, MAX_DURATION);
        assert!(
            outcome.max_queued <= 40,
            "{} polls queued",
            outcome.max_queued
        );
        let last = outcome.list_delay_within(1.0);
        assert!(
            last.is_some_and(|t| t <= 11_250_000),
            "last list after {last:?} microseconds"
        );
    }
}

#[test]
fn hosts_without_an_advertised_service_time_receive_a_list_within_six_seconds() {
    for hosts in [100, 300, 1_000] {
        let fast = ColdStartCase {
            advertised_service_time: None,
            service_time: 2_000,
            down_until: 20_000_000,
            ..case(hosts)
        };
        let outcome = run(fast, 4, MAX_DURATION);
        let last = outcome.list_delay_within(1.0);
        assert_eq!(
            outcome.hosts_with_list_by(6_000_000),
            hosts as usize,
            "last list after {last:?} microseconds"
        );
        assert!(
            outcome.max_queued <= 500,
            "{hosts} hosts: {} polls queued",
            outcome.max_queued
        );
    }
}

#[test]
fn a_service_three_times_slower_than_advertised_serves_all_hosts() {
    let outcome = run(
        ColdStartCase {
            service_time: 75_000,
            ..case(300)
        },
        3,
        MAX_DURATION,
    );
    assert_eq!(outcome.list_delays.len(), 300);
    let last = outcome.list_delay_within(1.0);
    assert!(
        last.is_some_and(|t| t <= 1_500 * 300 * 75),
        "last list after {last:?} microseconds"
    );
}
