//! A doctored record is caught, one for each rule.
use crate::stage::changed;
use mallowseam_lab::fleet::audit::judge;
use mallowseam_lab::fleet::record::{End, Seen, What};

const MS: u64 = 1_000;

fn asked(op: u64, at: u64, write: bool) -> Seen {
    let what = What::Asked { op, host: 0, volume: 1, piece: 7, write, units: 1, wait: 1_000 * MS };
    Seen { at: at * MS, what }
}

fn seen(at: u64, what: What) -> Seen {
    Seen { at: at * MS, what }
}

fn got(op: u64, node: u32, at: u64, units: u32) -> Seen {
    seen(at, What::Got { node, host: 0, op, units, write: true })
}

fn said(op: u64, node: u32, at: u64) -> Seen {
    seen(at, What::Said { node, op, ran: true })
}

fn answered(op: u64, at: u64) -> Seen {
    seen(at, What::Answered { op, status: 200, made: true })
}

/// The rules that a record breaks.
fn broken(mut record: Vec<Seen>) -> Vec<usize> {
    record.insert(0, seen(0, What::HostUp { host: 0 }));
    record.sort_by_key(|s| s.at);
    let v = judge(&changed(&[]), &record, 0);
    (0..7).filter(|rule| !v.broken[*rule].is_empty()).collect()
}

#[test]
fn a_sound_record_breaks_no_rule() {
    let good = vec![asked(1, 10, true), got(1, 0, 12, 1), said(1, 0, 20), answered(1, 21)];
    assert_eq!(broken(good), [0; 0]);
    let killed = vec![
        asked(1, 10, true),
        seen(30, What::HostDown { host: 0, by: End::Killed }),
        seen(31, What::Broken { op: 1 }),
    ];
    assert_eq!(broken(killed), [0; 0], "whoever is killed answers for nothing");
}

#[test]
fn each_rule_is_missed_where_a_record_breaks_it() {
    assert_eq!(broken(vec![asked(1, 10, false), seen(1_011, What::Left { op: 1 })]), [0], "no answer");
    let twice = vec![asked(1, 10, true), got(1, 0, 12, 1), said(1, 0, 20), answered(1, 21), answered(1, 22)];
    assert_eq!(broken(twice), [0], "two answers");
    let made_up = vec![asked(1, 10, true), seen(11, What::Answered { op: 1, status: 200, made: true })];
    assert_eq!(broken(made_up), [0], "served what no node made");
    let ended = vec![
        asked(1, 10, true),
        seen(30, What::HostDown { host: 0, by: End::Ended(0) }),
        seen(31, What::Broken { op: 1 }),
    ];
    assert_eq!(broken(ended), [0], "ended with one in hand");
    let repeated = vec![
        asked(1, 10, true),
        got(1, 0, 12, 1),
        seen(20, What::Cut { node: 0, op: 1 }),
        got(1, 1, 90, 1),
        said(1, 1, 99),
        answered(1, 100),
    ];
    assert_eq!(broken(repeated), [1], "a write that may have run goes out again");
    let told = |at, open| seen(at, What::Told { host: 0, node: 0, open, seq: 5, born: 0 });
    let drained = |at| {
        vec![
            told(5, false),
            asked(1, at - 1, true),
            got(1, 0, at, 1),
            said(1, 0, at + 1),
            answered(1, at + 2),
        ]
    };
    assert_eq!((broken(drained(400)), broken(drained(900))), (vec![0; 0], vec![2]), "past the grace");
    let missed = |from| seen(300, What::Missed { host: 0, node: 0, open: false, seq: 7, from: from * MS });
    let unheard = |from, at| {
        vec![missed(from), asked(1, at - 1, true), got(1, 0, at, 1), said(1, 0, at + 1), answered(1, at + 2)]
    };
    assert_eq!(
        (broken(unheard(900, 1_000)), broken(unheard(900, 1_500))),
        (vec![0; 0], vec![2]),
        "counts as told"
    );
    let mut heard = unheard(900, 1_500);
    heard.push(seen(600, What::Told { host: 0, node: 0, open: true, seq: 8, born: 0 }));
    assert_eq!(broken(heard), [0; 0], "a later word came in time");
    let mut opened = drained(900);
    opened.push(told(800, true));
    assert_eq!(broken(opened), [0; 0]);
    let born = 2 * MS;
    let mut fell = vec![
        seen(2, What::NodeUp { node: 0 }),
        seen(3, What::Told { host: 0, node: 0, open: true, seq: 6, born }),
    ];
    for op in 0..20 {
        fell.extend([
            asked(op, 100 + op, true),
            got(op, 0, 101 + op, 4),
            seen(140, What::Cut { node: 0, op }),
        ]);
        fell.extend([seen(150, What::Answered { op, status: 500, made: false })]);
    }
    fell.push(seen(140, What::Fell { node: 0 }));
    let rules = broken(fell.clone());
    assert!(rules.contains(&3), "{rules:?}");
    fell.retain(|s| !matches!(s.what, What::Told { .. }));
    assert!(!broken(fell).contains(&3), "of hosts that did not know it is not held against them");
    let crossed = vec![
        asked(1, 10, true),
        asked(2, 100, true),
        got(1, 0, 101, 1),
        got(2, 0, 102, 1),
        said(1, 0, 400),
        answered(1, 401),
        said(2, 0, 402),
        answered(2, 403),
    ];
    assert_eq!(broken(crossed), [4], "both out at once");
    let mut busy = Vec::new();
    for op in 0..8 {
        busy.extend([
            asked(op, 10 + op, false),
            got(op, 0, 20 + op, 1),
            seen(30 + op, What::Said { node: 0, op, ran: false }),
        ]);
        busy.extend([got(op, 1, 400 + op, 1), said(op, 1, 500 + op), answered(op, 501 + op)]);
    }
    assert_eq!(broken(busy), [5], "eight further submits of eight taken");
    let mut limited = Vec::new();
    for op in 0..12 {
        let what = What::Asked { op, host: 0, volume: 3, piece: op, write: true, units: 4, wait: 1_000 * MS };
        limited.extend([seen(10, what), got(op, 0, 20, 4), said(op, 0, 30), answered(op, 31)]);
    }
    assert_eq!(broken(limited), [6], "48 units at once of 24 saved up");
}
