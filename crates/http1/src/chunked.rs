//! In-place decoder of the chunked transfer coding (RFC 9112, section 7.1).
use crate::ParseError;
use httparse::Status;

/// Maximum length of one chunk-size line with its extensions, in bytes.
const MAX_SIZE_LINE: usize = 256;
/// Maximum length of the trailer section, in bytes.
const MAX_TRAILERS: usize = 2_048;
/// Upper bound of the undecoded bytes that the coding needs in a buffer beside the decoded ones: a chunk-size line, or
/// the trailer section.
pub(crate) const MAX_CODING_OVERHEAD: usize = MAX_SIZE_LINE + MAX_TRAILERS;

/// State of the decoder: the element that it expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The decoder expects a chunk-size line.
    Size,
    /// The decoder expects this number of further bytes of a chunk's data.
    Data(usize),
    /// The decoder expects the line end after a chunk's data.
    DataEnd,
    /// The decoder expects the rest of the trailer section, of which this number of bytes is consumed.
    Trailers(usize),
    /// The body is complete.
    Complete,
}

/// Result of a decoding step: whether another step is possible with the received bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Advanced,
    NeedsMore,
}

/// Buffer of a body while it is decoded.
struct Input<'a> {
    buffer: &'a mut [u8],
    /// Offset after the last byte that was read.
    consumed: usize,
}

impl Input<'_> {
    /// Returns the bytes that have not been read yet.
    fn rest(&self) -> &[u8] {
        self.buffer.get(self.consumed..).unwrap_or_default()
    }

    fn consume(&mut self, count: usize) {
        self.consumed += count;
    }

    /// Reads `count` bytes and moves them to a lower offset.
    fn move_to(&mut self, to: usize, count: usize) {
        let end = self.consumed + count;
        self.buffer.copy_within(self.consumed..end, to);
        self.consumed = end;
    }
}

/// Decodes a chunked body within its buffer. Decoded bytes end at [`ChunkedDecoder::decoded_end`]. They are followed
/// by bytes that are not decoded yet or, once the body is complete, by those of the next message.
#[derive(Clone, Copy, Debug)]
pub struct ChunkedDecoder {
    decoded_end: usize,
    state: State,
}

impl ChunkedDecoder {
    /// Creates a decoder for a body that begins at offset `start` of its buffer.
    #[must_use]
    pub fn new(start: usize) -> Self {
        ChunkedDecoder {
            decoded_end: start,
            state: State::Size,
        }
    }

    /// Returns the offset after the last decoded byte.
    #[must_use]
    pub fn decoded_end(&self) -> usize {
        self.decoded_end
    }

    /// Returns whether the last chunk and the trailer section have been read.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Records that the caller has removed `count` decoded bytes from the front of the buffer.
    pub fn discard_front(&mut self, count: usize) {
        self.decoded_end -= count;
    }

    /// Decodes the received bytes. `max_end`: largest offset at which decoded bytes may end.
    ///
    /// # Errors
    ///
    /// Returns an error if the coding is malformed, or if the body or its trailer section exceeds a limit.
    pub fn decode(&mut self, buffer: &mut Vec<u8>, max_end: usize) -> Result<(), ParseError> {
        let mut input = Input {
            buffer,
            consumed: self.decoded_end,
        };
        let result = self.decode_available(&mut input, max_end);
        let consumed = input.consumed;
        drop(buffer.drain(self.decoded_end..consumed));
        result
    }

    /// Decodes elements until more bytes are needed or the body is complete.
    fn decode_available(&mut self, input: &mut Input, max_end: usize) -> Result<(), ParseError> {
        loop {
            let progress = match self.state {
                State::Complete => Progress::NeedsMore,
                State::Size => self.read_size(input, max_end)?,
                State::Data(remaining) => self.copy_data(input, remaining),
                State::DataEnd => self.read_data_end(input)?,
                State::Trailers(before) => self.read_trailer(input, before)?,
            };
            if progress == Progress::NeedsMore {
                return Ok(());
            }
        }
    }

    fn read_size(&mut self, input: &mut Input, max_end: usize) -> Result<Progress, ParseError> {
        let rest = input.rest();
        // httparse accepts whitespace before the size, but RFC 9112 requires that the line begins with a digit.
        if rest.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
            return Err(ParseError::AmbiguousFraming);
        }
        match httparse::parse_chunk_size(&rest[..rest.len().min(MAX_SIZE_LINE)]) {
            Ok(Status::Complete((len, size))) => {
                input.consume(len);
                let room = max_end.saturating_sub(self.decoded_end);
                let size = usize::try_from(size).ok().filter(|s| *s <= room);
                let size = size.ok_or(ParseError::BodyTooLarge)?;
                self.state = if size == 0 {
                    State::Trailers(0)
                } else {
                    State::Data(size)
                };
                Ok(Progress::Advanced)
            }
            Ok(Status::Partial) if rest.len() < MAX_SIZE_LINE => Ok(Progress::NeedsMore),
            Ok(Status::Partial) | Err(_) => Err(ParseError::AmbiguousFraming),
        }
    }

    fn copy_data(&mut self, input: &mut Input, remaining: usize) -> Progress {
        let count = input.rest().len().min(remaining);
        input.move_to(self.decoded_end, count);
        self.decoded_end += count;
        if count < remaining {
            self.state = State::Data(remaining - count);
            return Progress::NeedsMore;
        }
        self.state = State::DataEnd;
        Progress::Advanced
    }

    fn read_data_end(&mut self, input: &mut Input) -> Result<Progress, ParseError> {
        match input.rest() {
            [b'\r', b'\n', ..] => {
                input.consume(2);
                self.state = State::Size;
                Ok(Progress::Advanced)
            }
            [] | [b'\r'] => Ok(Progress::NeedsMore),
            _ => Err(ParseError::AmbiguousFraming),
        }
    }

    /// Reads and drops one line of the trailer section. An empty line ends the body. `before`: number of bytes of the
    /// section that are consumed already.
    fn read_trailer(&mut self, input: &mut Input, before: usize) -> Result<Progress, ParseError> {
        let rest = input.rest();
        let mut allowed = rest.iter().take(MAX_TRAILERS - before);
        let Some(newline) = allowed.position(|b| *b == b'\n') else {
            if rest.len() + before >= MAX_TRAILERS {
                return Err(ParseError::HeadTooLarge);
            }
            return Ok(Progress::NeedsMore);
        };
        let line = &rest[..newline];
        if line.last() != Some(&b'\r') {
            return Err(ParseError::AmbiguousFraming);
        }
        let is_last = line.len() == 1;
        input.consume(newline + 1);
        self.state = if is_last {
            State::Complete
        } else {
            State::Trailers(before + newline + 1)
        };
        Ok(Progress::Advanced)
    }
}
