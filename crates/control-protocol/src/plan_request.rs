//! Requests of operators to the plan service, each sent as one JSON object to its control socket.
use mallowseam_plans::state::Change;
use serde::{Deserialize, Serialize};

/// A request of an operator to the plan service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanRequest {
    /// Makes a change, as a new version.
    Set {
        /// The change.
        change: Change,
        /// Version that the change was made for: the request is refused if another version is the newest. None: the
        /// newest version, whichever that is.
        expected: Option<u64>,
        /// Author of the change.
        author: String,
        /// Reason for the change.
        reason: String,
        /// Only checks whether the change could be made.
        #[serde(rename = "dry")]
        dry_run: bool,
        /// Answers once the version is effective at all hosts or, after some seconds, with what blocks its rollout.
        wait: bool,
    },
    /// Reverts the change of a version, as a new version.
    Undo {
        /// The version whose change is reverted.
        version: u64,
        /// Author of the reverting change.
        author: String,
        /// Reason for the reverting change.
        reason: String,
        /// Only checks whether the change could be reverted.
        #[serde(rename = "dry")]
        dry_run: bool,
        /// Answers once the new version is effective at all hosts or, after some seconds, with what blocks its rollout.
        wait: bool,
    },
    /// Returns the plans, and the plan of each volume.
    Show {
        /// Version at which the plans are returned. None: the newest version.
        version: Option<u64>,
    },
    /// Returns entries of the change log.
    History {
        /// Version that the first returned entry led to.
        from: u64,
        /// Maximum number of returned entries.
        #[serde(rename = "most")]
        limit: usize,
    },
    /// Returns the changes that lead from one version to another.
    Diff {
        /// Version that the changes start from.
        #[serde(rename = "one")]
        from: u64,
        /// Version that the changes lead to.
        #[serde(rename = "other")]
        to: u64,
    },
    /// Returns the version that is effective at all hosts, and what blocks the rollout of the newest version.
    Hosts,
    /// Declares that a host has stopped permanently, so that it no longer blocks the rollout of a version.
    #[serde(rename = "gone")]
    RemoveHost {
        /// Name of the host.
        host: String,
    },
    /// Replays the whole change log and compares the result with the current plans.
    Replay,
}
