use super::super::shed_history::ShedHistory;
use super::bio;

#[test]
fn a_retry_is_recognised_by_its_volume_and_the_deadline_of_the_original_request() {
    let mut history = ShedHistory::default();
    history.record(&bio(1, 1_000), 400);
    let found = |volume, deadline| history.objective_end_of_original(&bio(volume, deadline));
    assert_eq!(found(1, 1_005), Some(400));
    assert_eq!(found(1, 1_006), None);
    assert_eq!(found(2, 1_000), None);
}

#[test]
fn a_shed_block_io_is_forgotten_once_its_deadline_has_passed() {
    let mut history = ShedHistory::default();
    history.record(&bio(1, 1_000), 400);
    history.forget_expired(999);
    assert!(history.objective_end_of_original(&bio(1, 1_000)).is_some());
    history.forget_expired(1_000);
    assert!(history.objective_end_of_original(&bio(1, 1_000)).is_none());
}
