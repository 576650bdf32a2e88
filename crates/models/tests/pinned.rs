//! Guards against unintended changes of the models: seeded runs are compared with recorded digests. A different digest
//! means that a decision, a constant or a random draw has changed.
use mallowseam_models::cold_start::{self, ColdStartCase};
use mallowseam_models::discovery_queue::{DiscoveryQueue, PollOutcome, ServiceBehavior};
use mallowseam_models::exhaustive_placement;
use mallowseam_test_support::Digest;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

fn add_all(digest: &mut Digest, numbers: &[u64]) {
    for number in numbers {
        digest.add(*number);
    }
}

fn add_outcome(digest: &mut Digest, outcome: PollOutcome) {
    digest.add(u64::from(outcome == PollOutcome::Served));
}

/// Number of polls per seed.
const POLLS: u64 = 300;

#[test]
fn outcomes_of_the_discovery_queue_match_the_recorded_digest() {
    let mut digest = Digest::default();
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut queue = DiscoveryQueue::new(900, 20_000);
        for poll in 0..POLLS {
            let now = poll * 500;
            if rng.random_bool(0.03) {
                let behavior = match rng.random_range(0..4) {
                    0 => ServiceBehavior::Normal,
                    1 => ServiceBehavior::Down,
                    2 => ServiceBehavior::Hung,
                    _ => ServiceBehavior::Rejecting(0.5),
                };
                queue.set_behavior(now, behavior);
            }
            if let Some(outcome) = queue.enqueue(now, poll, &mut rng) {
                add_outcome(&mut digest, outcome);
            }
            if rng.random_bool(0.1) {
                queue.cancel(poll.saturating_sub(3));
            }
            while let Some((poll, outcome)) = queue.complete_next(now) {
                digest.add(poll);
                add_outcome(&mut digest, outcome);
            }
            add_all(
                &mut digest,
                &[
                    queue.next_due().map_or(0, |due| due + 1),
                    queue.queued() as u64,
                ],
            );
        }
        add_all(
            &mut digest,
            &[POLLS, queue.rejected, queue.max_queued as u64],
        );
    }
    let mut full = DiscoveryQueue::new(1_000, u64::MAX);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    (0..5_000u32)
        .filter_map(|poll| full.enqueue(0, poll, &mut rng))
        .for_each(|outcome| add_outcome(&mut digest, outcome));
    add_all(&mut digest, &[full.rejected, full.max_queued as u64]);
    assert_eq!(format!("{:016x}", digest.value()), "bdbd5a2ee34b0321");
}

#[test]
fn results_of_cold_starts_match_the_recorded_digest() {
    let mut digest = Digest::default();
    for (hosts, advertised, down, running) in [
        (40, Some(25_000), 0, false),
        (60, None, 4_000_000, true),
        (60, Some(0), 2_000_000, false),
    ] {
        let case = ColdStartCase {
            hosts,
            service_time: 25_000,
            advertised_service_time: advertised,
            down_until: down,
            already_running: running,
        };
        let outcome = cold_start::run(case, 9, 600_000_000);
        add_all(
            &mut digest,
            &[outcome.polls, outcome.rejected, outcome.max_queued as u64],
        );
        add_all(&mut digest, &outcome.list_delays);
        for second in &outcome.seconds {
            add_all(
                &mut digest,
                &[
                    second.second,
                    second.polls,
                    second.queued as u64,
                    u64::from(second.fresh),
                ],
            );
        }
        add_all(
            &mut digest,
            &[
                outcome.list_delay_within(0.5).unwrap_or(0),
                outcome.hosts_with_list_by(3_000_000) as u64,
            ],
        );
    }
    assert_eq!(format!("{:016x}", digest.value()), "8b12ea733e600aa3");
}

#[test]
fn enumerated_placements_match_the_recorded_digest() {
    let mut placements_text = String::new();
    for seed in 0..150 {
        let (nodes, volumes) = exhaustive_placement::draw(seed);
        let placements = exhaustive_placement::enumerate(&nodes, &volumes);
        writeln!(placements_text, "{placements:?}").expect("writing to memory");
    }
    let mut digest = Digest::default();
    digest.add_bytes(placements_text.as_bytes());
    assert_eq!(
        digest.value(),
        0x31cf_0c75_d1ec_4a77,
        "digest of the placements differs; they begin with\n{}",
        &placements_text[..placements_text.len().min(600)]
    );
}
