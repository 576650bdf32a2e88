//! Tests of split writes, which are sent in several parts: a cut between the parts must not leave a snapshot with some
//! of them.
use mallowseam_cow::split_write::{PartAdmission, SplitWrite};
use mallowseam_cow::tree_replica::RESEND_AFTER;

#[test]
fn parts_in_one_layer_are_sent_at_once() {
    let mut write = SplitWrite::default();
    assert_eq!(write.admit(5, false, 0), PartAdmission::Send);
    write.part_completed(5);
    assert_eq!(write.admit(5, false, 0), PartAdmission::Send);
}

#[test]
fn part_in_a_newer_layer_needs_permission() {
    let mut write = SplitWrite::default();
    write.part_completed(5);
    assert_eq!(
        write.admit(6, false, 10),
        PartAdmission::RequestPermission(5)
    );
    assert_eq!(write.admit(6, false, 11), PartAdmission::Wait);
    assert_eq!(
        write.admit(6, false, 10 + RESEND_AFTER),
        PartAdmission::RequestPermission(5)
    );
    write.permission_decided(4, true);
    assert_eq!(
        write.admit(6, false, 20 + RESEND_AFTER),
        PartAdmission::Wait
    );
    write.permission_decided(5, true);
    assert_eq!(
        write.admit(6, false, 20 + RESEND_AFTER),
        PartAdmission::Send
    );
}

#[test]
fn write_with_a_part_in_a_snapshot_is_rejected_permanently() {
    let mut write = SplitWrite::default();
    write.part_completed(5);
    assert_eq!(
        write.admit(6, false, 0),
        PartAdmission::RequestPermission(5)
    );
    write.permission_decided(5, false);
    write.permission_decided(5, true);
    assert_eq!(write.admit(6, false, 9_999), PartAdmission::Reject);
}

#[test]
fn permission_ends_at_the_next_cut_and_is_requested_for_the_oldest_layer() {
    let mut write = SplitWrite::default();
    write.part_completed(5);
    assert_eq!(
        write.admit(6, false, 0),
        PartAdmission::RequestPermission(5)
    );
    write.permission_decided(5, true);
    write.part_completed(6);
    assert_eq!(write.admit(6, false, 0), PartAdmission::Send);
    assert_eq!(
        write.admit(7, false, 0),
        PartAdmission::RequestPermission(5)
    );
}

#[test]
fn part_waits_for_a_part_in_flight_to_another_layer() {
    let mut write = SplitWrite::default();
    assert_eq!(write.admit(6, true, 0), PartAdmission::Wait);
    assert!(!write.started_in_or_before(6));
    write.part_completed(5);
    assert!(write.started_in_or_before(5) && !write.started_in_or_before(4));
    assert_eq!(
        write.admit(6, false, 0),
        PartAdmission::RequestPermission(5)
    );
}
