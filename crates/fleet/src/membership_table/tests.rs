//! Tests of the changes of the membership table, and of the events and gossip that each of them requires.
use super::*;
use crate::config::MembershipConfig;
use crate::event::MembershipEvent;
use crate::local_member::LocalMember;
use crate::record::Name;

const OWN_ACCUSER: u32 = 1;

fn record(host: &str, lifecycle: Lifecycle) -> MemberRecord {
    let name = Name::try_from(host).expect("name within the length limit");
    let address = ([127, 0, 0, 1], 7_000).into();
    let config = MembershipConfig::new(name.clone(), name, address);
    let mut member = LocalMember::new(&config, 1, 0);
    member.set_lifecycle(lifecycle);
    member.record().clone()
}

fn update(host: &str, lifecycle: Lifecycle, suspected_by: Option<u32>) -> GossipUpdate {
    GossipUpdate {
        record: record(host, lifecycle),
        suspected_by,
    }
}

/// Returns the table of host `own`, which knows `other`.
fn table() -> MembershipTable {
    let mut table = MembershipTable::new(member_id("own"));
    table.replace_local(&record("own", Lifecycle::Alive), 0);
    let merged = table.merge(&update("other", Lifecycle::Alive, None), 0);
    assert!(matches!(merged, MergeOutcome::Applied(_)));
    table
}

fn states(change: &TableChange) -> Option<(Option<MemberState>, MemberState)> {
    match change.event.as_ref()? {
        MembershipEvent::MemberUpdated {
            previous, current, ..
        } => Some((*previous, *current)),
        event => panic!("unexpected event {event:?}"),
    }
}

#[test]
fn the_own_record_is_always_gossiped_and_reported_if_its_state_changes() {
    let mut table = table();
    let same = table.replace_local(&record("own", Lifecycle::Alive), 1);
    assert_eq!(same, TableChange::enqueued(member_id("own")));
    let leaving = table.replace_local(&record("own", Lifecycle::Leaving), 2);
    assert_eq!(leaving.gossip, GossipEffect::Enqueue);
    let expected = (Some(MemberState::Alive), MemberState::Leaving);
    assert_eq!(states(&leaving), Some(expected));
}

#[test]
fn a_suspicion_is_gossiped_unless_this_host_is_isolated() {
    for (is_local, gossip) in [
        (false, GossipEffect::Enqueue),
        (true, GossipEffect::Withdraw),
    ] {
        let mut table = table();
        let change = table.suspect(member_id("other"), OWN_ACCUSER, is_local, 5);
        let change = change.expect("the member was reachable");
        assert_eq!(change.gossip, gossip);
        let expected = (Some(MemberState::Alive), MemberState::Suspect);
        assert_eq!(states(&change), Some(expected));
        let again = table.suspect(member_id("other"), OWN_ACCUSER, is_local, 6);
        assert_eq!(again, None, "the member is suspected already");
    }
}

#[test]
fn the_expiry_of_a_suspicion_is_reported_and_not_gossiped() {
    let mut table = table();
    table.suspect(member_id("other"), OWN_ACCUSER, false, 5);
    assert_eq!(table.expire_suspicions(|_| 10, 100, 14), []);
    table.extend_suspicions(2);
    assert_eq!(table.expire_suspicions(|_| 10, 100, 15), []);
    let changes = table.expire_suspicions(|_| 10, 100, 17);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].gossip, GossipEffect::Unchanged);
    let expected = (Some(MemberState::Suspect), MemberState::Unreachable);
    assert_eq!(states(&changes[0]), Some(expected));
    assert!(!table.is_ping_target(member_id("other")));
}

#[test]
fn suspicions_that_only_an_isolated_host_raised_are_withdrawn_and_later_cleared() {
    let mut table = table();
    table.suspect(member_id("other"), OWN_ACCUSER, false, 5);
    let withdrawn = table.keep_own_suspicions_local(OWN_ACCUSER, 5);
    assert_eq!(withdrawn, [TableChange::withdrawn(member_id("other"))]);
    let cleared = table.clear_local_suspicions(9);
    assert_eq!(cleared.len(), 1);
    assert!(table.is_ping_target(member_id("other")));
    assert_eq!(table.clear_local_suspicions(9), []);
}

#[test]
fn the_tombstone_of_a_removed_member_rejects_older_records() {
    let mut table = table();
    let left = update("other", Lifecycle::Left, None);
    assert!(matches!(table.merge(&left, 5), MergeOutcome::Applied(_)));
    let removed = table.remove_expired(15, 10, 100);
    assert_eq!(removed, [TableChange::withdrawn(member_id("other"))]);
    let old = update("other", Lifecycle::Alive, None);
    assert_eq!(table.merge(&old, 16), MergeOutcome::Stale);
    assert_eq!(table.newest_record(member_id("other")), Some(&left.record));
    table.remove_expired(15 + 2 * 100, 10, 100);
    assert!(matches!(table.merge(&old, 216), MergeOutcome::Applied(_)));
}

#[test]
fn an_unreachable_member_is_reported_as_forgotten_when_it_is_removed() {
    let mut table = table();
    table.suspect(member_id("other"), OWN_ACCUSER, false, 5);
    table.expire_suspicions(|_| 10, 100, 15);
    let removed = table.remove_expired(115, 10, 100);
    let forgotten = MembershipEvent::MemberForgotten {
        name: Name::try_from("other").expect("name within the length limit"),
    };
    assert_eq!(removed.len(), 1);
    assert_eq!(removed[0].event, Some(forgotten));
}

#[test]
fn a_random_member_is_never_this_host_and_one_number_is_drawn_in_any_case() {
    let table = table();
    let mut rng = SeededRng::new(1);
    let mut rng_after_one_draw = rng.clone();
    let chosen = table.random_reachable(&mut rng, |member| member.record().name == "own");
    assert_eq!(chosen, None);
    rng_after_one_draw.index(0);
    assert_eq!(rng, rng_after_one_draw);
}

#[test]
fn equal_tables_exchange_nothing_and_different_ones_exchange_small_ranges() {
    let table = table();
    let digests = RangeDigests::from_iter([table.range_digest(WHOLE_TABLE)]);
    assert_eq!(table.compare(&digests), digests::Comparison::default());
    let mut empty = digests.clone();
    empty[0].digest = 0;
    empty[0].count = 0;
    let comparison = table.compare(&empty);
    assert_eq!(comparison.exchanged.as_slice(), [WHOLE_TABLE]);
    assert!(comparison.split.is_empty());
}
