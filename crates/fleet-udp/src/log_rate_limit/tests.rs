//! Lines in a window, and what is counted beyond them.
use super::*;

#[test]
fn eight_lines_are_admitted_in_a_second_and_the_others_counted_by_subject() {
    let mut limit = LogRateLimit::default();
    assert!(limit.renew(5_000).is_empty());
    assert!((0..8).all(|_| limit.admit("alive")));
    assert!(!limit.admit("alive"));
    assert!(!limit.admit("suspect"));
    assert!(!limit.admit("suspect"));
    assert!(limit.renew(5_999).is_empty(), "the window is not over");
    assert!(!limit.admit("alive"));
    let suppressed = SuppressedLines::from([("alive", 2), ("suspect", 2)]);
    assert_eq!(limit.renew(6_000), suppressed);
    assert!(limit.admit("alive"));
    assert!(limit.renew(7_000).is_empty());
}
