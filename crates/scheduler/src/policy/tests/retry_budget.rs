use super::super::retry_budget::RetryBudget;
use crate::interface::SchedulerConfig;

fn budget(window: i64) -> RetryBudget {
    RetryBudget::new(&SchedulerConfig {
        retry_budget_min: 1.0,
        retry_budget_ratio: 0.5,
        retry_budget_window: window,
        ..SchedulerConfig::default()
    })
}

#[test]
fn retries_are_limited_by_the_minimum_and_the_arrivals_in_the_window() {
    let mut budget = budget(1_000);
    budget.record_arrival(10);
    budget.record_arrival(10);
    budget.record_retry(20);
    assert!(budget.allows_retry(20));
    budget.record_retry(20);
    assert!(!budget.allows_retry(20));
    assert!(
        !budget.allows_retry(1_020),
        "the arrivals have left the window"
    );
    assert!(
        budget.allows_retry(1_021),
        "the retries have left the window"
    );
}

#[test]
fn without_a_budget_every_retry_is_allowed() {
    let mut budget = budget(0);
    for _ in 0..100 {
        budget.record_retry(0);
    }
    assert!(budget.allows_retry(0));
}
