//! Tests of the delays between connection attempts.
use super::*;

/// Returns the delays in milliseconds between the attempts that are due within one minute after `from`.
fn delays(backoff: &mut ReconnectBackoff, from: Millis, jitter: u64) -> Vec<Millis> {
    let attempts: Vec<Millis> = (from..from + 60_000)
        .filter(|now| backoff.is_attempt_due(*now, jitter))
        .collect();
    attempts.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

#[test]
fn first_attempt_is_due_at_once() {
    assert!(ReconnectBackoff::default().is_attempt_due(0, 0));
}

#[test]
fn delays_double_up_to_the_maximum_and_start_again_after_a_reset() {
    let mut backoff = ReconnectBackoff::default();
    let first = delays(&mut backoff, 0, FULL_JITTER);
    assert_eq!(
        first[..7],
        [100, 200, 400, 800, 1_600, 3_200, MAX_RECONNECT_DELAY]
    );
    assert!(first[6..].iter().all(|delay| *delay == MAX_RECONNECT_DELAY));
    backoff.reset();
    let second = delays(&mut backoff, 120_000, FULL_JITTER);
    assert_eq!(second[..3], [100, 200, 400]);
}

#[test]
fn half_of_a_delay_is_jitter() {
    let without_jitter = delays(&mut ReconnectBackoff::default(), 0, 0);
    assert_eq!(without_jitter[..3], [50, 100, 200]);
    let excessive_jitter = delays(&mut ReconnectBackoff::default(), 0, 2 * FULL_JITTER);
    assert_eq!(excessive_jitter[..3], [100, 200, 400]);
}
