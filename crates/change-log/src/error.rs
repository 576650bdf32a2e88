//! Errors of the change log store.
use mallowseam_durable_store::{Damage, StoreError};
use mallowseam_plans::error::LogError;

/// Reason why the store cannot be opened, read or written. Operators read these texts on the control socket.
pub type Error = StoreError<LogDamage>;

/// Damage to the contents of the store.
#[derive(Debug, thiserror::Error)]
pub enum LogDamage {
    /// An entry does not follow the one before it.
    #[error(transparent)]
    Entry(#[from] LogError),
    /// A checkpoint cannot be decoded as a state.
    #[error(transparent)]
    MalformedCheckpoint(#[from] serde_json::Error),
    /// A checkpoint is stored under another version than that of its state.
    #[error("checkpoint contains state of version {found}, expected version {expected}")]
    CheckpointVersion {
        /// Version of the state in the checkpoint.
        found: u64,
        /// Version that the checkpoint is stored under.
        expected: u64,
    },
    /// Replaying the log leads to another state than the checkpoint.
    #[error(
        "checkpoint at version {version} differs from the state that results from the change log"
    )]
    CheckpointDiffers {
        /// Version of the checkpoint.
        version: u64,
    },
    /// Replaying the log leads to another state than the newest one in memory.
    #[error("state that results from the change log differs from the state in use")]
    StateDiffers,
}

impl Damage for LogDamage {
    const STORE_NAME: &'static str = "plan store";
}
