//! When a periodic timer is due.
use super::PeriodicTimer;

#[test]
fn a_timer_is_due_once_a_period() {
    let mut timer = PeriodicTimer::new(10, 100);
    assert!(!timer.take_due(109));
    assert!(timer.take_due(110));
    assert!(!timer.take_due(110));
}

#[test]
fn a_late_timer_is_due_a_period_after_it_was_taken() {
    let mut timer = PeriodicTimer::new(10, 100);
    assert!(timer.take_due(135));
    assert_eq!(timer.next_due(), 145);
    assert!(!timer.take_due(144));
}
