//! How the outcomes of a command's sub-requests make one answer.
//!
//! A command has completed once all its sub-requests have. The first sub-request that is shed or fails decides the
//! answer at once. The answer is "shed" only if the client may retry the whole command without harm, that is, if no
//! non-idempotent sub-request may have run; otherwise it is "failed".

/// Outcome of a sub-request, or of a whole command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It completed.
    Completed,
    /// It was shed and has not run.
    Shed {
        /// When the client may retry, in the scheduler's ticks from now, if that is said.
        retry_after: Option<i64>,
    },
    /// It failed, and may have run.
    Failed,
}

/// A command's sub-requests while they complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandProgress {
    open: u32,
    /// Non-idempotent attempts that may have run.
    may_have_run: u32,
    answered: bool,
}

impl CommandProgress {
    /// The progress of a command with this many sub-requests.
    #[must_use]
    pub fn new(sub_requests: u32) -> Self {
        CommandProgress {
            open: sub_requests,
            ..CommandProgress::default()
        }
    }

    /// An attempt of a non-idempotent sub-request is sent, and so may run from now on.
    pub fn attempt_sent(&mut self) {
        self.may_have_run += 1;
    }

    /// The latest attempt of such a sub-request is known not to have run.
    pub fn attempt_did_not_run(&mut self) {
        self.may_have_run = self.may_have_run.saturating_sub(1);
    }

    /// A sub-request is finished; the command's answer if this decides it.
    pub fn sub_request_finished(&mut self, outcome: RequestOutcome) -> Option<RequestOutcome> {
        self.open -= 1;
        if self.answered {
            return None;
        }
        let answer = match outcome {
            RequestOutcome::Completed if self.open > 0 => return None,
            RequestOutcome::Completed => RequestOutcome::Completed,
            RequestOutcome::Shed { retry_after } if self.may_have_run == 0 => {
                RequestOutcome::Shed { retry_after }
            }
            RequestOutcome::Shed { .. } | RequestOutcome::Failed => RequestOutcome::Failed,
        };
        self.answered = true;
        Some(answer)
    }

    /// Whether the client has its answer, or has disconnected.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// The client has disconnected.
    pub fn client_disconnected(&mut self) {
        self.answered = true;
    }

    /// Whether every sub-request is finished: nothing refers to the command any more.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.open == 0
    }
}
