//! Readers of complete requests and responses at the front of a buffer that the caller fills.
use crate::chunked::ChunkedDecoder;
use crate::{Framing, Limits, ParseError, RequestHead, ResponseHead};

/// Maximum number of interim (1xx) responses before a final one. RFC 9110 states no limit; more serve no purpose.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Offsets of a complete message in its buffer. Bytes from `end` on belong to the next message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageSpan {
    /// Offset of the first byte of the head.
    pub start: usize,
    /// Offset of the first byte of the decoded body.
    pub body: usize,
    /// Offset after the last byte of the body.
    pub end: usize,
}

/// State of a reader: the part of the message that is read next.
#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Head,
    SizedBody {
        body: usize,
        len: usize,
    },
    ChunkedBody {
        body: usize,
        decoder: ChunkedDecoder,
    },
}

impl State {
    fn of_body(framing: Framing, body: usize) -> Self {
        match framing {
            Framing::None => State::SizedBody { body, len: 0 },
            Framing::Length(len) => State::SizedBody { body, len },
            Framing::Chunked => State::ChunkedBody {
                body,
                decoder: ChunkedDecoder::new(body),
            },
        }
    }

    /// Returns the number of missing bytes of a body with a known length. `received`: number of bytes in the buffer.
    fn remaining(&self, received: usize) -> Option<usize> {
        match self {
            State::SizedBody { body, len } => Some((body + len).saturating_sub(received)),
            State::Head | State::ChunkedBody { .. } => None,
        }
    }

    /// Reads more of the body, and returns the message's offsets once it is complete. `start`: offset of the head.
    fn read_body(
        &mut self,
        start: usize,
        buffer: &mut Vec<u8>,
        limits: Limits,
    ) -> Result<Option<MessageSpan>, ParseError> {
        match self {
            State::Head => Ok(None),
            State::SizedBody { body, len } => {
                let end = *body + *len;
                Ok((buffer.len() >= end).then_some(MessageSpan {
                    start,
                    body: *body,
                    end,
                }))
            }
            State::ChunkedBody { body, decoder } => {
                decoder.decode(buffer, *body + limits.body)?;
                let span = MessageSpan {
                    start,
                    body: *body,
                    end: decoder.decoded_end(),
                };
                Ok(decoder.is_complete().then_some(span))
            }
        }
    }
}

/// Limits how often an incomplete head is parsed again. A head that arrives byte by byte is parsed only a few times,
/// so that the total cost stays proportional to its length.
#[derive(Clone, Copy, Debug, Default)]
struct ParseThrottle {
    /// Number of bytes that had arrived at the last attempt to parse.
    parsed_len: usize,
}

impl ParseThrottle {
    /// Returns whether to parse now: at a new line end, at twice the bytes of the last attempt, or at the limit.
    fn should_parse(&mut self, bytes: &[u8], limits: Limits) -> bool {
        let new = &bytes[self.parsed_len.min(bytes.len())..];
        let is_due = new.contains(&b'\n')
            || bytes.len() >= 2 * self.parsed_len
            || bytes.len() >= limits.head;
        if is_due {
            self.parsed_len = bytes.len();
        }
        is_due && !bytes.is_empty()
    }
}

/// Reads requests at the front of a buffer, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestReader {
    state: State,
    throttle: ParseThrottle,
    expects_continue: bool,
    close: bool,
}

impl RequestReader {
    /// Returns whether the client waits for 100 (Continue) before it sends the body. True only once per request; the
    /// caller must then answer.
    pub fn take_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// Returns whether the client requests that the connection is closed after the response. Known once the head has
    /// arrived.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        self.close
    }

    /// Reads the received bytes. `None`: the request is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is invalid or exceeds a limit. The connection must then be closed.
    pub fn advance(
        &mut self,
        buffer: &mut Vec<u8>,
        limits: Limits,
    ) -> Result<Option<MessageSpan>, ParseError> {
        if let State::Head = self.state {
            if !self.throttle.should_parse(buffer, limits) {
                return Ok(None);
            }
            let Some(head) = RequestHead::parse(buffer, limits)? else {
                return Ok(None);
            };
            self.state = State::of_body(head.framing, head.len);
            self.expects_continue = head.expects_continue;
            self.close = head.close;
        }
        self.state.read_body(0, buffer, limits)
    }

    /// Prepares for the next request. The caller must have removed the previous one from the front of the buffer.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Reads the response to one request at the front of a buffer. Skips interim (1xx) responses before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseReader {
    state: State,
    throttle: ParseThrottle,
    start: usize,
    interim_responses: u32,
}

impl ResponseReader {
    /// Returns the number of missing bytes of a response whose length is known. `received`: number of bytes in the
    /// buffer.
    #[must_use]
    pub fn remaining(&self, received: usize) -> Option<usize> {
        self.state.remaining(received)
    }

    /// Reads the received bytes. `None`: the response is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is invalid or exceeds a limit. The connection must then be closed.
    pub fn advance(
        &mut self,
        buffer: &mut Vec<u8>,
        limits: Limits,
    ) -> Result<Option<MessageSpan>, ParseError> {
        while let State::Head = self.state {
            let rest = buffer.get(self.start..).unwrap_or_default();
            // The heads of interim responses count against the same limit.
            let limits = Limits {
                head: limits.head.saturating_sub(self.start),
                ..limits
            };
            if !self.throttle.should_parse(rest, limits) {
                return Ok(None);
            }
            let Some(head) = ResponseHead::parse(rest, limits)? else {
                return Ok(None);
            };
            if head.is_interim() {
                self.interim_responses += 1;
                if self.interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(ParseError::HeadTooLarge);
                }
                self.start += head.len;
                self.throttle = ParseThrottle::default();
            } else {
                self.state = State::of_body(head.framing, self.start + head.len);
            }
        }
        self.state.read_body(self.start, buffer, limits)
    }
}
