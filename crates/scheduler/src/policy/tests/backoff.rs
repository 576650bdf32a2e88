use super::super::backoff::{Backoff, max_backoff};

#[test]
fn the_backoff_doubles_with_each_failure_after_the_first_up_to_its_maximum() {
    let mut backoff = Backoff::default();
    let mut pauses = Vec::new();
    for failure in 0..7 {
        let now = 10_000 * failure;
        backoff.record_failure();
        backoff.pause_after_attempt(now, 0, 1_000);
        pauses.push(backoff.pause_end(now).map_or(0, |end| end - now));
    }
    assert_eq!(pauses, [0, 100, 200, 400, 800, 1_000, 1_000]);
}

#[test]
fn an_answer_ends_the_backoff_but_not_a_pause_that_has_begun() {
    let mut backoff = Backoff::default();
    backoff.record_failure();
    backoff.record_failure();
    backoff.pause_after_attempt(0, 0, 1_000);
    backoff.record_success();
    backoff.pause_after_attempt(50, 10, 1_000);
    assert_eq!(backoff.consecutive_failures(), 0);
    assert_eq!(backoff.pause_end(50), Some(100));
    assert_eq!(backoff.pause_end(100), None);
}

#[test]
fn the_maximum_backoff_grows_with_the_square_root_of_the_host_count() {
    assert_eq!(max_backoff(1.0), 3_000);
    assert_eq!(max_backoff(100.0), 30_000);
}
