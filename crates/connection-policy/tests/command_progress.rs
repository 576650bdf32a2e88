//! The answer to a command, derived from the outcomes of its sub-requests.
use mallowseam_connection_policy::command_progress::{CommandProgress, RequestOutcome};

#[test]
fn command_completes_with_its_last_sub_request() {
    let mut progress = CommandProgress::new(2);
    assert_eq!(
        progress.sub_request_finished(RequestOutcome::Completed),
        None
    );
    assert_eq!(
        progress.sub_request_finished(RequestOutcome::Completed),
        Some(RequestOutcome::Completed)
    );
    assert!(progress.is_finished());
}

#[test]
fn first_shed_sub_request_decides_the_answer_and_the_others_only_finish() {
    let mut progress = CommandProgress::new(3);
    let shed = RequestOutcome::Shed {
        retry_after: Some(7),
    };
    assert_eq!(progress.sub_request_finished(shed), Some(shed));
    assert_eq!(progress.sub_request_finished(RequestOutcome::Failed), None);
    assert!(!progress.is_finished());
    assert_eq!(
        progress.sub_request_finished(RequestOutcome::Completed),
        None
    );
    assert!(progress.is_finished());
}

#[test]
fn command_is_not_shed_once_a_non_idempotent_sub_request_may_have_run() {
    let shed = RequestOutcome::Shed { retry_after: None };
    let mut progress = CommandProgress::new(2);
    progress.attempt_sent();
    assert_eq!(
        progress.sub_request_finished(shed),
        Some(RequestOutcome::Failed)
    );
    let mut progress = CommandProgress::new(2);
    progress.attempt_sent();
    progress.attempt_did_not_run();
    assert_eq!(progress.sub_request_finished(shed), Some(shed));
}
