//! Graceful shutdown: a host that was asked to stop admits block I/Os as long as they can be answered before the host
//! is killed. If admission ended sooner, clients would have no host until the restart.
use crate::Millis;

/// Time for which a host that was stopped by an operator still admits clients, in milliseconds. The platform counts an
/// unanswered request as lost by the host if it arrives later than 0.7 s after the stop.
pub const OPERATOR_GRACE: Millis = 650;
/// Longest deadline for which the platform waits after SIGTERM, in milliseconds. SIGKILL follows [`KILL_DELAY`] after
/// the shorter of this deadline and the longest deadline of any block I/O.
const MAX_COUNTED_DEADLINE: Millis = 3_000;
/// Time from the end of the longest deadline, limited to `MAX_COUNTED_DEADLINE`, to SIGKILL, in milliseconds.
pub const KILL_DELAY: Millis = 700;
/// Time between the last answer and SIGKILL, in milliseconds; a busy machine takes that long to deliver an answer.
const KILL_MARGIN: Millis = 60;

/// Period at the end of admission in which each response announces the close of its connection, in milliseconds. A
/// client that received the announcement sends no request that races with the close of an idle connection.
const LAST_RESPONSES_PERIOD: Millis = 300;

/// State of a graceful shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    admits_until: Millis,
    answer_deadline: Option<Millis>,
}

impl GracefulShutdown {
    /// Begins a shutdown that the platform requested at `now` by SIGTERM; SIGKILL follows. `longest_deadline`: longest
    /// deadline of any block I/O. `longest_objective`: longest latency objective; a client that has less time left
    /// than that is better served by a closed connection, after which it retries at another host.
    #[must_use]
    pub fn by_platform(now: Millis, longest_deadline: Millis, longest_objective: Millis) -> Self {
        let answer_deadline =
            now + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN;
        GracefulShutdown {
            admits_until: answer_deadline - longest_objective.min(longest_deadline),
            answer_deadline: Some(answer_deadline),
        }
    }

    /// Begins a shutdown that an operator requested at `now` by SIGINT. The operator waits for its end; no SIGKILL
    /// follows.
    #[must_use]
    pub fn by_operator(now: Millis) -> Self {
        GracefulShutdown {
            admits_until: now + OPERATOR_GRACE,
            answer_deadline: None,
        }
    }

    /// Returns whether clients are still admitted.
    #[must_use]
    pub fn admits_clients(&self, now: Millis) -> bool {
        now < self.admits_until
    }

    /// Returns whether each response is the last one on its connection.
    #[must_use]
    pub fn ends_connections(&self, now: Millis) -> bool {
        now + LAST_RESPONSES_PERIOD >= self.admits_until
    }

    /// Returns the time by which every admitted block I/O must be answered. `None`: each must be answered by its own
    /// deadline.
    #[must_use]
    pub fn answer_deadline(&self) -> Option<Millis> {
        self.answer_deadline
    }

    /// Returns whether a client may safely retry a block I/O that the host cannot wait for any longer: only if the
    /// host made no attempt, since any attempt may have run.
    #[must_use]
    pub fn is_safe_to_retry(attempts: u32) -> bool {
        attempts == 0
    }

    /// Returns whether the host may exit while `clients` clients are connected.
    #[must_use]
    pub fn is_complete(&self, now: Millis, clients: usize) -> bool {
        !self.admits_clients(now) && clients == 0
    }
}
