//! Content of reads and snapshots. Lost, corrupt, stale or torn writes could go unreported, or data that a concurrent
//! or failed write may have left could be reported as wrong.
use crate::record::valid_record;
use mallowseam_audit::trace::TraceEvent;
use mallowseam_iscsi::scsi::status;

#[test]
fn read_without_the_data_of_the_last_write_is_reported() {
    // Corrupt data, an overwritten write, a lost write, and a write to another address.
    for read_id in [None, Some(1), Some(0), Some(9)] {
        let mut run = valid_record();
        run.send(100, 5, false, 0);
        let task = run.node_receives(101, 5);
        run.node_answers(102, 0, task, status::GOOD)
            .answer(103, 5, status::GOOD, read_id);
        assert_eq!(run.violated_rules(), [8], "the read holds {read_id:?}");
    }
}

#[test]
fn data_of_a_failed_write_is_accepted_and_of_a_shed_write_is_reported() {
    for (code, read_id, expected) in [
        (status::CHECK_CONDITION, 5, vec![]),
        (status::CHECK_CONDITION, 3, vec![]),
        (status::BUSY, 5, vec![8]),
        (status::BUSY, 3, vec![]),
    ] {
        let mut run = valid_record();
        run.send(100, 5, true, 0).answer(110, 5, code, None);
        run.complete_command(200, 6, false, 0, 0, read_id);
        assert_eq!(
            run.violated_rules(),
            expected,
            "status {code:#x}, the read holds {read_id}"
        );
    }
}

#[test]
fn snapshot_without_an_acknowledged_write_or_with_a_later_one_is_reported() {
    // Writes 1 and 3 complete at 10 ms and 50 ms.
    for (requested_at, granted_at, read_id, expected) in [
        (15, 18, 1, false),
        (15, 18, 0, true),
        (15, 18, 3, true),
        (51, 55, 1, true),
        (51, 55, 3, false),
        (41, 45, 1, false),
        (41, 45, 3, false),
    ] {
        let mut run = valid_record();
        run.snapshot(requested_at, granted_at, [read_id; 8]);
        assert_eq!(
            run.has_snapshot_errors(),
            expected,
            "requested at {requested_at} ms, holds {read_id}: {:?}",
            run.judge().snapshot_errors
        );
    }
}

#[test]
fn snapshot_with_a_torn_or_shed_write_is_reported() {
    let mut run = valid_record();
    run.snapshot(41, 45, [3, 3, 3, 3, 1, 1, 1, 1]);
    assert!(run.has_snapshot_errors());
    let mut run = valid_record();
    run.send(100, 5, true, 0)
        .answer(110, 5, status::BUSY, None)
        .snapshot(105, 120, [5; 8]);
    assert!(run.has_snapshot_errors());
}

#[test]
fn snapshot_with_a_later_write_but_not_the_earlier_one_is_reported() {
    // Two ordered writes of one key are in flight when the snapshot is taken; the first covers more blocks than the
    // second.
    for (read_id, expected) in [
        ([6, 6, 5, 5, 5, 5, 5, 5], false),
        ([6, 6, 3, 3, 3, 3, 3, 3], true),
    ] {
        let mut run = valid_record();
        run.send(100, 5, true, 0);
        let first = run.node_receives(101, 5);
        run.node_answers(102, 0, first, status::GOOD)
            .answer(103, 5, status::GOOD, None);
        run.add_event(
            104,
            TraceEvent::CommandSent {
                command: 6,
                client: 0,
                host: 0,
                volume: 0,
                write: true,
                lba: 0,
                blocks: 2,
                group_number: 6,
            },
        );
        run.snapshot(104, 110, read_id);
        run.add_event(120, TraceEvent::CommandAbandoned { command: 6 });
        assert_eq!(
            run.has_snapshot_errors(),
            expected,
            "{:?}",
            run.judge().snapshot_errors
        );
    }
}
