//! Pins every stored and sent byte of the package: a change log that was written at commit 01f3988 is opened, compared,
//! written to and opened again, and each message and state is compared with its JSON text of that commit.
use mallowseam_plans::change_log::{ChangeLog, GENESIS_HASH, LogEntry};
use mallowseam_plans::error::{ChangeError, LogError, LogErrorKind};
use mallowseam_plans::messages::{HostMessage, ServiceMessage, VolumeLease, VolumeReport};
use mallowseam_plans::state::{Change, Plan, State};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// One line a version, with every variant of a change, every field of a plan, and text that JSON escapes.
const STORED: &str = include_str!("fixtures/change_log.jsonl");
const STATE: &str = r#"{"version":8,"plans":{"basic":{"usual":1,"reserve":20,"limit":300,"burst":4000,"weight":50000,"price":600000},"gold_-.:9":{"usual":0,"reserve":0,"limit":0,"burst":0,"weight":0,"price":1000000000000}},"volumes":{"water":"gold_-.:9"}}"#;
const LAST: &str = "0af0b7f115086a80f22d2b6fff7fdb65cfcb21e8472ba29c90ac9d6de8a0d9a1";
const LAST_AFTER_NEXT: &str = "69a5ae457e5d44ca9f97af526dcc2acd998db86969c4bb4f9c56aea44ea8c1c0";
const NEXT: &str = r#"{"version":9,"at":1800000008,"author":"board / ä","reason":"tariff \"night\" \\ é€\n\t\u0001","change":{"Plan":{"name":"basic","figures":{"usual":1,"reserve":20,"limit":0,"burst":4000,"weight":50000,"price":600000}}},"after":"0af0b7f115086a80f22d2b6fff7fdb65cfcb21e8472ba29c90ac9d6de8a0d9a1"}"#;

fn basic() -> Plan {
    Plan {
        usual_rate: 1,
        reserved_rate: 20,
        rate_limit: 300,
        burst_units: 4_000,
        weight: 50_000,
        priority_factor: 600_000,
    }
}

/// The changes of the stored log, in order.
fn changes() -> Vec<Change> {
    let gold = "gold_-.:9".to_owned();
    vec![
        Change::SetPlan {
            name: "basic".into(),
            plan: basic(),
        },
        Change::SetPlan {
            name: gold.clone(),
            plan: Plan {
                priority_factor: 1_000_000_000_000,
                ..Plan::default()
            },
        },
        Change::AssignPlan {
            volume: "water".into(),
            plan: "basic".into(),
        },
        Change::AssignPlan {
            volume: "gas".into(),
            plan: gold.clone(),
        },
        Change::RemoveVolume {
            volume: "gas".into(),
        },
        Change::AssignPlan {
            volume: "water".into(),
            plan: gold,
        },
        Change::SetPlan {
            name: "tin".into(),
            plan: basic(),
        },
        Change::RemovePlan { name: "tin".into() },
    ]
}

fn propose(log: &ChangeLog, change: Change) -> String {
    let seconds = 1_800_000_000 + log.state.version;
    let reason = "tariff \"night\" \\ \u{e9}\u{20ac}\n\t\u{1}";
    log.propose(log.state.version, "board / ä", reason, seconds, change)
        .expect("fits")
}

#[test]
fn a_stored_change_log_opens_with_the_recorded_state_and_is_written_to() {
    let lines: Vec<&str> = STORED.lines().collect();
    let mut log = ChangeLog::replay(lines.iter().copied()).expect("the hash chain holds");
    assert_eq!(serde_json::to_string(&log.state).expect("plain"), STATE);
    assert_eq!(log.last_hash(), LAST);
    assert_eq!(
        serde_json::from_str::<State>(STATE).expect("reads back"),
        log.state
    );

    let next = propose(
        &log,
        Change::SetPlan {
            name: "basic".into(),
            plan: Plan {
                rate_limit: 0,
                ..basic()
            },
        },
    );
    assert_eq!(next, NEXT);
    log.append(&next).expect("follows");
    assert_eq!(log.last_hash(), LAST_AFTER_NEXT);
    let again =
        ChangeLog::replay(lines.into_iter().chain([next.as_str()])).expect("the hash chain holds");
    assert_eq!(again, log);
    let from_state =
        serde_json::from_str(&serde_json::to_string(&log.state).expect("plain")).expect("reads");
    assert_eq!(
        ChangeLog::from_snapshot(from_state, log.last_hash().to_owned()),
        log
    );
}

#[test]
fn the_same_changes_are_written_as_the_stored_bytes() {
    let mut log = ChangeLog::default();
    assert_eq!(log.last_hash(), GENESIS_HASH);
    assert_eq!(GENESIS_HASH, "0".repeat(64));
    let mut written = String::new();
    for change in changes() {
        let line = propose(&log, change.clone());
        let taken: LogEntry = log.append(&line).expect("follows");
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
            let Ok(altered) = String::from_utf8(bytes) else {
                continue;
            };
            let mut all = lines.clone();
            all[line] = &altered;
            let replayed = ChangeLog::replay(all.into_iter());
            assert!(
                replayed.is_err()
                    || line + 1 == lines.len() && replayed.is_ok_and(|t| t.last_hash() != LAST)
            );
        }
    }
}

#[test]
fn a_field_that_is_missing_or_unknown_is_rejected() {
    let first = STORED.lines().next().expect("not empty");
    for field in [
        "version", "at", "author", "reason", "change", "after", "name", "figures", "usual", "price",
    ] {
        let quoted = format!("\"{field}\"");
        assert!(first.contains(&quoted), "{field}");
        let other = first.replacen(&quoted, "\"other\"", 1);
        assert!(serde_json::from_str::<LogEntry>(&other).is_err(), "{field}");
    }
    let more = first.replacen('{', "{\"more\":1,", 1);
    assert!(serde_json::from_str::<LogEntry>(&more).is_err());
    let more = first.replacen("{\"usual\"", "{\"more\":1,\"usual\"", 1);
    assert!(serde_json::from_str::<LogEntry>(&more).is_err());
}

/// The value is written as this text and read from it.
fn pin<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("plain"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("reads back"), value);
}

#[test]
fn messages_to_the_control_service_are_the_recorded_bytes() {
    let (host, last) = ("gw1".to_owned(), "ab".to_owned());
    pin(
        &HostMessage::Hello {
            host,
            version: 3,
            last_hash: last,
        },
        r#"{"hello":{"host":"gw1","version":3,"last":"ab"}}"#,
    );
    pin(
        &HostMessage::Accepted { version: 4 },
        r#"{"acts-on":{"version":4}}"#,
    );
    pin(
        &HostMessage::Rejected {
            version: 5,
            reason: "no \"plan\"".into(),
        },
        r#"{"against":{"version":5,"why":"no \"plan\""}}"#,
    );
    let volumes = vec![
        VolumeReport {
            volume: "water".to_owned(),
            lent: 225,
            requested: 0,
        },
        VolumeReport {
            volume: "gas".to_owned(),
            lent: 0,
            requested: 500,
        },
    ];
    pin(
        &HostMessage::QuotaReport {
            polled_at: 7,
            sent_at: 8,
            version: 9,
            volumes,
        },
        r#"{"report":{"asked":7,"sent":8,"version":9,"volumes":[["water",225,0],["gas",0,500]]}}"#,
    );
}

#[test]
fn messages_to_a_host_are_the_recorded_bytes() {
    let state: State = serde_json::from_str(STATE).expect("reads");
    pin(
        &ServiceMessage::Snapshot {
            state: Box::new(state),
            last_hash: "cd".into(),
        },
        &format!(r#"{{"whole":{{"state":{STATE},"last":"cd"}}}}"#),
    );
    pin(
        &ServiceMessage::LogEntry {
            text: "{\"a\":1}".into(),
        },
        r#"{"line":{"text":"{\"a\":1}"}}"#,
    );
    pin(
        &ServiceMessage::QuotaPoll { polled_at: 11 },
        r#"{"ask":{"asked":11}}"#,
    );
    pin(
        &ServiceMessage::QuotaLeases {
            requested_at: 1,
            duration: 1_500,
            volumes: vec![VolumeLease {
                volume: "water".into(),
                amount: 400,
            }],
        },
        r#"{"granted":{"sent":1,"span":1500,"volumes":[["water",400]]}}"#,
    );
}

#[test]
fn changes_are_the_recorded_bytes() {
    pin(
        &Change::SetPlan {
            name: "basic".into(),
            plan: basic(),
        },
        r#"{"Plan":{"name":"basic","figures":{"usual":1,"reserve":20,"limit":300,"burst":4000,"weight":50000,"price":600000}}}"#,
    );
    pin(
        &Change::RemovePlan {
            name: "basic".into(),
        },
        r#"{"PlanGone":{"name":"basic"}}"#,
    );
    pin(
        &Change::AssignPlan {
            volume: "water".into(),
            plan: "basic".into(),
        },
        r#"{"Volume":{"name":"water","plan":"basic"}}"#,
    );
    pin(
        &Change::RemoveVolume {
            volume: "water".into(),
        },
        r#"{"VolumeGone":{"name":"water"}}"#,
    );
}

/// Texts that operators read on the control socket and that hosts receive as reasons.
#[test]
fn error_texts_are_the_recorded_ones() {
    let texts = [
        (
            ChangeError::VersionConflict {
                expected: 2,
                current: 3,
            },
            "made for version 2, and version 3 stands: look at what came first",
        ),
        (ChangeError::UnknownPlan("p".into()), "`p`: no such plan"),
        (
            ChangeError::UnknownVolume("v".into()),
            "`v`: no such volume",
        ),
        (
            ChangeError::PlanInUse {
                plan: "p".into(),
                volume: "v".into(),
            },
            "`p`: volume v has this plan",
        ),
        (
            ChangeError::InvalidName("?".into()),
            "`?`: expected 1 to 64 letters, digits and -_.:",
        ),
        (
            ChangeError::InvalidParameter {
                parameter: "burst",
                expected: "more",
            },
            "burst: expected more",
        ),
        (ChangeError::NoEffect, "nothing would be different"),
        (
            ChangeError::MissingReason,
            "expected an author and a reason",
        ),
    ];
    for (refused, text) in texts {
        assert_eq!(refused.to_string(), text);
    }
    let broken = |text: &str| {
        ChangeLog::default()
            .append(text)
            .expect_err("broken")
            .to_string()
    };
    let first = STORED.lines().next().expect("not empty");
    assert_eq!(
        broken("{"),
        "trail line 1: EOF while parsing an object at line 1 column 1"
    );
    assert_eq!(
        broken(&format!(" {first}")),
        "trail line 1: is not as the service writes it"
    );
    let second = STORED.lines().nth(1).expect("two lines");
    assert_eq!(
        broken(second),
        "trail line 1: does not follow the line before"
    );
    let later = first.replacen("\"version\":1", "\"version\":2", 1);
    assert_eq!(broken(&later), "trail line 1: version 2 where 1 is due");
    let removal = first.replacen("{\"Plan\":", "{\"PlanGone\":{\"name\":\"q\"}}", 1);
    let removal = format!(
        "{}{}",
        &removal[..removal.find("}}{").expect("cut") + 2],
        &first[first.find(",\"after\"").expect("cut")..]
    );
    assert_eq!(broken(&removal), "trail line 1: `q`: no such plan");
    assert_eq!(
        LogError {
            line: 7,
            kind: LogErrorKind::HashMismatch
        }
        .to_string(),
        "trail line 7: does not follow the line before"
    );
}

#[test]
fn invalid_parameters_are_rejected_with_the_recorded_texts() {
    let check = |plan: Plan| {
        let change = Change::SetPlan {
            name: "basic".into(),
            plan,
        };
        State::default()
            .check(&change)
            .map_err(|refused| refused.to_string())
    };
    let most = "at most a thousand million units";
    let above = 1_000_000_000_001;
    for (figures, text) in [
        (
            Plan {
                usual_rate: above,
                ..basic()
            },
            format!("usual: expected {most}"),
        ),
        (
            Plan {
                reserved_rate: above,
                ..basic()
            },
            format!("reserve: expected {most}"),
        ),
        (
            Plan {
                rate_limit: above,
                ..basic()
            },
            format!("limit: expected {most}"),
        ),
        (
            Plan {
                burst_units: above,
                ..basic()
            },
            format!("burst: expected {most}"),
        ),
        (
            Plan {
                weight: above,
                ..basic()
            },
            format!("weight: expected {most}"),
        ),
        (
            Plan {
                priority_factor: above,
                ..basic()
            },
            format!("price: expected {most}"),
        ),
        (
            Plan {
                burst_units: 0,
                ..basic()
            },
            "burst: expected above 0 where there is a limit".into(),
        ),
        (
            Plan {
                reserved_rate: 301,
                ..basic()
            },
            "reserve: expected no more than the limit".into(),
        ),
    ] {
        assert_eq!(check(figures), Err(text));
    }
    assert_eq!(
        check(Plan {
            reserved_rate: 300,
            priority_factor: above - 1,
            ..basic()
        }),
        Ok(())
    );
    assert_eq!(
        check(Plan {
            rate_limit: 0,
            burst_units: 0,
            ..basic()
        }),
        Ok(())
    );
}
