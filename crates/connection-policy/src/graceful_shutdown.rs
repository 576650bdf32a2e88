//! Graceful shutdown: a host that was asked to stop admits block I/Os for as long as they can be answered before it
//! is killed. If it stopped sooner, its clients would have no host until it is restarted.
use crate::Millis;

/// Milliseconds for which a host stopped by an operator still admits clients. A request that arrives later than 0.7 s
/// and stays unanswered is counted by the platform as lost by the host.
pub const OPERATOR_GRACE: Millis = 650;
/// Longest deadline in milliseconds that the platform waits for after SIGTERM. It sends SIGKILL [`KILL_DELAY`] after
/// the longest deadline of any block I/O or after this one, whichever is shorter.
const MAX_COUNTED_DEADLINE: Millis = 3_000;
/// Milliseconds from the end of the longest deadline, as far as the platform waits for it, to SIGKILL.
pub const KILL_DELAY: Millis = 700;
/// Milliseconds before SIGKILL by which the last answer is sent: what a busy machine takes to deliver it.
const KILL_MARGIN: Millis = 60;

/// Milliseconds at the end of admission in which each response is the last on its connection. A client that is told so
/// cannot send a request that crosses the close of its idle connection.
const LAST_RESPONSES_PERIOD: Millis = 300;

/// A graceful shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    admits_until: Millis,
    answer_deadline: Option<Millis>,
}

impl GracefulShutdown {
    /// Requested at `now` by the platform (SIGTERM), which kills after a while. `longest_deadline`: of any
    /// block I/O. `longest_objective`: the longest latency objective; a client that has less time left than that is
    /// better served by a closed connection, after which it retries at another host.
    #[must_use]
    pub fn by_platform(now: Millis, longest_deadline: Millis, longest_objective: Millis) -> Self {
        let answer_deadline =
            now + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN;
        GracefulShutdown {
            admits_until: answer_deadline - longest_objective.min(longest_deadline),
            answer_deadline: Some(answer_deadline),
        }
    }

    /// Requested at `now` by an operator (SIGINT), who waits for the end; no SIGKILL follows.
    #[must_use]
    pub fn by_operator(now: Millis) -> Self {
        GracefulShutdown {
            admits_until: now + OPERATOR_GRACE,
            answer_deadline: None,
        }
    }

    /// Whether clients are still admitted.
    #[must_use]
    pub fn admits_clients(&self, now: Millis) -> bool {
        now < self.admits_until
    }

    /// Whether each response is the last on its connection.
    #[must_use]
    pub fn ends_connections(&self, now: Millis) -> bool {
        now + LAST_RESPONSES_PERIOD >= self.admits_until
    }

    /// By when whatever is admitted must be answered. None: within its own deadline.
    #[must_use]
    pub fn answer_deadline(&self) -> Option<Millis> {
        self.answer_deadline
    }

    /// Whether a block I/O that the host cannot wait for any longer may be retried without harm: any attempt
    /// that was made of it may have run.
    #[must_use]
    pub fn is_safe_to_retry(attempts: u32) -> bool {
        attempts == 0
    }

    /// Whether the host may end, with this many clients connected.
    #[must_use]
    pub fn is_complete(&self, now: Millis, clients: usize) -> bool {
        !self.admits_clients(now) && clients == 0
    }
}
