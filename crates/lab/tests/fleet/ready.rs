//! When hosts that start anew are ready: twenty processes, each with the list that its configuration knows or none, before a
//! list service in every state.
use crate::stage::{program, scene};
use mallowseam_lab::fleet::play::{self, Outcome};
use mallowseam_lab::fleet::record::What;

const HEAD: &str = "day 14s\nhosts 20 known now\nzones 2\nnodes 4 cores 2 work 5ms queue 32\nlines 64 1ms\n\
    cold 25% 3s 4 1s 60 3s\nclients rate 60/s posts 30% again 1\nlist takes 30ms patience 1s lag 100ms\n\
    at 3s host all kill for 200ms\n";
/// Hosts that have to be ready within so many microseconds of their restart, of twenty (the users' page).
const WANTED: usize = 18;
const WITHIN: u64 = 10_000_000;

fn played(known: &str, list: &str, seed: u64) -> Outcome {
    let text = format!("{HEAD}{list}").replace("known now", &format!("known {known}"));
    let dir = tempfile::tempdir().expect("a directory");
    play::run(&scene(&text), seed, &program(), dir.path(), &mut |_, _| {}).expect("a run")
}

/// For how long each restarted host was not ready, in order; those that never were are left out.
fn ready_after(outcome: &Outcome) -> Vec<u64> {
    let restarts = 3_000_000;
    let mut took: Vec<u64> = (0..20)
        .filter_map(|host| {
            let began = outcome.seen.iter().find_map(|s| {
                (s.at > restarts && matches!(s.what, What::HostUp { host: h } if h == host)).then_some(s.at)
            })?;
            outcome.seen.iter().find_map(|s| {
                let ready = matches!(s.what, What::HostReady { host: h } if h == host);
                (s.at >= began && ready).then(|| s.at - began)
            })
        })
        .collect();
    took.sort_unstable();
    took
}

/// How the list service is while hosts restart at 3 s.
const STATES: [(&str, &str); 5] = [
    ("up", ""),
    ("away until 8 s into the start", "at 2900ms list away for 8300ms\n"),
    ("three times slower", "at 2900ms list slow 3 for 12s\n"),
    ("mute", "at 2900ms list mute for 12s\n"),
    ("refusing nine in ten", "at 2900ms list refuses 90% for 12s\n"),
];

/// Plays all states beside each other.
fn in_all_states(known: &str, judge: impl Fn(&str, &Outcome, &[u64]) + Sync) {
    std::thread::scope(|scope| {
        for (state, list) in STATES {
            let judge = &judge;
            scope.spawn(move || {
                let outcome = played(known, list, 5);
                let took = ready_after(&outcome);
                println!("{state}, knowing {known}: {took:?}");
                judge(state, &outcome, &took);
                let evidence = outcome.verdict.evidence();
                assert!(outcome.crashed.is_empty() && outcome.verdict.kept(), "{state}: {evidence:?}");
            });
        }
    });
}

#[test]
fn restarted_hosts_that_know_a_list_are_ready_whatever_the_list_service_does() {
    in_all_states("now", |state, _, took| {
        assert!(took.len() == 20 && took[19] < 2_000_000, "{state}: {took:?}");
    });
}

#[test]
fn restarted_hosts_that_know_none_are_ready_with_their_first_list() {
    in_all_states("none", |state, outcome, took| {
        let within = took.iter().filter(|t| **t <= WITHIN).count();
        match state {
            "mute" => assert_eq!(within, 0, "nobody has told it of a node"),
            // Each call has one chance in ten.
            "refusing nine in ten" => assert!(within > 0 && outcome.verdict.calls > 40, "{took:?}"),
            _ => assert!(within >= WANTED, "{state}: {took:?}"),
        }
    });
}
