//! Why a message is rejected.
use thiserror::Error;

/// Why a message can't be read. The connection that it came on is of no further use: where the next message would
/// begin is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum ParseError {
    /// Not HTTP/1.1 syntax, or a header that RFC 9110 or RFC 9112 forbids in this form.
    Malformed,
    /// The head, or the trailer section of a chunked body, exceeds its limit.
    HeadTooLarge,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The end of the body could be read in more than one way, or in none (RFC 9112, section 6.3).
    AmbiguousFraming,
    /// A response whose body would end only with the connection.
    MissingLength,
    /// A protocol version, status code or transfer coding that is not supported here.
    Unsupported,
}

impl ParseError {
    /// The text of the error. It is sent to clients as the body of a response; same as `Display`, without allocating.
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
