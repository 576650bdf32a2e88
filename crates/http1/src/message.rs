//! MessageSpan requests and answers: a head and its body, in a buffer that the caller fills.
use crate::chunks::ChunkedDecoder;
use crate::head::{Framing, RequestHead, ResponseHead};
use crate::{Limits, ParseError};

/// Heads of 1xx answers ahead of the answer, at most: more than that is noise.
const AHEAD: u32 = 8;

/// A whole message in its buffer: the head from `start`, the body behind it, and what comes next from `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageSpan {
    pub start: usize,
    pub body: usize,
    pub end: usize,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Head,
    Length {
        body: usize,
        len: usize,
    },
    Chunked {
        body: usize,
        chunks: ChunkedDecoder,
    },
}

/// When a head is looked at again: not for every byte of one that comes slowly.
#[derive(Clone, Copy, Debug, Default)]
struct Looked(usize);

impl Looked {
    /// At a line's end, or with twice the bytes of the last look: a head's whole cost stays in proportion.
    fn again(&mut self, bytes: &[u8], bounds: Limits) -> bool {
        let new = &bytes[self.0.min(bytes.len())..];
        let look = new.contains(&b'\n') || bytes.len() >= 2 * self.0 || bytes.len() >= bounds.head;
        if look {
            self.0 = bytes.len();
        }
        look && !bytes.is_empty()
    }
}

impl State {
    fn body(framing: Framing, at: usize) -> Self {
        match framing {
            Framing::None => State::Length { body: at, len: 0 },
            Framing::Length(len) => State::Length { body: at, len },
            Framing::Chunked => State::Chunked { body: at, chunks: ChunkedDecoder::new(at) },
        }
    }

    /// Bytes still to come, where a length says so.
    fn lacks(&self, had: usize) -> Option<usize> {
        match self {
            State::Length { body, len } => Some((body + len).saturating_sub(had)),
            _ => None,
        }
    }

    fn whole(
        &mut self,
        start: usize,
        buffer: &mut Vec<u8>,
        bounds: Limits,
    ) -> Result<Option<MessageSpan>, ParseError> {
        match self {
            State::Head => Ok(None),
            State::Length { body, len } => {
                let end = *body + *len;
                Ok((buffer.len() >= end).then_some(MessageSpan { start, body: *body, end }))
            }
            State::Chunked { body, chunks } => {
                chunks.decode(buffer, *body + bounds.body)?;
                Ok(chunks.is_complete().then_some(MessageSpan {
                    start,
                    body: *body,
                    end: chunks.decoded_end(),
                }))
            }
        }
    }
}

/// Reads requests off the front of a buffer.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestReader {
    state: State,
    looked: Looked,
    expects: bool,
    close: bool,
}

impl RequestReader {
    /// Whether the head is in and the body is not: whoever sent `Expect: 100-continue` waits for a word.
    pub fn take_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects)
    }

    /// Whether the client wants the connection closed behind the answer, once the head is in.
    pub fn closes_connection(&self) -> bool {
        self.close
    }

    /// Looks at what has come. None: more is needed.
    pub fn advance(
        &mut self,
        buffer: &mut Vec<u8>,
        bounds: Limits,
    ) -> Result<Option<MessageSpan>, ParseError> {
        if let State::Head = self.state {
            if !self.looked.again(buffer, bounds) {
                return Ok(None);
            }
            let Some(head) = RequestHead::parse(buffer, bounds)? else { return Ok(None) };
            self.state = State::body(head.framing, head.len);
            (self.expects, self.close) = (head.expects_continue, head.close);
        }
        self.state.whole(0, buffer, bounds)
    }

    /// Ready for the next request, with this one taken off the buffer's front.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Reads the answer to one request off the front of a buffer, past any 1xx ahead of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseReader {
    state: State,
    looked: Looked,
    start: usize,
    ahead: u32,
}

impl ResponseReader {
    /// Bytes still to come of an answer whose length is known, with so many in the buffer.
    pub fn remaining(&self, had: usize) -> Option<usize> {
        self.state.lacks(had)
    }

    /// Looks at what has come. None: more is needed.
    pub fn advance(
        &mut self,
        buffer: &mut Vec<u8>,
        bounds: Limits,
    ) -> Result<Option<MessageSpan>, ParseError> {
        while let State::Head = self.state {
            let rest = &buffer[self.start..];
            // All heads ahead count against the bound of one.
            let bounds = Limits { head: bounds.head.saturating_sub(self.start), ..bounds };
            if !self.looked.again(rest, bounds) {
                return Ok(None);
            }
            let Some(head) = ResponseHead::parse(rest, bounds)? else { return Ok(None) };
            if head.is_interim() {
                self.ahead += 1;
                if self.ahead > AHEAD {
                    return Err(ParseError::HeadTooLarge);
                }
                self.start += head.len;
                self.looked = Looked::default();
                continue;
            }
            self.state = State::body(head.framing, self.start + head.len);
        }
        self.state.whole(self.start, buffer, bounds)
    }
}
