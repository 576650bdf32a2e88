//! Limit on the total size of the buffers of many connections.
use mallowseam_sockets::memory_budget::MemoryBudget;

#[test]
fn a_budget_has_room_up_to_its_limit() {
    let mut budget = MemoryBudget::new(100);
    assert!(budget.has_room_for(100) && !budget.has_room_for(101));
    budget.resize(0, 60);
    assert!(budget.has_room_for(40) && !budget.has_room_for(41));
    assert_eq!(budget.used(), 60);
}

#[test]
fn a_budget_is_exceeded_above_its_limit_until_buffers_shrink_or_are_freed() {
    let mut budget = MemoryBudget::new(100);
    budget.resize(0, 100);
    assert!(!budget.is_exceeded());
    budget.resize(40, 90);
    assert!(budget.is_exceeded());
    budget.resize(90, 10);
    assert_eq!((budget.used(), budget.is_exceeded()), (70, false));
    budget.release(70);
    assert_eq!(budget.used(), 0);
}
