//! Tests of the states of a member, and of the pings to an unreachable one.
use super::*;
use crate::config::MembershipConfig;
use crate::local_member::LocalMember;
use crate::record::Name;

fn record(lifecycle: Lifecycle) -> MemberRecord {
    let name = Name::try_from("other").expect("name within the length limit");
    let address = ([127, 0, 0, 1], 7_000).into();
    let config = MembershipConfig::new(name.clone(), name, address);
    let mut member = LocalMember::new(&config, 1, 0);
    member.set_lifecycle(lifecycle);
    member.record().clone()
}

fn update(lifecycle: Lifecycle, suspected_by: Option<u32>) -> GossipUpdate {
    GossipUpdate {
        record: record(lifecycle),
        suspected_by,
    }
}

#[test]
fn a_member_with_an_unrefuted_suspicion_becomes_unreachable_or_has_left_if_it_was_leaving() {
    for (lifecycle, expected_state) in [
        (Lifecycle::Alive, MemberState::Unreachable),
        (Lifecycle::Leaving, MemberState::Left),
    ] {
        let mut member = Member::new(&update(lifecycle, None), 0);
        member.suspect(9, false, 10);
        assert_eq!(member.state(), MemberState::Suspect);
        member.expire_suspicion(100, 20);
        assert_eq!(member.state(), expected_state);
        assert!(!member.is_reachable());
        assert!(!member.is_expired(50, 50, 69));
        assert!(member.is_expired(50, 50, 70));
    }
}

#[test]
fn a_local_suspicion_does_not_make_a_leaving_member_one_that_has_left() {
    let mut member = Member::new(&update(Lifecycle::Leaving, None), 0);
    member.suspect(9, true, 10);
    member.expire_suspicion(100, 20);
    assert_eq!(member.state(), MemberState::Unreachable);
    assert_eq!(member.gossiped_accuser(), None);
    member.clear_suspicion(30);
    assert_eq!(member.state(), MemberState::Leaving);
}

#[test]
fn an_unreachable_member_is_pinged_at_doubling_intervals_up_to_the_maximum() {
    let mut member = Member::new(&update(Lifecycle::Alive, Some(9)), 0);
    assert!(
        !member.take_due_ping(1_000, 300),
        "a suspected member is not pinged as unreachable"
    );
    member.expire_suspicion(100, 0);
    let pings: Vec<Millis> = (0..1_200)
        .filter(|now| member.take_due_ping(*now, 300))
        .collect();
    assert_eq!(pings, [100, 300, 600, 900]);
}

#[test]
fn a_newer_record_clears_a_suspicion_and_an_older_one_is_stale() {
    let mut member = Member::new(&update(Lifecycle::Alive, Some(9)), 0);
    let mut newer = update(Lifecycle::Alive, None);
    assert_eq!(member.merge(&newer, 5), UpdateOutcome::Unchanged);
    newer.record.incarnation += 1;
    assert_eq!(member.merge(&newer, 5), UpdateOutcome::Applied);
    assert!(member.is_reachable());
    let older = update(Lifecycle::Alive, Some(9));
    assert_eq!(member.merge(&older, 5), UpdateOutcome::Stale);
}

#[test]
fn only_a_message_with_the_known_record_counts_as_contact() {
    let mut member = Member::new(&update(Lifecycle::Alive, None), 0);
    let mut other = record(Lifecycle::Alive);
    other.incarnation += 1;
    member.record_contact(other.precedence(), 7);
    assert_eq!(member.last_contact(), None);
    member.record_contact(record(Lifecycle::Alive).precedence(), 8);
    assert_eq!(member.last_contact(), Some(8));
}
