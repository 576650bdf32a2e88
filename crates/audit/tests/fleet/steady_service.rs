//! Start of steady service, computed from the success rate of each second. A dip could be overlooked, or the last
//! second, which the end of the run cuts off, could count.
use mallowseam_audit::fleet::{SecondSummary, Verdict};

fn steady_from(within_objective: &[u32]) -> Option<usize> {
    let second = |n: &u32| SecondSummary {
        requests: 100,
        within_objective: *n,
        ..SecondSummary::default()
    };
    let timeline = within_objective.iter().map(second).collect();
    Verdict {
        timeline,
        ..Verdict::default()
    }
    .steady_from()
}

#[test]
fn steady_service_begins_with_three_seconds_at_nine_tenths_of_the_last_quarter() {
    assert_eq!(
        steady_from(&[0, 20, 80, 40, 70, 75, 78, 80, 80, 80, 80, 80, 80, 5]),
        Some(4)
    );
    assert_eq!(steady_from(&[80; 14]), Some(0));
    assert_eq!(steady_from(&[0; 14]), None, "nothing was served");
    assert_eq!(steady_from(&[80; 8]), None, "the run is too short");
}
