//! Rules 1 and 2: one final answer, and no duplicate effect. A missing, late or second answer, or a repeated write,
//! could go unreported.
use crate::record::valid_record;
use mallowseam_audit::trace::TraceEvent;
use mallowseam_iscsi::scsi::status;

#[test]
fn valid_record_has_no_violation() {
    let run = valid_record();
    assert!(run.violated_rules().is_empty(), "{:?}", run.judge());
    let line = "rules kept: 7 of 7; taken 4, ended 4, shed 0, failed 0, unanswered 0, doubled 0";
    assert_eq!(run.judge().to_string(), line);
}

#[test]
fn missing_answer_is_reported_unless_the_client_abandoned_the_command() {
    let mut run = valid_record();
    run.send(100, 5, false, 8);
    assert_eq!((run.violated_rules(), run.judge().unanswered), (vec![1], 1));
    run.add_event(150, TraceEvent::CommandAbandoned { command: 5 });
    assert!(run.violated_rules().is_empty(), "{:?}", run.judge());
}

#[test]
fn commands_in_flight_at_a_killed_host_need_no_answer() {
    let mut run = valid_record();
    run.send(100, 5, false, 8)
        .add_event(300, TraceEvent::HostDown { host: 0 });
    assert!(run.violated_rules().is_empty(), "{:?}", run.judge());
}

#[test]
fn answer_after_the_deadline_is_reported() {
    let mut run = valid_record();
    run.send(100, 5, false, 8);
    let task = run.node_receives(101, 5);
    run.node_answers(1_390, 0, task, status::GOOD)
        .answer(1_400, 5, status::GOOD, Some(0));
    assert_eq!(run.violated_rules(), [1]);
}

#[test]
fn second_answer_is_reported() {
    let mut run = valid_record();
    run.answer(70, 4, status::GOOD, Some(3));
    assert_eq!((run.violated_rules(), run.judge().duplicated), (vec![1], 1));
    let mut run = valid_record();
    run.add_event(70, TraceEvent::UnexpectedAnswer { client: 0 });
    assert_eq!((run.violated_rules(), run.judge().duplicated), (vec![1], 1));
}

#[test]
fn attempt_after_the_answer_is_reported() {
    let mut run = valid_record();
    run.node_receives(600, 4);
    assert_eq!(run.violated_rules(), [1]);
}

#[test]
fn attempt_without_a_matching_command_is_reported() {
    let mut run = valid_record();
    run.send(100, 5, false, 8)
        .add_event(105, TraceEvent::CommandAbandoned { command: 5 });
    run.sent[4].4 = 30;
    run.node_receives(110, 5);
    assert_eq!(run.violated_rules(), [1]);
}

#[test]
fn retry_of_a_non_idempotent_command_is_reported_unless_the_queue_was_full() {
    let mut run = valid_record();
    run.send(100, 5, true, 8);
    let task = run.node_receives(101, 5);
    run.node_answers(102, 0, task, status::TASK_SET_FULL);
    let task = run.node_receives(150, 5);
    run.node_answers(160, 0, task, status::GOOD)
        .answer(161, 5, status::GOOD, None);
    assert!(run.violated_rules().is_empty(), "{:?}", run.judge());
    run.node_receives(155, 5);
    assert_eq!((run.violated_rules(), run.judge().duplicated), (vec![2], 1));
}

#[test]
fn shedding_a_non_idempotent_command_that_may_have_run_is_reported() {
    for (code, expected) in [(status::BUSY, vec![2]), (status::CHECK_CONDITION, vec![])] {
        let mut run = valid_record();
        run.send(100, 5, true, 8);
        run.node_receives(101, 5);
        run.answer(900, 5, code, None);
        assert_eq!(run.violated_rules(), expected);
    }
}
