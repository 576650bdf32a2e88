//! Pins every stored and sent byte of the package: a change log that was written at commit 01f3988 is replayed,
//! compared, extended and replayed again, and each message and state is compared with its JSON text of that commit.
use mallowseam_plans::change_log::{ChangeLog, GENESIS_HASH, LogEntry};
use mallowseam_plans::error::{ChangeError, LogError, LogErrorKind};
use mallowseam_plans::messages::{HostMessage, ServiceMessage, VolumeLease, VolumeReport};
use mallowseam_plans::state::{Change, Plan, State};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// One entry for each version, with every variant of a change, every field of a plan, and text that JSON escapes.
const STORED_LOG: &str = include_str!("fixtures/change_log.jsonl");
const STATE: &str = r#"{"version":8,"plans":{"basic":{"usual":1,"reserve":20,"limit":300,"burst":4000,"weight":50000,"price":600000},"gold_-.:9":{"usual":0,"reserve":0,"limit":0,"burst":0,"weight":0,"price":1000000000000}},"volumes":{"water":"gold_-.:9"}}"#;
const LAST_HASH: &str = "0af0b7f115086a80f22d2b6fff7fdb65cfcb21e8472ba29c90ac9d6de8a0d9a1";
const LAST_HASH_AFTER_NEXT: &str =
    "69a5ae457e5d44ca9f97af526dcc2acd998db86969c4bb4f9c56aea44ea8c1c0";
const NEXT_ENTRY: &str = r#"{"version":9,"at":1800000008,"author":"board / ä","reason":"tariff \"night\" \\ é€\n\t\u0001","change":{"Plan":{"name":"basic","figures":{"usual":1,"reserve":20,"limit":0,"burst":4000,"weight":50000,"price":600000}}},"after":"0af0b7f115086a80f22d2b6fff7fdb65cfcb21e8472ba29c90ac9d6de8a0d9a1"}"#;

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

/// Returns the changes of the stored log, in order.
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
        .expect("the change is valid")
}

#[test]
fn a_stored_change_log_replays_to_the_recorded_state_and_can_be_extended() {
    let lines: Vec<&str> = STORED_LOG.lines().collect();
    let mut log = ChangeLog::replay(lines.iter().copied()).expect("the hash chain is intact");
    assert_eq!(
        serde_json::to_string(&log.state).expect("the data can be encoded as JSON"),
        STATE
    );
    assert_eq!(log.last_hash(), LAST_HASH);
    assert_eq!(
        serde_json::from_str::<State>(STATE).expect("the JSON text can be decoded"),
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
    assert_eq!(next, NEXT_ENTRY);
    log.append(&next).expect("the entry follows the log");
    assert_eq!(log.last_hash(), LAST_HASH_AFTER_NEXT);
    let replayed = ChangeLog::replay(lines.into_iter().chain([next.as_str()]))
        .expect("the hash chain is intact");
    assert_eq!(replayed, log);
    let decoded_state = serde_json::from_str(
        &serde_json::to_string(&log.state).expect("the data can be encoded as JSON"),
    )
    .expect("the JSON text can be decoded");
    assert_eq!(
        ChangeLog::from_snapshot(decoded_state, log.last_hash().to_owned()),
        log
    );
}

#[test]
fn the_same_changes_are_encoded_as_the_stored_bytes() {
    let mut log = ChangeLog::default();
    assert_eq!(log.last_hash(), GENESIS_HASH);
    assert_eq!(GENESIS_HASH, "0".repeat(64));
    let mut written = String::new();
    for change in changes() {
        let text = propose(&log, change.clone());
        let entry: LogEntry = log.append(&text).expect("the entry follows the log");
        assert_eq!(entry.change, change);
        written += &text;
        written.push('\n');
    }
    assert_eq!(written, STORED_LOG);
}

#[test]
fn one_changed_byte_of_a_stored_entry_is_detected() {
    let lines: Vec<&str> = STORED_LOG.lines().collect();
    for index in 0..lines.len() {
        for position in 0..lines[index].len() {
            let mut bytes = lines[index].as_bytes().to_vec();
            bytes[position] ^= 1;
            let Ok(altered) = String::from_utf8(bytes) else {
                continue;
            };
            let mut all = lines.clone();
            all[index] = &altered;
            let replayed = ChangeLog::replay(all.into_iter());
            assert!(
                replayed.is_err()
                    || index + 1 == lines.len()
                        && replayed.is_ok_and(|log| log.last_hash() != LAST_HASH)
            );
        }
    }
}

#[test]
fn a_field_that_is_missing_or_unknown_is_rejected() {
    let first = STORED_LOG
        .lines()
        .next()
        .expect("the stored log is not empty");
    for field in [
        "version", "at", "author", "reason", "change", "after", "name", "figures", "usual", "price",
    ] {
        let quoted = format!("\"{field}\"");
        assert!(first.contains(&quoted), "{field}");
        let other = first.replacen(&quoted, "\"other\"", 1);
        assert!(serde_json::from_str::<LogEntry>(&other).is_err(), "{field}");
    }
    let with_extra_field = first.replacen('{', "{\"more\":1,", 1);
    assert!(serde_json::from_str::<LogEntry>(&with_extra_field).is_err());
    let with_extra_field = first.replacen("{\"usual\"", "{\"more\":1,\"usual\"", 1);
    assert!(serde_json::from_str::<LogEntry>(&with_extra_field).is_err());
}

/// Checks that a value is encoded as `text` and decoded from it.
fn pin<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(value: &T, text: &str) {
    assert_eq!(
        serde_json::to_string(value).expect("the data can be encoded as JSON"),
        text
    );
    assert_eq!(
        &serde_json::from_str::<T>(text).expect("the JSON text can be decoded"),
        value
    );
}

#[test]
fn messages_to_the_control_service_are_encoded_as_recorded() {
    let (host, last_hash) = ("gw1".to_owned(), "ab".to_owned());
    pin(
        &HostMessage::Hello {
            host,
            version: 3,
            last_hash,
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
fn messages_to_a_host_are_encoded_as_recorded() {
    let state: State = serde_json::from_str(STATE).expect("the JSON text can be decoded");
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
fn changes_are_encoded_as_recorded() {
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
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
    let append_error = |text: &str| {
        ChangeLog::default()
            .append(text)
            .expect_err("the entry must be rejected")
            .to_string()
    };
    let first = STORED_LOG
        .lines()
        .next()
        .expect("the stored log is not empty");
    assert_eq!(
        append_error("{"),
        "trail line 1: EOF while parsing an object at line 1 column 1"
    );
    assert_eq!(
        append_error(&format!(" {first}")),
        "trail line 1: is not as the service writes it"
    );
    let second = STORED_LOG
        .lines()
        .nth(1)
        .expect("the stored log has two entries");
    assert_eq!(
        append_error(second),
        "trail line 1: does not follow the line before"
    );
    let later = first.replacen("\"version\":1", "\"version\":2", 1);
    assert_eq!(
        append_error(&later),
        "trail line 1: found version 2, expected version 1"
    );
    let removal = first.replacen("{\"Plan\":", "{\"PlanGone\":{\"name\":\"q\"}}", 1);
    let removal = format!(
        "{}{}",
        &removal[..removal
            .find("}}{")
            .expect("the entry has a change and a hash")
            + 2],
        &first[first
            .find(",\"after\"")
            .expect("the entry has a change and a hash")..]
    );
    assert_eq!(append_error(&removal), "trail line 1: `q`: no such plan");
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
            .map_err(|error| error.to_string())
    };
    let maximum = "at most a thousand million units";
    let above_maximum = 1_000_000_000_001;
    for (plan, text) in [
        (
            Plan {
                usual_rate: above_maximum,
                ..basic()
            },
            format!("usual: expected {maximum}"),
        ),
        (
            Plan {
                reserved_rate: above_maximum,
                ..basic()
            },
            format!("reserve: expected {maximum}"),
        ),
        (
            Plan {
                rate_limit: above_maximum,
                ..basic()
            },
            format!("limit: expected {maximum}"),
        ),
        (
            Plan {
                burst_units: above_maximum,
                ..basic()
            },
            format!("burst: expected {maximum}"),
        ),
        (
            Plan {
                weight: above_maximum,
                ..basic()
            },
            format!("weight: expected {maximum}"),
        ),
        (
            Plan {
                priority_factor: above_maximum,
                ..basic()
            },
            format!("price: expected {maximum}"),
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
        assert_eq!(check(plan), Err(text));
    }
    assert_eq!(
        check(Plan {
            reserved_rate: 300,
            priority_factor: above_maximum - 1,
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
