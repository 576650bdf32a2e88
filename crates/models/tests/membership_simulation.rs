//! The membership protocol in simulated time: starts, kills, leaves, partitions, stops and name conflicts. Guards against
//! tables that do not converge, and against running members that are listed as suspect or unreachable.
use mallowseam_fleet::{MemberState, Membership, MembershipEvent};
use mallowseam_models::membership::simulation::{Simulation, address, name};

/// Number of seeds that each test runs with.
const SEEDS: u64 = 20;

fn five_hosts(seed: u64) -> Simulation {
    let mut fleet = Simulation::new(5, 2, 2, seed);
    (0..5).for_each(|host| fleet.start(host));
    assert!(
        fleet.time_to_converge(10_000).is_some(),
        "five hosts must converge after they start"
    );
    fleet
}

fn is_unreachable(event: &MembershipEvent) -> bool {
    matches!(
        event,
        MembershipEvent::MemberUpdated {
            current: MemberState::Unreachable,
            ..
        }
    )
}

#[test]
fn members_that_start_together_converge_and_all_list_a_killed_one_as_unreachable() {
    for seed in 0..SEEDS {
        let mut fleet = five_hosts(seed);
        fleet.kill(3);
        let elapsed = fleet
            .time_to_converge(60_000)
            .expect("all hosts detect the kill");
        assert!(elapsed >= 5_000, "converged after only {elapsed} ms");
        assert!((0..3).all(|host| fleet.observed_state(host, 3) == Some(MemberState::Unreachable)));
    }
}

#[test]
fn a_leaving_member_is_listed_as_leaving_within_50_ms_and_as_alive_after_a_restart() {
    for seed in 0..SEEDS {
        let mut fleet = five_hosts(seed);
        let all_observe = |fleet: &Simulation, state| {
            [0, 1, 3, 4]
                .iter()
                .all(|host| fleet.observed_state(*host, 2) == Some(state))
        };
        fleet.announce_leaving(2);
        fleet.run_until(fleet.now + 50);
        assert!(all_observe(&fleet, MemberState::Leaving), "seed {seed}");
        fleet.announce_left(2);
        fleet.run_until(fleet.now + 50);
        fleet.kill(2);
        assert!(all_observe(&fleet, MemberState::Left), "seed {seed}");
        fleet.start(2);
        assert!(fleet.time_to_converge(20_000).is_some(), "seed {seed}");
    }
}

#[test]
fn the_sides_of_a_healed_partition_merge_without_seeds() {
    for seed in 0..SEEDS {
        let mut fleet = five_hosts(seed);
        (0..5).for_each(|host| fleet.set_side(host, (host as u32) % 2));
        fleet.run_until(fleet.now + 120_000);
        assert_eq!(
            fleet.observed_state(0, 1),
            Some(MemberState::Unreachable),
            "seed {seed}"
        );
        (0..5).for_each(|host| {
            fleet.set_side(host, 0);
            fleet
                .membership_mut(host)
                .expect("the host is running")
                .set_seeds(Vec::new());
        });
        assert!(fleet.time_to_converge(90_000).is_some(), "seed {seed}");
    }
}

#[test]
fn a_host_that_was_isolated_does_not_spread_suspicions_of_the_others() {
    for seed in 0..SEEDS {
        let mut fleet = five_hosts(seed);
        fleet.set_side(4, 1);
        fleet.run_until(fleet.now + 60_000);
        assert!(
            fleet.membership(4).is_some_and(Membership::is_isolated),
            "seed {seed}"
        );
        fleet.events.clear();
        fleet.set_side(4, 0);
        assert!(fleet.time_to_converge(90_000).is_some(), "seed {seed}");
        let accuses_another = |event: &MembershipEvent| match event {
            MembershipEvent::MemberUpdated {
                name: member,
                current,
                ..
            } => {
                *member != name(4)
                    && matches!(current, MemberState::Suspect | MemberState::Unreachable)
            }
            _ => false,
        };
        let observed = fleet.events.iter().filter(|observed| observed.host != 4);
        let false_suspicions: Vec<_> = observed
            .filter(|observed| accuses_another(&observed.event))
            .collect();
        assert!(
            false_suspicions.is_empty(),
            "seed {seed}: {false_suspicions:?}"
        );
    }
}

#[test]
fn the_later_of_two_processes_with_the_same_name_supersedes_the_earlier_one() {
    for seed in 0..SEEDS {
        let mut fleet = Simulation::new(6, 2, 2, seed);
        (0..5).for_each(|host| fleet.start(host));
        fleet.run_until(10_000);
        fleet.start_as(5, 3);
        fleet.run_until(fleet.now + 20_000);
        let superseded_by = |host| fleet.membership(host).and_then(Membership::superseded_by);
        assert_eq!(superseded_by(3), Some(address(5)), "seed {seed}");
        assert_eq!(superseded_by(5), None, "seed {seed}");
        let known_address = |host: usize| {
            let mut members = fleet.membership(host)?.members();
            members
                .find(|(record, _)| record.name == name(3))
                .map(|(record, _)| record.address)
        };
        assert!(
            [0, 1, 2, 4]
                .iter()
                .all(|host| known_address(*host) == Some(address(5))),
            "seed {seed}"
        );
    }
}

#[test]
fn a_host_that_is_stopped_for_five_seconds_causes_no_false_positives() {
    for seed in 0..SEEDS {
        let mut fleet = five_hosts(seed);
        fleet.events.clear();
        fleet.stop(1, 5_000);
        fleet.run_until(fleet.now + 30_000);
        assert!(
            !fleet
                .events
                .iter()
                .any(|observed| is_unreachable(&observed.event)),
            "seed {seed}: {:?}",
            fleet.events
        );
        assert!(fleet.is_converged(), "seed {seed}");
    }
}

#[test]
fn link_delays_above_the_protocol_period_cause_false_positives_and_below_half_of_it_none() {
    let false_positives = |period| {
        let mut fleet = Simulation::new(60, 3, 3, 4);
        fleet.config.protocol_period = period;
        (0..60).for_each(|host| fleet.start(host));
        assert!(fleet.time_to_converge(100 * period).is_some());
        fleet.events.clear();
        (fleet.min_delay, fleet.delay_spread) = (300, 100);
        fleet.run_until(fleet.now + 60 * period);
        fleet
            .events
            .iter()
            .filter(|observed| is_unreachable(&observed.event))
            .count()
    };
    assert_eq!(false_positives(1_000), 0);
    let with_slow_links = false_positives(250);
    assert!(with_slow_links > 0, "{with_slow_links} false positives");
}
