//! Operators who wait for a version to be effective at all hosts.
#[cfg(test)]
mod tests;

use crate::rollout_text::describe_blockers;
use mallowseam_control_protocol::control_socket::{self, ConnectionId};
use mallowseam_plans::Millis;
use mallowseam_plans::rollout::Rollout;

/// Longest time, in milliseconds, that an operator waits for a version to be effective: less than the fifteen seconds
/// for which the operator's command waits for its answer.
const MAX_ROLLOUT_WAIT: Millis = 12_000;

/// An operator's wait for a version.
struct RolloutWait {
    connection: ConnectionId,
    version: u64,
    deadline: Millis,
}

/// A wait that has ended, with the answer to the operator.
pub(crate) struct EndedWait {
    pub(crate) connection: ConnectionId,
    pub(crate) answer: String,
}

/// The waits of all operators.
#[derive(Default)]
pub(crate) struct RolloutWaits {
    waits: Vec<RolloutWait>,
}

impl RolloutWaits {
    /// Adds an operator who waits for a version from now on.
    pub(crate) fn add(&mut self, connection: ConnectionId, version: u64, now: Millis) {
        self.waits.push(RolloutWait {
            connection,
            version,
            deadline: now + MAX_ROLLOUT_WAIT,
        });
    }

    /// Removes and returns the waits for versions that are effective at all hosts, and the waits whose deadline has
    /// passed.
    pub(crate) fn take_ended(&mut self, rollout: &Rollout, now: Millis) -> Vec<EndedWait> {
        let mut ended = Vec::new();
        self.waits.retain(|wait| match wait.answer(rollout, now) {
            Some(answer) => {
                let connection = wait.connection;
                ended.push(EndedWait { connection, answer });
                false
            }
            None => true,
        });
        ended
    }
}

impl RolloutWait {
    /// Returns the answer to the operator; none while the wait continues.
    fn answer(&self, rollout: &Rollout, now: Millis) -> Option<String> {
        let version = self.version;
        let blockers = rollout.blockers(version, now);
        if blockers.is_empty() {
            let count = rollout.member_count();
            return Some(format!("version {version} in force at all {count} hosts"));
        }
        (now >= self.deadline).then(|| {
            let blockers = describe_blockers(&blockers);
            let reason =
                format!("version {version} stands, but is not in force at all hosts: {blockers}");
            control_socket::refusal(&reason)
        })
    }
}
