//! Tests of which updates this host refutes, and of the records that it issues.
use super::*;
use crate::record::Name;

fn member() -> LocalMember {
    let name = Name::try_from("own").expect("name within the length limit");
    let address = ([127, 0, 0, 1], 7_000).into();
    let config = MembershipConfig::new(name.clone(), name, address);
    let mut member = LocalMember::new(&config, 100, 5);
    member.set_lifecycle(Lifecycle::Alive);
    member
}

fn claim(incarnation: u32, lifecycle: Lifecycle, suspected_by: Option<u32>) -> GossipUpdate {
    GossipUpdate {
        record: MemberRecord {
            incarnation,
            lifecycle,
            ..member().record().clone()
        },
        suspected_by,
    }
}

#[test]
fn each_change_issues_a_new_record() {
    let mut member = member();
    assert_eq!(member.record().incarnation, 1);
    member.set_versions(ActiveVersions {
        endpoint_list: 3,
        plans: 4,
    });
    member.raise_generation(200);
    assert_eq!(member.record().incarnation, 3);
    assert_eq!(member.record().generation, 201);
    member.raise_generation(7);
    assert_eq!(member.record().generation, 201);
}

#[test]
fn suspicions_of_the_current_record_and_records_that_this_host_did_not_issue_are_refuted() {
    let refuted = [
        claim(1, Lifecycle::Alive, Some(9)),
        claim(1, Lifecycle::Left, None),
        claim(6, Lifecycle::Alive, None),
    ];
    for update in refuted {
        let mut member = member();
        assert!(member.refute(&update), "{update:?}");
        assert_eq!(
            member.record().incarnation,
            update.record.incarnation.max(1) + 1
        );
        assert_eq!(member.record().lifecycle, Lifecycle::Alive);
    }
}

#[test]
fn the_own_record_and_suspicions_of_older_ones_are_not_refuted() {
    let mut member = member();
    assert!(!member.refute(&claim(1, Lifecycle::Alive, None)));
    assert!(!member.refute(&claim(0, Lifecycle::Joining, Some(9))));
    assert_eq!(member.record().incarnation, 1);
}
