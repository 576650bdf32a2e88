//! HTTP/1.1 messages, free of I/O: bytes come in as they arrive, cut anywhere, and a message is told once it is
//! whole. Every step is bounded; framing is only what RFC 9112 allows, and what it lets a recipient refuse is
//! refused.
//!
//! - `head`: one head, its headers, and how the body behind it is framed.
//! - `chunks`: the chunked coding.
//! - `message`: requests and answers, head and body.
mod chunks;
mod head;
mod message;

pub use chunks::ChunkedDecoder;
pub use head::{Framing, Headers, RequestHead, ResponseHead};
pub use message::{MessageSpan, RequestReader, ResponseReader};

/// Limits of one message, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub head: usize,
    pub body: usize,
}

impl Limits {
    /// The most that a reader lets a buffer hold: head and body, and the chunked coding's lines round the body.
    pub fn buffer_capacity(&self) -> usize {
        self.head + self.body + chunks::AROUND
    }
}

/// Why a message can't be read. After any of these the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// Not HTTP/1.1, or not as it allows.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    /// The body's end could be read in more than one way, or in none.
    AmbiguousFraming,
    /// A body without a stated length where one is needed.
    MissingLength,
    /// A version or coding that is not spoken here.
    Unsupported,
}

impl ParseError {
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
