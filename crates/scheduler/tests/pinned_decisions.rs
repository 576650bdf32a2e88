//! Regression test of all scheduler decisions: the hash of all actions in seeded runs must equal the value recorded
//! from the code of commit 01f3988. A change that preserves the behaviour leaves each value unchanged.
mod pin;
mod support;

use mallowseam_scheduler::interface::{AttemptResult, Bio};
use pin::{ACTION_KINDS, Checkpoints, Simulation};
use support::{Harness, config};

/// Recorded hash of each run, indexed by its seed.
const RECORDED: [u64; 20] = [
    0x5647_473e_e2ca_511e,
    0xdaf8_cbe9_ba86_1cd4,
    0x7d42_b0b2_4056_7573,
    0x1d73_5e49_85c7_2e8d,
    0x79b8_b4f3_3b18_c2dc,
    0x2ef3_2db9_e9e9_a5d5,
    0xd527_5978_7925_1858,
    0x66e1_5972_fe76_5b47,
    0x1bc7_6dad_3b4e_1378,
    0x69fe_04dd_b742_8017,
    0x01e5_3201_cb4f_f5bc,
    0xad46_0abc_2429_9359,
    0xabdf_1183_3cff_95d3,
    0x431a_ed62_b7d6_9ee2,
    0x4dba_6777_9bc6_1ac5,
    0x13d1_1b72_2f3e_dafa,
    0x4385_9702_54db_3254,
    0x74da_a050_7a53_3af4,
    0x8039_63d4_29ce_97a3,
    0xe452_64b5_b307_e4a1,
];

#[test]
fn all_actions_over_twenty_seeded_runs_are_those_recorded() {
    let mut counts = [0; ACTION_KINDS];
    let mut differing = Vec::new();
    for (seed, recorded) in (0..).zip(RECORDED) {
        let outcome = Simulation::new(seed).run(&Checkpoints::of_seed(seed));
        if let Some(divergence) = outcome.divergence {
            differing.push(format!("seed {seed} {divergence}"));
        } else if outcome.hash != recorded {
            differing.push(format!("seed {seed} differs after its last checkpoint"));
        }
        counts
            .iter_mut()
            .zip(outcome.counts)
            .for_each(|(sum, n)| *sum += n);
    }
    assert!(
        counts[1..].iter().all(|n| *n > 0),
        "some kind of action was never taken: {counts:?}"
    );
    assert!(
        differing.is_empty(),
        "actions differ from the recorded ones for {} of {} seeds:\n{}",
        differing.len(),
        RECORDED.len(),
        differing.join("\n")
    );
}

/// The minimum of the concurrency window, which the seeded runs do not reach.
#[test]
fn the_window_of_a_node_that_times_out_on_everything_ends_at_a_tenth() {
    let mut harness = Harness::new(&config());
    let bio_with_late_deadline = |harness: &Harness, id| Bio {
        deadline: harness.host.now + 400_000,
        ..harness.bio(id)
    };
    // The answer to a later attempt shows that the answer to the first one was lost.
    harness.arrive(bio_with_late_deadline(&harness, 0));
    harness.advance(10);
    harness.arrive(bio_with_late_deadline(&harness, 1));
    harness.advance(10);
    harness.finish_attempt(1, 0, AttemptResult::Completed, 10);
    harness.finish_attempt(0, 0, AttemptResult::TimedOut, 20);
    // Attempts that are long overdue then do not use up the window, so that many are in flight at once.
    for id in 2..62 {
        harness.arrive(Bio {
            class: 3,
            ..bio_with_late_deadline(&harness, id)
        });
        harness.advance(600);
    }
    assert_eq!(
        harness.forwarded().len(),
        63,
        "each block I/O is forwarded once, and the first one again"
    );
    (2..62).for_each(|id| harness.finish_attempt(id, 0, AttemptResult::TimedOut, 36_000));
    assert_eq!(
        harness.node_status(0).concurrency_window.to_bits(),
        0.1_f64.to_bits()
    );
}
