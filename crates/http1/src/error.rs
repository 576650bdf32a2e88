//! Errors of messages.
use thiserror::Error;

/// Reason for rejecting a message. The connection that carried it must be closed, since the start of the next message
/// is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum ParseError {
    /// The message violates the HTTP/1.1 syntax, or has a header in a form that RFC 9110 or RFC 9112 forbids.
    Malformed,
    /// The head, or the trailer section of a chunked body, exceeds its limit.
    HeadTooLarge,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The end of the body is ambiguous or cannot be determined (RFC 9112, section 6.3).
    AmbiguousFraming,
    /// The response has a body that would end only with the connection.
    MissingLength,
    /// The message has a protocol version, status code or transfer coding that is not supported.
    Unsupported,
}

impl ParseError {
    /// Returns the text of the error, which clients receive as the body of a response. Same text as `Display`, without
    /// an allocation.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            ParseError::Malformed => "malformed",
            ParseError::HeadTooLarge => "head too large",
            ParseError::BodyTooLarge => "body too large",
            ParseError::AmbiguousFraming => "ambiguous framing",
            ParseError::MissingLength => "no length",
            ParseError::Unsupported => "unsupported",
        }
    }
}
