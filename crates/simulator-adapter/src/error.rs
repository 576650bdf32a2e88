//! Errors of the input.
use mallowseam_platform::settings::SettingsError;
use std::io;

/// Why a line of the input is rejected. The simulator's users read these texts.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// The input cannot be read, or is not UTF-8.
    #[error("the input: {0}")]
    Read(#[from] io::Error),
    /// The message is unknown, or is not expected at this point.
    #[error("{message}: expected {expected}")]
    UnexpectedMessage {
        /// The message's name as it was read.
        message: String,
        /// What is expected instead.
        expected: &'static str,
    },
    /// A value of a message is missing or invalid.
    #[error("{message}: {field}: expected {expected}")]
    InvalidField {
        /// The message's name.
        message: String,
        /// The field's name in the protocol.
        field: &'static str,
        /// What is expected instead.
        expected: String,
    },
    /// The settings of a new instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl InputError {
    /// The message is unknown, or is not expected at this point.
    pub fn unexpected(message: &str, expected: &'static str) -> Self {
        InputError::UnexpectedMessage {
            message: message.to_owned(),
            expected,
        }
    }
}
