use super::*;

#[test]
fn usual_service_begins_with_the_first_three_seconds_that_bring_nine_tenths_of_the_last_quarter() {
    let day = |parts: &[u32]| {
        let step = |in_goal: &u32| Step { asked: 100, in_goal: *in_goal, ..Step::default() };
        Verdict { lines: parts.iter().map(step).collect(), ..Verdict::default() }.usual_from()
    };
    assert_eq!(day(&[0, 20, 80, 40, 70, 75, 78, 80, 80, 80, 80, 80, 80, 5]), Some(4));
    assert_eq!(day(&[80; 14]), Some(0));
    assert_eq!((day(&[0; 14]), day(&[80; 8])), (None, None), "nothing served, and too short a day");
}
