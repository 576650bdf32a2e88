//! Rule 5: order of block I/Os of one ordering key. Overlapping or reordered writes could go unreported, also where an
//! interrupted write may still be executed.
use crate::record::valid_record;
use mallowseam_audit::trace::TraceEvent;
use mallowseam_iscsi::scsi::status;

#[test]
fn overlapping_and_reordered_writes_of_a_key_are_reported() {
    let mut run = valid_record();
    run.send(100, 5, true, 8).send(101, 6, true, 8);
    let first = run.node_receives(110, 5);
    let second = run.node_receives(115, 6);
    run.node_answers(120, 0, first, status::GOOD)
        .node_answers(125, 0, second, status::GOOD);
    run.answer(130, 5, status::GOOD, None)
        .answer(131, 6, status::GOOD, None);
    assert_eq!(run.violated_rules(), [5]);

    let mut run = valid_record();
    run.send(100, 5, true, 8).send(101, 6, true, 8);
    for (at, op) in [(110, 6), (130, 5)] {
        let task = run.node_receives(at, op);
        run.node_answers(at + 5, 0, task, status::GOOD)
            .answer(at + 6, op, status::GOOD, None);
    }
    assert_eq!(run.violated_rules(), [5]);
}

#[test]
fn attempt_within_the_ordering_cooldown_is_reported() {
    for (next_at, expected) in [(1_010, vec![5]), (1_210, vec![])] {
        let interruptions = [
            TraceEvent::NodeAborted {
                node: 0,
                connection: 1,
                task: 5,
            },
            TraceEvent::ConnectionClosed {
                node: 0,
                connection: 1,
            },
        ];
        for interruption in interruptions {
            let mut run = valid_record();
            run.send(100, 5, true, 8).send(101, 6, true, 8);
            assert_eq!(run.node_receives(110, 5), 5);
            run.add_event(1_000, interruption)
                .answer(1_001, 5, status::CHECK_CONDITION, None);
            let task = run.node_receives(next_at, 6);
            run.node_answers(next_at + 5, 0, task, status::GOOD).answer(
                next_at + 6,
                6,
                status::GOOD,
                None,
            );
            assert_eq!(
                run.violated_rules(),
                expected,
                "next command at {next_at} ms"
            );
        }
    }
}
