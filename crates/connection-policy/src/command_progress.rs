//! Combination of the outcomes of a command's sub-requests into one answer.
//!
//! A command is completed once all its sub-requests are. The first sub-request that is shed or fails decides the
//! answer at once. The answer is "shed" only if the client may safely retry the whole command, that is, if no
//! non-idempotent sub-request may have run; otherwise the answer is "failed".

/// Outcome of a sub-request or of a whole command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request completed.
    Completed,
    /// The request was shed and has not run.
    Shed {
        /// Delay before the client may retry, in the scheduler's ticks, if one is specified.
        retry_after: Option<i64>,
    },
    /// The request failed and may have run.
    Failed,
}

/// Progress of one command's sub-requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandProgress {
    unfinished: u32,
    /// Number of non-idempotent attempts that may have run.
    may_have_run: u32,
    answered: bool,
}

impl CommandProgress {
    /// Creates the progress of a command with this number of sub-requests.
    #[must_use]
    pub fn new(sub_requests: u32) -> Self {
        CommandProgress {
            unfinished: sub_requests,
            ..CommandProgress::default()
        }
    }

    /// Records that an attempt of a non-idempotent sub-request is sent. From now on it may run.
    pub fn attempt_sent(&mut self) {
        self.may_have_run += 1;
    }

    /// Records that the latest attempt of a non-idempotent sub-request has not run.
    pub fn attempt_did_not_run(&mut self) {
        self.may_have_run = self.may_have_run.saturating_sub(1);
    }

    /// Records that a sub-request is finished. Returns the answer to the command if the outcome decides it.
    pub fn sub_request_finished(&mut self, outcome: RequestOutcome) -> Option<RequestOutcome> {
        self.unfinished -= 1;
        if self.answered {
            return None;
        }
        let answer = match outcome {
            RequestOutcome::Completed if self.unfinished > 0 => return None,
            RequestOutcome::Completed => RequestOutcome::Completed,
            RequestOutcome::Shed { retry_after } if self.may_have_run == 0 => {
                RequestOutcome::Shed { retry_after }
            }
            RequestOutcome::Shed { .. } | RequestOutcome::Failed => RequestOutcome::Failed,
        };
        self.answered = true;
        Some(answer)
    }

    /// Returns whether the command was answered or its client has disconnected.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Records that the client has disconnected.
    pub fn client_disconnected(&mut self) {
        self.answered = true;
    }

    /// Returns whether every sub-request is finished, so that nothing refers to the command any more.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.unfinished == 0
    }
}
