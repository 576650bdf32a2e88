//! Whole requests and answers: a head and its body, in a buffer that the caller fills.
use crate::chunks::Chunks;
use crate::head::{AnswerHead, Framing, RequestHead};
use crate::{Bounds, Fault};

/// Heads of 1xx answers ahead of the answer, at most: more than that is noise.
const AHEAD: u32 = 8;

/// A whole message in its buffer: the head from `start`, the body behind it, and what comes next from `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Whole {
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
        chunks: Chunks,
    },
}

/// When a head is looked at again: not for every byte of one that comes slowly.
#[derive(Clone, Copy, Debug, Default)]
struct Looked(usize);

impl Looked {
    /// At a line's end, or with twice the bytes of the last look: a head's whole cost stays in proportion.
    fn again(&mut self, bytes: &[u8], bounds: Bounds) -> bool {
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
            Framing::Chunked => State::Chunked { body: at, chunks: Chunks::new(at) },
        }
    }

    /// Bytes still to come, where a length says so.
    fn lacks(&self, had: usize) -> Option<usize> {
        match self {
            State::Length { body, len } => Some((body + len).saturating_sub(had)),
            _ => None,
        }
    }

    fn whole(&mut self, start: usize, buffer: &mut Vec<u8>, bounds: Bounds) -> Result<Option<Whole>, Fault> {
        match self {
            State::Head => Ok(None),
            State::Length { body, len } => {
                let end = *body + *len;
                Ok((buffer.len() >= end).then_some(Whole { start, body: *body, end }))
            }
            State::Chunked { body, chunks } => {
                chunks.advance(buffer, *body + bounds.body)?;
                Ok(chunks.over().then_some(Whole { start, body: *body, end: chunks.at() }))
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
    pub fn expects(&mut self) -> bool {
        std::mem::take(&mut self.expects)
    }

    /// Whether the client wants the connection closed behind the answer, once the head is in.
    pub fn closes(&self) -> bool {
        self.close
    }

    /// Looks at what has come. None: more is needed.
    pub fn advance(&mut self, buffer: &mut Vec<u8>, bounds: Bounds) -> Result<Option<Whole>, Fault> {
        if let State::Head = self.state {
            if !self.looked.again(buffer, bounds) {
                return Ok(None);
            }
            let Some(head) = RequestHead::read(buffer, bounds)? else { return Ok(None) };
            self.state = State::body(head.framing, head.len);
            (self.expects, self.close) = (head.expects, head.close);
        }
        self.state.whole(0, buffer, bounds)
    }

    /// Ready for the next request, with this one taken off the buffer's front.
    pub fn next(&mut self) {
        *self = Self::default();
    }
}

/// Reads the answer to one request off the front of a buffer, past any 1xx ahead of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerReader {
    state: State,
    looked: Looked,
    start: usize,
    ahead: u32,
}

impl AnswerReader {
    /// Bytes still to come of an answer whose length is known, with so many in the buffer.
    pub fn lacks(&self, had: usize) -> Option<usize> {
        self.state.lacks(had)
    }

    /// Looks at what has come. None: more is needed.
    pub fn advance(&mut self, buffer: &mut Vec<u8>, bounds: Bounds) -> Result<Option<Whole>, Fault> {
        while let State::Head = self.state {
            let rest = &buffer[self.start..];
            // All heads ahead count against the bound of one.
            let bounds = Bounds { head: bounds.head.saturating_sub(self.start), ..bounds };
            if !self.looked.again(rest, bounds) {
                return Ok(None);
            }
            let Some(head) = AnswerHead::read(rest, bounds)? else { return Ok(None) };
            if head.ahead() {
                self.ahead += 1;
                if self.ahead > AHEAD {
                    return Err(Fault::HeadTooLarge);
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
