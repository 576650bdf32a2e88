//! The errors of the store.
use mallowseam_durable_store::{Damage, StoreError};
use mallowseam_plans::error::LogError;

/// Why the store cannot be opened, read or written. Operators read these texts on the control socket.
pub type Error = StoreError<LogDamage>;

/// A damage of the contents of the store.
#[derive(Debug, thiserror::Error)]
pub enum LogDamage {
    /// An entry does not follow the one before it.
    #[error(transparent)]
    Entry(#[from] LogError),
    /// A checkpoint is no state.
    #[error(transparent)]
    MalformedCheckpoint(#[from] serde_json::Error),
    /// A checkpoint is stored under another version than its own.
    #[error("state {found} under {expected}")]
    CheckpointVersion {
        /// Version of the state.
        found: u64,
        /// Version that it is stored under.
        expected: u64,
    },
    /// Replaying the log leads to another state than the checkpoint.
    #[error("the state kept at version {version} is not what the trail gives")]
    CheckpointDiffers {
        /// Version of the checkpoint.
        version: u64,
    },
    /// Replaying the log leads to another state than the stored one.
    #[error("the trail does not lead to the state in force")]
    StateDiffers,
}

impl Damage for LogDamage {
    const STORE_NAME: &'static str = "plan store";
}
