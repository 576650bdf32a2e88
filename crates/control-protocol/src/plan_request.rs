//! Requests of operators to the plan service: one JSON object on its control socket.
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
        /// The version that it was made for: refused if another one is the newest. None: for the
        /// newest, whichever that is.
        expected: Option<u64>,
        /// Who makes it.
        author: String,
        /// Why it is made.
        reason: String,
        /// Only checks whether it could be made.
        #[serde(rename = "dry")]
        dry_run: bool,
        /// Answers once the version is in effect at all hosts, or with what blocks its rollout.
        wait: bool,
    },
    /// Reverts the change of a version, as a new version.
    Undo {
        /// The version whose change is reverted.
        version: u64,
        /// Who reverts it.
        author: String,
        /// Why it is reverted.
        reason: String,
        /// Only checks whether it could be reverted.
        #[serde(rename = "dry")]
        dry_run: bool,
        /// As in `Set`.
        wait: bool,
    },
    /// The plans, and the plan of each volume.
    Show {
        /// At this version; none: at the newest.
        version: Option<u64>,
    },
    /// Lines of the change log.
    History {
        /// The version that the first line made.
        from: u64,
        /// How many lines at most.
        #[serde(rename = "most")]
        limit: usize,
    },
    /// The changes that lead from one version to another.
    Diff {
        /// The version to start from.
        #[serde(rename = "one")]
        from: u64,
        /// The version to arrive at.
        #[serde(rename = "other")]
        to: u64,
    },
    /// Which version is in effect at all hosts, and what blocks the rollout of the newest one.
    Hosts,
    /// Declares that a host has stopped for good: no version waits for it any more.
    #[serde(rename = "gone")]
    RemoveHost {
        /// The host's name.
        host: String,
    },
    /// Replays the whole change log and compares the outcome with the plans in effect.
    Replay,
}
