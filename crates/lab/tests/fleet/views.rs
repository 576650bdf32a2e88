//! A doctored record of views is caught, one for each of what they are held against.
use crate::stage::scene;
use mallowseam_fleet::MemberState;
use mallowseam_lab::fleet::record::{End, Seen, What};
use mallowseam_lab::fleet::views::{Told, judge};
use mallowseam_lab::fleet::world::Held;

const SECOND: u64 = 1_000_000;
/// Periods of 100 ms: found within 7.5 s, a killed one seen within 3.5 s, one view within 12 s.
const HEAD: &str = "day 60s\nhosts 3 known now\nzones 2\nview period 100ms seeds 1\nnodes 1 cores 1 work 5ms queue 32\n\
    lines 64 1ms\ncold 25% 3s 4 1s 60 3s\nclients rate 1/s\nlist takes 10ms patience 1s lag 0ms\n";

fn held(at: u64, host: u32, states: [MemberState; 3]) -> Held {
    let members = (0..3).map(|n| (n, states[n as usize], 7)).collect();
    let sum = states.iter().fold(0, |sum, s| 10 * sum + u64::from(*s == MemberState::Unreachable));
    Held { asked: at * SECOND, host, sum, members }
}

const ALIVE: [MemberState; 3] = [MemberState::Alive; 3];
const LOST: [MemberState; 3] = [MemberState::Alive, MemberState::Alive, MemberState::Unreachable];

/// Each of three hosts tells each second what `seen` says; the third one ends as told, if it does.
fn judged(script: &str, ends: Option<(u64, End)>, seen: impl Fn(u64, u32) -> [MemberState; 3]) -> Told {
    let mut record: Vec<Seen> = (0..3).map(|host| Seen { at: 0, what: What::HostUp { host } }).collect();
    if let Some((at, by)) = ends {
        record.push(Seen { at: at * SECOND, what: What::HostDown { host: 2, by } });
    }
    let runs = |at: u64, host: u32| host < 2 || ends.is_none_or(|e| at < e.0);
    let looks =
        (1..60).flat_map(|at| (0..3).map(move |host| (at, host))).filter(|(at, host)| runs(*at, *host));
    let held: Vec<Held> = looks.map(|(at, host)| held(at, host, seen(at, host))).collect();
    judge(&scene(&format!("{HEAD}{script}")), &record, &held)
}

#[test]
fn a_sound_record_has_nothing_against_it() {
    let told = judged("", None, |_, _| ALIVE);
    assert_eq!((told.evidence(), told.settled, told.longest.0), (vec![], (3, 3), 0.0));
    let killed =
        judged(
            "at 20s host 2 kill for 99s\n",
            Some((20, End::Killed)),
            |at, _| if at < 22 { ALIVE } else { LOST },
        );
    assert_eq!((killed.evidence(), killed.settled), (vec![], (2, 2)));
    assert!((0.9..=2.1).contains(&killed.longest.0), "{:?}", killed.longest);
}

#[test]
fn each_word_against_a_view_is_missed_where_a_record_deserves_it() {
    let never = judged("", None, |_, host| if host == 1 { LOST } else { ALIVE });
    assert_eq!(never.settled, (2, 3));
    let late = judged(
        "at 5s host 2 stall for 1s\n",
        None,
        |at, host| if host == 1 && at < 40 { LOST } else { ALIVE },
    );
    assert!(late.longest.0 > late.longest.1 && late.settled == (3, 3), "{late}");
    assert!((24.0..=28.0).contains(&late.wrongly), "held for dead though it runs: {late}");
    let excused = |script: &str| {
        judged(script, None, |at, host| if host == 1 && at < 40 { LOST } else { ALIVE }).wrongly
    };
    assert_eq!(excused("at 1s link host1 host2 one-way silent for 35s\n"), 0.0, "it does not reach it");
    assert_eq!(excused("at 1s host 2 stall for 35s\n"), 0.0, "it is stopped");
    assert_eq!(excused("at 1s link host1 host2 slow 60ms for 35s\n"), 0.0, "slower than half a period");
    assert!(excused("at 1s link host1 host2 slow 40ms for 35s\n") > 20.0);
    let unseen = judged("at 20s host 2 kill for 99s\n", Some((20, End::Killed)), |at, host| {
        if at < 22 || host == 1 && at < 30 { ALIVE } else { LOST }
    });
    assert_eq!((unseen.unseen.len(), unseen.back.len()), (1, 0), "{unseen}");
    let left = [MemberState::Alive, MemberState::Alive, MemberState::Left];
    let back = judged("at 20s host 2 term for 99s\n", Some((20, End::Ended(0))), |at, _| {
        if at < 20 {
            ALIVE
        } else if at == 30 {
            LOST
        } else {
            left
        }
    });
    assert_eq!(back.back.len(), 2, "{back}");
}
