//! Tests of the number of lines that are logged in a window, and of the counts of suppressed ones.
use super::*;

#[test]
fn eight_lines_are_admitted_in_a_second_and_further_ones_counted_by_subject() {
    let mut limit = LogRateLimit::default();
    assert!(limit.renew_window(5_000).is_empty());
    assert!((0..8).all(|_| limit.admit("alive")));
    assert!(!limit.admit("alive"));
    assert!(!limit.admit("suspect"));
    assert!(!limit.admit("suspect"));
    assert!(
        limit.renew_window(5_999).is_empty(),
        "the window is not over"
    );
    assert!(!limit.admit("alive"));
    let suppressed = SuppressedLines::from([("alive", 2), ("suspect", 2)]);
    assert_eq!(limit.renew_window(6_000), suppressed);
    assert!(limit.admit("alive"));
    assert!(limit.renew_window(7_000).is_empty());
}
