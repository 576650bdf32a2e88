use super::*;

fn case(hosts: u32) -> Case {
    Case { hosts, takes: 25_000, told: Some(30_000), down: 0, running: false }
}

#[test]
fn paced_calls_wait_for_less_than_a_second_each_however_many_hosts_start_and_as_before_they_do_not() {
    for hosts in [100, 1_000] {
        let paced = run(case(hosts), 1, 600_000_000);
        let bound = 1.5 * f64::from(hosts) * 25_000.0;
        assert!(paced.most_waiting <= 40, "{hosts}: {}", paced.most_waiting);
        assert!(paced.calls * 10 <= u64::from(hosts) * 12, "{hosts}: {} calls", paced.calls);
        assert!(
            paced.fresh_at(1.0).is_some_and(|t| (t as f64) < bound + 1e6),
            "{hosts}: {:?}",
            paced.fresh_at(1.0)
        );
        assert_eq!(paced.fresh.len(), hosts as usize);
        let before = run(Case { told: Some(0), ..case(hosts) }, 1, 600_000_000);
        assert!(before.most_waiting > 40, "{hosts}: {}", before.most_waiting);
    }
}

#[test]
fn after_an_outage_all_have_a_list_within_the_same_bound_and_no_crowd_waits() {
    for running in [false, true] {
        let came = run(Case { down: 20_000_000, running, ..case(300) }, 2, 600_000_000);
        assert!(came.most_waiting <= 40, "{}", came.most_waiting);
        assert!(came.fresh_at(1.0).is_some_and(|t| t <= 11_250_000), "{:?}", came.fresh_at(1.0));
    }
}

#[test]
fn hosts_that_no_one_tells_what_a_call_takes_have_a_list_within_six_seconds_of_a_quick_services_return() {
    for hosts in [100, 300, 1_000] {
        let quick = Case { told: None, takes: 2_000, down: 20_000_000, ..case(hosts) };
        let came = run(quick, 4, 600_000_000);
        assert_eq!(came.fresh_by(6_000_000), hosts as usize, "{:?}", came.fresh_at(1.0));
        assert!(came.most_waiting <= 500, "{hosts}: {}", came.most_waiting);
    }
}

#[test]
fn a_service_three_times_slower_than_hosts_are_told_serves_all_in_the_end() {
    let came = run(Case { takes: 75_000, ..case(300) }, 3, 600_000_000);
    assert_eq!(came.fresh.len(), 300);
    assert!(came.fresh_at(1.0).is_some_and(|t| t <= 1_500 * 300 * 75), "{:?}", came.fresh_at(1.0));
}
