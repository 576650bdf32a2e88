//! Tests of the recent changes: how many are retained, and which of them a host receives.
use super::*;

fn changes(count: usize) -> Vec<Change> {
    let deleted = |n| Change::BranchDeleted {
        branch: format!("b{n}"),
    };
    (0..count).map(deleted).collect()
}

#[test]
fn last_changes_are_returned_in_order() {
    let mut recent = RecentChanges::default();
    let all = changes(5);
    recent.extend(&all[..2]);
    recent.extend(&all[2..]);
    let last: Vec<&Change> = recent.last(3).expect("changes are retained").collect();
    assert_eq!(last, all[2..].iter().collect::<Vec<_>>());
    assert_eq!(recent.last(0).expect("no change is missing").count(), 0);
    assert!(recent.last(6).is_none());
}

#[test]
fn oldest_changes_are_dropped() {
    let mut recent = RecentChanges::default();
    recent.extend(&changes(MAX_RECENT_CHANGES));
    recent.extend(&changes(1));
    assert!(recent.last(MAX_RECENT_CHANGES as u64 + 1).is_none());
    let last = recent
        .last(MAX_RECENT_CHANGES as u64)
        .expect("changes are retained");
    assert_eq!(last.count(), MAX_RECENT_CHANGES);
}
