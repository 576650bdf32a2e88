//! Timer that is due once per period.
use mallowseam_sockets::periodic_timer::PeriodicTimer;

#[test]
fn a_period_begins_when_the_timer_is_taken() {
    let mut timer = PeriodicTimer::new(100_i64, 1_000);
    assert_eq!(timer.next_due(), 1_100);
    assert!(!timer.take_due(1_099));
    assert!(timer.take_due(1_130));
    assert!(!timer.take_due(1_200));
    assert_eq!(timer.next_due(), 1_230);
    assert!(timer.take_due(1_230));
}

#[test]
fn a_timer_is_due_once_per_period() {
    let mut timer = PeriodicTimer::new(10, 100);
    assert!(!timer.take_due(109));
    assert!(timer.take_due(110));
    assert!(!timer.take_due(110));
}

#[test]
fn a_timer_taken_late_is_due_one_period_later() {
    let mut timer = PeriodicTimer::new(10, 100);
    assert!(timer.take_due(135));
    assert_eq!(timer.next_due(), 145);
    assert!(!timer.take_due(144));
}
