use super::super::timers::{AllocationTimer, HostTimer};
use super::RecordingHost;

#[test]
fn the_host_timer_is_set_for_earlier_times_only_until_it_fires() {
    let mut host = RecordingHost::default();
    let mut timer = HostTimer::default();
    timer.arm(&mut host, 0, 100);
    timer.arm(&mut host, 0, 100);
    timer.arm(&mut host, 0, 150);
    timer.arm(&mut host, 0, 50);
    assert_eq!(host.timers, [100, 50]);
    timer.on_fired(49);
    timer.arm(&mut host, 49, 60);
    assert_eq!(host.timers, [100, 50]);
    timer.on_fired(50);
    timer.arm(&mut host, 50, 40);
    assert_eq!(
        host.timers,
        [100, 50, 1],
        "an overdue time is set for the next tick"
    );
}

#[test]
fn an_allocation_interval_starts_a_full_interval_after_the_last_start() {
    let mut timer = AllocationTimer::new(0);
    assert!(!timer.take_due(999));
    assert!(timer.take_due(1_300));
    assert_eq!(timer.next(), 2_300);
}
