//! The errors of a snapshot stream.
use std::io;

/// Why a snapshot stream cannot be read or written. Operators read these texts.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The input or output has failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The stream is damaged or truncated at the offset, or a header to be written is out of bounds.
    #[error("byte {offset}: expected {expected}")]
    Damaged {
        /// Offset of the damaged record or field, in bytes from the beginning of the stream.
        offset: u64,
        /// What a valid stream has at the offset.
        expected: &'static str,
    },
}

impl Error {
    /// Returns an error about a damaged stream.
    pub(crate) fn damaged(offset: u64, expected: &'static str) -> Error {
        Error::Damaged { offset, expected }
    }
}
