//! Tests of the copy budget: the limit of concurrent copies, and the retry budget with its probes.
use mallowseam_cow::copy_budget::{CopyBudget, MAX_CONCURRENT_COPIES};

#[test]
fn concurrent_copies_are_limited() {
    let mut budget = CopyBudget::default();
    assert!(budget.may_start(MAX_CONCURRENT_COPIES - 1, false, 0));
    assert!(!budget.may_start(MAX_CONCURRENT_COPIES, false, 0));
}

#[test]
fn retries_are_limited_to_the_budget_and_then_to_probes() {
    let mut budget = CopyBudget::default();
    let started = (0..1_000)
        .filter(|now| budget.may_start(0, true, 1_000 + now))
        .count();
    assert_eq!(started, MAX_CONCURRENT_COPIES + 4);
    assert_eq!(budget.rejected_retries(), 1_000 - started as u64);
    assert!(
        budget.may_start(0, false, 2_000),
        "a first attempt needs no retry from the budget"
    );
}

#[test]
fn successes_add_retries_up_to_a_limit() {
    let mut budget = CopyBudget::default();
    // The budget is exhausted, and a probe was admitted at the same time.
    (0..=MAX_CONCURRENT_COPIES).for_each(|_| assert!(budget.may_start(0, true, 1_000)));
    (0..9).for_each(|_| budget.record_success());
    assert!(!budget.may_start(0, true, 1_000));
    (0..2).for_each(|_| budget.record_success());
    assert!(budget.may_start(0, true, 1_000));
    (0..1_000).for_each(|_| budget.record_success());
    assert_eq!(
        (0..100)
            .filter(|_| budget.may_start(0, true, 1_000))
            .count(),
        MAX_CONCURRENT_COPIES
    );
}
