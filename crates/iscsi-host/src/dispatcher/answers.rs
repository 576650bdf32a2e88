//! Answers to commands of clients, as SCSI status and sense.
use super::commands::Issuer;
use crate::client_connections::Clients;
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_iscsi::scsi::{Sense, status};
use mallowseam_scheduler::interface::Tick;
use std::num::NonZeroU16;

/// Unit of the retry delay in an answer, in ticks: a tenth of a second (RFC 7144).
const RETRY_DELAY_UNIT: Tick = 1_000;
/// Longest retry delay that an answer can express, in tenths of a second.
const MAX_RETRY_DELAY: Tick = 0x3fef;

/// Answer to a command.
#[derive(Clone, Copy)]
pub(super) enum Answer<'a> {
    /// GOOD, with the data that was read.
    Good(&'a [u8]),
    /// CHECK CONDITION.
    CheckCondition(Sense),
    /// TASK SET FULL: the command was not admitted, so a retry is harmless.
    TaskSetFull,
    /// BUSY: the command was shed. The client may retry after `retry_after` ticks, if given.
    Busy { retry_after: Option<Tick> },
}

impl<'a> Answer<'a> {
    /// Returns the answer for the outcome of a command. `data`: the data that the command has read.
    pub(super) fn of_outcome(outcome: RequestOutcome, data: &'a [u8]) -> Self {
        match outcome {
            RequestOutcome::Completed => Answer::Good(data),
            RequestOutcome::Shed { retry_after } => Answer::Busy { retry_after },
            RequestOutcome::Failed => Answer::CheckCondition(Sense::COMMUNICATION_TIMEOUT),
        }
    }
}

/// Queues an answer to a command; the next flush writes it.
pub(super) fn send(clients: &mut Clients, issuer: Issuer, answer: Answer) {
    let Some(session) = clients.session_mut(issuer.client) else {
        return;
    };
    let task = issuer.task;
    match answer {
        Answer::Good(data) => session.complete(task, data),
        Answer::CheckCondition(sense) => {
            session.complete_with_status(task, status::CHECK_CONDITION, Some(sense), None);
        }
        Answer::TaskSetFull => {
            session.complete_with_status(task, status::TASK_SET_FULL, None, None);
        }
        Answer::Busy { retry_after } => {
            session.complete_with_status(
                task,
                status::BUSY,
                None,
                retry_after.and_then(retry_delay),
            );
        }
    }
}

/// Converts a retry delay from ticks to tenths of a second, rounded up and at most `MAX_RETRY_DELAY`.
/// Returns `None` for 0 ticks.
fn retry_delay(ticks: Tick) -> Option<NonZeroU16> {
    let delay = (ticks + RETRY_DELAY_UNIT - 1) / RETRY_DELAY_UNIT;
    NonZeroU16::new(delay.clamp(0, MAX_RETRY_DELAY) as u16)
}
