//! Errors of the package. Their texts reach operators on the control socket and hosts as reasons.
use thiserror::Error;

/// Why a change cannot be made to the present plans.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// Another change was made first.
    #[error("made for version {expected}, and version {current} stands: look at what came first")]
    VersionConflict {
        /// The version that the author had seen.
        expected: u64,
        /// The present version.
        current: u64,
    },
    /// There is no plan of this name.
    #[error("`{0}`: no such plan")]
    UnknownPlan(String),
    /// There is no volume of this name.
    #[error("`{0}`: no such volume")]
    UnknownVolume(String),
    /// A plan cannot be removed while a volume has it.
    #[error("`{plan}`: volume {volume} has this plan")]
    PlanInUse {
        /// The plan that was to be removed.
        plan: String,
        /// The first volume that has it, by name.
        volume: String,
    },
    /// The name of a plan or volume is empty, too long, or has a character that is not allowed.
    #[error("`{0}`: expected 1 to 64 letters, digits and -_.:")]
    InvalidName(String),
    /// A parameter of a plan is out of range.
    #[error("{parameter}: expected {expected}")]
    InvalidParameter {
        /// Name of the parameter.
        parameter: &'static str,
        /// The values that it may have.
        expected: &'static str,
    },
    /// The change would not change the state.
    #[error("nothing would be different")]
    NoEffect,
    /// Author or reason are missing or too long.
    #[error("expected an author and a reason")]
    MissingReason,
}

/// The first entry of a change log that does not follow the entry before it.
#[derive(Debug, Error)]
#[error("trail line {line}: {kind}")]
pub struct LogError {
    /// Number of the entry, counted from 1: the version that it should lead to.
    pub line: u64,
    /// What is wrong with it.
    #[source]
    pub kind: LogErrorKind,
}

/// What is wrong with an entry of a change log.
#[derive(Debug, Error)]
pub enum LogErrorKind {
    /// The text is no entry.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The text reads as an entry, but is not byte for byte as the service writes it.
    #[error("is not as the service writes it")]
    NotCanonical,
    /// The hash of the entry before is another one.
    #[error("does not follow the line before")]
    HashMismatch,
    /// The entry leads to another version than the next one.
    #[error("version {found} where {expected} is due")]
    VersionMismatch {
        /// The version in the entry.
        found: u64,
        /// The next version.
        expected: u64,
    },
    /// The change of the entry cannot be made to the state before it.
    #[error(transparent)]
    InvalidChange(#[from] ChangeError),
}

/// Why a host closes its connection to the control service. The next connection requests a full snapshot.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// What was received is no message.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A snapshot of version 0 has the hash of an entry, which cannot be.
    #[error("a state without changes behind a line")]
    InvalidSnapshot,
    /// A log entry does not follow what the host has.
    #[error(transparent)]
    Log(#[from] LogError),
}
