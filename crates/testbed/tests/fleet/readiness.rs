//! Readiness of twenty restarted hosts, with and without an initial endpoint list, in every state of the discovery
//! service. Guards against hosts with a cached list that wait for the service, and against hosts without a list that
//! are not ready once they receive their first one.
use crate::support::{play, program};
use mallowseam_audit::fleet::record::Event;
use mallowseam_testbed::fleet::outcome::Outcome;

const HEAD: &str = "day 14s\nhosts 20 known now\nzones 2\nnodes 4 cores 2 work 5ms queue 32\nlines 64 1ms\n\
    cold 25% 3s 4 1s 60 3s\nclients rate 60/s posts 30% again 1\nlist takes 30ms patience 1s lag 100ms\n\
    at 3s host all kill for 200ms\n";
/// Minimum number of hosts, of twenty, that must be ready within [`READY_DEADLINE`] of their restart (users'
/// requirement).
const MIN_READY_HOSTS: usize = 18;
/// Time after a restart within which a host must be ready, in microseconds.
const READY_DEADLINE: u64 = 10_000_000;

fn play_with(known: &str, list: &str, seed: u64) -> Outcome {
    let text = format!("{HEAD}{list}").replace("known now", &format!("known {known}"));
    play(&text, seed, &program())
}

/// Returns the time from restart to readiness of each host in microseconds, ascending. Hosts that were never ready are
/// left out.
fn readiness_delays(outcome: &Outcome) -> Vec<u64> {
    let restarted_after = 3_000_000;
    let mut delays: Vec<u64> = (0..20)
        .filter_map(|host| {
            let started_at = outcome.observations.iter().find_map(|o| {
                (o.at > restarted_after
                    && matches!(o.event, Event::HostStarted { host: h } if h == host))
                .then_some(o.at)
            })?;
            outcome.observations.iter().find_map(|o| {
                let ready = matches!(o.event, Event::HostReady { host: h } if h == host);
                (o.at >= started_at && ready).then(|| o.at - started_at)
            })
        })
        .collect();
    delays.sort_unstable();
    delays
}

/// States of the discovery service while hosts restart at 3 s, each with its name and the lines that script it.
const SERVICE_STATES: [(&str, &str); 5] = [
    ("up", ""),
    (
        "down until 8 s after the restart",
        "at 2900ms list away for 8300ms\n",
    ),
    ("three times slower", "at 2900ms list slow 3 for 12s\n"),
    ("hung", "at 2900ms list mute for 12s\n"),
    (
        "rejecting nine in ten polls",
        "at 2900ms list refuses 90% for 12s\n",
    ),
];

/// Plays the scenario in all states of the discovery service concurrently, and checks each outcome.
fn in_all_service_states(known: &str, check: impl Fn(&str, &Outcome, &[u64]) + Sync) {
    std::thread::scope(|scope| {
        for (state, list) in SERVICE_STATES {
            let check = &check;
            scope.spawn(move || {
                let outcome = play_with(known, list, 5);
                let delays = readiness_delays(&outcome);
                println!("service {state}, initial list {known}: {delays:?}");
                check(state, &outcome, &delays);
                let evidence = outcome.verdict.evidence();
                assert!(
                    outcome.crashed.is_empty() && outcome.verdict.is_clean(),
                    "{state}: {evidence:?}"
                );
            });
        }
    });
}

#[test]
fn restarted_hosts_with_a_cached_list_are_ready_in_every_service_state() {
    in_all_service_states("now", |state, _, delays| {
        assert!(
            delays.len() == 20 && delays[19] < 2_000_000,
            "{state}: {delays:?}"
        );
    });
}

#[test]
fn restarted_hosts_without_a_cached_list_are_ready_with_their_first_list() {
    in_all_service_states("none", |state, outcome, delays| {
        let within = delays.iter().filter(|t| **t <= READY_DEADLINE).count();
        match state {
            "hung" => assert_eq!(within, 0, "a host without a list is ready"),
            // Each poll is served with a probability of 1/10.
            "rejecting nine in ten polls" => {
                assert!(within > 0 && outcome.verdict.polls > 40, "{delays:?}");
            }
            _ => assert!(within >= MIN_READY_HOSTS, "{state}: {delays:?}"),
        }
    });
}
