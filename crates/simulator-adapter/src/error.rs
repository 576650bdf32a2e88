//! Errors in the input.
use mallowseam_platform::settings::SettingsError;
use std::io;

/// Error in a line of the input. The simulator's users read these texts.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// The input cannot be read, or is not UTF-8.
    #[error("input cannot be read: {0}")]
    Read(#[from] io::Error),
    /// The message is unknown, or is not expected at this point.
    #[error("{message}: expected {expected}")]
    UnexpectedMessage {
        /// Name of the message as it was read.
        message: String,
        /// What is expected instead.
        expected: &'static str,
    },
    /// A value of a message is missing or invalid.
    #[error("{message}: {field}: expected {expected}")]
    InvalidField {
        /// Name of the message.
        message: String,
        /// Name of the field in the protocol.
        field: &'static str,
        /// What is expected instead.
        expected: String,
    },
    /// The settings of a new instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl InputError {
    /// Returns the error for a message that is unknown, or is not expected at this point.
    pub fn unexpected(message: &str, expected: &'static str) -> Self {
        InputError::UnexpectedMessage {
            message: message.to_owned(),
            expected,
        }
    }
}
