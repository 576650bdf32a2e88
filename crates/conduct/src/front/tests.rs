use super::*;

#[test]
fn at_the_end_only_what_was_never_sent_is_told_to_be_harmless() {
    assert!(Leaving::harmless(0) && !Leaving::harmless(1));
}

fn doing(what: Doing, since: Millis) -> Guest {
    Guest { doing: what, since, ..Guest::new(0) }
}

#[test]
fn a_connection_that_says_nothing_or_half_a_request_is_ended_within_the_users_three_seconds() {
    let mut guest = Guest::new(0);
    assert_eq!(guest.care(WHOLE_WITHIN - 1, None), Care::Nothing);
    assert_eq!(guest.care(WHOLE_WITHIN, None), Care::Close);
    guest.turns(Doing::Midway, 1_500);
    assert_eq!(guest.care(WHOLE_WITHIN, None), Care::Late, "its time runs from connecting on");
    const { assert!(WHOLE_WITHIN < 3_000) }
}

#[test]
fn a_request_that_comes_byte_by_byte_has_no_more_time_than_any() {
    let mut guest = doing(Doing::Idle, 0);
    for at in (10_000..11_900).step_by(100) {
        guest.turns(Doing::Midway, at);
    }
    assert_eq!(guest.care(11_999, None), Care::Nothing);
    assert_eq!(guest.care(12_000, None), Care::Late);
}

#[test]
fn a_request_in_hand_is_never_closed_and_an_answer_not_taken_is() {
    assert_eq!(doing(Doing::InHand, 0).care(1_000_000, Some(Leaving::by_hand(5))), Care::Nothing);
    let answered = doing(Doing::Answered, 0);
    assert_eq!(answered.care(TAKEN_WITHIN - 1, None), Care::Nothing);
    assert_eq!(answered.care(TAKEN_WITHIN, None), Care::Close);
}

#[test]
fn room_is_made_by_the_finished_then_the_longest_idle_then_the_longest_silent() {
    let mut guests = vec![
        (0, doing(Doing::InHand, 0)),
        (1, doing(Doing::Midway, 0)),
        (2, doing(Doing::Silent, 9_000)),
        (3, doing(Doing::Silent, 9_998)),
        (4, doing(Doing::Idle, 7_000)),
        (5, doing(Doing::Idle, 6_000)),
        (6, doing(Doing::Idle, 9_000)),
        (7, doing(Doing::Lingers, 9_999)),
    ];
    let mut order = Vec::new();
    while let Some(at) = gives_way(guests.iter().map(|(at, g)| (*at, g)), 10_000) {
        order.push(at);
        guests.retain(|g| g.0 != at);
    }
    assert_eq!(order, [7, 5, 4, 2, 3, 6], "never one in hand or midway");
}

#[test]
fn a_client_that_comes_back_as_soon_as_it_is_turned_away_waits_ever_longer() {
    let mut guest = doing(Doing::Idle, 0);
    let mut now = 0;
    let mut waits = Vec::new();
    for _ in 0..8 {
        guest.wrong(now);
        let from = now;
        while !guest.reads(now) {
            now += 10;
        }
        waits.push(now - from);
    }
    assert_eq!(waits, [50, 100, 200, 400, 800, 1_600, 1_600, 1_600]);
    guest.right();
    guest.wrong(now);
    assert!(guest.reads(now + 50), "one sound request makes up for it");
}

#[test]
fn what_is_sent_behind_an_error_is_read_within_bounds() {
    let mut guest = doing(Doing::Lingers, 0);
    assert!(!guest.dropped(LINGER_BYTES - 1) && guest.dropped(1));
    assert_eq!(doing(Doing::Lingers, 0).care(LINGER, None), Care::Close);
}

#[test]
fn after_a_word_by_hand_clients_still_come_for_a_while_and_then_idle_ones_end() {
    let told = Leaving::by_hand(1_000);
    let idle = doing(Doing::Idle, 900);
    assert!(told.lets_in(999 + STILL_COMES) && !told.lets_in(1_000 + STILL_COMES));
    assert_eq!(idle.care(1_400, Some(told)), Care::Nothing);
    assert_eq!(idle.care(1_000 + STILL_COMES, Some(told)), Care::Close);
    assert!(!told.over(999 + STILL_COMES, 0) && told.over(1_000 + STILL_COMES, 0));
    assert!(!told.over(9_000, 1), "what was taken is answered first");
    assert_eq!(told.answers_by(), None);
}

#[test]
fn told_by_the_platform_a_host_takes_what_it_can_answer_before_it_is_killed() {
    for (longest, killed) in [(200, 900), (1_000, 1_700), (2_000, 2_700), (60_000, 3_700)] {
        let told = Leaving::platform(10_000, longest, 250);
        let by = told.answers_by().expect("the platform kills");
        assert!(by < 10_000 + killed, "{longest}");
        let last = (0..9_000).rfind(|after| told.lets_in(10_000 + after)).expect("it lets in");
        assert_eq!(10_000 + last + 250.min(longest), by - 1);
    }
    assert!(Leaving::platform(0, 2_000, 250).lets_in(2_300));
}
