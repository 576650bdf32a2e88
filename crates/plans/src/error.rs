//! Errors of the package. Operators read their texts in answers on the control socket, and hosts receive them as
//! reasons. `tests/pinned_decisions.rs` covers most of the texts with its recorded hashes.
use thiserror::Error;

/// Reason why a change cannot be made to the current plans.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// Another change was made first.
    #[error("made for version {expected}, and version {current} stands: look at what came first")]
    VersionConflict {
        /// Version that the author had read.
        expected: u64,
        /// Current version.
        current: u64,
    },
    /// There is no plan of this name.
    #[error("`{0}`: no such plan")]
    UnknownPlan(String),
    /// There is no volume of this name.
    #[error("`{0}`: no such volume")]
    UnknownVolume(String),
    /// A plan cannot be removed while it is assigned to a volume.
    #[error("`{plan}`: volume {volume} has this plan")]
    PlanInUse {
        /// Plan to be removed.
        plan: String,
        /// First volume, by name, that the plan is assigned to.
        volume: String,
    },
    /// The name of a plan or volume is empty or too long, or contains a character that is not allowed.
    #[error("`{0}`: expected 1 to 64 letters, digits and -_.:")]
    InvalidName(String),
    /// A parameter of a plan is out of range.
    #[error("{parameter}: expected {expected}")]
    InvalidParameter {
        /// Name of the parameter.
        parameter: &'static str,
        /// Values that the parameter may have.
        expected: &'static str,
    },
    /// The change would leave the state as it is.
    #[error("nothing would be different")]
    NoEffect,
    /// The author or the reason is missing or too long.
    #[error("expected an author and a reason")]
    MissingReason,
}

/// The first entry of a change log that does not follow the entry before it.
#[derive(Debug, Error)]
#[error("trail line {line}: {kind}")]
pub struct LogError {
    /// Number of the entry, counted from 1: the version that the entry should lead to.
    pub line: u64,
    /// What is wrong with the entry.
    #[source]
    pub kind: LogErrorKind,
}

/// What is wrong with an entry of a change log.
#[derive(Debug, Error)]
pub enum LogErrorKind {
    /// The text is not a log entry.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The text parses as an entry, but is not byte for byte as the service writes it.
    #[error("is not as the service writes it")]
    NotCanonical,
    /// The entry contains another hash than that of the entry before it.
    #[error("does not follow the line before")]
    HashMismatch,
    /// The entry leads to another version than the next one in the log.
    #[error("found version {found}, expected version {expected}")]
    VersionMismatch {
        /// Version in the entry.
        found: u64,
        /// Next version of the log.
        expected: u64,
    },
    /// The change of the entry cannot be made to the state before it.
    #[error(transparent)]
    InvalidChange(#[from] ChangeError),
}

/// Reason why a host closes its connection to the control service. The next connection requests a full snapshot.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// A received line is not a message.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A snapshot of version 0 has the hash of a log entry, although no entry leads to that version.
    #[error("a state without changes behind a line")]
    InvalidSnapshot,
    /// A log entry does not follow the host's log.
    #[error(transparent)]
    Log(#[from] LogError),
}
