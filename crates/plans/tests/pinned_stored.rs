//! Pins every stored and sent byte of the package: a trail that was written at commit 01f3988 is opened, compared,
//! written to and opened again, and each message and state is compared with its JSON text of that commit.
use mallowseam_plans::state::{Change, Plan, Refused, State};
use mallowseam_plans::trail::{BEGINNING, Broken, Line, Trail};
use mallowseam_plans::words::{ToControl, ToMember};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// One line a version, with every variant of a change, every field of a plan, and text that JSON escapes.
const STORED: &str = include_str!("fixtures/trail.jsonl");
const STATE: &str = r#"{"version":8,"plans":{"basic":{"usual":1,"reserve":20,"limit":300,"burst":4000,"weight":50000,"price":600000},"gold_-.:9":{"usual":0,"reserve":0,"limit":0,"burst":0,"weight":0,"price":1000000000000}},"volumes":{"water":"gold_-.:9"}}"#;
const LAST: &str = "0af0b7f115086a80f22d2b6fff7fdb65cfcb21e8472ba29c90ac9d6de8a0d9a1";
const LAST_AFTER_NEXT: &str = "69a5ae457e5d44ca9f97af526dcc2acd998db86969c4bb4f9c56aea44ea8c1c0";
const NEXT: &str = r#"{"version":9,"at":1800000008,"author":"board / ä","reason":"tariff \"night\" \\ é€\n\t\u0001","change":{"Plan":{"name":"basic","figures":{"usual":1,"reserve":20,"limit":0,"burst":4000,"weight":50000,"price":600000}}},"after":"0af0b7f115086a80f22d2b6fff7fdb65cfcb21e8472ba29c90ac9d6de8a0d9a1"}"#;

fn basic() -> Plan {
    Plan { usual: 1, reserve: 20, limit: 300, burst: 4_000, weight: 50_000, price: 600_000 }
}

/// The changes of the stored trail, in order.
fn changes() -> Vec<Change> {
    let gold = "gold_-.:9".to_owned();
    vec![
        Change::Plan { name: "basic".into(), figures: basic() },
        Change::Plan { name: gold.clone(), figures: Plan { price: 1_000_000_000_000, ..Plan::default() } },
        Change::Volume { name: "water".into(), plan: "basic".into() },
        Change::Volume { name: "gas".into(), plan: gold.clone() },
        Change::VolumeGone { name: "gas".into() },
        Change::Volume { name: "water".into(), plan: gold },
        Change::Plan { name: "tin".into(), figures: basic() },
        Change::PlanGone { name: "tin".into() },
    ]
}

fn propose(trail: &Trail, change: Change) -> String {
    let seconds = 1_800_000_000 + trail.state.version;
    let reason = "tariff \"night\" \\ \u{e9}\u{20ac}\n\t\u{1}";
    trail.propose(trail.state.version, "board / ä", reason, seconds, change).expect("fits")
}

#[test]
fn a_stored_trail_opens_with_the_recorded_state_and_is_written_to() {
    let lines: Vec<&str> = STORED.lines().collect();
    let mut trail = Trail::replay(lines.iter().copied()).expect("the hash chain holds");
    assert_eq!(serde_json::to_string(&trail.state).expect("plain"), STATE);
    assert_eq!(trail.last(), LAST);
    assert_eq!(serde_json::from_str::<State>(STATE).expect("reads back"), trail.state);

    let next = propose(&trail, Change::Plan { name: "basic".into(), figures: Plan { limit: 0, ..basic() } });
    assert_eq!(next, NEXT);
    trail.follow(&next).expect("follows");
    assert_eq!(trail.last(), LAST_AFTER_NEXT);
    let again = Trail::replay(lines.into_iter().chain([next.as_str()])).expect("the hash chain holds");
    assert_eq!(again, trail);
    let from_state =
        serde_json::from_str(&serde_json::to_string(&trail.state).expect("plain")).expect("reads");
    assert_eq!(Trail::from_base(from_state, trail.last().to_owned()), trail);
}

#[test]
fn the_same_changes_are_written_as_the_stored_bytes() {
    let mut trail = Trail::default();
    assert_eq!(trail.last(), BEGINNING);
    assert_eq!(BEGINNING, "0".repeat(64));
    let mut written = String::new();
    for change in changes() {
        let line = propose(&trail, change.clone());
        let taken: Line = trail.follow(&line).expect("follows");
        assert_eq!(taken.change, change);
        written += &line;
        written.push('\n');
    }
    assert_eq!(written, STORED);
}

#[test]
fn one_changed_byte_of_a_stored_line_is_found() {
    let lines: Vec<&str> = STORED.lines().collect();
    for line in 0..lines.len() {
        for place in 0..lines[line].len() {
            let mut bytes = lines[line].as_bytes().to_vec();
            bytes[place] ^= 1;
            let Ok(altered) = String::from_utf8(bytes) else { continue };
            let mut all = lines.clone();
            all[line] = &altered;
            let replayed = Trail::replay(all.into_iter());
            assert!(replayed.is_err() || line + 1 == lines.len() && replayed.is_ok_and(|t| t.last() != LAST));
        }
    }
}

#[test]
fn a_field_that_is_missing_or_unknown_is_refused() {
    let first = STORED.lines().next().expect("not empty");
    for field in ["version", "at", "author", "reason", "change", "after", "name", "figures", "usual", "price"]
    {
        let quoted = format!("\"{field}\"");
        assert!(first.contains(&quoted), "{field}");
        let other = first.replacen(&quoted, "\"other\"", 1);
        assert!(serde_json::from_str::<Line>(&other).is_err(), "{field}");
    }
    let more = first.replacen('{', "{\"more\":1,", 1);
    assert!(serde_json::from_str::<Line>(&more).is_err());
    let more = first.replacen("{\"usual\"", "{\"more\":1,\"usual\"", 1);
    assert!(serde_json::from_str::<Line>(&more).is_err());
}

/// The value is written as this text and read from it.
fn pin<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("plain"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("reads back"), value);
}

#[test]
fn messages_to_the_control_service_are_the_recorded_bytes() {
    let (host, last) = ("gw1".to_owned(), "ab".to_owned());
    pin(&ToControl::Hello { host, version: 3, last }, r#"{"hello":{"host":"gw1","version":3,"last":"ab"}}"#);
    pin(&ToControl::ActsOn { version: 4 }, r#"{"acts-on":{"version":4}}"#);
    pin(
        &ToControl::Against { version: 5, why: "no \"plan\"".into() },
        r#"{"against":{"version":5,"why":"no \"plan\""}}"#,
    );
    let volumes = vec![("water".to_owned(), 225, 0), ("gas".to_owned(), 0, 500)];
    pin(
        &ToControl::Report { asked: 7, sent: 8, version: 9, volumes },
        r#"{"report":{"asked":7,"sent":8,"version":9,"volumes":[["water",225,0],["gas",0,500]]}}"#,
    );
}

#[test]
fn messages_to_a_member_are_the_recorded_bytes() {
    let state: State = serde_json::from_str(STATE).expect("reads");
    pin(
        &ToMember::Whole { state: Box::new(state), last: "cd".into() },
        &format!(r#"{{"whole":{{"state":{STATE},"last":"cd"}}}}"#),
    );
    pin(&ToMember::Line { text: "{\"a\":1}".into() }, r#"{"line":{"text":"{\"a\":1}"}}"#);
    pin(&ToMember::Ask { asked: 11 }, r#"{"ask":{"asked":11}}"#);
    pin(
        &ToMember::Granted { sent: 1, span: 1_500, volumes: vec![("water".into(), 400)] },
        r#"{"granted":{"sent":1,"span":1500,"volumes":[["water",400]]}}"#,
    );
}

#[test]
fn changes_are_the_recorded_bytes() {
    pin(
        &Change::Plan { name: "basic".into(), figures: basic() },
        r#"{"Plan":{"name":"basic","figures":{"usual":1,"reserve":20,"limit":300,"burst":4000,"weight":50000,"price":600000}}}"#,
    );
    pin(&Change::PlanGone { name: "basic".into() }, r#"{"PlanGone":{"name":"basic"}}"#);
    pin(
        &Change::Volume { name: "water".into(), plan: "basic".into() },
        r#"{"Volume":{"name":"water","plan":"basic"}}"#,
    );
    pin(&Change::VolumeGone { name: "water".into() }, r#"{"VolumeGone":{"name":"water"}}"#);
}

/// Texts that operators read on the control socket and that hosts receive as reasons.
#[test]
fn error_texts_are_the_recorded_ones() {
    let texts = [
        (
            Refused::Late { expected: 2, stands: 3 },
            "made for version 2, and version 3 stands: look at what came first",
        ),
        (Refused::NoSuchPlan("p".into()), "`p`: no such plan"),
        (Refused::NoSuchVolume("v".into()), "`v`: no such volume"),
        (Refused::InUse { plan: "p".into(), volume: "v".into() }, "`p`: volume v has this plan"),
        (Refused::BadName("?".into()), "`?`: expected 1 to 64 letters, digits and -_.:"),
        (Refused::BadFigure { what: "burst", expected: "more" }, "burst: expected more"),
        (Refused::Same, "nothing would be different"),
        (Refused::NoReason, "expected an author and a reason"),
    ];
    for (refused, text) in texts {
        assert_eq!(refused.to_string(), text);
    }
    let broken = |text: &str| Trail::default().follow(text).expect_err("broken").to_string();
    let first = STORED.lines().next().expect("not empty");
    assert_eq!(broken("{"), "trail line 1: EOF while parsing an object at line 1 column 1");
    assert_eq!(broken(&format!(" {first}")), "trail line 1: is not as the service writes it");
    let second = STORED.lines().nth(1).expect("two lines");
    assert_eq!(broken(second), "trail line 1: does not follow the line before");
    let later = first.replacen("\"version\":1", "\"version\":2", 1);
    assert_eq!(broken(&later), "trail line 1: version 2 where 1 is due");
    let gone = first.replacen("{\"Plan\":", "{\"PlanGone\":{\"name\":\"q\"}}", 1);
    let gone = format!(
        "{}{}",
        &gone[..gone.find("}}{").expect("cut") + 2],
        &first[first.find(",\"after\"").expect("cut")..]
    );
    assert_eq!(broken(&gone), "trail line 1: `q`: no such plan");
    assert_eq!(Broken { line: 7, why: "x".into() }.to_string(), "trail line 7: x");
}

#[test]
fn figures_that_no_plan_can_have_are_refused_with_the_recorded_texts() {
    let check = |figures: Plan| {
        let change = Change::Plan { name: "basic".into(), figures };
        State::default().check(&change).map_err(|refused| refused.to_string())
    };
    let most = "at most a thousand million units";
    let above = 1_000_000_000_001;
    for (figures, text) in [
        (Plan { usual: above, ..basic() }, format!("usual: expected {most}")),
        (Plan { reserve: above, ..basic() }, format!("reserve: expected {most}")),
        (Plan { limit: above, ..basic() }, format!("limit: expected {most}")),
        (Plan { burst: above, ..basic() }, format!("burst: expected {most}")),
        (Plan { weight: above, ..basic() }, format!("weight: expected {most}")),
        (Plan { price: above, ..basic() }, format!("price: expected {most}")),
        (Plan { burst: 0, ..basic() }, "burst: expected above 0 where there is a limit".into()),
        (Plan { reserve: 301, ..basic() }, "reserve: expected no more than the limit".into()),
    ] {
        assert_eq!(check(figures), Err(text));
    }
    assert_eq!(check(Plan { reserve: 300, price: above - 1, ..basic() }), Ok(()));
    assert_eq!(check(Plan { limit: 0, burst: 0, ..basic() }), Ok(()));
}
