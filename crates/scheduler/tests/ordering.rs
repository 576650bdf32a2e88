//! Block I/Os with the same ordering key run one after another. Two of them could run at once or out of order if the
//! second one were sent while an attempt of the first one may still be running: after a timeout, or after the client
//! has disconnected.
mod support;

use mallowseam_scheduler::interface::AttemptResult;
use support::{Harness, OBJECTIVE, config, with_key};

#[test]
fn block_ios_of_one_key_run_in_order_and_the_key_cools_down_after_a_timeout() {
    let mut harness = Harness::new(&config());
    harness.arrive(with_key(&harness, 0, 1));
    harness.arrive(with_key(&harness, 1, 2));
    harness.arrive(with_key(&harness, 2, 1));
    harness.advance(1_000);
    assert_eq!(harness.forwarded(), [0]);
    harness.finish_attempt(0, 0, AttemptResult::TimedOut, 1_000);
    harness.advance(900);
    assert_eq!(harness.forwarded(), [0]);
    harness.arrive(with_key(&harness, 3, 1));
    harness.advance(OBJECTIVE - 100);
    assert_eq!(harness.forwarded(), [0, 3]);
}

#[test]
fn key_waits_for_the_attempt_of_a_disconnected_client() {
    let mut harness = Harness::new(&config());
    harness.arrive(with_key(&harness, 0, 1));
    harness.disconnect(0);
    harness.arrive(with_key(&harness, 1, 1));
    harness.advance(1_000);
    assert_eq!(harness.forwarded(), [0]);
}
