//! The scheduler's timer. The scheduler would miss a deadline if setting the timer again lost the earlier time.
use mallowseam_scheduler_driver::timer::SchedulerTimer;

#[test]
fn a_timer_that_is_set_twice_fires_once_at_the_earlier_time() {
    for times in [[300, 200], [200, 300]] {
        let mut timer = SchedulerTimer::default();
        for time in times {
            timer.set(time);
        }
        assert_eq!(timer.due(), Some(200));
        assert!(!timer.take_due(199));
        assert!(timer.take_due(200));
        assert_eq!(timer.due(), None);
        assert!(!timer.take_due(1_000));
    }
}

#[test]
fn a_timer_can_be_set_again_once_it_has_fired() {
    let mut timer = SchedulerTimer::default();
    timer.set(200);
    assert!(timer.take_due(250));
    timer.set(400);
    assert_eq!(timer.due(), Some(400));
}
