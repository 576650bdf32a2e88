use super::*;

#[test]
fn a_call_without_an_answer_and_a_watch_without_a_sign_of_life_have_failed() {
    let mut watch = Watch::new(100);
    assert_eq!(watch.fails_at(), 100 + ANSWERED_WITHIN);
    watch.heard(900);
    assert_eq!(watch.fails_at(), 900 + SILENT);
    watch.heard(2_900);
    assert_eq!(watch.fails_at(), 2_900 + SILENT);
}

#[test]
fn a_list_that_trickles_in_has_its_time_from_the_call_on() {
    let mut watch = Watch::new(0);
    // The head, and then bytes without a line's end, which are not told here at all.
    watch.answered();
    assert_eq!(watch.fails_at(), WHOLE_WITHIN);
    assert!(watch.heard(3_900) && !watch.heard(5_900));
    assert_eq!(watch.fails_at(), 5_900 + SILENT);
}

#[test]
fn silence_is_told_once() {
    let mut watch = Watch::new(0);
    watch.answered();
    assert!(!watch.stands(), "a head alone is no word");
    watch.heard(10);
    assert!(watch.stands());
    assert!(!watch.fails(10 + SILENT - 1) && watch.fails(10 + SILENT) && !watch.fails(90_000));
}

#[test]
fn a_call_beside_one_that_stands_takes_the_other_place_and_one_behind_a_failed_one_its_own() {
    let mut pair = Pair::default();
    let first = pair.next(false);
    let second = pair.next(true);
    assert!(first != second && pair.is_last(second) && !pair.is_last(first));
    assert_eq!(
        (pair.spoke(second), pair.spoke(first)),
        (Some(first), None),
        "the old one takes nothing over"
    );
    assert_eq!(pair.next(false), second, "the second failed, and the first is still listened to");
    assert_eq!(pair.next(true), first, "a third takes the oldest one's place");
}
