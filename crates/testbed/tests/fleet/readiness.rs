//! When restarted hosts are ready: twenty processes, with and without an initial list, in every state of the discovery
//! service.
use crate::support::{play, program};
use mallowseam_audit::fleet::record::Event;
use mallowseam_testbed::fleet::outcome::Outcome;

const HEAD: &str = "day 14s\nhosts 20 known now\nzones 2\nnodes 4 cores 2 work 5ms queue 32\nlines 64 1ms\n\
    cold 25% 3s 4 1s 60 3s\nclients rate 60/s posts 30% again 1\nlist takes 30ms patience 1s lag 100ms\n\
    at 3s host all kill for 200ms\n";
/// Hosts, of twenty, that must be ready within [`READY_WITHIN`] microseconds of their restart (the users' page).
const READY_HOSTS_REQUIRED: usize = 18;
const READY_WITHIN: u64 = 10_000_000;

fn play_with(known: &str, list: &str, seed: u64) -> Outcome {
    let text = format!("{HEAD}{list}").replace("known now", &format!("known {known}"));
    play(&text, seed, &program())
}

/// Time from restart to readiness of each host, ascending; hosts that were never ready are left out.
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

/// States of the discovery service while hosts restart at 3 s.
const SERVICE_STATES: [(&str, &str); 5] = [
    ("up", ""),
    (
        "away until 8 s into the start",
        "at 2900ms list away for 8300ms\n",
    ),
    ("three times slower", "at 2900ms list slow 3 for 12s\n"),
    ("mute", "at 2900ms list mute for 12s\n"),
    (
        "refusing nine in ten",
        "at 2900ms list refuses 90% for 12s\n",
    ),
];

/// Plays all states at the same time.
fn in_all_service_states(known: &str, check: impl Fn(&str, &Outcome, &[u64]) + Sync) {
    std::thread::scope(|scope| {
        for (state, list) in SERVICE_STATES {
            let check = &check;
            scope.spawn(move || {
                let outcome = play_with(known, list, 5);
                let delays = readiness_delays(&outcome);
                println!("{state}, knowing {known}: {delays:?}");
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
        let within = delays.iter().filter(|t| **t <= READY_WITHIN).count();
        match state {
            "mute" => assert_eq!(within, 0, "no host has learned of a node"),
            // Each poll is served with a chance of one in ten.
            "refusing nine in ten" => {
                assert!(within > 0 && outcome.verdict.polls > 40, "{delays:?}");
            }
            _ => assert!(within >= READY_HOSTS_REQUIRED, "{state}: {delays:?}"),
        }
    });
}
