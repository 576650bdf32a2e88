//! Scenarios of restarts drawn from a seed. A seed could draw different scenarios each time, or start a host before it
//! may have been killed.
use mallowseam_scenarios::fleet::{FaultAction, Scenario};
use mallowseam_scenarios::restart_schedule::random_scenario;

const SEEDS: std::ops::Range<u64> = 0..200;
const MILLISECOND: u64 = 1_000;

/// Returns the times at which an action affects a host.
fn times(scenario: &Scenario, host: u32, is_action: impl Fn(&FaultAction) -> bool) -> Vec<u64> {
    let is_of_host = |action: &FaultAction| match action {
        FaultAction::TerminateHosts(hosts)
        | FaultAction::KillHosts(hosts)
        | FaultAction::StartHosts(hosts) => hosts.contains(host),
        _ => false,
    };
    let faults = scenario.faults.iter();
    let of_host = faults.filter(|fault| is_of_host(&fault.action) && is_action(&fault.action));
    of_host.map(|fault| fault.at).collect()
}

#[test]
fn a_seed_draws_the_same_scenario_each_time() {
    for seed in SEEDS {
        let [first, second] = [(); 2].map(|()| format!("{:?}", random_scenario(seed, None)));
        assert_eq!(first, second);
    }
    let all: std::collections::BTreeSet<String> = SEEDS
        .map(|seed| format!("{:?}", random_scenario(seed, None).faults))
        .collect();
    assert_eq!(all.len(), SEEDS.count(), "two seeds draw the same faults");
}

#[test]
fn hosts_are_started_again_no_sooner_than_they_may_be_killed() {
    let mut terminations = 0;
    for scenario in SEEDS.map(|seed| random_scenario(seed, None)) {
        let longest = scenario.load.write_timeout.max(scenario.load.read_timeout);
        let until_kill = longest.min(3_000 * MILLISECOND) + 700 * MILLISECOND;
        for host in 0..scenario.hosts {
            let starts = times(&scenario, host, |a| matches!(a, FaultAction::StartHosts(_)));
            let ends = times(&scenario, host, |a| {
                matches!(a, FaultAction::TerminateHosts(_))
            });
            terminations += ends.len();
            for start in starts {
                // The time runs from the first signal since the previous start.
                let before = times(&scenario, host, |a| matches!(a, FaultAction::StartHosts(_)));
                let previous = before
                    .into_iter()
                    .filter(|at| *at < start)
                    .max()
                    .unwrap_or(0);
                let first = ends.iter().find(|at| (previous..start).contains(at));
                assert!(first.is_none_or(|at| start > at + until_kill));
            }
        }
        let last = scenario.faults.last().map_or(0, |fault| fault.at);
        assert!(last < scenario.duration, "{}: {last}", scenario.name);
    }
    assert!(terminations > 1_000, "{terminations}");
}
