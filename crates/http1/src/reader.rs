//! Complete requests and responses, read off the front of a buffer that the caller fills.
use crate::chunked::ChunkedDecoder;
use crate::{Framing, Limits, ParseError, RequestHead, ResponseHead};

/// Upper bound of interim (1xx) responses ahead of a final one. RFC 9110 names none; more than this serves no purpose.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Where a complete message stands in its buffer, as offsets. Bytes from `end` on belong to the next message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageSpan {
    /// The first byte of the head.
    pub start: usize,
    /// The first byte of the body, decoded.
    pub body: usize,
    /// The offset behind the last byte of the body.
    pub end: usize,
}

/// How far a message has been read.
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

    fn remaining(&self, received: usize) -> Option<usize> {
        match self {
            State::SizedBody { body, len } => Some((body + len).saturating_sub(received)),
            State::Head | State::ChunkedBody { .. } => None,
        }
    }

    /// Reads on in the body; the message's place once it is complete. `start`: where its head begins.
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

/// Decides when an incomplete head is parsed again. A head that arrives byte by byte is parsed only a few times, so that
/// the total cost stays in proportion to its length.
#[derive(Clone, Copy, Debug, Default)]
struct ParseThrottle {
    /// Bytes that had arrived at the last attempt.
    parsed: usize,
}

impl ParseThrottle {
    /// Whether to try now: at a new line end, at twice the bytes of the last attempt, or at the limit.
    fn should_parse(&mut self, bytes: &[u8], limits: Limits) -> bool {
        let new = &bytes[self.parsed.min(bytes.len())..];
        let due =
            new.contains(&b'\n') || bytes.len() >= 2 * self.parsed || bytes.len() >= limits.head;
        if due {
            self.parsed = bytes.len();
        }
        due && !bytes.is_empty()
    }
}

/// Reads requests off the front of a buffer, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestReader {
    state: State,
    throttle: ParseThrottle,
    expects_continue: bool,
    close: bool,
}

impl RequestReader {
    /// Whether the client waits for 100 (Continue) before it sends its body. True once per request: the caller is
    /// expected to answer.
    pub fn take_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// Whether the client wants the connection closed behind the response; known once the head has arrived.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        self.close
    }

    /// Reads what has arrived. `None`: the request is incomplete.
    ///
    /// # Errors
    ///
    /// The request can't be read, or exceeds a limit. The connection is of no further use.
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

    /// Prepares for the next request. The caller has removed this one from the front of the buffer.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Reads the response to one request off the front of a buffer. Interim (1xx) responses ahead of it are skipped.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseReader {
    state: State,
    throttle: ParseThrottle,
    start: usize,
    interim_responses: u32,
}

impl ResponseReader {
    /// Bytes still to come of a response whose length is known. `received`: bytes in the buffer.
    #[must_use]
    pub fn remaining(&self, received: usize) -> Option<usize> {
        self.state.remaining(received)
    }

    /// Reads what has arrived. `None`: the response is incomplete.
    ///
    /// # Errors
    ///
    /// The response can't be read, or exceeds a limit. The connection is of no further use.
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
