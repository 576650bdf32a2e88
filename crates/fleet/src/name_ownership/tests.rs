//! Tests of the pings of a name conflict, and of its two outcomes.
use super::*;
use crate::config::MembershipConfig;
use crate::local_member::LocalMember;
use crate::record::Name;

const PERIOD: Millis = 1_000;

fn record(generation: u64) -> MemberRecord {
    let name = Name::try_from("own").expect("name within the length limit");
    let address = ([127, 0, 0, 1], generation as u16).into();
    let config = MembershipConfig::new(name.clone(), name, address);
    LocalMember::new(&config, generation, 0).record().clone()
}

#[test]
fn a_later_process_is_pinged_three_times_before_it_counts_as_ended() {
    let mut ownership = NameOwnership::new(PERIOD);
    assert_eq!(ownership.next_step(0), None);
    ownership.dispute(&record(20), 0);
    for now in [0, PERIOD, 2 * PERIOD] {
        let ping = ConflictStep::Ping(record(20).address);
        assert_eq!(ownership.next_step(now), Some(ping));
        assert_eq!(ownership.next_step(now + PERIOD - 1), None);
    }
    let ended = Some(ConflictStep::Ended(20));
    assert_eq!(ownership.next_step(3 * PERIOD), ended);
    ownership.resolve();
    assert_eq!(ownership.next_step(4 * PERIOD), None);
}

#[test]
fn of_several_processes_the_latest_is_pinged() {
    let mut ownership = NameOwnership::new(PERIOD);
    ownership.dispute(&record(20), 0);
    ownership.dispute(&record(30), 0);
    ownership.dispute(&record(25), 0);
    let ping = ConflictStep::Ping(record(30).address);
    assert_eq!(ownership.next_step(0), Some(ping));
}

#[test]
fn an_ack_from_the_later_process_supersedes_this_one_permanently() {
    let mut ownership = NameOwnership::new(PERIOD);
    assert!(!ownership.on_ack(&record(20)), "there is no conflict");
    ownership.dispute(&record(20), 0);
    assert!(
        !ownership.on_ack(&record(19)),
        "the sender is an earlier process"
    );
    assert!(ownership.on_ack(&record(20)));
    assert_eq!(ownership.superseded_by(), Some(record(20).address));
    assert!(
        !ownership.on_ack(&record(20)),
        "this process is superseded already"
    );
    ownership.dispute(&record(40), 0);
    assert!(ownership.is_superseded());
    assert_eq!(ownership.next_step(9 * PERIOD), None);
}
