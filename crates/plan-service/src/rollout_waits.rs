//! Operators who wait for a version to be in effect at all hosts.
#[cfg(test)]
mod tests;

use crate::rollout_text::describe_blockers;
use mallowseam_control_protocol::control_socket::{self, ConnectionId};
use mallowseam_plans::Millis;
use mallowseam_plans::rollout::Rollout;

/// Longest time, in milliseconds, that an operator waits for a version to be in effect: less than the fifteen
/// seconds for which the operator's command waits for its answer.
const MAX_ROLLOUT_WAIT: Millis = 12_000;

/// An operator who waits.
struct RolloutWait {
    connection: ConnectionId,
    version: u64,
    deadline: Millis,
}

/// A wait that is over.
pub(crate) struct EndedWait {
    pub(crate) connection: ConnectionId,
    pub(crate) answer: String,
}

/// All operators who wait.
#[derive(Default)]
pub(crate) struct RolloutWaits {
    waits: Vec<RolloutWait>,
}

impl RolloutWaits {
    /// An operator waits for a version from now on.
    pub(crate) fn add(&mut self, connection: ConnectionId, version: u64, now: Millis) {
        self.waits.push(RolloutWait {
            connection,
            version,
            deadline: now + MAX_ROLLOUT_WAIT,
        });
    }

    /// Removes the waits for versions that are in effect at all hosts, and those whose deadline has passed.
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
    /// The answer to the operator; none: the wait goes on.
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
                format!("version {version} stands, and is not in force everywhere: {blockers}");
            control_socket::refusal(&reason)
        })
    }
}
