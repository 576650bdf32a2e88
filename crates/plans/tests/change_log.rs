//! Tests of the change log and of the states that it leads to: replay, altered entries, conflicting changes, and
//! reverted changes.
use mallowseam_plans::change_log::ChangeLog;
use mallowseam_plans::error::ChangeError;
use mallowseam_plans::state::{Change, Plan};

fn plan(limit: u64) -> Plan {
    Plan {
        rate_limit: limit,
        burst_units: 1_000,
        ..Plan::default()
    }
}

fn set(name: &str, plan: Plan) -> Change {
    Change::SetPlan {
        name: name.into(),
        plan,
    }
}

fn assign(volume: &str, plan: &str) -> Change {
    Change::AssignPlan {
        volume: volume.into(),
        plan: plan.into(),
    }
}

/// Returns a log of some changes, and its entries.
fn log_with_entries() -> (ChangeLog, Vec<String>) {
    let mut changes = vec![
        set("basic", plan(40_000)),
        assign("water", "basic"),
        set("gold", plan(0)),
        assign("water", "gold"),
        Change::RemovePlan {
            name: "basic".into(),
        },
        Change::RemoveVolume {
            volume: "water".into(),
        },
    ];
    changes.extend((0..20).map(|n| set("gold", plan(1_000 + n))));
    let (mut log, mut entries) = (ChangeLog::default(), Vec::new());
    for (version, change) in (0..).zip(changes) {
        let entry = log
            .propose(version, "board", "tariff night", 1_800_000_000, change)
            .expect("the change is valid");
        log.append(&entry).expect("the entry follows the log");
        entries.push(entry);
    }
    (log, entries)
}

fn replay(entries: &[String]) -> ChangeLog {
    ChangeLog::replay(entries.iter().map(String::as_str)).expect("the entries are unaltered")
}

#[test]
fn replay_leads_to_the_same_state_from_every_version() {
    let (log, entries) = log_with_entries();
    assert_eq!(replay(&entries), log);
    for version in 0..entries.len() {
        let start = replay(&entries[..version]);
        let mut continued =
            ChangeLog::from_snapshot(start.state.clone(), start.last_hash().to_owned());
        for entry in &entries[version..] {
            continued.append(entry).expect("the entry follows the log");
        }
        assert_eq!(continued, log, "continued from version {version}");
    }
}

#[test]
fn an_altered_byte_is_detected_at_its_entry_or_the_next() {
    let (_, entries) = log_with_entries();
    for index in 0..entries.len() - 1 {
        for position in 0..entries[index].len() {
            let mut bytes = entries[index].clone().into_bytes();
            bytes[position] ^= 1;
            let Ok(altered) = String::from_utf8(bytes) else {
                continue;
            };
            let mut all: Vec<&str> = entries.iter().map(String::as_str).collect();
            all[index] = &altered;
            let error =
                ChangeLog::replay(all.into_iter()).expect_err("an altered entry must be rejected");
            assert!(
                error.line == index as u64 + 1 || error.line == index as u64 + 2,
                "altered byte {position} of entry {index} was detected elsewhere: {error}"
            );
        }
    }
}

#[test]
fn a_missing_entry_is_detected_at_the_next() {
    let (_, entries) = log_with_entries();
    let without_fourth = entries.iter().enumerate().filter(|(index, _)| *index != 3);
    let replayed = ChangeLog::replay(without_fourth.map(|(_, entry)| entry.as_str()));
    assert_eq!(
        replayed.expect_err("a missing entry must be detected").line,
        4
    );
}

#[test]
fn of_two_concurrent_changes_one_wins_and_the_other_is_a_conflict() {
    let (mut log, _) = log_with_entries();
    let version = log.state.version;
    let first = log
        .propose(version, "a", "x", 0, set("gold", plan(7)))
        .expect("the change is valid");
    let second = log
        .propose(version, "b", "y", 0, set("gold", plan(8)))
        .expect("the change is valid");
    log.append(&first).expect("the first entry follows the log");
    assert!(log.append(&second).is_err());
    let stale = log.propose(version, "b", "y", 0, set("gold", plan(8)));
    assert_eq!(
        stale,
        Err(ChangeError::VersionConflict {
            expected: version,
            current: version + 1
        })
    );
    let anonymous = log.propose(version + 1, "", "y", 0, set("gold", plan(8)));
    assert_eq!(anonymous, Err(ChangeError::MissingReason));
}

#[test]
fn parameters_out_of_range_are_rejected() {
    let (log, _) = log_with_entries();
    let check = |plan| log.state.check(&set("gold", plan));
    let without_burst = Plan {
        rate_limit: 5,
        burst_units: 0,
        ..Plan::default()
    };
    assert!(matches!(
        check(without_burst),
        Err(ChangeError::InvalidParameter { .. })
    ));
    let reserve_above_limit = Plan {
        reserved_rate: 9_000,
        ..plan(5)
    };
    assert!(matches!(
        check(reserve_above_limit),
        Err(ChangeError::InvalidParameter { .. })
    ));
}

#[test]
fn a_change_can_be_reverted_unless_later_ones_depend_on_it() {
    let before = log_with_entries().0.state;
    let change = set("tin", plan(3));
    let mut after = before.clone();
    after.apply(&change).expect("the change is valid");
    after
        .check(&before.revert(&change))
        .expect("no later change depends on the plan");
    after
        .apply(&assign("gas", "tin"))
        .expect("the change is valid");
    let revert = before.revert(&change);
    assert!(
        matches!(after.check(&revert), Err(ChangeError::PlanInUse { .. })),
        "a plan that a volume has by now must not be removable"
    );
}

#[test]
fn a_diff_leads_from_one_state_to_the_other_and_back() {
    let before = log_with_entries().0.state;
    let mut after = before.clone();
    after
        .apply(&set("tin", plan(3)))
        .expect("the change is valid");
    after
        .apply(&assign("gas", "tin"))
        .expect("the change is valid");
    for (from, to) in [(&before, &after), (&after, &before)] {
        let mut state = from.clone();
        for change in from.diff(to) {
            state
                .apply(&change)
                .expect("the changes can be applied in this order");
        }
        assert_eq!((&state.plans, &state.volumes), (&to.plans, &to.volumes));
    }
}
